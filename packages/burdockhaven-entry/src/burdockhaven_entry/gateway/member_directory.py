"""Reads which members are registered in the store, for as long as the process runs.

Members find each other there: at a start, after a start without the store, and after a
partition that has lasted so long that they know nothing of each other. Each read is a
call that the platform bills, so in calm times only the broker reads, at a low rate: two
brokers that don't know each other are both registered.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err

from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.platform import MEMBERS_PREFIX, PlatformStore, StoreItem

# Delay in seconds before each read after a start. Members that start together find each
# other although the reads may return data that is seconds old.
START_DELAYS_S = (0.0, 0.5, 1.0, 2.0, 4.0)
# Seconds between two checks for whether a read is due.
CHECK_INTERVAL_S = 0.25
# Seconds to the next read after a failed one, and after this member has registered.
RETRY_INTERVAL_S = 1.0
# Seconds between two reads of the broker, whose part of the system may not be all of
# it, and while it doesn't hear all members.
BROKER_INTERVAL_S = 5.0
INCOMPLETE_INTERVAL_S = 1.0
# Seconds between two reads of other members that don't hear a registered one, or none
# for long from one that they know.
OTHER_INTERVAL_S = 10.0


@dataclass(slots=True)
class MemberDirectory:
    """The reads of the registered members by this process."""

    state: GatewayState
    store: PlatformStore
    is_broker: Callable[[], bool]
    # Receives the entries of all registered members.
    on_entries: Callable[[tuple[StoreItem, ...]], None]
    # Whether a read is due because the last one failed or this member has registered.
    is_requested: bool = False
    # Era of the store at the last read; None before the first.
    era: int | None = None
    # Monotonic time of the last read in seconds.
    read_s: float = field(init=False)

    def __post_init__(self) -> None:
        self.read_s = self.state.clock()
        self.state.member_list.awaits_registry = True

    async def run(self) -> None:
        """Read until cancelled."""
        for delay_s in START_DELAYS_S:
            await asyncio.sleep(delay_s)
            await self._read(may_be_stale=True)
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            interval_s = self._interval_s()
            if interval_s is None or self.state.clock() - self.read_s < interval_s:
                continue
            await self._read(may_be_stale=interval_s != INCOMPLETE_INTERVAL_S)

    def request_read(self) -> None:
        """Have the members read again soon: this one may have been alone until now."""
        self.is_requested = True

    def _interval_s(self) -> float | None:
        """Return the seconds from the last read to the next; None if none is due."""
        members, now = self.state.member_list, self.state.clock()
        if self.is_broker():
            if not members.is_complete(now):
                return INCOMPLETE_INTERVAL_S
            return RETRY_INTERVAL_S if self.is_requested else BROKER_INTERVAL_S
        if self.is_requested:
            return RETRY_INTERVAL_S
        if members.unheard or members.has_expired_members(now):
            return OTHER_INTERVAL_S
        return None

    async def _read(self, *, may_be_stale: bool) -> None:
        self.is_requested = False
        result = await self.store.read_prefix(MEMBERS_PREFIX, may_be_stale=may_be_stale)
        # The interval counts from the end, also of a read that takes long.
        self.read_s = self.state.clock()
        member_list = self.state.member_list
        if isinstance(result, Err):
            member_list.record_registry_loss()
            self.is_requested |= member_list.awaits_registry
            return
        era = result.ok_value.revision.era
        if era != self.era:
            # A store that was restored from a copy has lost leases.
            member_list.record_registry_loss()
        self.era = era
        self.on_entries(result.ok_value.items)
