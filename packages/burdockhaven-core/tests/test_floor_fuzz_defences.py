"""The fuzzing finds each defence of the order of tiers that is taken out."""

import pytest
from fuzz_settings import SEARCH
from hypothesis import seed
from hypothesis.stateful import run_state_machine_as_test

from burdockhaven_bench.floor_fleet import TOP_TIER, Fleet
from burdockhaven_core import membership
from burdockhaven_core.floor import Floor
from burdockhaven_core.membership import Membership

from .test_floor_fuzz import FloorMachine


def admit_without_leases(patch):
    patch.setattr(Membership, "permitted", lambda self, now: self.joined(now))


def count_lease_from_receipt(patch):
    original = Membership._on_echo

    def on_echo(self, sender, heartbeat, echo):
        original(self, sender, heartbeat, echo)
        if echo.incarnation == self.parameters.me.incarnation:
            receipt_s = sender.heard_s
            sender.lease_until_s = receipt_s + membership.ADMISSION_LEASE_S

    patch.setattr(Membership, "_on_echo", on_echo)


def ask_only_members_heard_lately(patch):
    def view(self, now):
        return tuple(member.member for member in self.live(now))

    patch.setattr(Membership, "view", view)


def trust_a_lease_read_for_good(patch):
    original = Membership.on_leases

    def on_leases(self, members, own_until_s, now):
        original(self, members, own_until_s, now)
        for record in self.records.values():
            if record.out_until_s > now:
                record.out_until_s = float("inf")

    patch.setattr(Membership, "on_leases", on_leases)


def take_out_without_own_lease(patch):
    original = Membership.on_leases

    def on_leases(self, members, own_until_s, now):
        held = {**members, self.parameters.me: ""}
        original(self, held, now + 1_000.0, now)

    patch.setattr(Membership, "on_leases", on_leases)


def admit_at_once_after_a_start(patch):
    patch.setattr(Membership, "joined", lambda self, now: True)


def count_promise_from_receipt(patch):
    def on_promise(self, sender, promise, now):
        closure = self.promised.setdefault((promise.group, sender), {})
        closure[promise.tier] = now + promise.holds_s

    patch.setattr(Floor, "_on_promise", on_promise)


def shed_without_promises(patch):
    def may_shed(self, group, tier, now):
        return tier <= 0 or self.closed_below(group, now) >= tier

    patch.setattr(Floor, "may_shed", may_shed)


def promise_without_closing(patch):
    original = Floor._promise

    def promise(self, sender, ask, now):
        before = {group: dict(tiers) for group, tiers in self.closed.items()}
        answer = original(self, sender, ask, now)
        self.closed = before
        return answer

    patch.setattr(Floor, "_promise", promise)


@pytest.mark.parametrize(
    ("take_out", "first_seed"),
    [
        (admit_without_leases, 1),
        (ask_only_members_heard_lately, 1),
        (trust_a_lease_read_for_good, 3),
        (take_out_without_own_lease, 3),
        (admit_at_once_after_a_start, 1),
        (count_promise_from_receipt, 1),
        (shed_without_promises, 1),
        (promise_without_closing, 1),
    ],
)
def test_the_fuzzing_fails_without(take_out, first_seed, monkeypatch):
    take_out(monkeypatch)
    machine = type("Machine", (FloorMachine,), {})
    with pytest.raises(AssertionError, match="may shed tier"):
        run_state_machine_as_test(seed(first_seed)(machine), settings=SEARCH)


def late_heartbeats():
    """Heartbeats sent before a cut arrive long after it, in many ways."""
    for first_seed in range(40):
        fleet = Fleet(3, first_seed)
        fleet.advance(5.0)
        fleet.cuts = {(0, 1), (0, 2)}
        fleet.kv_cuts = {0}
        fleet.delay_s = 12.0
        fleet.advance(2.0)
        fleet.delay_s = 0.01
        fleet.cuts |= {(1, 0), (2, 0)}
        fleet.processes[1].pressure = TOP_TIER
        fleet.advance(14.0)
        assert fleet.sheds


def test_late_heartbeats_permit_nothing():
    late_heartbeats()


def test_late_heartbeats_are_found_without(monkeypatch):
    count_lease_from_receipt(monkeypatch)
    with pytest.raises(AssertionError, match="may shed tier"):
        late_heartbeats()
