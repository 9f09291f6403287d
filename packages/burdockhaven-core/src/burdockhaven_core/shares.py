"""Divides the slots of each target between the entries, by demand.

For each group one member, picked by rendezvous hashing, reads what the others want from
their heartbeats and sends each its share at a fixed interval, whatever the number of
requests. Shares are an optimisation: when a share lapses, or two members grant for a
moment, the entries fall back to an even split or fill the targets unevenly, and nothing
else depends on them.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from burdockhaven_core.actions import SendMessage
from burdockhaven_core.identity import GroupName, MemberId, TargetName
from burdockhaven_core.messages import GroupDemand, Heartbeat, ShareGrant
from burdockhaven_core.rendezvous import pick_members
from burdockhaven_core.targets import TargetTable

# Seconds between two grants of a coordinator.
GRANT_INTERVAL_S = 0.5
# Seconds from its receipt after which a grant lapses.
GRANT_LASTS_S = 2.0
# Seconds after which what a member wanted counts no longer.
DEMAND_LASTS_S = 2.0
# Weight of the newest demand in the moving average that smooths it.
DEMAND_WEIGHT = 0.3

Slots = dict[TargetName, int]


@dataclass(frozen=True, slots=True)
class MemberNeed:
    """What one member needs of one group."""

    # Slots needed by tier, the lowest first; a moving average.
    by_tier: tuple[float, ...]
    # Requests under way, by target.
    in_flight: Mapping[TargetName, int]
    heard_s: float
    # Requests queued by tier, the lowest first, as last heard.
    queued: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class _Grant:
    """The slots that this member may fill in one group."""

    slots: Slots
    until_s: float


class Shares:
    """Shares granted to this member, and those that it grants as coordinator."""

    def __init__(self, me: MemberId, targets: TargetTable) -> None:
        self.me = me
        self.targets = targets
        self.members: tuple[MemberId, ...] = (me,)
        self.needs: dict[GroupName, dict[MemberId, MemberNeed]] = {}
        self.grants: dict[GroupName, _Grant] = {}
        self.next_grant_s = 0.0

    @classmethod
    def from_config(cls, me: MemberId, targets: TargetTable) -> "Shares":
        """Shares of a member that knows no other one yet."""
        return cls(me, targets)

    def on_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Take in what another member wants."""
        member = MemberId(heartbeat.entry, heartbeat.incarnation)
        for demand in heartbeat.demand:
            self._note_demand(member, demand, now)

    def on_grant(self, grant: ShareGrant, now: float) -> None:
        """Take in the share that the coordinator gives to this member."""
        self.grants[grant.group] = _Grant(grant.slots, now + grant.lasts_s)

    def limit(self, group: GroupName, target: TargetName, now: float) -> int:
        """Requests that this member may have under way at the target."""
        grant = self.grants.get(group)
        if grant is not None and grant.until_s > now:
            return grant.slots.get(target, 0)
        state = self.targets.states.get(target)
        if state is None:
            return 0
        return math.ceil(state.capacity / len(self.members))

    def queued_elsewhere(self, group: GroupName, tier: int, now: float) -> int:
        """Requests of a tier or higher that other members had queued lately."""
        return sum(
            sum(need.queued[tier:])
            for member, need in self.needs.get(group, {}).items()
            if member != self.me and need.heard_s > now - DEMAND_LASTS_S
        )

    def apply(self, now: float) -> None:
        """Put the limits in force at the targets' states."""
        for group, names in self.targets.groups.items():
            for name in names:
                self.targets.states[name].limit = self.limit(group, name, now)

    def on_tick(
        self,
        members: Sequence[MemberId],
        own_demand: Sequence[GroupDemand],
        now: float,
    ) -> list[SendMessage]:
        """Grant shares of the groups that this member coordinates, when due."""
        if now < self.next_grant_s:
            return []
        self.next_grant_s = now + GRANT_INTERVAL_S
        others = (member for member in members if member != self.me)
        self.members = (self.me, *others)
        for demand in own_demand:
            self._note_demand(self.me, demand, now)
        sends: list[SendMessage] = []
        for demand in own_demand:
            if coordinator(demand.group, self.members) == self.me:
                sends.extend(self._grant(demand.group, now))
        return sends

    def _grant(self, group: GroupName, now: float) -> list[SendMessage]:
        needs = {
            member: need
            for member, need in self.needs.get(group, {}).items()
            if member in self.members and need.heard_s > now - DEMAND_LASTS_S
        }
        capacity = {
            state.spec.name: state.capacity for state in self.targets.of_group(group)
        }
        self.needs[group] = needs
        shares = divide(capacity, needs)
        sends: list[SendMessage] = []
        for member, slots in shares.items():
            if member == self.me:
                self.grants[group] = _Grant(slots, now + GRANT_LASTS_S)
                continue
            grant = ShareGrant(
                self.me.entry, self.me.incarnation, group, slots, GRANT_LASTS_S
            )
            sends.append(SendMessage(member, grant))
        return sends

    def _note_demand(self, member: MemberId, demand: GroupDemand, now: float) -> None:
        by_member = self.needs.setdefault(demand.group, {})
        before = by_member.get(member)
        wanted = _wanted(demand)
        if before is not None:
            wanted = _smoothed(before.by_tier, wanted)
        by_member[member] = MemberNeed(wanted, demand.in_flight, now, demand.queued)


def coordinator(group: GroupName, members: Sequence[MemberId]) -> MemberId:
    """The member that grants shares of the group, by rendezvous hashing."""
    return pick_members(group, members, 1)[0]


def divide(
    capacity: Mapping[TargetName, int], needs: Mapping[MemberId, MemberNeed]
) -> dict[MemberId, Slots]:
    """Slots by member and target, as many at each target as it has."""
    weights = weigh(sum(capacity.values()), needs)
    members = sorted(needs, key=lambda member: (member.entry, member.incarnation))
    owed = dict.fromkeys(members, 0.0)
    shares: dict[MemberId, Slots] = {member: {} for member in members}
    for target, slots in capacity.items():
        wanted = {m: slots * weights[m] + owed[m] for m in members}
        given = _rounded(slots, wanted)
        owed = {m: wanted[m] - given[m] for m in members}
        for member, number in _within_room(target, given, needs).items():
            shares[member][target] = number
    for member in members:
        if capacity and not any(shares[member].values()):
            shares[member][max(capacity, key=lambda name: capacity[name])] = 1
    return shares


def weigh(capacity: int, needs: Mapping[MemberId, MemberNeed]) -> dict[MemberId, float]:
    """Each member's part of the capacity: higher tiers first, then what is left."""
    left = float(capacity)
    slots = dict.fromkeys(needs, 0.0)
    tiers = max((len(need.by_tier) for need in needs.values()), default=0)
    for tier in reversed(range(tiers)):
        wanted = {
            member: need.by_tier[tier] if tier < len(need.by_tier) else 0.0
            for member, need in needs.items()
        }
        total = sum(wanted.values())
        part = min(1.0, left / total) if total > 0 else 0.0
        for member, number in wanted.items():
            slots[member] += number * part
        left -= total * part
    return {
        member: (number + left / len(needs)) / capacity if capacity else 0.0
        for member, number in slots.items()
    }


def _within_room(
    target: TargetName,
    given: Mapping[MemberId, int],
    needs: Mapping[MemberId, MemberNeed],
) -> dict[MemberId, int]:
    """Take from members that have room what others still have beyond their share."""
    over = 0
    room: dict[MemberId, int] = {}
    for member, number in given.items():
        under_way = needs[member].in_flight.get(target, 0)
        over += max(0, under_way - number)
        room[member] = max(0, number - under_way)
    total = sum(room.values())
    if not over or not total:
        return dict(given)
    kept = max(0.0, 1.0 - over / total)
    held = _rounded(round(total * kept), {m: r * kept for m, r in room.items()})
    return {m: given[m] - room[m] + held[m] for m in given}


def _rounded(total: int, wanted: Mapping[MemberId, float]) -> dict[MemberId, int]:
    """Whole numbers near those wanted that sum up to the total."""
    given = {member: max(0, math.floor(number)) for member, number in wanted.items()}
    by_rest = sorted(wanted, key=lambda m: wanted[m] - given[m], reverse=True)
    for member in by_rest[: max(0, total - sum(given.values()))]:
        given[member] += 1
    return given


def _wanted(demand: GroupDemand) -> tuple[float, ...]:
    tiers = max(len(demand.queued), len(demand.running))
    return tuple(
        float(_at(demand.queued, tier) + _at(demand.running, tier))
        for tier in range(tiers)
    )


def _smoothed(before: Sequence[float], newest: Sequence[float]) -> tuple[float, ...]:
    """A moving average that follows a rise at once and a fall slowly."""
    tiers = max(len(before), len(newest))
    smoothed = []
    for tier in range(tiers):
        old = _at(before, tier)
        new = _at(newest, tier)
        smoothed.append(max(new, old + DEMAND_WEIGHT * (new - old)))
    return tuple(smoothed)


def _at(numbers: Sequence[float], index: int) -> float:
    return numbers[index] if index < len(numbers) else 0.0
