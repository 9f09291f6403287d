"""JSON encoding of calls to the key-value service: a subset of the etcd v3 gateway.

As in that gateway, keys and values are base64 and 64-bit integers are strings.
"""

from base64 import b64decode, b64encode
from typing import Any

import msgspec

from burdockhaven_core.key_value import (
    Answer,
    Command,
    Condition,
    CreatedAt,
    Delete,
    GrantLease,
    KeepLeaseAlive,
    KeyValue,
    LeaseAnswer,
    Put,
    Range,
    RangeAnswer,
    ReadMany,
    ReadManyAnswer,
    RevokeLease,
    Transaction,
    TransactionAnswer,
    ValueEquals,
    WatchEvent,
)

Body = dict[str, Any]


class Header(msgspec.Struct):
    """Header of each response."""

    revision: str = "0"


class Item(msgspec.Struct):
    """A key with its value, in a range or a watch event."""

    key: str
    value: str = ""
    create_revision: str = "0"
    mod_revision: str = "0"
    lease: str = "0"


class RangeBody(msgspec.Struct):
    """Response to a range read."""

    header: Header = msgspec.field(default_factory=Header)
    kvs: tuple[Item, ...] = ()


class OperationBody(msgspec.Struct):
    """Response to one operation of a transaction, in either spelling of the gateway."""

    camel: RangeBody | None = msgspec.field(name="responseRange", default=None)
    snake: RangeBody | None = msgspec.field(name="response_range", default=None)

    @property
    def items(self) -> tuple[Item, ...]:
        """The items that the operation read."""
        body = self.camel or self.snake
        return body.kvs if body is not None else ()


class TransactionBody(msgspec.Struct):
    """Response to a transaction."""

    header: Header = msgspec.field(default_factory=Header)
    succeeded: bool = False
    responses: tuple[OperationBody, ...] = ()


class LeaseBody(msgspec.Struct):
    """Response to a lease grant or revocation; also the inner part of a keepalive."""

    header: Header = msgspec.field(default_factory=Header)
    id: str = msgspec.field(name="ID", default="0")
    ttl: str = msgspec.field(name="TTL", default="0")


class KeepAliveBody(msgspec.Struct):
    """Response to a keepalive."""

    result: LeaseBody


class EventBody(msgspec.Struct):
    """One event of a watch."""

    kv: Item
    type: str = "PUT"


class WatchResultBody(msgspec.Struct):
    """One message of a watch."""

    events: tuple[EventBody, ...] = ()
    canceled: bool = False


class WatchLine(msgspec.Struct):
    """One line of a watch's stream."""

    result: WatchResultBody


def encode_command(command: Command) -> tuple[str, Body]:
    """Return the path and body of the call."""
    match command:
        case Range():
            return "/v3/kv/range", _encode_range(command)
        case ReadMany():
            reads = [
                {"requestRange": _encode_range(key_range)}
                for key_range in command.ranges
            ]
            return "/v3/kv/txn", {"success": reads}
        case Transaction():
            return "/v3/kv/txn", {
                "compare": [
                    _encode_condition(condition) for condition in command.conditions
                ],
                "success": [_encode_write(write) for write in command.writes],
            }
        case GrantLease():
            return "/v3/lease/grant", {"TTL": str(command.ttl_s)}
        case KeepLeaseAlive():
            return "/v3/lease/keepalive", {"ID": str(command.lease)}
        case RevokeLease():
            return "/v3/lease/revoke", {"ID": str(command.lease)}


def decode_answer(command: Command, data: bytes) -> Answer:
    """Decode the answer to the command; raises `ValueError` if it is malformed."""
    match command:
        case Range():
            found = msgspec.json.decode(data, type=RangeBody)
            return RangeAnswer(_decode_items(found.kvs), int(found.header.revision))
        case ReadMany():
            read = msgspec.json.decode(data, type=TransactionBody)
            if len(read.responses) != len(command.ranges):
                raise ValueError(
                    "number of responses differs from the number of ranges"
                )
            ranges = tuple(_decode_items(response.items) for response in read.responses)
            return ReadManyAnswer(ranges, int(read.header.revision))
        case Transaction():
            done = msgspec.json.decode(data, type=TransactionBody)
            return TransactionAnswer(done.succeeded, int(done.header.revision))
        case KeepLeaseAlive():
            renewed = msgspec.json.decode(data, type=KeepAliveBody).result
            return _lease_answer(renewed, command.lease)
        case GrantLease():
            granted = msgspec.json.decode(data, type=LeaseBody)
            if int(granted.id) == 0:
                raise ValueError("granted lease has no ID")
            return _lease_answer(granted, int(granted.id))
        case RevokeLease():
            ended = msgspec.json.decode(data, type=LeaseBody)
            return LeaseAnswer(command.lease, 0, int(ended.header.revision))


def encode_watch(key_range: Range) -> Body:
    """Return the body of the call that opens a watch."""
    return {"create_request": _encode_range(key_range)}


def decode_watch_line(line: str) -> tuple[WatchEvent, ...]:
    """Decode the events of a line.

    Raises `ValueError` if the line is malformed or the service has ended the watch.
    """
    result = msgspec.json.decode(line, type=WatchLine).result
    if result.canceled:
        raise ValueError("the service ended the watch")
    return tuple(_decode_event(event) for event in result.events)


def _decode_event(event: EventBody) -> WatchEvent:
    removed = event.type == "DELETE"
    value = None if removed else b64decode(event.kv.value, validate=True)
    return WatchEvent(_decode_key(event.kv.key), value)


def _lease_answer(body: LeaseBody, lease: int) -> LeaseAnswer:
    return LeaseAnswer(lease, int(body.ttl), int(body.header.revision))


def _decode_items(items: tuple[Item, ...]) -> tuple[KeyValue, ...]:
    return tuple(
        KeyValue(
            key=_decode_key(item.key),
            value=b64decode(item.value, validate=True),
            create_revision=int(item.create_revision),
            mod_revision=int(item.mod_revision),
            lease=int(item.lease),
        )
        for item in items
    )


def _decode_key(key: str) -> str:
    return b64decode(key, validate=True).decode()


def _b64(data: bytes) -> str:
    return b64encode(data).decode()


def _encode_key(key: str) -> str:
    return _b64(key.encode())


def _encode_range(command: Range) -> Body:
    body: Body = {"key": _encode_key(command.key)}
    if command.end is not None:
        body["range_end"] = _encode_key(command.end)
    if command.limit:
        body["limit"] = str(command.limit)
    return body


def _encode_condition(condition: Condition) -> Body:
    body: Body = {"key": _encode_key(condition.key), "result": "EQUAL"}
    match condition:
        case ValueEquals(value=None):
            return body | {"target": "CREATE", "create_revision": "0"}
        case ValueEquals(value=value):
            return body | {"target": "VALUE", "value": _b64(value or b"")}
        case CreatedAt(revision=revision):
            return body | {"target": "CREATE", "create_revision": str(revision)}


def _encode_write(write: Put | Delete) -> Body:
    match write:
        case Put():
            put: Body = {"key": _encode_key(write.key), "value": _b64(write.value)}
            if write.lease:
                put["lease"] = str(write.lease)
            return {"requestPut": put}
        case Delete():
            return {"requestDeleteRange": {"key": _encode_key(write.key)}}
