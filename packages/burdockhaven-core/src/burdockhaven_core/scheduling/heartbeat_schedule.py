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

# Ticks between two heartbeats where there are hubs. At 0.15 s per tick, it takes three
# lost heartbeats before a member times out.
HUB_INTERVAL_TICKS = 2
# Ticks in which a member that is not a hub sends one heartbeat to each other member
# that is not a hub, up to `SPARSE_ROUND_MEMBERS`: four seconds, less than half of their
# timeout.
ROUND_TICKS = 27
# Most heartbeats to members that are not hubs, at one time.
MAX_OTHERS = HUB_INTERVAL_TICKS * SPARSE_ROUND_MEMBERS // ROUND_TICKS


@dataclass(slots=True)
class HeartbeatSchedule:
    """Position of a member in its rounds of heartbeats."""

    # Ticks since heartbeats were last due.
    ticks: int = 0
    # Index of the next member that is not a hub; may exceed their number.
    round_position: int = 0

    def advance(self, member_list: MemberList) -> bool:
        """Advance by one tick; return whether heartbeats are due."""
        self.ticks += 1
        if member_list.hubs and self.ticks < HUB_INTERVAL_TICKS:
            return False
        self.ticks = 0
        return True

    def recipients(self, member_list: MemberList) -> list[MemberView]:
        """Return the members that get a heartbeat in a tick in which some are due."""
        views = list(member_list.views.values())
        if not member_list.is_follower:
            return views
        hubs = [view for view in views if view.node in member_list.hubs]
        return hubs + self._next_others(member_list, views)

    def _next_others(
        self, member_list: MemberList, views: list[MemberView]
    ) -> list[MemberView]:
        others = [view for view in views if view.node not in member_list.hubs]
        if not others:
            return []
        in_round = math.ceil(len(others) * HUB_INTERVAL_TICKS / ROUND_TICKS)
        count = min(in_round, MAX_OTHERS)
        start = self.round_position % len(others)
        self.round_position = start + count
        return (others + others)[start : start + count]
