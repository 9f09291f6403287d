"""Model of the key-value service without I/O: transactions, leases, watches, faults.

The time is an argument, so that tests control when leases expire.
"""

import enum
import itertools
import operator
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from burdockhaven_standins.key_value_messages import (
    Compare,
    DeleteRequest,
    DeleteResponse,
    GrantRequest,
    Header,
    KeepAliveRequest,
    KeepAliveResponse,
    KeyValue,
    KeyValueRequest,
    KeyValueResponse,
    LeaseResponse,
    OperationResponse,
    PutRequest,
    PutResponse,
    RangeRequest,
    RangeResponse,
    RevokeRequest,
    TxnRequest,
    TxnResponse,
    WatchCreate,
    WatchEvent,
    WatchResult,
)

MAX_VALUE_BYTES = 1024 * 1024
# Writes that are retained for watches with an earlier start revision.
MAX_HISTORY_EVENTS = 10_000
# Value of `range_end` that means all keys from the start of the range.
RANGE_TO_LAST_KEY = b"\0"
FIRST_LEASE_ID = 7_000


class Outage(enum.Enum):
    """Kinds of outage."""

    # The service works.
    NONE = "none"
    # Each call is answered with an error.
    REFUSE = "refuse"
    # Calls are accepted and never answered.
    SILENT = "silent"


class CallFailedError(Exception):
    """A call failed; `code` is the gRPC status code."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code


class OutageError(CallFailedError):
    """The service is down; the call had no effect."""


class ResponseLostError(CallFailedError):
    """The call took effect, but its response is dropped."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A stored value with its revisions."""

    value: bytes
    create_revision: int
    mod_revision: int
    # Number of writes to the key since its creation, including the creation.
    version: int
    # Id of the lease to which the key is attached; 0 means none.
    lease: int


@dataclass(slots=True)
class Lease:
    """A lease that has not expired."""

    ttl_s: int
    # Time of expiry in seconds.
    expires_s: float
    keys: set[bytes] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Change:
    """One write, as reported by watches."""

    revision: int
    event: WatchEvent


@dataclass(slots=True)
class KeyValueModel:
    """State of the service."""

    revision: int = 1
    entries: dict[bytes, Entry] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    history: deque[Change] = field(
        default_factory=lambda: deque(maxlen=MAX_HISTORY_EVENTS)
    )
    outage: Outage = Outage.NONE
    # Number of upcoming calls, other than range reads, that take effect but whose
    # response is dropped.
    lose_answers: int = 0
    # Seconds by which each call is delayed; the caller of the model applies it.
    slow_s: float = 0.0
    # Calls by kind, including failed ones.
    calls: Counter[str] = field(default_factory=Counter)
    # Number of open watches.
    waiting_watches: int = 0
    lease_ids: Iterator[int] = field(
        default_factory=lambda: itertools.count(FIRST_LEASE_ID)
    )

    def handle(self, request: KeyValueRequest, now: float) -> KeyValueResponse:
        """Execute one call.

        Raises:
            CallFailedError: The call failed or its response is dropped.
        """
        self.calls[str(request.__struct_config__.tag)] += 1
        self.expire(now)
        if self.outage is not Outage.NONE:
            raise OutageError(14, "the service is unavailable")
        response = self._execute(request, now)
        if self.lose_answers > 0 and not isinstance(request, RangeRequest):
            self.lose_answers -= 1
            raise ResponseLostError(14, "the response was lost")
        return response

    def expire(self, now: float) -> None:
        """Expire leases that are due; an outage does not extend them."""
        for lease_id, lease in list(self.leases.items()):
            if lease.expires_s <= now:
                self._end_lease(lease_id)

    def open_watch(self, create: WatchCreate) -> int:
        """Count a new watch and return its start revision.

        Raises:
            OutageError: The service is down.
        """
        self.calls["watch"] += 1
        if self.outage is not Outage.NONE:
            raise OutageError(14, "the service is unavailable")
        return create.start_revision or self.revision + 1

    def read_watch(self, create: WatchCreate, start: int) -> WatchResult | None:
        """Return the writes in the range of a watch since a revision; None if none.

        The watch is canceled if the history no longer reaches back to that revision.
        """
        # The first write has revision 2; while it is in the history, none was dropped.
        if self.history and start < self.history[0].revision != 2:
            oldest = str(self.history[0].revision)
            return WatchResult(self.header, canceled=True, compact_revision=oldest)
        events = tuple(
            change.event
            for change in self.history
            if change.revision >= start
            and _is_in_range(change.event.kv.key, create.key, create.range_end)
        )
        return WatchResult(self.header, events=events) if events else None

    @property
    def header(self) -> Header:
        """Header of a response at the current revision."""
        return Header(str(self.revision))

    def _execute(self, request: KeyValueRequest, now: float) -> KeyValueResponse:
        match request:
            case RangeRequest():
                return self._range(request)
            case PutRequest():
                self._check_put(request)
                self.revision += 1
                return self._put(request)
            case DeleteRequest():
                self.revision += 1
                return self._delete(request)
            case TxnRequest():
                return self._txn(request)
            case GrantRequest():
                return self._grant(request, now)
            case KeepAliveRequest():
                return self._keep_alive(request, now)
            case RevokeRequest():
                return self._revoke(request)

    def _range(self, request: RangeRequest) -> RangeResponse:
        keys = self._keys_in(request.key, request.range_end)
        selected = keys[: request.limit] if request.limit else keys
        kvs = tuple(_key_value(key, self.entries[key]) for key in selected)
        return RangeResponse(self.header, kvs, str(len(keys)))

    def _check_put(self, request: PutRequest) -> None:
        if len(request.value) > MAX_VALUE_BYTES:
            raise CallFailedError(3, "etcdserver: request is too large")
        if request.lease and request.lease not in self.leases:
            raise CallFailedError(5, "etcdserver: requested lease not found")

    def _put(self, request: PutRequest) -> PutResponse:
        old = self.entries.get(request.key)
        if old is not None and old.lease in self.leases:
            self.leases[old.lease].keys.discard(request.key)
        if request.lease:
            self.leases[request.lease].keys.add(request.key)
        entry = Entry(
            value=request.value,
            create_revision=old.create_revision if old else self.revision,
            mod_revision=self.revision,
            version=old.version + 1 if old else 1,
            lease=request.lease,
        )
        self.entries[request.key] = entry
        self._append_history(WatchEvent(_key_value(request.key, entry)))
        return PutResponse(self.header)

    def _delete(self, request: DeleteRequest) -> DeleteResponse:
        keys = self._keys_in(request.key, request.range_end)
        for key in keys:
            entry = self.entries.pop(key)
            if entry.lease in self.leases:
                self.leases[entry.lease].keys.discard(key)
            tombstone = KeyValue(key, mod_revision=str(self.revision))
            self._append_history(WatchEvent(tombstone, "DELETE"))
        return DeleteResponse(self.header, str(len(keys)))

    def _txn(self, request: TxnRequest) -> TxnResponse:
        succeeded = all(self._is_satisfied(compare) for compare in request.compare)
        operations = request.success if succeeded else request.failure
        requests = [operation.request for operation in operations]
        for each in requests:
            if isinstance(each, PutRequest):
                self._check_put(each)
        if any(not isinstance(each, RangeRequest) for each in requests):
            self.revision += 1
        responses = tuple(self._execute_operation(each) for each in requests)
        return TxnResponse(self.header, succeeded, responses)

    def _execute_operation(
        self, request: RangeRequest | PutRequest | DeleteRequest | None
    ) -> OperationResponse:
        match request:
            case PutRequest():
                return OperationResponse(response_put=self._put(request))
            case DeleteRequest():
                return OperationResponse(response_delete_range=self._delete(request))
            case RangeRequest():
                return OperationResponse(response_range=self._range(request))
            case None:
                raise CallFailedError(3, "transaction operation has no request")

    def _is_satisfied(self, compare: Compare) -> bool:
        entry = self.entries.get(compare.key) or Entry(b"", 0, 0, 0, 0)
        name = _FIELD_BY_TARGET[compare.target]
        if name == "value" and compare.key not in self.entries:
            return False
        compare_values = _OPERATOR_BY_RESULT[compare.result]
        return compare_values(getattr(entry, name), getattr(compare, name))

    def _grant(self, request: GrantRequest, now: float) -> LeaseResponse:
        lease_id = request.id or next(self.lease_ids)
        self.leases[lease_id] = Lease(request.ttl, now + request.ttl)
        return LeaseResponse(self.header, str(lease_id), str(request.ttl))

    def _keep_alive(self, request: KeepAliveRequest, now: float) -> KeepAliveResponse:
        lease = self.leases.get(request.id)
        if lease is None:
            return KeepAliveResponse(LeaseResponse(self.header, str(request.id)))
        lease.expires_s = now + lease.ttl_s
        ttl = str(lease.ttl_s)
        return KeepAliveResponse(LeaseResponse(self.header, str(request.id), ttl))

    def _revoke(self, request: RevokeRequest) -> LeaseResponse:
        if request.id not in self.leases:
            raise CallFailedError(5, "etcdserver: requested lease not found")
        self._end_lease(request.id)
        return LeaseResponse(self.header)

    def _end_lease(self, lease_id: int) -> None:
        lease = self.leases.pop(lease_id)
        if lease.keys:
            self.revision += 1
        for key in sorted(lease.keys):
            self._delete(DeleteRequest(key))

    def _keys_in(self, key: bytes, range_end: bytes) -> list[bytes]:
        return sorted(
            each for each in self.entries if _is_in_range(each, key, range_end)
        )

    def _append_history(self, event: WatchEvent) -> None:
        self.history.append(Change(self.revision, event))


_FIELD_BY_TARGET = {
    "VERSION": "version",
    "CREATE": "create_revision",
    "MOD": "mod_revision",
    "VALUE": "value",
    "LEASE": "lease",
}
_OPERATOR_BY_RESULT: dict[str, Callable[[Any, Any], bool]] = {
    "EQUAL": operator.eq,
    "NOT_EQUAL": operator.ne,
    "GREATER": operator.gt,
    "LESS": operator.lt,
}


def _is_in_range(key: bytes, start: bytes, range_end: bytes) -> bool:
    if not range_end:
        return key == start
    return start <= key and (range_end == RANGE_TO_LAST_KEY or key < range_end)


def _key_value(key: bytes, entry: Entry) -> KeyValue:
    return KeyValue(
        key,
        str(entry.create_revision),
        str(entry.mod_revision),
        str(entry.version),
        entry.value,
        str(entry.lease),
    )
