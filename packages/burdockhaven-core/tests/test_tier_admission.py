"""Tier admission of two members, message by message."""

import pytest

from burdockhaven_core.messages import ClosePromise
from burdockhaven_core.tier_admission import AdmissionDecision, TierAdmission

from .test_membership import LATER_S, make_membership, make_pair, member, send_heartbeat

GROUP = "g"


def make_tier_admissions():
    first, second = make_pair()
    created = TierAdmission.from_config(first), TierAdmission.from_config(second)
    for tier_admission in created:
        tier_admission.top_tiers = {GROUP: 2}
    return created


def close_and_collect_promises(requester, other, now, tier=1, delay_s=0.0):
    """Deliver the close requests to the other member, and its promises back."""
    for send in requester.request_shedding(GROUP, tier, now):
        answers = other.on_message(member("a"), send.message, now + delay_s)
        for answer in answers:
            requester.on_message(member("b"), answer.message, now + 2 * delay_s)


def test_shedding_waits_for_the_promise_of_every_member():
    first, second = make_tier_admissions()
    assert first.admission(GROUP, 0, LATER_S) is AdmissionDecision.ADMIT
    sends = first.request_shedding(GROUP, 1, LATER_S)
    assert [send.to for send in sends] == [member("b")]
    assert not first.can_shed(GROUP, 1, LATER_S)
    close_and_collect_promises(first, second, LATER_S + 0.2)
    assert first.can_shed(GROUP, 1, LATER_S + 0.2)
    assert not first.can_shed(GROUP, 2, LATER_S + 0.2)
    assert second.admission(GROUP, 0, LATER_S + 0.2) is AdmissionDecision.REFUSE
    assert second.admission(GROUP, 1, LATER_S + 0.2) is AdmissionDecision.ADMIT


def test_the_requester_stops_shedding_before_the_promise_expires():
    first, second = make_tier_admissions()
    close_and_collect_promises(first, second, LATER_S, delay_s=0.5)
    assert first.can_shed(GROUP, 1, LATER_S + 1.9)
    assert not first.can_shed(GROUP, 1, LATER_S + 1.99)
    assert second.lowest_admitted_tier(GROUP, LATER_S + 2.4) == 1


def test_a_closure_is_renewed_while_needed_and_then_expires():
    first, second = make_tier_admissions()
    close_and_collect_promises(first, second, LATER_S)
    for tenth in range(1, 60):
        now = LATER_S + tenth / 10
        for send in first.on_tick(now):
            for answer in second.on_message(member("a"), send.message, now):
                first.on_message(member("b"), answer.message, now)
        assert first.can_shed(GROUP, 1, now) is (now < LATER_S + 3.45)
    assert second.lowest_admitted_tier(GROUP, now) == 0


@pytest.mark.parametrize("tier", [0, 1, 2])
def test_a_new_member_stops_the_shedding_until_it_has_promised(tier):
    first, second = make_tier_admissions()
    close_and_collect_promises(first, second, LATER_S, tier=2)
    send_heartbeat(make_membership("c"), first.membership, LATER_S)
    assert first.can_shed(GROUP, tier, LATER_S) is (tier == 0)


def test_without_leases_only_the_highest_tier_is_admitted():
    first, _ = make_tier_admissions()
    late_s = LATER_S + 2.5
    assert first.admission(GROUP, 1, late_s) is AdmissionDecision.HOLD
    assert first.admission(GROUP, 2, late_s) is AdmissionDecision.ADMIT


def test_a_promise_without_a_pending_request_is_ignored():
    first, _ = make_tier_admissions()
    promise = ClosePromise("b", "b1", GROUP, 2, 99, 1_000.0)
    first.on_message(member("b"), promise, LATER_S)
    assert not first.can_shed(GROUP, 1, LATER_S)
