"""Membership and admission leases, from heartbeats, member leases and the VM list."""

import random

import msgspec
import pytest

from burdockhaven_core.identity import MemberId
from burdockhaven_core.membership import MemberParameters, Membership
from burdockhaven_core.messages import GroupDemand

STARTED_S = 100.0
LATER_S = STARTED_S + 10.0


def member(name, incarnation="1"):
    return MemberId(name, f"{name}{incarnation}")


def address(name):
    return f"10.0.0.{ord(name)}:7000"


def make_membership(name, incarnation="1"):
    parameters = MemberParameters(
        member(name, incarnation), "z1", f"{name}:80", address(name), STARTED_S
    )
    return Membership.from_config(parameters)


def send_heartbeat(sender, receiver, now, queued=0, **changes):
    state = {"ready": True, "draining": False, "config_version": 1, **changes}
    demand = (GroupDemand("g", (queued,), {}),)
    heartbeat = sender.heartbeat(now, demand=demand, **state)
    if receiver.parameters.member_id in sender.known_members():
        heartbeat = sender.heartbeat_for(receiver.parameters.member_id, heartbeat)
    receiver.on_heartbeat(heartbeat, now)


def make_pair(now=LATER_S):
    """Create two members that have received two heartbeats from each other."""
    first, second = make_membership("a"), make_membership("b")
    leases = {member("a"): address("a"), member("b"): address("b")}
    first.on_vm_list(frozenset(leases.values()), frozenset(), now)
    first.on_leases(leases, now + 1.0, now)
    for _ in range(2):
        send_heartbeat(first, second, now)
        send_heartbeat(second, first, now)
    return first, second


def test_mutual_heartbeats_permit_admission_until_the_lease_ends():
    first, _ = make_pair()
    assert first.can_admit_lower_tiers(LATER_S + 1.9)
    assert not first.can_admit_lower_tiers(LATER_S + 2.1)


def test_one_way_heartbeats_grant_no_lease():
    first, second = make_membership("a"), make_membership("b")
    for _ in range(5):
        send_heartbeat(second, first, LATER_S)
    assert not first.can_admit_lower_tiers(LATER_S)


def test_a_late_heartbeat_extends_the_lease_only_from_the_echoed_clock():
    first, second = make_pair()
    late = second.heartbeat(LATER_S, ready=True, draining=False, config_version=1)
    late = second.heartbeat_for(member("a"), late)
    first.on_heartbeat(late, LATER_S + 5.0)
    assert not first.can_admit_lower_tiers(LATER_S + 5.0)


def test_lower_tiers_are_not_admitted_during_startup():
    first, _ = make_pair(now=STARTED_S + 1.0)
    assert not first.can_admit_lower_tiers(STARTED_S + 1.0)


@pytest.mark.parametrize(
    ("own_lease_until_s", "listed", "after_s", "in_view"),
    [
        (LATER_S + 9, ["a"], 4.0, False),
        (LATER_S + 9, ["a", "b"], 4.0, True),
        (LATER_S + 9, ["a"], 2.0, True),
        (LATER_S + 3, ["a"], 4.0, True),
        (LATER_S + 9, [], 4.0, True),
    ],
    ids=["out", "holds lease", "not silent", "own lease ended", "no own lease"],
)
def test_a_silent_member_without_a_lease_leaves_the_view(
    own_lease_until_s, listed, after_s, in_view
):
    first, _ = make_pair()
    leases = {member(name): address(name) for name in listed}
    first.on_leases(leases, own_lease_until_s, LATER_S + after_s)
    assert (member("b") in first.view(LATER_S + after_s)) is in_view


def test_exclusion_ends_before_the_lease_of_the_excluding_member():
    first, _ = make_pair()
    first.on_leases({member("a"): address("a")}, LATER_S + 9, LATER_S + 4)
    assert member("b") in first.view(LATER_S + 9 - 2.4)


@pytest.mark.parametrize(
    ("listed_before", "silent_s", "in_view"),
    [(True, 4.0, False), (False, 4.0, True), (True, 1.0, True), (False, 31.0, False)],
)
def test_silent_members_that_left_the_vm_list_are_removed(
    listed_before, silent_s, in_view
):
    first, second = make_membership("a"), make_membership("b")
    send_heartbeat(second, first, LATER_S)
    if listed_before:
        first.on_vm_list(frozenset({address("b")}), frozenset(), LATER_S)
    first.on_vm_list(frozenset({"10.9.9.9:1"}), frozenset(), LATER_S + silent_s)
    assert (member("b") in first.view(LATER_S + silent_s)) is in_view


def test_a_restarted_process_replaces_the_silent_one_for_good():
    first, second = make_pair()
    late = second.heartbeat(LATER_S, ready=True, draining=False, config_version=1)
    late = second.heartbeat_for(member("a"), late)
    restarted = make_membership("b", "2")
    send_heartbeat(restarted, first, LATER_S + 1)
    assert set(first.view(LATER_S + 1)) == {member("b"), member("b", "2")}
    send_heartbeat(restarted, first, LATER_S + 4)
    assert first.view(LATER_S + 4) == (member("b", "2"),)
    first.on_heartbeat(late, LATER_S + 4)
    assert first.view(LATER_S + 4) == (member("b", "2"),)


def test_a_resigned_member_leaves_the_view_at_once():
    first, second = make_pair()
    send_heartbeat(second, first, LATER_S, ready=False, draining=True, resigned=True)
    assert first.view(LATER_S) == ()


def test_members_are_discovered_by_gossip():
    first, second = make_pair()
    third = make_membership("c")
    send_heartbeat(second, third, LATER_S)
    assert set(third.view(LATER_S)) == {member("a"), member("b")}


def test_the_clock_of_a_member_is_bounded_from_below():
    first, second = make_pair()
    clock_s = first.clock_lower_bound_s(member("b"), LATER_S + 1)
    assert 10.0 < clock_s <= 11.0
    assert first.clock_lower_bound_s(member("x"), LATER_S) is None


def test_callers_are_spread_over_ready_members_by_load():
    first, second = make_pair()
    third, fourth = make_membership("c"), make_membership("d")
    send_heartbeat(third, first, LATER_S, queued=50)
    send_heartbeat(fourth, first, LATER_S, draining=True)
    rng = random.Random(1)
    picks = [first.pick_entry(LATER_S, rng).member.entry for _ in range(300)]
    assert set(picks) == {"b"}
    for other in (second, third, fourth):
        send_heartbeat(first, other, LATER_S)
        queued = 50 if other is third else 0
        send_heartbeat(other, first, LATER_S, queued, draining=other is fourth)
    picks = [first.pick_entry(LATER_S, rng).member.entry for _ in range(300)]
    assert picks.count("c") == 0
    assert min(picks.count("a"), picks.count("b")) > 90


def test_leaving_targets_spread_over_members_with_the_age_of_the_evidence():
    first, second = make_pair()
    third = make_membership("c")
    first.record_leaving("t", LATER_S)
    send_heartbeat(first, second, LATER_S + 1)
    send_heartbeat(second, third, LATER_S + 2)
    assert third.leaving_targets(LATER_S + 2) == {"t"}
    for late_s in range(3, 200, 10):
        send_heartbeat(second, third, LATER_S + late_s)
        send_heartbeat(third, second, LATER_S + late_s)
    assert third.leaving_targets(LATER_S + 200) == {"t"}
    for observer in (second, third):
        observer.record_live("t", LATER_S + 200)
        observer.record_live("t", LATER_S + 230)
        assert observer.leaving_targets(LATER_S + 230) == {"t"}
        observer.record_live("t", LATER_S + 261)
        assert observer.leaving_targets(LATER_S + 261) == set()


def test_an_echo_extends_the_lease_only_with_its_member_list():
    first, second = make_pair()
    third = make_membership("c")
    send_heartbeat(third, second, LATER_S + 1)
    changed = second.heartbeat(
        LATER_S + 2.1, ready=True, draining=False, config_version=1
    )
    changed = second.heartbeat_for(member("a"), changed)
    assert [peer.entry for peer in changed.peers] == ["a", "c"]
    bare = msgspec.structs.replace(changed, peers=None)
    first.on_heartbeat(bare, LATER_S + 2.1)
    assert first.records[member("b")].lease_until_s == LATER_S + 2.0


def test_a_member_list_is_sent_until_the_receiver_has_it():
    first, second = make_pair()
    send_heartbeat(make_membership("c"), second, LATER_S)
    state = {"ready": True, "draining": False, "config_version": 1}
    for _ in range(2):
        heartbeat = second.heartbeat_for(
            member("a"), second.heartbeat(LATER_S, **state)
        )
        assert heartbeat.peers is not None
    first.on_heartbeat(heartbeat, LATER_S)
    send_heartbeat(first, second, LATER_S)
    heartbeat = second.heartbeat_for(member("a"), second.heartbeat(LATER_S, **state))
    assert heartbeat.peers is None


@pytest.mark.parametrize(
    ("unknown", "after_s", "joined"),
    [(False, 0.0, True), (True, 0.0, False), (True, 9.9, False), (True, 10.0, True)],
)
def test_an_unidentified_vm_delays_joining_until_a_timeout(unknown, after_s, joined):
    first = make_membership("a")
    listed = {address("a")} | ({address("t")} if unknown else set())
    for now in (LATER_S, LATER_S + after_s):
        first.on_vm_list(frozenset(listed), frozenset(), now)
        first.on_leases({member("a"): address("a")}, now + 5.0, now)
    assert first.has_joined(LATER_S + after_s) is joined
