"""Requests and answers of the key-value service: a subset of the etcd v3 gateway.

In JSON keys and values are base64 and 64-bit integers are strings. A field whose value
is zero, empty or false is left out of an answer.
"""

import msgspec


class RangeRequest(msgspec.Struct, frozen=True, tag="range"):
    """Reads one key, or the keys from `key` up to but without `range_end`."""

    key: bytes
    range_end: bytes = b""
    limit: int = 0


class PutRequest(msgspec.Struct, frozen=True, tag="put"):
    """Writes one key."""

    key: bytes
    value: bytes = b""
    # The lease that the key ends with; 0 means none.
    lease: int = 0


class DeleteRequest(msgspec.Struct, frozen=True, tag="deleterange"):
    """Deletes one key, or a range as `RangeRequest` has it."""

    key: bytes
    range_end: bytes = b""


class Compare(msgspec.Struct, frozen=True):
    """One condition of a transaction; the field that `target` names is compared."""

    key: bytes
    target: str = "VERSION"
    result: str = "EQUAL"
    version: int = 0
    create_revision: int = 0
    mod_revision: int = 0
    lease: int = 0
    value: bytes = b""


class Operation(msgspec.Struct, frozen=True):
    """One operation of a transaction, in either spelling of the gateway."""

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
        """The one request that is set."""
        read = self.camel_range or self.request_range
        put = self.camel_put or self.request_put
        return read or put or self.camel_delete or self.request_delete_range


class TxnRequest(msgspec.Struct, frozen=True, tag="txn"):
    """Does `success` if all conditions hold and `failure` otherwise, at one moment."""

    compare: tuple[Compare, ...] = ()
    success: tuple[Operation, ...] = ()
    failure: tuple[Operation, ...] = ()


class GrantRequest(msgspec.Struct, frozen=True, tag="grant"):
    """Opens a lease that lasts for a number of seconds after each renewal."""

    ttl: int = msgspec.field(name="TTL")
    id: int = msgspec.field(name="ID", default=0)


class KeepAliveRequest(msgspec.Struct, frozen=True, tag="keepalive"):
    """Renews a lease."""

    id: int = msgspec.field(name="ID")


class RevokeRequest(msgspec.Struct, frozen=True, tag="revoke"):
    """Ends a lease and deletes its keys."""

    id: int = msgspec.field(name="ID")


class WatchCreate(msgspec.Struct, frozen=True):
    """What a watch is to report."""

    key: bytes
    range_end: bytes = b""
    # The first revision to report; 0 means from now on.
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
    """Goes with each answer."""

    # The service's revision, which grows by one with each write.
    revision: str


class KeyValue(msgspec.Struct, frozen=True, omit_defaults=True):
    """One key and its value."""

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
    # Seconds; 0 means that the lease does not stand.
    ttl: str = msgspec.field(name="TTL", default="0")


class KeepAliveResponse(msgspec.Struct, frozen=True):
    """Answers `KeepAliveRequest` on the gateway, which streams there."""

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
    """One write; `type` is left out for a put."""

    kv: KeyValue
    type: str = "PUT"


class WatchResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a watch reports at once."""

    header: Header
    created: bool = False
    canceled: bool = False
    # The oldest revision that can be watched from, on a cancelled watch.
    compact_revision: str = "0"
    events: tuple[WatchEvent, ...] = ()


class WatchResponse(msgspec.Struct, frozen=True):
    """One line of a watch."""

    result: WatchResult


class KeyValueError(msgspec.Struct, frozen=True):
    """Answers a request that was not carried out."""

    error: str
    # The gRPC status code.
    code: int
    message: str
