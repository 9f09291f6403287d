"""Keeps the evidence against what ends targets in the platform's store.

After a start of all members nobody remembers which requests and prompt parts end
targets, and each of them would end three more. The member whose broker is in use writes
a record of each one that is worth it, and removes it once it is acquitted or forgotten.
A member reads the records when it starts, when it becomes the broker, and while it is
cut off from most others, which learn more meanwhile. The broker reads them again when
the store was restored from a copy, and now and then for writes that were late.
"""

import asyncio
import contextlib
import itertools
import math
from collections.abc import Callable, Hashable, Iterable, Sequence
from dataclasses import dataclass

from result import Err

from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_entry.call_limits import Backoff, CallRateLimiter
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.log_events import log
from burdockhaven_entry.platform import (
    MAX_TRANSACTION_CHANGES,
    PlatformStore,
    StoreItem,
)
from burdockhaven_entry.quarantine.record_kind import Record, RecordKind

# Upper bounds in seconds of the random delays after a failed call.
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
# Longest time in seconds between two looks for records to write or remove, if nothing
# is known to have changed; contents are forgotten, the broker changes and members are
# cut off meanwhile.
CHECK_INTERVAL_S = 2.0
# The same while there is evidence: it may become worth a record without a change.
EVIDENCE_CHECK_INTERVAL_S = 0.25
# Shortest time in seconds between two reads of a member that is cut off.
CUT_OFF_READ_INTERVAL_S = 1.5
# The same of the broker. A write of an earlier broker may take effect after the first
# read, and nobody else removes its record.
READ_INTERVAL_S = 60.0
# Sustained writes and removals per second, each of several records, and their largest
# burst.
CALLS_PER_S = 2.0
CALL_BURST = 10.0


@dataclass(frozen=True, slots=True)
class _Written:
    """A record as this member wrote it last."""

    evidence: Hashable
    value: bytes


class QuarantineStore:
    """Reads the records at the start, then writes and removes them."""

    def __init__(
        self,
        state: GatewayState,
        store: PlatformStore,
        is_broker: Callable[[], bool],
        unix_ms: Callable[[], int],
        kinds: Sequence[RecordKind],
    ) -> None:
        self.state = state
        self.store = store
        self.is_broker = is_broker
        self.unix_ms = unix_ms
        self.kinds = kinds
        # Each record that may be in the store, by key; None unless it is as this member
        # wrote it.
        self.recorded: dict[str, _Written | None] = {}
        # Era of the store for which that holds.
        self.era = state.store_eras.current
        # Monotonic time in seconds at which the records were read, and whether that was
        # since this member is the broker.
        self.read_s = -math.inf
        self.has_read_as_broker = False
        # Revision of each record that can't be read, by key; logged once.
        self.unreadable: dict[str, int] = {}
        # Set when evidence has changed.
        self.has_changes = asyncio.Event()
        # Set when the store has answered a call of another part.
        self.is_store_back = asyncio.Event()
        self.backoff = Backoff(state.rng, INITIAL_BACKOFF_S, MAX_BACKOFF_S)
        self.limiter = CallRateLimiter(CALLS_PER_S, CALL_BURST, CALL_BURST)

    async def run(self) -> None:
        """Read the records, then keep them until cancelled; errors are logged."""
        self.has_changes.set()
        while True:
            await self._wait_for_work()
            self.has_changes.clear()
            try:
                is_done = await self._synchronize()
            except Exception as error:
                step = "write quarantine records"
                log(EventNumber.INTERNAL_ERROR, step=step, error=repr(error))
                is_done = False
            if is_done:
                self.backoff.reset()
            else:
                self.has_changes.set()
                await self._wait_before_retry()

    def retry_now(self) -> None:
        """Repeat a call that has failed, because the store answers others."""
        self.is_store_back.set()

    async def _wait_before_retry(self) -> None:
        self.is_store_back.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.backoff.next_delay_s()):
                await self.is_store_back.wait()

    async def _wait_for_work(self) -> None:
        """Wait until evidence has changed, the store was restored, or a look is due."""
        interval_s = CHECK_INTERVAL_S
        if self.has_read_as_broker and any(kind.has_evidence() for kind in self.kinds):
            interval_s = EVIDENCE_CHECK_INTERVAL_S
        waits = [
            asyncio.ensure_future(self.has_changes.wait()),
            asyncio.ensure_future(self.state.store_eras.wait_beyond(self.era)),
        ]
        try:
            await asyncio.wait(
                waits, timeout=interval_s, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for wait in waits:
                wait.cancel()

    async def _synchronize(self) -> bool:
        """Read, write and remove what is due; returns whether nothing is left to do."""
        is_broker = self.is_broker()
        era = self.state.store_eras.current
        if self._must_read(is_broker):
            if not await self._read():
                return False
            if self.read_s == -math.inf:
                # Not known before the first response.
                self.era = era = self.state.store_eras.current
            self.read_s = self.state.clock()
        if era != self.era:
            # Restored from a copy, which may lack the latest records.
            self.era = era
            self.recorded = dict.fromkeys(self.recorded)
        self.has_read_as_broker = is_broker
        return await self._update(is_broker)

    def _must_read(self, is_broker: bool) -> bool:
        """Whether there may be records that this member needs and does not know.

        Heartbeats name only some of the evidence, so a member that becomes the broker
        needs the records of the one before. A store that was restored from a copy may
        have records again that were removed. A member that is cut off hears of nothing.
        """
        is_restored = self.era != self.state.store_eras.current
        if is_broker and (is_restored or not self.has_read_as_broker):
            return True
        now = self.state.clock()
        is_cut_off = self.state.member_list.is_cut_off(now)
        interval_s = READ_INTERVAL_S if is_broker else math.inf
        if is_cut_off:
            interval_s = CUT_OFF_READ_INTERVAL_S
        return now - self.read_s >= interval_s

    async def _read(self) -> bool:
        """Apply the records in the store; returns whether all could be read."""
        for kind in self.kinds:
            result = await self.store.read_prefix(kind.prefix)
            if isinstance(result, Err):
                return False
            now, unix_ms = self.state.clock(), self.unix_ms()
            for item in result.ok_value.items:
                self._apply(kind, item, now, unix_ms)
            kind.on_read()
        self.backoff.reset()
        return True

    def _apply(
        self, kind: RecordKind, item: StoreItem, now: float, unix_ms: int
    ) -> None:
        name = item.key.removeprefix(kind.prefix)
        try:
            kind.apply(name, item.value or b"", now, unix_ms)
        except ValueError as error:
            self._log_unreadable(item, str(error))
            return
        known = self.recorded.get(item.key)
        if known is None or known.value != item.value:
            # From another broker.
            self.recorded[item.key] = None

    def _log_unreadable(self, item: StoreItem, detail: str) -> None:
        if self.unreadable.get(item.key) == item.revision:
            return
        self.unreadable[item.key] = item.revision
        log(
            EventNumber.QUARANTINE_UNREADABLE,
            key=item.key,
            revision=item.revision,
            detail=detail,
        )

    async def _update(self, is_broker: bool) -> bool:
        """Write and remove what has changed; returns whether nothing is left to do."""
        wanted = self._wanted()
        if not is_broker:
            # Whoever is the broker next removes what this one leaves.
            self.recorded = dict.fromkeys(wanted) | self.recorded
            return True
        changed = [
            key for key, record in wanted.items() if not self._is_written(key, record)
        ]
        return await self._write(changed, wanted) and await self._remove(
            [key for key in self.recorded if key not in wanted]
        )

    def _is_written(self, key: str, record: Record) -> bool:
        written = self.recorded.get(key)
        return written is not None and written.evidence == record.evidence

    def _wanted(self) -> dict[str, Record]:
        """Return the records that are to exist, by key."""
        now = self.state.clock()
        return {
            kind.prefix + name: record
            for kind in self.kinds
            for name, record in kind.collect(now).items()
        }

    async def _write(self, keys: list[str], records: dict[str, Record]) -> bool:
        for batch in _batches(keys):
            await self._wait_for_call()
            now, unix_ms = self.state.clock(), self.unix_ms()
            values = {key: records[key].encode(now, unix_ms) for key in batch}
            # Without an answer it may take effect all the same.
            self.recorded |= dict.fromkeys(batch)
            if isinstance(await self.store.put_all(values), Err):
                return False
            for key, value in values.items():
                self.recorded[key] = _Written(records[key].evidence, value)
        return True

    async def _remove(self, keys: list[str]) -> bool:
        for batch in _batches(keys):
            await self._wait_for_call()
            if isinstance(await self.store.remove(batch), Err):
                return False
            for key in batch:
                del self.recorded[key]
        return True

    async def _wait_for_call(self) -> None:
        if not self.limiter.try_acquire("change", self.state.clock()):
            # By then there is room for one more call.
            await asyncio.sleep(1.0 / CALLS_PER_S)
            self.limiter.try_acquire("change", self.state.clock())


def _batches(keys: Iterable[str]) -> Iterable[list[str]]:
    """Divide keys into lists that one transaction may change."""
    remaining = iter(keys)
    while batch := list(itertools.islice(remaining, MAX_TRANSACTION_CHANGES)):
        yield batch
