"""Pace of a target, found from its responses."""

import pytest

from burdockhaven_core.capacity.pace import INITIAL_LIMIT, MIN_LIMIT, Pace

SLOTS = 8
EXPECTED_MS = 200.0


def respond(pace, took_ms, now, sent_s=None):
    sent_s = now - took_ms / 1e3 if sent_s is None else sent_s
    pace.record_response(sent_s, took_ms, EXPECTED_MS, now)


# Guards against a target that is left idle although it responds well.
def test_timely_target_has_all_its_slots_after_three_rounds():
    pace, rounds, now = Pace(SLOTS), 0, 0.0
    while not pace.is_over:
        now += 0.2
        rounds += 1
        for _ in range(pace.usable_slots):
            respond(pace, EXPECTED_MS, now)
    assert rounds == 2
    assert pace.usable_slots == SLOTS


# Guards against a target that is flooded although it responds ever more slowly.
def test_limit_falls_with_a_late_response_but_once_for_a_round():
    pace = Pace(SLOTS, limit=6.0)
    for _ in range(6):
        respond(pace, 5 * EXPECTED_MS, now=10.0, sent_s=9.0)
    assert pace.usable_slots == 3
    respond(pace, 5 * EXPECTED_MS, now=12.0, sent_s=11.0)
    assert pace.usable_slots == 1


def test_failure_leaves_one_request_to_show_a_recovery():
    pace = Pace(SLOTS, limit=6.0)
    pace.record_failure(sent_s=9.0, now=10.0)
    assert pace.usable_slots == MIN_LIMIT
    respond(pace, EXPECTED_MS, now=10.5)
    assert pace.usable_slots == 2


# Guards against growth by responses to requests that were sent before the trouble.
def test_responses_to_earlier_requests_do_not_undo_a_reduction():
    pace = Pace(SLOTS, limit=6.0)
    pace.record_failure(sent_s=9.0, now=10.0)
    respond(pace, EXPECTED_MS, now=10.1)
    assert pace.usable_slots == MIN_LIMIT


@pytest.mark.parametrize("slots", [1, 2])
def test_target_with_few_slots_is_not_paced_for_long(slots):
    assert Pace(slots).is_over == (slots <= INITIAL_LIMIT)
