"""Whom a member greets at each beat."""

import math
from dataclasses import dataclass

from burdockhaven_core.scheduling.roster import MemberView, Roster

# Beats between two greetings of hubs, and by hubs; at 0.15 s a beat it takes three lost
# greetings before a member counts as silent.
HUB_BEATS = 2
# Beats in which members that are no hubs have greeted all others once: four seconds,
# less than half of what they may be silent.
ROUND_BEATS = 27


@dataclass(slots=True)
class Greetings:
    """Where a member is in its rounds."""

    beats: int = 0
    # How many of the others were greeted in the round.
    greeted: int = 0

    def recipients(self, roster: Roster) -> list[MemberView]:
        """The members to greet at this beat."""
        self.beats += 1
        views = list(roster.views.values())
        if not roster.hubs:
            return views
        turn = self.beats % HUB_BEATS == 0
        if roster.member_id.node in roster.hubs:
            return views if turn else []
        hubs = [view for view in views if view.node in roster.hubs] if turn else []
        return hubs + self._next_others(roster, views)

    def _next_others(self, roster: Roster, views: list[MemberView]) -> list[MemberView]:
        others = [view for view in views if view.node not in roster.hubs]
        if not others:
            return []
        count = math.ceil(len(others) / ROUND_BEATS)
        start = self.greeted % len(others)
        self.greeted = start + count
        return (others + others)[start : start + count]
