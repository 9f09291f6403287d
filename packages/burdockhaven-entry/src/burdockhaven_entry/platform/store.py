"""HTTP client for the platform's key-value store.

It reports failures with the same types as the standalone daemon's client, although
the two protocols have nothing in common.

Open connections may go silent for good, without a reset, while new ones work. A call
that gets no answer in time casts doubt on all connections that were open then: idle
ones are closed, and once a later call is answered, those still waiting are ended.
"""

import asyncio
import base64
import contextlib
import math
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from result import Err, Ok, Result

from burdockhaven_core.key_value_failure import FailureKind, KeyValueFailure
from burdockhaven_core.value_ranges import NotNegative
from burdockhaven_entry.platform.decode_errors import DECODE_ERRORS
from burdockhaven_entry.platform.response_body import read_body_up_to
from burdockhaven_entry.platform.whole_number import parse_whole_number

# Names the era of the store; it rises with each restore from a copy.
ERA_HEADER = "Store-Era"
# Timeouts in seconds without a byte of a response, and for its connection. The store
# responds within milliseconds; if nothing arrives for longer, the connection or the
# store has failed.
CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.6
# Seconds in which the rest of a response may arrive. A page of 1 MB takes more than 2 s
# on the narrowest links, so with a shorter limit a large configuration is never read.
TRANSFER_TIMEOUT_S = 10.0
# Seconds by which a watch may exceed its wait before its connection counts as silent.
WATCH_TIMEOUT_MARGIN_S = 0.6
# Bytes of the longest response, and of all pages of a prefix. The store sends pages of
# about 1 MB, or a single larger value; a watch may report many changes at once.
MAX_RESPONSE_BYTES = 32 * 2**20
MAX_PREFIX_BYTES = 64 * 2**20
# Keys that the store writes or removes in one transaction.
MAX_TRANSACTION_CHANGES = 32


class _RawItem(msgspec.Struct):
    key: str
    value: str = ""
    revision: NotNegative = 0
    tombstone: Any = None


class _RangeResponse(msgspec.Struct):
    items: list[_RawItem]
    truncated: bool
    store_revision: NotNegative


class _WatchResponse(msgspec.Struct):
    events: list[_RawItem]
    store_revision: NotNegative


class _LeaseResponse(msgspec.Struct):
    lease: NotNegative
    ttl_ms: int


class _Write(msgspec.Struct):
    key: str
    value: str
    lease: int


class _Written(msgspec.Struct):
    revision: NotNegative


class _Expected(msgspec.Struct):
    key: str
    revision: int


class _Transaction(msgspec.Struct):
    writes: list[_Write] = []
    expect_rev: list[_Expected] = []
    remove: list[str] = []


@dataclass(frozen=True, slots=True)
class StoreItem:
    """A key and its value in the store, or the removal of a key."""

    key: str
    # None if the key was removed.
    value: bytes | None
    # Store revision of the last change.
    revision: int


@dataclass(frozen=True, slots=True)
class StoreRevision:
    """A revision of the store; numbers are given out again in a later era."""

    era: int
    number: int

    def latest(self, other: "StoreRevision") -> "StoreRevision":
        """Return the later of two revisions; raises `ValueError` for unlike eras."""
        if self.era != other.era:
            raise ValueError(f"revisions of the eras {self.era} and {other.era}")
        return self if self.number >= other.number else other


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Items and the store revision up to which they are current."""

    items: tuple[StoreItem, ...]
    revision: StoreRevision


@dataclass(frozen=True, slots=True)
class _Response:
    """A decoded body and the era in which the store sent it."""

    body: Any
    era: int
    # Length of the body in bytes, before it was decoded.
    length: int


# Receives the era of a response, None if it can't be read, and the text received;
# returns the era that counts.
OnEra = Callable[[int | None, str], int]


_STATUS_KINDS = {
    404: FailureKind.LEASE_ENDED,
    410: FailureKind.HISTORY_LOST,
    412: FailureKind.CONDITION,
    429: FailureKind.NOT_DONE,
    503: FailureKind.NOT_DONE,
}


def _keep_idle(connector: aiohttp.BaseConnector) -> int:
    return 0


class PlatformStore:
    """Client of the store; counts its calls by step and outcome."""

    def __init__(
        self,
        address: str,
        session: aiohttp.ClientSession,
        on_era: OnEra,
        close_idle: Callable[[aiohttp.BaseConnector], int] = _keep_idle,
    ) -> None:
        self.address = address
        self.session = session
        self.on_era = on_era
        # Closes the idle connections of a connector and returns their number.
        self.close_idle = close_idle
        # Receives the number of calls that were ended because their connections had
        # gone silent, while the store answered on a new one.
        self.on_silence: Callable[[int], None] = lambda ended: None
        # Number of calls since the start, by step and outcome.
        self.calls: dict[tuple[str, str], int] = {}
        # The timeouts of the calls under way, and when each call began.
        self.pending: dict[asyncio.Timeout, float] = {}
        # Time of the event loop up to which the connections opened are in doubt.
        self.doubted_s = -math.inf

    @classmethod
    def from_address(
        cls,
        address: str,
        on_era: OnEra,
        create_connector: Callable[..., aiohttp.TCPConnector] = aiohttp.TCPConnector,
        close_idle: Callable[[aiohttp.BaseConnector], int] = _keep_idle,
    ) -> "PlatformStore":
        """Create a client without connections; requires a running event loop."""
        connector = create_connector(limit=8, keepalive_timeout=10.0)
        session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        return cls(address, session, on_era, close_idle)

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def read_prefix(
        self, prefix: str, *, may_be_stale: bool = False
    ) -> Result[ChangeBatch, KeyValueFailure]:
        """Read all keys with the prefix, page by page.

        A read that may return data that is seconds old is billed at a tenth.
        """
        items: list[StoreItem] = []
        after_key = ""
        revision: StoreRevision | None = None
        received_bytes = 0
        while True:
            query = {"prefix": prefix} | ({"after": after_key} if after_key else {})
            if may_be_stale:
                query["allow_stale"] = "1"
            result = await self._counted_call(
                "GET", "/-/kv-range", _RangeResponse, query=query, step="read"
            )
            if isinstance(result, Err):
                return result
            page, era = result.ok_value.body, result.ok_value.era
            if revision is not None and era != revision.era:
                detail = "the store was restored between two pages"
                return self._failure(FailureKind.HISTORY_LOST, "read", detail)
            received_bytes += result.ok_value.length
            if received_bytes > MAX_PREFIX_BYTES:
                detail = f"the pages of {prefix} exceed {MAX_PREFIX_BYTES} bytes"
                return self._failure(FailureKind.AMBIGUOUS, "read", detail)
            items += [_decode_item(raw) for raw in page.items]
            # Return the revision of the first page: a watch from there repeats the
            # changes made while the later pages were read.
            if revision is None:
                revision = StoreRevision(era, page.store_revision)
            if not page.truncated or not page.items:
                return Ok(ChangeBatch(tuple(items), revision))
            if page.items[-1].key <= after_key:
                detail = f"the page after {after_key} does not go on"
                return self._failure(FailureKind.AMBIGUOUS, "read", detail)
            after_key = page.items[-1].key

    async def watch(
        self, prefix: str, after: StoreRevision, wait_s: float
    ) -> Result[ChangeBatch, KeyValueFailure]:
        """Return the changes after a revision; waits up to `wait_s` for the first."""
        query = {
            "prefix": prefix,
            "after": str(after.number),
            "wait_ms": str(int(wait_s * 1e3)),
        }
        result = await self._counted_call(
            "GET",
            "/-/kv-watch",
            _WatchResponse,
            query=query,
            step="watch",
            timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S,
        )
        if isinstance(result, Err):
            return result
        body = result.ok_value.body
        return Ok(
            ChangeBatch(
                tuple(_decode_item(raw) for raw in body.events),
                StoreRevision(result.ok_value.era, body.store_revision),
            )
        )

    async def grant_lease(self, ttl_s: float) -> Result[int, KeyValueFailure]:
        """Create a lease; returns its id."""
        body = {"ttl_ms": int(ttl_s * 1e3)}
        result = await self._counted_call(
            "POST", "/-/kv-lease", _LeaseResponse, body=body, step="grant lease"
        )
        return result.map(lambda response: response.body.lease)

    async def renew_lease(self, lease: int) -> Result[None, KeyValueFailure]:
        """Renew a lease."""
        result = await self._counted_call(
            "POST", f"/-/kv-keep/{lease}", dict[str, Any], step="keep lease"
        )
        return result.map(lambda response: None)

    async def revoke_lease(self, lease: int) -> Result[None, KeyValueFailure]:
        """Revoke a lease, which removes its keys."""
        result = await self._counted_call(
            "DELETE", f"/-/kv-lease-end/{lease}", Any, step="end lease"
        )
        return result.map(lambda response: None)

    async def put(
        self, key: str, value: bytes, lease: int
    ) -> Result[None, KeyValueFailure]:
        """Write a key that exists as long as the lease; 0 for one that lasts."""
        encoded = base64.b64encode(value).decode()
        body = _Transaction([_Write(key, encoded, lease)])
        result = await self._counted_call(
            "POST", "/-/kv-txn", dict[str, Any], body=body, step="write"
        )
        return result.map(lambda response: None)

    async def put_all(
        self, values: Mapping[str, bytes]
    ) -> Result[None, KeyValueFailure]:
        """Write up to `MAX_TRANSACTION_CHANGES` keys that last, all or none."""
        body = _Transaction(
            [
                _Write(key, base64.b64encode(value).decode(), 0)
                for key, value in values.items()
            ]
        )
        result = await self._counted_call(
            "POST", "/-/kv-txn", dict[str, Any], body=body, step="write"
        )
        return result.map(lambda response: None)

    async def remove(self, keys: Sequence[str]) -> Result[None, KeyValueFailure]:
        """Remove up to `MAX_TRANSACTION_CHANGES` keys; absent ones are ignored."""
        body = _Transaction(remove=list(keys))
        result = await self._counted_call(
            "POST", "/-/kv-txn", dict[str, Any], body=body, step="remove"
        )
        return result.map(lambda response: None)

    async def write_if(
        self, key: str, value: bytes, revision: int
    ) -> Result[int, KeyValueFailure]:
        """Write a key that lasts if its revision is the given one, 0 for a new key.

        Returns its new revision.
        """
        encoded = base64.b64encode(value).decode()
        body = _Transaction([_Write(key, encoded, 0)], [_Expected(key, revision)])
        result = await self._counted_call(
            "POST", "/-/kv-txn", _Written, body=body, step="conditional write"
        )
        return result.map(lambda response: response.body.revision)

    async def _counted_call(
        self,
        method: str,
        path: str,
        response_type: Any,
        *,
        step: str,
        query: dict[str, str] | None = None,
        body: Any = None,
        timeout_s: float | None = None,
    ) -> Result[_Response, KeyValueFailure]:
        if timeout_s is None:
            timeout_s = CALL_TIMEOUT_S
        result = await self._send(
            method, path, response_type, step, query, body, timeout_s
        )
        outcome = "ok" if isinstance(result, Ok) else result.err_value.kind.value
        self.calls[step, outcome] = self.calls.get((step, outcome), 0) + 1
        return result

    async def _send(
        self,
        method: str,
        path: str,
        response_type: Any,
        step: str,
        query: dict[str, str] | None,
        body: Any,
        timeout_s: float,
    ) -> Result[_Response, KeyValueFailure]:
        timeout = aiohttp.ClientTimeout(
            total=timeout_s + TRANSFER_TIMEOUT_S,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=timeout_s,
        )
        headers = {"Content-Type": "application/json"} if body is not None else {}
        began_s = asyncio.get_running_loop().time()
        try:
            async with (
                self._pending_call(began_s),
                self.session.request(
                    method,
                    f"http://{self.address}{path}",
                    params=query,
                    data=None if body is None else msgspec.json.encode(body),
                    headers=headers,
                    timeout=timeout,
                ) as response,
            ):
                self._end_doubt(began_s)
                data = await read_body_up_to(response, MAX_RESPONSE_BYTES)
                status = response.status
                era = self._record_era(response.headers.get(ERA_HEADER, ""))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return self._failure(FailureKind.NOT_DONE, step, repr(error))
        except TimeoutError as error:
            self._begin_doubt()
            return self._failure(FailureKind.AMBIGUOUS, step, repr(error))
        except aiohttp.ClientError as error:
            return self._failure(FailureKind.AMBIGUOUS, step, repr(error))
        if status != 200:
            kind = _STATUS_KINDS.get(status, FailureKind.AMBIGUOUS)
            return self._failure(kind, step, f"status {status}")
        if data is None:
            detail = f"the response exceeds {MAX_RESPONSE_BYTES} bytes"
            return self._failure(FailureKind.AMBIGUOUS, step, detail)
        if response_type is Any:
            return Ok(_Response(None, era, len(data)))
        try:
            decoded = msgspec.json.decode(data, type=response_type)
            return Ok(_Response(decoded, era, len(data)))
        except DECODE_ERRORS as error:
            return self._failure(FailureKind.AMBIGUOUS, step, str(error))

    @contextlib.asynccontextmanager
    async def _pending_call(self, began_s: float) -> AsyncIterator[None]:
        """Raise `TimeoutError` within if the call is ended from outside."""
        async with asyncio.timeout(None) as scope:
            self.pending[scope] = began_s
            try:
                yield
            finally:
                del self.pending[scope]

    def _begin_doubt(self) -> None:
        """Let the next call open a new connection, after one got no answer."""
        self.doubted_s = asyncio.get_running_loop().time()
        if self.session.connector is not None:
            self.close_idle(self.session.connector)

    def _end_doubt(self, began_s: float) -> None:
        """End the calls in doubt if the store has answered a later one."""
        if began_s < self.doubted_s:
            return
        doubted_s, self.doubted_s = self.doubted_s, -math.inf
        doubted = [scope for scope, began in self.pending.items() if began < doubted_s]
        for scope in doubted:
            scope.reschedule(asyncio.get_running_loop().time())
        if doubted_s > -math.inf:
            self.on_silence(len(doubted))

    def _record_era(self, text: str) -> int:
        return self.on_era(parse_whole_number(text), text)

    def _failure(
        self, kind: FailureKind, step: str, detail: str
    ) -> Err[KeyValueFailure]:
        return Err(KeyValueFailure(kind, step, self.address, detail))


def _decode_item(raw: _RawItem) -> StoreItem:
    if raw.tombstone:
        return StoreItem(raw.key, None, raw.revision)
    try:
        value = base64.b64decode(raw.value, validate=True)
    except ValueError:
        # The value's decoder rejects empty bytes, and its error is logged with the key.
        value = b""
    return StoreItem(raw.key, value, raw.revision)
