"""Keeps the records of the software versions that have served in the platform's store.

A record is written under a condition and only when it changes, by whichever member
notices first. A stream whose origin no member knows is checked against a fresh read.
"""

import asyncio
import contextlib
from dataclasses import dataclass, field

from result import Err, Ok, Result

from burdockhaven_core.key_value_failure import FailureKind, KeyValueFailure
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.scheduling.version_records import (
    RecordReading,
    ServiceVersions,
    VersionHold,
    VersionRecord,
    VersionRecordError,
    decode_version_record,
    encode_version_record,
    updated_record,
)
from burdockhaven_entry.call_limits import Backoff
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.log_events import log
from burdockhaven_entry.platform import VERSIONS_PREFIX, PlatformStore, StoreItem
from burdockhaven_entry.resumption import BatchedRead

# Upper bounds in seconds of the random delays after a failed update.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
# Seconds over which members that are not the broker spread their updates; by then the
# broker, which needs it first, has written what they would write.
UPDATE_SPREAD_S = 0.5
# The same where there are hubs.
RELAXED_UPDATE_SPREAD_S = 10.0
# Shortest time in seconds after which a record is complete or a version removed: many
# times the delay with which a member sees a change of the targets.
MIN_WINDOW_S = 30.0
# Seconds between two looks at whether a record is due to change with time alone.
CHECK_INTERVAL_S = 5.0
# Seconds in which questions for records are collected for one read.
READ_BATCH_S = 0.05
# Seconds that a stream waits for a record.
READ_TIMEOUT_S = 0.3


_Records = Result[dict[str, RecordReading], KeyValueFailure]


@dataclass(slots=True)
class _KnownRecord:
    """A record as last read or written, and since when."""

    record: VersionRecord | None = None
    # Store revision of its last write; 0 if it is not in the store.
    revision: int = 0
    # Monotonic times at which a record of this era, and this write, were first seen.
    era_since_s: float = 0.0
    write_since_s: float = 0.0

    def update(self, record: VersionRecord | None, revision: int, now: float) -> None:
        """Apply a record that was read or written."""
        old, self.record = self.record, record
        if record is None or old is None or old.era != record.era:
            self.era_since_s = self.write_since_s = now
        if revision != self.revision:
            self.revision, self.write_since_s = revision, now


@dataclass(slots=True)
class VersionRecorder:
    """Updates and reads the records."""

    state: GatewayState
    store: PlatformStore
    backoff: Backoff
    hold: VersionHold = field(default_factory=VersionHold)
    known: dict[str, _KnownRecord] = field(default_factory=dict)
    # Set when the targets or the configuration have changed.
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    reads: BatchedRead[_Records] = field(init=False)

    def __post_init__(self) -> None:
        self.reads = BatchedRead(self._read, self.state.clock, READ_BATCH_S)

    @classmethod
    def create(cls, state: GatewayState, store: PlatformStore) -> "VersionRecorder":
        """Create a recorder that is told of the changes of a state."""
        backoff = Backoff(state.rng, INITIAL_BACKOFF_S, MAX_BACKOFF_S)
        recorder = cls(state, store, backoff)
        state.version_hold = recorder.hold
        state.on_targets_published = recorder.changed.set
        return recorder

    async def run(self) -> None:
        """Keep the records up to date until cancelled; internal errors are logged."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self.changed.wait()
            self.changed.clear()
            try:
                await self._update_if_due()
            except Exception as error:
                step = "record software versions"
                log(EventNumber.INTERNAL_ERROR, step=step, error=repr(error))
                await asyncio.sleep(self.backoff.next_delay_s())

    async def _update_if_due(self) -> None:
        if self._is_due() and not self.is_broker():
            has_hubs = bool(self.state.member_list.hubs)
            spread_s = RELAXED_UPDATE_SPREAD_S if has_hubs else UPDATE_SPREAD_S
            await asyncio.sleep(self.state.rng.uniform(0.0, spread_s))
        while self._is_due():
            if await self._update():
                break
            await asyncio.sleep(self.backoff.next_delay_s())
        self.backoff.reset()

    async def find(self, service: str) -> Result[RecordReading | None, KeyValueFailure]:
        """Read the record of a service; None if it is missing or not readable."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                readings = await self.reads.get()
        except TimeoutError:
            detail = f"no response for {READ_TIMEOUT_S} s"
            failure = KeyValueFailure(
                FailureKind.AMBIGUOUS, "read", self.store.address, detail
            )
            return Err(failure)
        return readings.map(lambda records: records.get(service))

    async def _read(self) -> _Records:
        result = await self.store.read_prefix(VERSIONS_PREFIX)
        if isinstance(result, Err):
            return result
        era = result.ok_value.revision.era
        records = {
            item.key.removeprefix(VERSIONS_PREFIX): _decode(item)
            for item in result.ok_value.items
        }
        return Ok(
            {
                service: RecordReading(record, record.is_valid(era))
                for service, record in records.items()
                if record is not None
            }
        )

    def is_broker(self) -> bool:
        """Whether placement requests go to this member's broker."""
        now, state = self.state.clock(), self.state
        broker = state.member_list.broker(now, state.heartbeat_head())
        return broker == state.member_id.node

    def _is_due(self) -> bool:
        """Whether a record may have to change; where there are hubs, they keep them.

        Another member needs the records once it is a broker, so once it is a hub.
        """
        if self.state.member_list.is_follower or not self.state.in_sync:
            return False
        return any(map(self._is_service_due, self.hold.services))

    def _is_service_due(self, service: str) -> bool:
        present = self.state.version_history.present.get(service, set())
        if not {(service, version) for version in present} <= self.hold.recorded:
            return True
        known = self.known.get(service)
        return known is not None and self._wanted(service, known) != known.record

    async def _update(self) -> bool:
        """Read the records and write those that have changed; False if one failed."""
        result = await self.store.read_prefix(VERSIONS_PREFIX)
        if isinstance(result, Err):
            return False
        if result.ok_value.revision.era != self.state.store_eras.current:
            return False
        items = {
            item.key.removeprefix(VERSIONS_PREFIX): item
            for item in result.ok_value.items
        }
        for service in sorted(self.hold.services):
            item = items.get(service)
            has_served = service in self.state.version_history.present
            if (item is not None or has_served) and not (
                await self._update_service(service, item)
            ):
                return False
        return True

    async def _update_service(self, service: str, item: StoreItem | None) -> bool:
        clock = self.state.clock
        known = self.known.setdefault(service, _KnownRecord())
        revision = 0 if item is None else item.revision
        known.update(None if item is None else _decode(item), revision, clock())
        wanted = self._wanted(service, known)
        if wanted != known.record:
            key = VERSIONS_PREFIX + service
            data = encode_version_record(wanted)
            written = await self.store.write_if(key, data, revision)
            if isinstance(written, Err):
                return False
            known.update(wanted, written.ok_value, clock())
            log(
                EventNumber.VERSIONS_RECORDED,
                service=service,
                versions=", ".join(sorted(wanted.versions)),
                retiring=", ".join(sorted(wanted.retiring)),
                complete=wanted.is_complete,
                era=wanted.era,
            )
        if wanted.era != self.state.store_eras.current:
            return False
        if self.hold.confirm(service, wanted.versions):
            self.state.publish_targets()
        return True

    def _wanted(self, service: str, known: _KnownRecord) -> VersionRecord:
        now = self.state.clock()
        history = self.state.version_history
        resume_window_s = self.state.stream_origins.ttl_s
        known_for_s = now - known.era_since_s
        complete_for_s = history.complete_for_s(now)
        if self.state.store_eras.restores:
            # The restore may have undone changes before they were seen.
            complete_for_s = min(complete_for_s, known_for_s)
        versions = ServiceVersions(
            present=frozenset(history.present.get(service, ())),
            recent=frozenset(history.versions_within(service, resume_window_s, now)),
            complete_for_s=complete_for_s,
            known_for_s=known_for_s,
            unchanged_for_s=now - known.write_since_s,
        )
        era = self.state.store_eras.current
        window_s = max(MIN_WINDOW_S, resume_window_s)
        return updated_record(known.record, era, versions, window_s)


def _decode(item: StoreItem) -> VersionRecord | None:
    """Decode a record; logs an invalid one and returns None."""
    try:
        return decode_version_record(item.value or b"")
    except VersionRecordError as error:
        log(EventNumber.VERSIONS_UNREADABLE, key=item.key, detail=str(error))
        return None
