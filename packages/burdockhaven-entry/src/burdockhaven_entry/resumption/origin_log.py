"""Keeps the origins of streams in the platform's store.

After a start of all members nobody remembers which software version began a stream.
While a service has several of them, its broker writes the origins that members report,
so that a stream resumed then goes on at its own version.
"""

import asyncio
import contextlib
from collections.abc import Callable, Mapping

from result import Err, Ok, Result

from burdockhaven_core.key_value_failure import KeyValueFailure
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.resumption import (
    ExpiredKeys,
    OriginBatchError,
    OriginBuffer,
    decode_origin_batch,
    encode_origin_batch,
)
from burdockhaven_core.scheduling.peer_messages import StreamOrigin
from burdockhaven_entry.call_limits import Backoff
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.log_events import log
from burdockhaven_entry.platform import (
    MAX_TRANSACTION_CHANGES,
    ORIGINS_PREFIX,
    PlatformStore,
    StoreItem,
)
from burdockhaven_entry.resumption.batched_read import BatchedRead

# Seconds in which origins are collected for one write.
WRITE_DELAY_S = 0.04
# Upper bounds in seconds of the random delays after a failed write.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
# Seconds in which questions are collected for one read, and between two reads.
READ_DELAY_S = 0.02
READ_INTERVAL_S = 0.25
# Seconds without a batch after which the next one is logged.
LOG_AFTER_IDLE_S = 30.0


class OriginLog:
    """Writes, reads and removes batches of origins."""

    def __init__(
        self,
        state: GatewayState,
        store: PlatformStore,
        is_broker: Callable[[], bool],
    ) -> None:
        self.state = state
        self.store = store
        self.is_broker = is_broker
        self.buffer = OriginBuffer()
        self.backoff = Backoff(state.rng, INITIAL_BACKOFF_S, MAX_BACKOFF_S)
        self.expired_keys = ExpiredKeys()
        # Set while there is something to write.
        self.has_origins = asyncio.Event()
        self.batches = 0
        # When a batch was last written; None if none was.
        self.written_s: float | None = None
        # Whether keys may be left in the store, of any writer.
        self.may_have_keys = True
        self.cleaned_s = state.clock()
        self.reads: BatchedRead[Result[None, KeyValueFailure]] = BatchedRead(
            self._read, state.clock, READ_DELAY_S, READ_INTERVAL_S
        )

    def add(self, streams: Mapping[int, StreamOrigin]) -> None:
        """Write origins soon."""
        if streams:
            self.buffer.add(streams)
            self.has_origins.set()

    async def find(self, key: int) -> Result[StreamOrigin | None, KeyValueFailure]:
        """Return the origin of a stream from a read that begins now; None if absent."""
        result = await self.reads.get()
        if isinstance(result, Err):
            return result
        return Ok(self.state.stream_origins.find(key, self.state.clock()))

    async def run(self) -> None:
        """Write and remove batches until cancelled; internal errors are logged."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._window_s()):
                    await self.has_origins.wait()
            try:
                await self._write_if_due()
                await self._clean_if_due()
            except Exception as error:
                step = "write stream origins"
                log(EventNumber.INTERNAL_ERROR, step=step, error=repr(error))
                await asyncio.sleep(self.backoff.next_delay_s())

    async def _write_if_due(self) -> None:
        if not self.has_origins.is_set():
            return
        await asyncio.sleep(WRITE_DELAY_S)
        streams = self.buffer.take()
        key = f"{ORIGINS_PREFIX}{self.state.member_id.incarnation:x}-{self.batches}"
        self.batches += 1
        self.may_have_keys = True
        result = await self.store.put(key, encode_origin_batch(streams), lease=0)
        if isinstance(result, Err):
            # The write may have been done; a second batch of the same origins does
            # no harm.
            self.buffer.put_back(streams)
            if self.backoff.failures == 0:
                log(
                    EventNumber.ORIGINS_NOT_WRITTEN,
                    streams=len(self.buffer),
                    detail=result.err_value.detail,
                )
            await asyncio.sleep(self.backoff.next_delay_s())
            return
        self.backoff.reset()
        self._log_written(len(streams))
        if not self.buffer:
            self.has_origins.clear()

    def _log_written(self, count: int) -> None:
        now = self.state.clock()
        idle_s = -1.0 if self.written_s is None else now - self.written_s
        self.written_s = now
        if not 0.0 <= idle_s < LOG_AFTER_IDLE_S:
            log(EventNumber.ORIGINS_WRITTEN, streams=count, idle_s=round(idle_s, 3))

    async def _clean_if_due(self) -> None:
        """Remove the batches that no stream needs any more, of all writers."""
        now = self.state.clock()
        window_s = self._window_s()
        if now - self.cleaned_s < window_s or not self.is_broker():
            return
        self.cleaned_s = now
        if not self.may_have_keys:
            return
        result = await self.store.read_prefix(ORIGINS_PREFIX, may_be_stale=True)
        if isinstance(result, Err):
            return
        keys = [item.key for item in result.ok_value.items]
        self.may_have_keys = bool(keys)
        expired = self.expired_keys.observe(keys, window_s, now)
        for start in range(0, len(expired), MAX_TRANSACTION_CHANGES):
            if isinstance(
                await self.store.remove(
                    expired[start : start + MAX_TRANSACTION_CHANGES]
                ),
                Err,
            ):
                return

    async def _read(self) -> Result[None, KeyValueFailure]:
        result = await self.store.read_prefix(ORIGINS_PREFIX)
        if isinstance(result, Err):
            return result
        now = self.state.clock()
        for item in result.ok_value.items:
            for key, origin in _decode(item).items():
                self.state.stream_origins.record(key, origin, now)
        return Ok(None)

    def _window_s(self) -> float:
        return self.state.stream_origins.ttl_s


def _decode(item: StoreItem) -> dict[int, StreamOrigin]:
    """Decode a batch; logs an invalid one and returns nothing for it."""
    try:
        return decode_origin_batch(item.value or b"")
    except OriginBatchError as error:
        log(EventNumber.ORIGINS_UNREADABLE, key=item.key, detail=str(error))
        return {}
