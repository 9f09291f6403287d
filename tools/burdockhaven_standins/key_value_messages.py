"""Messages of the key-value service: a subset of those of the etcd v3 JSON gateway.

In JSON, keys and values are base64 and 64-bit integers are strings. Responses omit
fields whose value is zero, empty or false.
"""

import msgspec


class RangeRequest(msgspec.Struct, frozen=True, tag="range"):
    """Reads one key, or the keys from `key` (inclusive) to `range_end` (exclusive)."""

    key: bytes
    range_end: bytes = b""
    limit: int = 0


class PutRequest(msgspec.Struct, frozen=True, tag="put"):
    """Writes one key."""

    key: bytes
    value: bytes = b""
    # Lease to which the key is attached; 0 means none.
    lease: int = 0


class DeleteRequest(msgspec.Struct, frozen=True, tag="deleterange"):
    """Deletes one key or a range of keys, given as in `RangeRequest`."""

    key: bytes
    range_end: bytes = b""


class Compare(msgspec.Struct, frozen=True):
    """A condition of a transaction: compares the field named by `target`."""

    key: bytes
    target: str = "VERSION"
    result: str = "EQUAL"
    version: int = 0
    create_revision: int = 0
    mod_revision: int = 0
    lease: int = 0
    value: bytes = b""


class Operation(msgspec.Struct, frozen=True):
    """An operation of a transaction.

    The gateway accepts the names of the fields in both spellings.
    """

    camel_range: RangeRequest | None = msgspec.field(name="requestRange", default=None)
    camel_put: PutRequest | None = msgspec.field(name="requestPut", default=None)
    camel_delete: DeleteRequest | None = msgspec.field(
        name="requestDeleteRange", default=None
    )
    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None

    @property
    def request(self) -> RangeRequest | PutRequest | DeleteRequest | None:
        """The request that is set; None if there is none."""
        read = self.camel_range or self.request_range
        put = self.camel_put or self.request_put
        return read or put or self.camel_delete or self.request_delete_range


class TxnRequest(msgspec.Struct, frozen=True, tag="txn"):
    """Executes `success` if all conditions hold, else `failure`, atomically."""

    compare: tuple[Compare, ...] = ()
    success: tuple[Operation, ...] = ()
    failure: tuple[Operation, ...] = ()


class GrantRequest(msgspec.Struct, frozen=True, tag="grant"):
    """Grants a lease that expires `ttl` seconds after its last renewal."""

    ttl: int = msgspec.field(name="TTL")
    id: int = msgspec.field(name="ID", default=0)


class KeepAliveRequest(msgspec.Struct, frozen=True, tag="keepalive"):
    """Renews a lease."""

    id: int = msgspec.field(name="ID")


class RevokeRequest(msgspec.Struct, frozen=True, tag="revoke"):
    """Revokes a lease and deletes its keys."""

    id: int = msgspec.field(name="ID")


class WatchCreate(msgspec.Struct, frozen=True):
    """The keys and the first revision of a watch."""

    key: bytes
    range_end: bytes = b""
    # First revision to report; 0 means the next revision.
    start_revision: int = 0


class WatchRequest(msgspec.Struct, frozen=True, tag="watch"):
    """Opens a watch."""

    create_request: WatchCreate


KeyValueRequest = (
    RangeRequest
    | PutRequest
    | DeleteRequest
    | TxnRequest
    | GrantRequest
    | KeepAliveRequest
    | RevokeRequest
)


class Header(msgspec.Struct, frozen=True):
    """Header of each response."""

    # Revision of the service, which increases by one with each write.
    revision: str


class KeyValue(msgspec.Struct, frozen=True, omit_defaults=True):
    """A key with its value and its revisions."""

    key: bytes
    create_revision: str = "0"
    mod_revision: str = "0"
    version: str = "0"
    value: bytes = b""
    lease: str = "0"


class RangeResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answers `RangeRequest`."""

    header: Header
    kvs: tuple[KeyValue, ...] = ()
    count: str = "0"


class PutResponse(msgspec.Struct, frozen=True):
    """Answers `PutRequest`."""

    header: Header


class DeleteResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answers `DeleteRequest`."""

    header: Header
    deleted: str = "0"


class OperationResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answers `Operation`."""

    response_range: RangeResponse | None = None
    response_put: PutResponse | None = None
    response_delete_range: DeleteResponse | None = None


class TxnResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answers `TxnRequest`."""

    header: Header
    succeeded: bool = False
    responses: tuple[OperationResponse, ...] = ()


class LeaseResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answers `GrantRequest`, `KeepAliveRequest` and `RevokeRequest`."""

    header: Header
    id: str = msgspec.field(name="ID", default="0")
    # Seconds; 0 means that there is no such lease.
    ttl: str = msgspec.field(name="TTL", default="0")


class KeepAliveResponse(msgspec.Struct, frozen=True):
    """Answers `KeepAliveRequest`, which the gateway answers with a stream."""

    result: LeaseResponse


KeyValueResponse = (
    RangeResponse
    | PutResponse
    | DeleteResponse
    | TxnResponse
    | LeaseResponse
    | KeepAliveResponse
)


class WatchEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One write; `type` is omitted for a put."""

    kv: KeyValue
    type: str = "PUT"


class WatchResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """The content of one message of a watch."""

    header: Header
    created: bool = False
    canceled: bool = False
    # On a canceled watch: the oldest revision from which a watch can start.
    compact_revision: str = "0"
    events: tuple[WatchEvent, ...] = ()


class WatchResponse(msgspec.Struct, frozen=True):
    """One line of the response to a watch."""

    result: WatchResult


class KeyValueError(msgspec.Struct, frozen=True):
    """Answers a request that failed."""

    error: str
    # The gRPC status code.
    code: int
    message: str
