"""Eras of the platform's store: notices when it was restored from an older copy.

Each restore starts a new era. The store has then lost its latest changes and hands out
their revisions again, so whatever is known by a revision has to be read again, and what
this process wrote has to be written again.
"""

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass, field

from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_entry.log_events import log

# Era that is assumed until a response states one.
UNKNOWN_ERA = 0


class RestorePart(enum.Enum):
    """What has to be repeated in a new era."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"
    REGISTRATION = "registration"


@dataclass(slots=True)
class StoreEras:
    """The highest era that this process or another member has seen."""

    # Returns monotonic seconds.
    clock: Callable[[], float]
    current: int = UNKNOWN_ERA
    # Number of restores seen since the start.
    restores: int = 0
    # Parts that are not repeated yet in the current era, and when it was noticed.
    pending: set[RestorePart] = field(default_factory=set)
    noticed_s: float = 0.0
    has_logged_unreadable: bool = False
    is_known: bool = False
    waiters: set[asyncio.Future[None]] = field(default_factory=set)

    def record_response(self, era: int | None, text: str) -> int:
        """Record the era of a response of the store and return it.

        A response without a readable era, given as None, counts as one of the current
        era; `text` is what was received.
        """
        if era is not None:
            self.observe(era, "store")
            return era
        if not self.has_logged_unreadable:
            self.has_logged_unreadable = True
            log(EventNumber.STORE_ERA_UNREADABLE, value=text or "nothing")
        return self.current

    def observe(self, era: int, source: str) -> None:
        """Record an era that the store or a member, named by the source, states."""
        if not self.is_known:
            self.is_known = True
            self.current = era
        elif era > self.current:
            self._begin(era, source)

    def mark_done(self, part: RestorePart, era: int) -> None:
        """Record that a part was repeated; the last one of an era is logged."""
        if era != self.current or part not in self.pending:
            return
        self.pending.remove(part)
        if not self.pending:
            seconds = round(self.clock() - self.noticed_s, 2)
            log(EventNumber.STORE_RESTORED, era=era, seconds=seconds)

    async def wait_beyond(self, era: int) -> None:
        """Wait until the current era is higher than this one."""
        while self.current <= era:
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.waiters.add(waiter)
            try:
                await waiter
            finally:
                self.waiters.discard(waiter)

    def _begin(self, era: int, source: str) -> None:
        old, self.current = self.current, era
        self.restores += 1
        self.pending = set(RestorePart)
        self.noticed_s = self.clock()
        log(EventNumber.STORE_ERA_RAISED, old=old, new=era, source=source)
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
