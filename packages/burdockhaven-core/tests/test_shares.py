"""Shares of slots between entries."""

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
from burdockhaven_core.shares import (
    GRANT_INTERVAL_S,
    GRANT_LASTS_S,
    MemberNeed,
    Shares,
    coordinator,
    divide,
)
from burdockhaven_core.targets import TargetTable

GROUP = GroupName("g")
A, B, C = (MemberId(EntryName(name), Incarnation("1")) for name in "abc")
MEMBERS = (A, B, C)


def need(by_tier, in_flight=None):
    return MemberNeed(by_tier, in_flight or {}, 0.0)


@pytest.mark.parametrize(
    ("capacity", "needs", "totals"),
    [
        ({"t": 12}, {A: need((0,)), B: need((0,)), C: need((0,))}, [4, 4, 4]),
        ({"t": 12}, {A: need((9,)), B: need((0,)), C: need((0,))}, [10, 1, 1]),
        ({"t": 12}, {A: need((30, 0)), B: need((0, 6)), C: need((0, 6))}, [1, 6, 6]),
        ({"t": 12}, {A: need((30, 3)), B: need((30, 6)), C: need((0, 0))}, [5, 8, 1]),
        ({"t": 4, "u": 4}, {A: need((3,)), B: need((1,))}, [5, 3]),
    ],
)
def test_higher_tiers_come_first_and_nobody_is_left_without(capacity, needs, totals):
    shares = divide({Name(t): n for t, n in capacity.items()}, needs)
    given = [sum(shares[member].values()) for member in sorted(needs, key=str)]
    assert all(abs(g - t) <= 1 for g, t in zip(given, totals, strict=True))
    assert min(given) >= 1
    assert sum(given) <= sum(capacity.values()) + len(needs) - 1


def test_room_is_not_granted_twice():
    needs = {A: need((0,), {Name("t"): 6}), B: need((8,))}
    shares = divide({Name("t"): 8}, needs)
    # The minimum of one slot does not help A, which has more under way than that.
    assert shares == {A: {Name("t"): 1}, B: {Name("t"): 2}}


def table(slots=8):
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


def test_grants_follow_demand_and_lapse_to_an_even_split():
    chosen = coordinator(GROUP, MEMBERS)
    other = next(member for member in MEMBERS if member != chosen)
    shares = Shares.from_config(chosen, table())
    shares.on_heartbeat(heartbeat(other, (50,)), 0.0)
    own = [GroupDemand(GROUP, (0,), {})]
    sends = shares.on_tick(MEMBERS, own, 0.0)
    receiver = Shares.from_config(other, table())
    receiver.on_tick(MEMBERS, own, 0.0)
    even = receiver.limit(GROUP, Name("t"), 0.0)
    for send in sends:
        if send.to == other:
            receiver.on_grant(send.message, 0.0)
    assert receiver.limit(GROUP, Name("t"), 0.0) > even
    assert receiver.limit(GROUP, Name("t"), GRANT_LASTS_S + 0.1) == even


def test_grants_are_sent_by_one_member_at_a_fixed_interval():
    own = [GroupDemand(GROUP, (1000,), {})]
    sent = 0
    for member in MEMBERS:
        shares = Shares.from_config(member, table())
        for other in MEMBERS:
            if other != member:
                shares.on_heartbeat(heartbeat(other, (9,)), 0.0)
        for tick in range(20):
            sent += len(shares.on_tick(MEMBERS, own, tick * GRANT_INTERVAL_S / 10))
    assert sent == 4


def test_the_coordinator_changes_only_when_it_leaves():
    chosen = coordinator(GROUP, MEMBERS)
    for gone in MEMBERS:
        left = [member for member in MEMBERS if member != gone]
        assert (coordinator(GROUP, left) == chosen) == (gone != chosen)
