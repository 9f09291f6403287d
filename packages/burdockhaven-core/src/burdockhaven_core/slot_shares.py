"""Demand-driven division of each target's slots between the entries.

For each group one coordinator, picked by rendezvous hashing, reads the demand of the
members from their heartbeats and grants each member a share of the slots. Grants are
sent at a fixed interval, so their number does not depend on the number of requests.

Shares are an optimisation and safety does not depend on them. When a share expires,
its member falls back to an even split. While two members act as coordinator, targets
may be filled unevenly.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from burdockhaven_core.actions import SendMessage
from burdockhaven_core.identity import GroupName, MemberId, TargetName
from burdockhaven_core.messages import GroupDemand, Heartbeat, ShareGrant
from burdockhaven_core.rendezvous import pick_members
from burdockhaven_core.targets import TargetTable

# Time between two grants of a coordinator.
GRANT_INTERVAL_S = 0.5
# Time from receipt after which a grant expires.
GRANT_DURATION_S = 2.0
# Time after which the last known demand of a member is ignored.
DEMAND_EXPIRY_S = 2.0
# Weight of the newest sample in the EWMA of a falling demand.
DEMAND_EWMA_WEIGHT = 0.3

Slots = dict[TargetName, int]


@dataclass(frozen=True, slots=True)
class MemberDemand:
    """Demand of one member for the slots of one group."""

    # Slots needed by tier, the lowest tier first; smoothed.
    slots_by_tier: tuple[float, ...]
    # Number of requests in flight by target.
    in_flight_by_target: Mapping[TargetName, int]
    received_s: float
    # Number of queued requests by tier, the lowest tier first; not smoothed.
    queued_by_tier: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class _Grant:
    """Slots of one group that this member may fill until the grant expires."""

    slots: Slots
    until_s: float


class SlotShares:
    """Shares granted to this member, and shares that it grants as coordinator."""

    def __init__(self, member_id: MemberId, targets: TargetTable) -> None:
        self.member_id = member_id
        self.targets = targets
        self.members: tuple[MemberId, ...] = (member_id,)
        self.demands: dict[GroupName, dict[MemberId, MemberDemand]] = {}
        self.grants: dict[GroupName, _Grant] = {}
        self.next_grant_s = 0.0

    @classmethod
    def from_config(cls, member_id: MemberId, targets: TargetTable) -> "SlotShares":
        """Create the shares of a member that knows no other member yet."""
        return cls(member_id, targets)

    def on_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Record the demand of another member."""
        member = MemberId(heartbeat.entry, heartbeat.incarnation)
        for demand in heartbeat.demand:
            self._record_demand(member, demand, now)

    def on_grant(self, grant: ShareGrant, now: float) -> None:
        """Apply a share that the coordinator has granted to this member."""
        self.grants[grant.group] = _Grant(grant.slots, now + grant.duration_s)

    def slot_limit(self, group: GroupName, target: TargetName, now: float) -> int:
        """Return how many requests this member may have in flight at the target.

        Without a valid grant this is an even part of the target's capacity.
        """
        grant = self.grants.get(group)
        if grant is not None and grant.until_s > now:
            return grant.slots.get(target, 0)
        state = self.targets.states.get(target)
        if state is None:
            return 0
        return math.ceil(state.capacity / len(self.members))

    def queued_elsewhere(self, group: GroupName, tier: int, now: float) -> int:
        """Return how many requests of the tier or higher other members have queued."""
        return sum(
            sum(demand.queued_by_tier[tier:])
            for member, demand in self.demands.get(group, {}).items()
            if member != self.member_id and demand.received_s > now - DEMAND_EXPIRY_S
        )

    def apply_limits(self, now: float) -> None:
        """Update the in-flight limits of the targets."""
        for group, names in self.targets.groups.items():
            for name in names:
                self.targets.states[name].limit = self.slot_limit(group, name, now)

    def on_tick(
        self,
        members: Sequence[MemberId],
        own_demand: Sequence[GroupDemand],
        now: float,
    ) -> list[SendMessage]:
        """Grant shares of the groups that this member coordinates, if due."""
        if now < self.next_grant_s:
            return []
        self.next_grant_s = now + GRANT_INTERVAL_S
        others = (member for member in members if member != self.member_id)
        self.members = (self.member_id, *others)
        for demand in own_demand:
            self._record_demand(self.member_id, demand, now)
        sends: list[SendMessage] = []
        for demand in own_demand:
            if pick_coordinator(demand.group, self.members) == self.member_id:
                sends.extend(self._grant(demand.group, now))
        return sends

    def _grant(self, group: GroupName, now: float) -> list[SendMessage]:
        demands = {
            member: demand
            for member, demand in self.demands.get(group, {}).items()
            if member in self.members and demand.received_s > now - DEMAND_EXPIRY_S
        }
        capacity = {
            state.spec.name: state.capacity for state in self.targets.of_group(group)
        }
        self.demands[group] = demands
        shares = divide_slots(capacity, demands)
        sends: list[SendMessage] = []
        for member, slots in shares.items():
            if member == self.member_id:
                self.grants[group] = _Grant(slots, now + GRANT_DURATION_S)
                continue
            grant = ShareGrant(
                self.member_id.entry,
                self.member_id.incarnation,
                group,
                slots,
                GRANT_DURATION_S,
            )
            sends.append(SendMessage(member, grant))
        return sends

    def _record_demand(self, member: MemberId, demand: GroupDemand, now: float) -> None:
        by_member = self.demands.setdefault(demand.group, {})
        previous = by_member.get(member)
        wanted = _demand_by_tier(demand)
        if previous is not None:
            wanted = _smooth(previous.slots_by_tier, wanted)
        by_member[member] = MemberDemand(
            wanted, demand.in_flight_by_target, now, demand.queued_by_tier
        )


def pick_coordinator(group: GroupName, members: Sequence[MemberId]) -> MemberId:
    """Pick the member that grants shares of the group, by rendezvous hashing."""
    return pick_members(group, members, 1)[0]


def divide_slots(
    capacity: Mapping[TargetName, int], demands: Mapping[MemberId, MemberDemand]
) -> dict[MemberId, Slots]:
    """Divide the slots of each target between the members by their demand.

    Rounding remainders are carried over from target to target. A member whose slots
    all round down to zero gets one slot at the target with the largest capacity.
    """
    weights = compute_weights(sum(capacity.values()), demands)
    members = sorted(demands, key=lambda member: (member.entry, member.incarnation))
    remainders = dict.fromkeys(members, 0.0)
    shares: dict[MemberId, Slots] = {member: {} for member in members}
    for target, slots in capacity.items():
        wanted = {m: slots * weights[m] + remainders[m] for m in members}
        allotted = _round_to_total(slots, wanted)
        remainders = {m: wanted[m] - allotted[m] for m in members}
        for member, number in _withhold_occupied_slots(
            target, allotted, demands
        ).items():
            shares[member][target] = number
    for member in members:
        if capacity and not any(shares[member].values()):
            shares[member][max(capacity, key=lambda name: capacity[name])] = 1
    return shares


def compute_weights(
    capacity: int, demands: Mapping[MemberId, MemberDemand]
) -> dict[MemberId, float]:
    """Return each member's fraction of the capacity.

    Higher tiers are served first; what remains is divided evenly.
    """
    remaining = float(capacity)
    slots = dict.fromkeys(demands, 0.0)
    tiers = max((len(demand.slots_by_tier) for demand in demands.values()), default=0)
    for tier in reversed(range(tiers)):
        wanted = {
            member: demand.slots_by_tier[tier]
            if tier < len(demand.slots_by_tier)
            else 0.0
            for member, demand in demands.items()
        }
        total = sum(wanted.values())
        fraction = min(1.0, remaining / total) if total > 0 else 0.0
        for member, number in wanted.items():
            slots[member] += number * fraction
        remaining -= total * fraction
    return {
        member: (number + remaining / len(demands)) / capacity if capacity else 0.0
        for member, number in slots.items()
    }


def _withhold_occupied_slots(
    target: TargetName,
    allotted: Mapping[MemberId, int],
    demands: Mapping[MemberId, MemberDemand],
) -> dict[MemberId, int]:
    """Withhold free slots to make up for members that exceed their share.

    Requests that other members have in flight above their share still occupy slots, so
    these slots are taken from the members with free slots.
    """
    excess = 0
    free_slots: dict[MemberId, int] = {}
    for member, number in allotted.items():
        in_flight = demands[member].in_flight_by_target.get(target, 0)
        excess += max(0, in_flight - number)
        free_slots[member] = max(0, number - in_flight)
    total = sum(free_slots.values())
    if not excess or not total:
        return dict(allotted)
    kept_fraction = max(0.0, 1.0 - excess / total)
    retained = _round_to_total(
        round(total * kept_fraction),
        {m: r * kept_fraction for m, r in free_slots.items()},
    )
    return {m: allotted[m] - free_slots[m] + retained[m] for m in allotted}


def _round_to_total(
    total: int, wanted: Mapping[MemberId, float]
) -> dict[MemberId, int]:
    """Round to integers whose sum is the total, by the largest-remainder method."""
    allotted = {member: max(0, math.floor(number)) for member, number in wanted.items()}
    by_fraction = sorted(wanted, key=lambda m: wanted[m] - allotted[m], reverse=True)
    for member in by_fraction[: max(0, total - sum(allotted.values()))]:
        allotted[member] += 1
    return allotted


def _demand_by_tier(demand: GroupDemand) -> tuple[float, ...]:
    tiers = max(len(demand.queued_by_tier), len(demand.in_flight_by_tier))
    return tuple(
        float(
            _get_or_zero(demand.queued_by_tier, tier)
            + _get_or_zero(demand.in_flight_by_tier, tier)
        )
        for tier in range(tiers)
    )


def _smooth(previous: Sequence[float], newest: Sequence[float]) -> tuple[float, ...]:
    """Adopt a rise at once and smooth a fall by an EWMA."""
    tiers = max(len(previous), len(newest))
    smoothed = []
    for tier in range(tiers):
        old = _get_or_zero(previous, tier)
        new = _get_or_zero(newest, tier)
        smoothed.append(max(new, old + DEMAND_EWMA_WEIGHT * (new - old)))
    return tuple(smoothed)


def _get_or_zero(numbers: Sequence[float], index: int) -> float:
    return numbers[index] if index < len(numbers) else 0.0
