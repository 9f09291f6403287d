"""Schedules the recipients of heartbeats.

A tick is one heartbeat interval. `member_list.py` describes the hubs.
"""

import math
from dataclasses import dataclass

from burdockhaven_core.scheduling.member_list import (
    SPARSE_ROUND_MEMBERS,
    MemberList,
    MemberView,
)

# Ticks between two heartbeats to a hub or from a hub. At 0.15 s per tick, it takes
# three lost heartbeats before a member times out.
HUB_INTERVAL_TICKS = 2
# Ticks in which a member that is not a hub sends one heartbeat to each other member
# that is not a hub, up to `SPARSE_ROUND_MEMBERS`: four seconds, less than half of their
# timeout.
ROUND_TICKS = 27
# Most heartbeats of one tick to members that are not hubs.
MAX_OTHERS_PER_TICK = SPARSE_ROUND_MEMBERS // ROUND_TICKS


@dataclass(slots=True)
class HeartbeatSchedule:
    """Position of a member in its rounds of heartbeats."""

    ticks: int = 0
    # Index of the next member that is not a hub; may exceed their number.
    round_position: int = 0

    def recipients(self, member_list: MemberList) -> list[MemberView]:
        """Advance by one tick and return the members that get a heartbeat."""
        self.ticks += 1
        views = list(member_list.views.values())
        if not member_list.hubs:
            return views
        is_hub_tick = self.ticks % HUB_INTERVAL_TICKS == 0
        if member_list.member_id.node in member_list.hubs:
            return views if is_hub_tick else []
        hubs = (
            [view for view in views if view.node in member_list.hubs]
            if is_hub_tick
            else []
        )
        return hubs + self._next_others(member_list, views)

    def _next_others(
        self, member_list: MemberList, views: list[MemberView]
    ) -> list[MemberView]:
        others = [view for view in views if view.node not in member_list.hubs]
        if not others:
            return []
        count = min(math.ceil(len(others) / ROUND_TICKS), MAX_OTHERS_PER_TICK)
        start = self.round_position % len(others)
        self.round_position = start + count
        return (others + others)[start : start + count]
