"""`scripts/bench restore`: how fast members recover when the store is restored.

Runs the daemon's watchers, registrations and eras of many members in virtual time
against a store in memory that is away for a moment and returns from an older copy.
Members learn of the new era from their own calls, or from a heartbeat of one that knows
it.
"""

import argparse
import asyncio
import random
import selectors
from collections import Counter
from collections.abc import Coroutine, Iterator
from dataclasses import dataclass, field
from typing import Any, cast

from loguru import logger
from result import Err, Ok, Result

from burdockhaven_core.key_value_failure import FailureKind, KeyValueFailure
from burdockhaven_core.scheduling.member_list import FULL_MESH_MAX_MEMBERS, HUB_COUNT
from burdockhaven_entry.gateway.store_era import RestorePart, StoreEras
from burdockhaven_entry.gateway.store_event_handlers import RELAXED_TARGETS_TIMING
from burdockhaven_entry.gateway.store_sync import (
    PrefixHandlers,
    PrefixWatcher,
    WatchTiming,
    maintain_registration,
)
from burdockhaven_entry.platform import ChangeBatch, PlatformStore, StoreRevision

MEMBER_COUNTS = (9, 68, 300)
# Seconds that the store takes for a call, and for which it is away.
CALL_S = 0.004
AWAY_S = 1.0
# Keys that one page of a read holds.
PAGE_KEYS = 50
# Targets per member, as in the users' large deployments.
TARGETS_PER_MEMBER = 0.8
# Seconds between two heartbeats of a full mesh, and between those to and from a hub.
MESH_INTERVAL_S = 0.15
HUB_INTERVAL_S = 0.3
SETTLE_S = 15.0
OBSERVATION_S = 15.0


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer instead of waiting."""

    def __init__(self) -> None:
        self.virtual_s = 0.0
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.virtual_s


class _JumpingSelector(selectors.DefaultSelector):
    """Selector that advances the clock of its loop by the time it should wait."""

    def __init__(self, loop: VirtualTimeLoop) -> None:
        super().__init__()
        self.loop = loop

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout:
            self.loop.virtual_s += timeout
        return super().select(0)


@dataclass(slots=True)
class RestoredStore:
    """The calls of all members to a store, and the era in which it answers."""

    page_count: int
    era: int = 1
    revision: int = 100
    is_away: bool = False
    # Calls by virtual second.
    calls: Counter[int] = field(default_factory=Counter)

    async def answer(self, calls: int = 1) -> bool:
        """Count calls and wait for their answers; False while the store is away."""
        loop = asyncio.get_running_loop()
        for _ in range(calls):
            self.calls[int(loop.time())] += 1
            await asyncio.sleep(CALL_S)
        return not self.is_away


@dataclass(slots=True)
class MemberStore:
    """One member's client of the store, with the interface of `PlatformStore`."""

    store: RestoredStore
    eras: StoreEras
    next_lease: int = 0

    async def read_prefix(self, prefix: str) -> Result[ChangeBatch, KeyValueFailure]:
        """Read all pages of a prefix."""
        pages = self.store.page_count if prefix == RestorePart.TARGETS.value else 1
        if not await self.store.answer(pages):
            return _away("read")
        return Ok(ChangeBatch((), self._revision()))

    async def watch(
        self, prefix: str, after: StoreRevision, wait_s: float
    ) -> Result[ChangeBatch, KeyValueFailure]:
        """Wait without changes; cut off when the store goes away."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        if not await self.store.answer():
            return _away("watch")
        while loop.time() < end_s:
            await asyncio.sleep(CALL_S)
            if self.store.is_away:
                return _away("watch")
        return Ok(ChangeBatch((), self._revision()))

    async def grant_lease(self, ttl_s: float) -> Result[int, KeyValueFailure]:
        """Grant a lease."""
        if not await self.store.answer():
            return _away("grant lease")
        self._revision()
        self.next_lease += 1
        return Ok(self.next_lease)

    async def put(
        self, key: str, value: bytes, lease: int
    ) -> Result[None, KeyValueFailure]:
        """Write a key."""
        if not await self.store.answer():
            return _away("write")
        self._revision()
        return Ok(None)

    async def renew_lease(self, lease: int) -> Result[None, KeyValueFailure]:
        """Renew a lease."""
        if not await self.store.answer():
            return _away("keep lease")
        self._revision()
        return Ok(None)

    def _revision(self) -> StoreRevision:
        era = self.eras.record_response(self.store.era, "")
        return StoreRevision(era, self.store.revision)


@dataclass(frozen=True, slots=True)
class RestoreFigures:
    """Result of one run."""

    members: int
    # Seconds from the store's return until a member had repeated everything: the
    # median and the slowest one.
    median_s: float
    slowest_s: float
    # Calls of all members in the busiest second after the return, and in a calm one.
    peak_calls_per_s: int
    calm_calls_per_s: float


async def run_restore(members: int, seed: int) -> RestoreFigures:
    """Let the members settle, restore the store and watch them recover."""
    loop = asyncio.get_running_loop()
    rng = random.Random(seed)
    store = RestoredStore(1 + int(TARGETS_PER_MEMBER * members) // PAGE_KEYS)
    all_eras = [StoreEras(loop.time) for _ in range(members)]
    tasks = [
        asyncio.create_task(coroutine)
        for number, eras in enumerate(all_eras)
        for coroutine in _member_tasks(store, eras, number, members, rng)
    ]
    tasks.append(asyncio.create_task(_exchange_eras(all_eras)))
    await asyncio.sleep(SETTLE_S)
    calm = sum(store.calls[s] for s in range(5, int(SETTLE_S))) / (SETTLE_S - 5)
    store.is_away = True
    await asyncio.sleep(AWAY_S)
    store.is_away = False
    store.era += 1
    store.revision -= 50
    returned_s = loop.time()
    done_s = await _completion_times(all_eras, returned_s)
    for task in tasks:
        task.cancel()
    after = range(int(returned_s), int(returned_s) + int(OBSERVATION_S))
    done_s.sort()
    return RestoreFigures(
        members,
        done_s[len(done_s) // 2],
        done_s[-1],
        max(store.calls[second] for second in after),
        calm,
    )


def _member_tasks(
    store: RestoredStore,
    eras: StoreEras,
    number: int,
    members: int,
    rng: random.Random,
) -> Iterator[Coroutine[Any, Any, None]]:
    """Yield what one member runs; the store's client has the same interface."""
    loop = asyncio.get_running_loop()
    client = cast(PlatformStore, MemberStore(store, eras))
    is_relaxed = members > FULL_MESH_MAX_MEMBERS and number >= HUB_COUNT
    timing = RELAXED_TARGETS_TIMING if is_relaxed else WatchTiming()
    member_rng = random.Random(rng.random())
    for part in (RestorePart.CONFIGURATION, RestorePart.TARGETS):
        handlers = PrefixHandlers(
            part.value,
            lambda batch: None,
            lambda item, era: None,
            lambda seconds: None,
            lambda failure: None,
            lambda batch: None,
            part,
            lambda: timing,
        )
        yield PrefixWatcher(client, handlers, eras, loop.time, member_rng).run()
    yield maintain_registration(client, "member", b"", eras, member_rng)


async def _exchange_eras(all_eras: list[StoreEras]) -> None:
    """Pass the highest era on: in a full mesh at once, else by way of the hubs."""
    has_hubs = len(all_eras) > FULL_MESH_MAX_MEMBERS
    while True:
        await asyncio.sleep(HUB_INTERVAL_S if has_hubs else MESH_INTERVAL_S)
        speakers = all_eras[:HUB_COUNT] if has_hubs else all_eras
        heard = max(eras.current for eras in speakers)
        highest = max(eras.current for eras in all_eras)
        for eras in all_eras:
            eras.observe(heard, "member")
        for eras in speakers:
            eras.observe(highest, "member")


async def _completion_times(
    all_eras: list[StoreEras], returned_s: float
) -> list[float]:
    loop = asyncio.get_running_loop()
    done_s: dict[int, float] = {}
    while len(done_s) < len(all_eras) and loop.time() < returned_s + OBSERVATION_S:
        await asyncio.sleep(0.01)
        for number, eras in enumerate(all_eras):
            if number not in done_s and eras.restores and not eras.pending:
                done_s[number] = loop.time() - returned_s
    unfinished = len(all_eras) - len(done_s)
    return [*done_s.values(), *[OBSERVATION_S] * unfinished]


def _away(step: str) -> Err[KeyValueFailure]:
    return Err(KeyValueFailure(FailureKind.NOT_DONE, step, "store", "away"))


def run_in_virtual_time(members: int, seed: int) -> RestoreFigures:
    """Run one restore on an event loop of its own."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(run_restore(members, seed))


def main() -> None:
    """Print one row for each number of members."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", type=int, nargs="+", default=MEMBER_COUNTS)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    logger.remove()
    print("members  median s  slowest s  peak calls/s  calm calls/s")
    for members in options.members:
        figures = run_in_virtual_time(members, options.seed)
        print(
            f"{figures.members:7d}  {figures.median_s:8.2f}  {figures.slowest_s:9.2f}"
            f"  {figures.peak_calls_per_s:12d}  {figures.calm_calls_per_s:12.1f}"
        )


if __name__ == "__main__":
    main()
