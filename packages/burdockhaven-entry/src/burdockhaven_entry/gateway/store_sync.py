"""List-watch synchronization of key prefixes with the platform's store.

A watcher reads all keys of its prefix and then watches for changes from the revision of
that read. After an outage, if the store no longer has the history or was restored from
a copy, it reads all keys again. While other members tell it of changes, it doesn't
watch but reads what they announce. The module also maintains this member's own leased
entry.
"""

import asyncio
import enum
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from burdockhaven_core.key_value_failure import FailureKind, KeyValueFailure
from burdockhaven_entry.call_limits import Backoff
from burdockhaven_entry.gateway.store_era import RestorePart, StoreEras
from burdockhaven_entry.platform import (
    ChangeBatch,
    PlatformStore,
    StoreItem,
    StoreRevision,
)

# Upper bound in seconds of the random delay before the first retry after a failure.
INITIAL_BACKOFF_S = 0.15
# Seconds of consecutive failures after which an outage is assumed. A single reset
# connection is not an outage: entries missing after it have really been removed.
OUTAGE_AFTER_S = 0.6
# Seconds that the lease on this member's entry lasts, and between its renewals.
LEASE_TTL_S = 12.0
LEASE_RENEWAL_INTERVAL_S = 4.0
# Seconds between two attempts to register.
REGISTRATION_RETRY_S = 0.5
# Seconds over which the members spread their reads and their registrations after the
# store was restored.
RESTORE_READ_SPREAD_S = 0.3
RESTORE_REGISTRATION_SPREAD_S = 1.0
# Seconds between two checks of what other members announce.
ANNOUNCEMENT_CHECK_S = 0.25
# Number of keys up to which all are read from a copy to learn of a change; beyond it,
# that costs more than the call that it saves.
MAX_COPIED_KEYS = 200
# Lower bound of the random wait of a watch, as a fraction of the longest.
MIN_WAIT_FRACTION = 0.6
# Wait of a watch that only fetches past changes; the store takes no shorter one.
CATCH_UP_WAIT_S = 0.001


class Announcement(enum.Enum):
    """What other members tell of the changes of a prefix."""

    # They tell nothing: this member has to watch the prefix.
    NONE = "none"
    # They have lost the store; changes during their outage are unknown.
    OUTAGE = "outage"
    # This member knows all changes that they know.
    CURRENT = "current"
    # There are changes that this member has not read.
    BEHIND = "behind"


def no_announcement(known: StoreRevision) -> Announcement:
    """Tell of no changes, so that a watcher always watches."""
    return Announcement.NONE


@dataclass(frozen=True, slots=True)
class WatchTiming:
    """Timing of the watches; the platform bills each watch as a call."""

    # Most seconds that a watch waits for a change. A silent connection is detected
    # after this time plus the store client's margin. All members' connections may go
    # silent at once, and a change has to be in force three seconds after that.
    wait_s: float = 1.6
    # Seconds between a change and the next watch, so that one call returns several
    # changes.
    batch_delay_s: float = 0.0
    # Maximum backoff in seconds after a failure; refused calls are billed, too. Targets
    # whose entries expired in an outage have to be read within two seconds of its end.
    max_backoff_s: float = 0.6
    # Seconds over which the members spread their reads of an announced change.
    catch_up_spread_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PrefixHandlers:
    """Callbacks for the keys of one prefix."""

    prefix: str
    # Receives all keys of the prefix.
    on_snapshot: Callable[[ChangeBatch], None]
    # Receives one change and the era of the store in which it was made.
    on_change: Callable[[StoreItem, int], None]
    # Receives the length of an outage in seconds, before the keys are read again.
    on_recovered: Callable[[float], None]
    # Receives the failure with which an outage begins.
    on_outage: Callable[[KeyValueFailure], None]
    # Receives all keys of the prefix as of a restored copy of the store.
    on_restored: Callable[[ChangeBatch], None]
    # What this prefix is to the eras of the store.
    part: RestorePart
    # Returns the timing that applies now.
    timing: Callable[[], WatchTiming] = WatchTiming
    # Tells whether other members know of changes after a revision.
    announcement: Callable[[StoreRevision], Announcement] = no_announcement
    # Receives the revision of each change of the prefix, and of each read.
    on_revision: Callable[[StoreRevision], None] = lambda revision: None
    # Called when the store has shown that all changes so far are known.
    on_confirmed: Callable[[], None] = lambda: None


class PrefixWatcher:
    """Reads all keys of one prefix, then watches it for changes."""

    def __init__(
        self,
        store: PlatformStore,
        handlers: PrefixHandlers,
        eras: StoreEras,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.store = store
        self.handlers = handlers
        self.eras = eras
        self.clock = clock
        self.rng = rng
        # Store revision up to which changes were received; None before the first read
        # and while all keys have to be read again.
        self.revision: StoreRevision | None = None
        # Number of keys at the last read of all.
        self.key_count = 0
        # Era of the last read; None before the first.
        self.read_era: int | None = None
        # Monotonic time of the last success; None before the first.
        self.last_success_s: float | None = None
        # Monotonic time of the first consecutive failure; None while calls succeed.
        self.failing_since_s: float | None = None
        self.in_outage = False
        # Whether other members told this one of changes, so that it did not watch.
        self.is_following = False
        self.backoff = Backoff(rng, INITIAL_BACKOFF_S)

    async def run(self) -> None:
        """Read and watch until cancelled."""
        while True:
            if self.revision is None or self.revision.era != self.eras.current:
                await self._read()
                continue
            announcement = self.handlers.announcement(self.revision)
            if announcement is Announcement.OUTAGE and self.is_following:
                self._adopt_outage()
            elif announcement in (Announcement.NONE, Announcement.OUTAGE):
                self.is_following = False
                await self._watch(self.revision)
            else:
                self.is_following = True
                await self._follow(self.revision, announcement)

    def _adopt_outage(self) -> None:
        """Begin the outage that other members report, with a full read at its end.

        Entries may have expired during it, which shows only in a full read.
        """
        self.is_following = False
        self.revision = None
        if not self.in_outage:
            self.in_outage = True
            detail = "the members that watch it are out of sync"
            self.handlers.on_outage(
                KeyValueFailure(FailureKind.NOT_DONE, "follow", "store", detail)
            )

    async def _follow(self, known: StoreRevision, announcement: Announcement) -> None:
        """Read the changes that other members announce; otherwise wait for some."""
        if announcement is Announcement.CURRENT:
            self.last_success_s = self.clock()
            await asyncio.sleep(ANNOUNCEMENT_CHECK_S)
            return
        spread_s = self.handlers.timing().catch_up_spread_s
        await asyncio.sleep(self.rng.random() * spread_s)
        if self.key_count <= MAX_COPIED_KEYS and await self._read_copy(known):
            return
        await asyncio.sleep(spread_s)
        await self._fetch_changes(self.revision or known, CATCH_UP_WAIT_S)
        revision = self.revision
        if revision and self.handlers.announcement(revision) is Announcement.BEHIND:
            # The store does not have what was announced; other members may send it.
            await asyncio.sleep(self.handlers.timing().max_backoff_s)

    async def _read_copy(self, known: StoreRevision) -> bool:
        """Read all keys from a copy that may be old; False if it is not current.

        The platform bills a tenth of a call for it.
        """
        prefix = self.handlers.prefix
        result = await self.store.read_prefix(prefix, may_be_stale=True)
        if isinstance(result, Err):
            # The watch that follows tells whether the store has failed.
            return False
        revision = result.ok_value.revision
        if (
            revision.era != known.era
            or revision.era != self.eras.current
            or revision.number <= known.number
        ):
            return False
        self._record_success()
        self.handlers.on_snapshot(result.ok_value)
        self.key_count = len(result.ok_value.items)
        self._advance(revision)
        return self.handlers.announcement(revision) is not Announcement.BEHIND

    async def _read(self) -> None:
        if self.read_era is not None and self.read_era != self.eras.current:
            await asyncio.sleep(self.rng.random() * RESTORE_READ_SPREAD_S)
        result = await self.store.read_prefix(self.handlers.prefix)
        if isinstance(result, Err):
            await self._record_failure(result.err_value)
            return
        revision = result.ok_value.revision
        if revision.era < self.eras.current:
            # Sent before the store was restored.
            await asyncio.sleep(self.backoff.next_delay_s())
            return
        self._record_success()
        if self.read_era is None or self.read_era == revision.era:
            self.handlers.on_snapshot(result.ok_value)
        else:
            self.handlers.on_restored(result.ok_value)
        self.key_count = len(result.ok_value.items)
        self._advance(revision)
        self.handlers.on_confirmed()
        self.read_era = revision.era
        self.eras.mark_done(self.handlers.part, revision.era)

    def _advance(self, revision: StoreRevision) -> None:
        self.revision = revision
        self.handlers.on_revision(revision)

    async def _watch(self, after: StoreRevision) -> None:
        """Wait for changes after a revision, then for more that belong together."""
        timing = self.handlers.timing()
        # The watches of all members begin together at each change. They end one by one,
        # so that the first to notice a silent connection tells the others.
        wait_s = timing.wait_s * self.rng.uniform(MIN_WAIT_FRACTION, 1.0)
        has_changes = await self._fetch_changes(after, wait_s)
        if has_changes and timing.batch_delay_s:
            await asyncio.sleep(timing.batch_delay_s)

    async def _fetch_changes(self, after: StoreRevision, wait_s: float) -> bool:
        """Apply the changes after a revision; returns whether there were any."""
        result = await self._watch_within_era(after, wait_s)
        if result is None:
            return False
        if isinstance(result, Ok):
            if result.ok_value.revision.era != after.era:
                # Sent before the store was restored, or after it; not to be repeated
                # without a pause.
                await asyncio.sleep(self.backoff.next_delay_s())
                return False
            self._record_success()
            self._apply(result.ok_value)
            self.handlers.on_confirmed()
            return bool(result.ok_value.items)
        failure = result.err_value
        if failure.kind is FailureKind.HISTORY_LOST:
            self.revision = None
            return False
        await self._record_failure(failure)
        if self.in_outage:
            # Read all keys again; removals during an outage show only in a full read.
            self.revision = None
        return False

    async def _watch_within_era(
        self, after: StoreRevision, wait_s: float
    ) -> Result[ChangeBatch, KeyValueFailure] | None:
        """Return the result of a watch; None if the store was restored meanwhile."""
        watch = asyncio.ensure_future(
            self.store.watch(self.handlers.prefix, after, wait_s)
        )
        restored = asyncio.ensure_future(self.eras.wait_beyond(after.era))
        try:
            await asyncio.wait({watch, restored}, return_when=asyncio.FIRST_COMPLETED)
            return None if restored.done() else watch.result()
        finally:
            watch.cancel()
            restored.cancel()

    def _apply(self, batch: ChangeBatch) -> None:
        for item in batch.items:
            self.handlers.on_change(item, batch.revision.era)
        if self.revision is not None:
            self.revision = self.revision.latest(batch.revision)
            if batch.items:
                self.handlers.on_revision(self.revision)

    def _record_success(self) -> None:
        now = self.clock()
        if self.in_outage:
            self.in_outage = False
            self.handlers.on_recovered(
                0.0 if self.last_success_s is None else now - self.last_success_s
            )
        self.last_success_s = now
        self.failing_since_s = None
        self.backoff.reset()

    async def _record_failure(self, failure: KeyValueFailure) -> None:
        now = self.clock()
        if self.failing_since_s is None:
            self.failing_since_s = now
        if not self.in_outage and now - self.failing_since_s > OUTAGE_AFTER_S:
            self.in_outage = True
            self.handlers.on_outage(failure)
        self.backoff.max_s = self.handlers.timing().max_backoff_s
        await asyncio.sleep(self.backoff.next_delay_s())


async def maintain_registration(
    store: PlatformStore,
    key: str,
    value: bytes,
    eras: StoreEras,
    rng: random.Random,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    on_registered: Callable[[], None] = lambda: None,
    lease_clock: Callable[[], float] = lambda: 0.0,
    on_lease: Callable[[int, float], None] = lambda lease, until_s: None,
) -> None:
    """Maintain an entry in the store under a lease until cancelled.

    `on_registered` is called each time that the entry was written, `on_lease` also at
    each renewal, with the lease and the time on `lease_clock` until which it lasts.
    """
    while True:
        era = eras.current
        granted_s = lease_clock()
        granted = await store.grant_lease(LEASE_TTL_S)
        if isinstance(granted, Err):
            await sleep(REGISTRATION_RETRY_S)
            continue
        lease = granted.ok_value
        written = await store.put(key, value, lease)
        if isinstance(written, Err):
            await sleep(REGISTRATION_RETRY_S)
            continue
        eras.mark_done(RestorePart.REGISTRATION, era)
        on_lease(lease, granted_s + LEASE_TTL_S)
        on_registered()

        def on_renewal(sent_s: float, lease: int = lease) -> None:
            on_lease(lease, sent_s + LEASE_TTL_S)

        await _renew_until_ended(
            store, lease, eras, era, sleep, lease_clock, on_renewal
        )
        if eras.current != era:
            await sleep(rng.random() * RESTORE_REGISTRATION_SPREAD_S)


async def _renew_until_ended(
    store: PlatformStore,
    lease: int,
    eras: StoreEras,
    era: int,
    sleep: Callable[[float], Awaitable[None]],
    lease_clock: Callable[[], float],
    on_renewal: Callable[[float], None],
) -> None:
    """Renew a lease until the store reports that it has ended, or is restored.

    `on_renewal` receives the time at which the call was sent.
    """
    restored = asyncio.ensure_future(eras.wait_beyond(era))
    try:
        while True:
            due = asyncio.ensure_future(sleep(LEASE_RENEWAL_INTERVAL_S))
            await asyncio.wait({due, restored}, return_when=asyncio.FIRST_COMPLETED)
            due.cancel()
            if restored.done():
                return
            sent_s = lease_clock()
            renewed = await store.renew_lease(lease)
            if isinstance(renewed, Ok):
                on_renewal(sent_s)
            elif renewed.err_value.kind is FailureKind.LEASE_ENDED:
                return
    finally:
        restored.cancel()
