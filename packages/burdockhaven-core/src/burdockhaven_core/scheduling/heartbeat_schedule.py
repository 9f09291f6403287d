"""Whom a member greets at each beat."""

import math
from dataclasses import dataclass

from burdockhaven_core.scheduling.member_list import MemberList, MemberView

# Beats between two greetings of hubs, and by hubs; at 0.15 s a beat it takes three lost
# greetings before a member counts as silent.
HUB_INTERVAL_TICKS = 2
# Beats in which members that are no hubs have greeted all others once: four seconds,
# less than half of what they may be silent.
ROUND_TICKS = 27


@dataclass(slots=True)
class HeartbeatSchedule:
    """Where a member is in its rounds."""

    ticks: int = 0
    # How many of the others were greeted in the round.
    round_position: int = 0

    def recipients(self, member_list: MemberList) -> list[MemberView]:
        """The members to greet at this beat."""
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
        count = math.ceil(len(others) / ROUND_TICKS)
        start = self.round_position % len(others)
        self.round_position = start + count
        return (others + others)[start : start + count]
