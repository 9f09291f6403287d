"""Mutation tests of the fuzzing: it detects each removed defence of the tier order."""

import pytest
from fuzz_settings import SEARCH
from hypothesis import seed
from hypothesis.stateful import run_state_machine_as_test

from burdockhaven_bench.tier_admission_fleet import TOP_TIER, TierAdmissionFleet
from burdockhaven_core import membership
from burdockhaven_core.membership import Membership
from burdockhaven_core.tier_admission import TierAdmission

from .test_tier_admission_fuzz import TierAdmissionMachine


def admit_without_leases(patch):
    patch.setattr(
        Membership, "can_admit_lower_tiers", lambda self, now: self.has_joined(now)
    )


def count_lease_from_receipt(patch):
    original = Membership._on_echo

    def on_echo(self, sender, heartbeat, echo):
        original(self, sender, heartbeat, echo)
        if echo.incarnation == self.parameters.member_id.incarnation:
            receipt_s = sender.last_seen_s
            sender.lease_until_s = receipt_s + membership.ADMISSION_LEASE_S

    patch.setattr(Membership, "_on_echo", on_echo)


def require_promises_of_live_members_only(patch):
    def view(self, now):
        return tuple(member.member for member in self.live(now))

    patch.setattr(Membership, "view", view)


def exclude_without_expiry(patch):
    original = Membership.on_leases

    def on_leases(self, members, own_lease_until_s, now):
        original(self, members, own_lease_until_s, now)
        for record in self.records.values():
            if record.excluded_until_s > now:
                record.excluded_until_s = float("inf")

    patch.setattr(Membership, "on_leases", on_leases)


def exclude_without_own_lease(patch):
    original = Membership.on_leases

    def on_leases(self, members, own_lease_until_s, now):
        leases = {**members, self.parameters.member_id: ""}
        original(self, leases, now + 1_000.0, now)

    patch.setattr(Membership, "on_leases", on_leases)


def admit_without_startup_hold(patch):
    patch.setattr(Membership, "has_joined", lambda self, now: True)


def count_promise_from_receipt(patch):
    def on_promise(self, sender, promise, now):
        closure = self.promises.setdefault((promise.group, sender), {})
        closure[promise.tier] = now + promise.duration_s

    patch.setattr(TierAdmission, "_on_promise", on_promise)


def shed_without_promises(patch):
    def can_shed(self, group, tier, now):
        return tier <= 0 or self.lowest_admitted_tier(group, now) >= tier

    patch.setattr(TierAdmission, "can_shed", can_shed)


def promise_without_closing(patch):
    original = TierAdmission._make_promise

    def promise(self, sender, request, now):
        before = {group: dict(tiers) for group, tiers in self.closures.items()}
        answer = original(self, sender, request, now)
        self.closures = before
        return answer

    patch.setattr(TierAdmission, "_make_promise", promise)


@pytest.mark.parametrize(
    ("remove_defence", "first_seed"),
    [
        (admit_without_leases, 1),
        (require_promises_of_live_members_only, 1),
        (exclude_without_expiry, 3),
        (exclude_without_own_lease, 3),
        (admit_without_startup_hold, 1),
        (count_promise_from_receipt, 1),
        (shed_without_promises, 1),
        (promise_without_closing, 1),
    ],
)
def test_the_fuzzing_detects_a_removed_defence(remove_defence, first_seed, monkeypatch):
    remove_defence(monkeypatch)
    machine = type("Machine", (TierAdmissionMachine,), {})
    with pytest.raises(AssertionError, match="may shed tier"):
        run_state_machine_as_test(seed(first_seed)(machine), settings=SEARCH)


def run_with_late_heartbeats():
    """Deliver heartbeats sent before a partition long after it, for 40 seeds."""
    for first_seed in range(40):
        fleet = TierAdmissionFleet(3, first_seed)
        fleet.advance(5.0)
        fleet.blocked_links = {(0, 1), (0, 2)}
        fleet.kv_blocked_slots = {0}
        fleet.max_delay_s = 12.0
        fleet.advance(2.0)
        fleet.max_delay_s = 0.01
        fleet.blocked_links |= {(1, 0), (2, 0)}
        fleet.processes[1].shedding_tier = TOP_TIER
        fleet.advance(14.0)
        assert fleet.shed_count


def test_late_heartbeats_grant_no_lease():
    run_with_late_heartbeats()


def test_late_heartbeats_are_detected_when_leases_count_from_receipt(monkeypatch):
    count_lease_from_receipt(monkeypatch)
    with pytest.raises(AssertionError, match="may shed tier"):
        run_with_late_heartbeats()
