"""Keeps what this process knows in step with the platform's store."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from result import Err, Ok

from burdockhaven_core.key_value_failure import FailureKind, KeyValueFailure
from burdockhaven_entry.call_limits import Backoff
from burdockhaven_entry.platform import (
    ChangeBatch,
    Item,
    PlatformStore,
)

# Longest delay before the first try after a failure in seconds; the delay is random.
RETRY_FIRST_S = 0.15
# Seconds of failures in a row after which the store counts as away. A single connection
# that is reset is no outage: entries that are removed then are gone.
AWAY_AFTER_S = 0.6
# Seconds that the lease of a member's own entry lasts, and between renewals.
LEASE_S = 12.0
RENEW_S = 4.0
# Seconds between two tries to register.
REGISTER_RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class WatchPace:
    """How often a prefix is watched; each watch is a call that is paid for."""

    # Seconds that a watch waits. A connection that has gone silent is noticed after
    # this and the store's allowance; until then the hellos of other members tell of new
    # configurations and of targets that leave.
    wait_s: float = 3.0
    # Seconds between a change and the next watch, so that one call brings several.
    pause_s: float = 0.0
    # Longest delay before a try after a failure in seconds; refused calls are paid for
    # too. Lapsed targets have to be read within two seconds of a return.
    retry_max_s: float = 0.6


@dataclass(frozen=True, slots=True)
class StoreFeed:
    """What to do with the keys of one prefix."""

    prefix: str
    # Told all keys of the prefix.
    on_all: Callable[[tuple[Item, ...]], None]
    # Told one change.
    on_change: Callable[[Item], None]
    # Told the length of an outage in seconds, before the keys are read again.
    on_return: Callable[[float], None]
    # Told the failure that begins an outage.
    on_failure: Callable[[KeyValueFailure], None]
    # How to watch now.
    pace: Callable[[], WatchPace] = WatchPace


class Follower:
    """Follows one prefix: reads it, then watches it."""

    def __init__(
        self,
        store: PlatformStore,
        feed: StoreFeed,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.store = store
        self.feed = feed
        self.clock = clock
        # The revision up to which changes are known; None before the first read.
        self.revision: int | None = None
        # Monotonic time of the last success; None before the first.
        self.success_s: float | None = None
        # When the failures began; None while calls succeed.
        self.failed_since_s: float | None = None
        self.failing = False
        self.backoff = Backoff(rng, RETRY_FIRST_S)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self.revision is None:
                await self._read()
            else:
                await self._watch(self.revision)

    async def _read(self) -> None:
        found = await self.store.read_prefix(self.feed.prefix)
        if isinstance(found, Err):
            await self._failed(found.err_value)
            return
        self._succeeded()
        self.feed.on_all(found.ok_value.items)
        self.revision = found.ok_value.revision

    async def _watch(self, after: int) -> None:
        pace = self.feed.pace()
        found = await self.store.watch(self.feed.prefix, after, pace.wait_s)
        if isinstance(found, Ok):
            self._succeeded()
            self._apply(found.ok_value)
            if found.ok_value.items and pace.pause_s:
                await asyncio.sleep(pace.pause_s)
            return
        failure = found.err_value
        if failure.kind is FailureKind.HISTORY_LOST:
            self.revision = None
            return
        await self._failed(failure)
        if self.failing:
            # What was missed is read whole: removals during an outage need it.
            self.revision = None

    def _apply(self, batch: ChangeBatch) -> None:
        for item in batch.items:
            self.feed.on_change(item)
        if self.revision is not None:
            self.revision = max(self.revision, batch.revision)

    def _succeeded(self) -> None:
        now = self.clock()
        if self.failing:
            self.failing = False
            self.feed.on_return(0.0 if self.success_s is None else now - self.success_s)
        self.success_s = now
        self.failed_since_s = None
        self.backoff.reset()

    async def _failed(self, failure: KeyValueFailure) -> None:
        now = self.clock()
        if self.failed_since_s is None:
            self.failed_since_s = now
        if not self.failing and now - self.failed_since_s > AWAY_AFTER_S:
            self.failing = True
            self.feed.on_failure(failure)
        self.backoff.max_s = self.feed.pace().retry_max_s
        await asyncio.sleep(self.backoff.next_delay_s())


async def stay_registered(
    store: PlatformStore,
    key: str,
    value: bytes,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> None:
    """Hold an entry in the store under a lease until cancelled."""
    while True:
        granted = await store.grant_lease(LEASE_S)
        if isinstance(granted, Err):
            await sleep(REGISTER_RETRY_S)
            continue
        lease = granted.ok_value
        written = await store.put(key, value, lease)
        if isinstance(written, Err):
            await sleep(REGISTER_RETRY_S)
            continue
        await _keep(store, lease, sleep)


async def _keep(
    store: PlatformStore, lease: int, sleep: Callable[[float], Awaitable[None]]
) -> None:
    """Renew a lease until it has ended."""
    while True:
        await sleep(RENEW_S)
        kept = await store.keep_lease(lease)
        if isinstance(kept, Err) and (kept.err_value.kind is FailureKind.LEASE_ENDED):
            return
