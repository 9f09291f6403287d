"""Promises between two floors, message by message."""

import pytest

from burdockhaven_core.floor import Admission, Floor
from burdockhaven_core.messages import ClosePromise

from .test_membership import LATER_S, beat, make, member, pair

GROUP = "g"


def floors():
    first, second = pair()
    made = Floor.from_config(first), Floor.from_config(second)
    for floor in made:
        floor.top_tiers = {GROUP: 2}
    return made


def exchange(asker, other, now, tier=1, delay_s=0.0):
    """Ask for a closure and bring the answers back."""
    for send in asker.want_shed(GROUP, tier, now):
        answers = other.on_message(member("a"), send.message, now + delay_s)
        for answer in answers:
            asker.on_message(member("b"), answer.message, now + 2 * delay_s)


def test_shedding_waits_for_the_promise_of_every_member():
    first, second = floors()
    assert first.admission(GROUP, 0, LATER_S) is Admission.ADMIT
    sends = first.want_shed(GROUP, 1, LATER_S)
    assert [send.to for send in sends] == [member("b")]
    assert not first.may_shed(GROUP, 1, LATER_S)
    exchange(first, second, LATER_S + 0.2)
    assert first.may_shed(GROUP, 1, LATER_S + 0.2)
    assert not first.may_shed(GROUP, 2, LATER_S + 0.2)
    assert second.admission(GROUP, 0, LATER_S + 0.2) is Admission.REFUSE
    assert second.admission(GROUP, 1, LATER_S + 0.2) is Admission.ADMIT


def test_the_asker_stops_before_the_promise_ends():
    first, second = floors()
    exchange(first, second, LATER_S, delay_s=0.5)
    assert first.may_shed(GROUP, 1, LATER_S + 1.9)
    assert not first.may_shed(GROUP, 1, LATER_S + 1.99)
    assert second.closed_below(GROUP, LATER_S + 2.4) == 1


def test_a_closure_is_renewed_while_needed_and_then_lapses():
    first, second = floors()
    exchange(first, second, LATER_S)
    for tenth in range(1, 60):
        now = LATER_S + tenth / 10
        for send in first.on_tick(now):
            for answer in second.on_message(member("a"), send.message, now):
                first.on_message(member("b"), answer.message, now)
        assert first.may_shed(GROUP, 1, now) is (now < LATER_S + 3.45)
    assert second.closed_below(GROUP, now) == 0


@pytest.mark.parametrize("tier", [0, 1, 2])
def test_a_new_member_stops_the_shedding_until_it_has_promised(tier):
    first, second = floors()
    exchange(first, second, LATER_S, tier=2)
    beat(make("c"), first.membership, LATER_S)
    assert first.may_shed(GROUP, tier, LATER_S) is (tier == 0)


def test_without_leases_only_the_highest_tier_is_admitted():
    first, _ = floors()
    late_s = LATER_S + 2.5
    assert first.admission(GROUP, 1, late_s) is Admission.HOLD
    assert first.admission(GROUP, 2, late_s) is Admission.ADMIT


def test_a_promise_to_a_question_never_asked_is_ignored():
    first, _ = floors()
    promise = ClosePromise("b", "b1", GROUP, 2, 99, 1_000.0)
    first.on_message(member("b"), promise, LATER_S)
    assert not first.may_shed(GROUP, 1, LATER_S)
