import random

import pytest
from scheduling_samples import target

from burdockhaven_core.scheduling.plain_balancer import (
    MAX_WAIT_S,
    AwaitedTarget,
    PlainBalancer,
)
from burdockhaven_core.scheduling.target_pauses import Pause

TARGET = target(started_ms=5)
OTHER = target("i-2")
REFUSED_S, END_S = 1.0, 3.0
PAUSE = Pause(TARGET.service, TARGET.started_ms, REFUSED_S, END_S)


def make_balancer():
    return PlainBalancer(random.Random(1))


def make_returning(*sent_before_s):
    """A balancer whose target asked for a pause, with requests sent before that."""
    balancer = make_balancer()
    for sent_s in sent_before_s:
        balancer.state_of(TARGET.id).begin_send(TARGET.started_ms, sent_s)
    balancer.record_pause(TARGET.id, PAUSE, REFUSED_S)
    return balancer


def count_sends(balancer, wanted, now, entry=TARGET):
    """Send until the balancer names no target; at most the wanted number."""
    for count in range(wanted):
        if balancer.choose([entry], set(), now) is None:
            return count
        balancer.state_of(entry.id).begin_send(entry.started_ms, now)
    return wanted


# Guards against all waiting requests arriving at once at a target whose pause ends.
def test_target_that_returns_gets_one_request_until_one_has_succeeded():
    balancer = make_returning()
    assert count_sends(balancer, 9, END_S) == 1
    # The probe fails; the next one succeeds.
    balancer.state_of(TARGET.id).end_send(TARGET.started_ms, END_S)
    assert count_sends(balancer, 9, 4.0) == 1
    balancer.record_success(TARGET, 4.0, 4.1)
    balancer.state_of(TARGET.id).end_send(TARGET.started_ms, 4.0)
    assert count_sends(balancer, 9, 4.1) == 9


# Guards against a response that was under way at the refusal ending the return.
def test_success_of_a_request_sent_before_the_pause_proves_nothing():
    balancer = make_returning(0.5)
    balancer.record_success(TARGET, 0.5, 2.0)
    balancer.state_of(TARGET.id).end_send(TARGET.started_ms, 0.5)
    assert count_sends(balancer, 9, END_S) == 1


# Guards against a slow request from before the pause that delays the return.
def test_requests_sent_before_the_pause_are_no_probes():
    assert count_sends(make_returning(0.5, 0.6), 9, END_S) == 1


# Guards against a second refusal after which probes are counted wrongly.
def test_probe_that_is_refused_makes_room_for_one_after_the_next_pause():
    balancer = make_returning()
    assert count_sends(balancer, 1, END_S) == 1
    balancer.record_pause(TARGET.id, PAUSE, 3.1)
    balancer.state_of(TARGET.id).end_send(TARGET.started_ms, END_S)
    assert count_sends(balancer, 9, 5.0) == 1


# Guards against a new start of a target that is held to the pause of the one before.
@pytest.mark.parametrize(("started_ms", "sends"), [(5, 1), (0, 1), (6, 9)])
def test_return_is_that_of_the_start_that_asked_for_the_pause(started_ms, sends):
    entry = target(started_ms=started_ms)
    assert count_sends(make_returning(), 9, END_S, entry) == sends


# Guards against requests to the start before that count as probes of the new one.
def test_requests_to_an_earlier_start_are_no_probes():
    balancer = make_returning()
    balancer.state_of(TARGET.id).begin_send(TARGET.started_ms - 1, END_S)
    assert count_sends(balancer, 9, END_S) == 1


def test_other_targets_are_used_while_a_probe_is_in_flight():
    balancer = make_returning()
    balancer.state_of(TARGET.id).begin_send(TARGET.started_ms, END_S)
    assert balancer.choose([TARGET, OTHER], set(), END_S) is OTHER


# Guards against a wait that ends too late, or that is refused although a target is free
# in time. The seconds left of each pause, the time by which a response must be there,
# and the seconds to the next look.
@pytest.mark.parametrize(
    ("pauses_s", "until_s", "wait_s"),
    [
        ([0.0], 9.0, MAX_WAIT_S),
        ([0.0], 1.09, 0.03),
        ([0.0], 1.06, None),
        ([0.0], 0.5, None),
        ([], 9.0, None),
        ([3.0], 9.0, MAX_WAIT_S),
        ([0.05], 9.0, 0.05),
        ([0.05, 30.0], 9.0, 0.05),
        ([0.0, 0.05], 9.0, 0.05),
        ([0.0, 30.0], 1.09, 0.03),
        ([0.5], 1.55, None),
        ([0.5, 30.0], 1.55, None),
        ([0.02], 1.09, 0.02),
    ],
)
def test_request_waits_no_longer_than_a_response_can_be_in_time(
    pauses_s, until_s, wait_s
):
    awaited = [AwaitedTarget(TARGET, pause_s) for pause_s in pauses_s]
    found = make_balancer().wait_s(awaited, until_s, 1.0)
    assert found == (None if wait_s is None else pytest.approx(wait_s))


# Guards against the waiting requests of all members being more than targets take.
@pytest.mark.parametrize(
    ("members", "until_s", "places"),
    [
        (1, 9.0, 16),
        (4, 9.0, 4),
        (9, 9.0, 1),
        (68, 9.0, 1),
        (1, 2.0, 6),
        (1, 1.0, 0),
    ],
)
def test_places_to_wait_are_shared_by_the_members(members, until_s, places):
    awaited = [
        AwaitedTarget(target(slots=6), 0.0),
        AwaitedTarget(target("i-2", slots=10), 2.0),
    ]
    found = make_balancer().waiting_places(awaited, until_s, members, 1.0)
    assert found == places
