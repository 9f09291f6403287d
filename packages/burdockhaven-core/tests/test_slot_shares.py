"""Division of slots between entries by demand."""

import pytest

from burdockhaven_core.configuration import (
    Configuration,
    GroupKind,
    GroupSpec,
    TargetSpec,
    Template,
)
from burdockhaven_core.identity import EntryName, GroupName, Incarnation, MemberId
from burdockhaven_core.identity import TargetName as Name
from burdockhaven_core.messages import GroupDemand, Heartbeat
from burdockhaven_core.slot_shares import (
    GRANT_DURATION_S,
    GRANT_INTERVAL_S,
    MemberDemand,
    SlotShares,
    divide_slots,
    pick_coordinator,
)
from burdockhaven_core.targets import TargetTable

GROUP = GroupName("g")
A, B, C = (MemberId(EntryName(name), Incarnation("1")) for name in "abc")
MEMBERS = (A, B, C)


def member_demand(by_tier, in_flight=None):
    return MemberDemand(by_tier, in_flight or {}, 0.0)


@pytest.mark.parametrize(
    ("capacity", "demands", "totals"),
    [
        (
            {"t": 12},
            {A: member_demand((0,)), B: member_demand((0,)), C: member_demand((0,))},
            [4, 4, 4],
        ),
        (
            {"t": 12},
            {A: member_demand((9,)), B: member_demand((0,)), C: member_demand((0,))},
            [10, 1, 1],
        ),
        (
            {"t": 12},
            {
                A: member_demand((30, 0)),
                B: member_demand((0, 6)),
                C: member_demand((0, 6)),
            },
            [1, 6, 6],
        ),
        (
            {"t": 12},
            {
                A: member_demand((30, 3)),
                B: member_demand((30, 6)),
                C: member_demand((0, 0)),
            },
            [5, 8, 1],
        ),
        ({"t": 4, "u": 4}, {A: member_demand((3,)), B: member_demand((1,))}, [5, 3]),
    ],
)
def test_higher_tiers_take_precedence_and_every_member_gets_a_slot(
    capacity, demands, totals
):
    shares = divide_slots({Name(t): n for t, n in capacity.items()}, demands)
    given = [sum(shares[member].values()) for member in sorted(demands, key=str)]
    assert all(abs(g - t) <= 1 for g, t in zip(given, totals, strict=True))
    assert min(given) >= 1
    assert sum(given) <= sum(capacity.values()) + len(demands) - 1


def test_occupied_slots_are_not_granted_again():
    demands = {A: member_demand((0,), {Name("t"): 6}), B: member_demand((8,))}
    shares = divide_slots({Name("t"): 8}, demands)
    # A gets the minimum of one slot, although it has more requests in flight.
    assert shares == {A: {Name("t"): 1}, B: {Name("t"): 2}}


def make_target_table(slots=8):
    target = TargetSpec(Name("t"), "http://127.0.0.1:1", "z1", slots)
    group = GroupSpec(GROUP, GroupKind.MODEL, (target,))
    targets = TargetTable()
    targets.apply(Configuration(1, {"s": Template("s", (group,), ())}))
    return targets


def heartbeat(member, queued):
    demand = (GroupDemand(GROUP, queued, {}),)
    return Heartbeat(
        member.entry,
        member.incarnation,
        1,
        0.0,
        "",
        "",
        "z1",
        True,
        False,
        1,
        demand,
        (),
    )


def test_grants_follow_demand_and_expire_to_an_even_split():
    coordinator = pick_coordinator(GROUP, MEMBERS)
    other = next(member for member in MEMBERS if member != coordinator)
    shares = SlotShares.from_config(coordinator, make_target_table())
    shares.on_heartbeat(heartbeat(other, (50,)), 0.0)
    own = [GroupDemand(GROUP, (0,), {})]
    sends = shares.on_tick(MEMBERS, own, 0.0)
    receiver = SlotShares.from_config(other, make_target_table())
    receiver.on_tick(MEMBERS, own, 0.0)
    even = receiver.slot_limit(GROUP, Name("t"), 0.0)
    for send in sends:
        if send.to == other:
            receiver.on_grant(send.message, 0.0)
    assert receiver.slot_limit(GROUP, Name("t"), 0.0) > even
    assert receiver.slot_limit(GROUP, Name("t"), GRANT_DURATION_S + 0.1) == even


def test_grants_are_sent_by_one_member_at_a_fixed_interval():
    own = [GroupDemand(GROUP, (1000,), {})]
    sent = 0
    for member in MEMBERS:
        shares = SlotShares.from_config(member, make_target_table())
        for other in MEMBERS:
            if other != member:
                shares.on_heartbeat(heartbeat(other, (9,)), 0.0)
        for tick in range(20):
            sent += len(shares.on_tick(MEMBERS, own, tick * GRANT_INTERVAL_S / 10))
    assert sent == 4


def test_the_coordinator_changes_only_when_it_leaves():
    coordinator = pick_coordinator(GROUP, MEMBERS)
    for leaving_member in MEMBERS:
        left = [member for member in MEMBERS if member != leaving_member]
        assert (pick_coordinator(GROUP, left) == coordinator) == (
            leaving_member != coordinator
        )
