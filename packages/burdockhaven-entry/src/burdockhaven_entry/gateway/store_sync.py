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
    PlatformStore,
    StoreItem,
)

# Longest delay before the first try after a failure in seconds; the delay is random.
INITIAL_BACKOFF_S = 0.15
# Seconds of failures in a row after which the store counts as away. A single connection
# that is reset is no outage: entries that are removed then are gone.
OUTAGE_AFTER_S = 0.6
# Seconds that the lease of a member's own entry lasts, and between renewals.
LEASE_TTL_S = 12.0
LEASE_RENEWAL_INTERVAL_S = 4.0
# Seconds between two tries to register.
REGISTRATION_RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class WatchTiming:
    """How often a prefix is watched; each watch is a call that is paid for."""

    # Seconds that a watch waits. A connection that has gone silent is noticed after
    # this and the store's allowance; until then the hellos of other members tell of new
    # configurations and of targets that leave.
    wait_s: float = 3.0
    # Seconds between a change and the next watch, so that one call brings several.
    batch_delay_s: float = 0.0
    # Longest delay before a try after a failure in seconds; refused calls are paid for
    # too. Lapsed targets have to be read within two seconds of a return.
    max_backoff_s: float = 0.6


@dataclass(frozen=True, slots=True)
class PrefixHandlers:
    """What to do with the keys of one prefix."""

    prefix: str
    # Told all keys of the prefix.
    on_snapshot: Callable[[tuple[StoreItem, ...]], None]
    # Told one change.
    on_change: Callable[[StoreItem], None]
    # Told the length of an outage in seconds, before the keys are read again.
    on_recovered: Callable[[float], None]
    # Told the failure that begins an outage.
    on_outage: Callable[[KeyValueFailure], None]
    # How to watch now.
    timing: Callable[[], WatchTiming] = WatchTiming


class PrefixWatcher:
    """Follows one prefix: reads it, then watches it."""

    def __init__(
        self,
        store: PlatformStore,
        handlers: PrefixHandlers,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.store = store
        self.handlers = handlers
        self.clock = clock
        # The revision up to which changes are known; None before the first read.
        self.revision: int | None = None
        # Monotonic time of the last success; None before the first.
        self.last_success_s: float | None = None
        # When the failures began; None while calls succeed.
        self.failing_since_s: float | None = None
        self.in_outage = False
        self.backoff = Backoff(rng, INITIAL_BACKOFF_S)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self.revision is None:
                await self._read()
            else:
                await self._watch(self.revision)

    async def _read(self) -> None:
        result = await self.store.read_prefix(self.handlers.prefix)
        if isinstance(result, Err):
            await self._record_failure(result.err_value)
            return
        self._record_success()
        self.handlers.on_snapshot(result.ok_value.items)
        self.revision = result.ok_value.revision

    async def _watch(self, after: int) -> None:
        timing = self.handlers.timing()
        result = await self.store.watch(self.handlers.prefix, after, timing.wait_s)
        if isinstance(result, Ok):
            self._record_success()
            self._apply(result.ok_value)
            if result.ok_value.items and timing.batch_delay_s:
                await asyncio.sleep(timing.batch_delay_s)
            return
        failure = result.err_value
        if failure.kind is FailureKind.HISTORY_LOST:
            self.revision = None
            return
        await self._record_failure(failure)
        if self.in_outage:
            # What was missed is read whole: removals during an outage need it.
            self.revision = None

    def _apply(self, batch: ChangeBatch) -> None:
        for item in batch.items:
            self.handlers.on_change(item)
        if self.revision is not None:
            self.revision = max(self.revision, batch.revision)

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
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> None:
    """Hold an entry in the store under a lease until cancelled."""
    while True:
        granted = await store.grant_lease(LEASE_TTL_S)
        if isinstance(granted, Err):
            await sleep(REGISTRATION_RETRY_S)
            continue
        lease = granted.ok_value
        written = await store.put(key, value, lease)
        if isinstance(written, Err):
            await sleep(REGISTRATION_RETRY_S)
            continue
        await _renew_until_ended(store, lease, sleep)


async def _renew_until_ended(
    store: PlatformStore, lease: int, sleep: Callable[[float], Awaitable[None]]
) -> None:
    """Renew a lease until it has ended."""
    while True:
        await sleep(LEASE_RENEWAL_INTERVAL_S)
        renewed = await store.renew_lease(lease)
        if isinstance(renewed, Err) and (
            renewed.err_value.kind is FailureKind.LEASE_ENDED
        ):
            return
