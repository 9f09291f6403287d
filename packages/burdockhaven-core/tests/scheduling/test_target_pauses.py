import random

import pytest
from scheduling_samples import target

from burdockhaven_core.scheduling.target_pauses import (
    MAX_PAUSE_S,
    MAX_RETURN_SPREAD_S,
    TargetPauses,
)

TARGET = target(started_ms=5)


def make_pauses(*told, seed=1):
    """Pauses after responses, each with its time and the seconds that it asks for."""
    pauses = TargetPauses(random.Random(seed))
    for now, pause_s in told:
        pauses.record(TARGET, pause_s, now)
    return pauses


@pytest.mark.parametrize(
    ("told", "end_s"),
    [
        ([(1.0, 2.0)], 3.0),
        ([(1.0, 0.4)], 1.4),
        # A shorter pause that is asked for later leaves the end as it is.
        ([(1.0, 5.0), (2.0, 1.0)], 6.0),
        ([(1.0, 1.0), (1.5, 5.0)], 6.5),
        ([(1.0, 1e9)], 1.0 + MAX_PAUSE_S),
    ],
)
def test_target_is_paused_to_the_latest_end(told, end_s):
    pauses = make_pauses(*told)
    assert pauses.is_paused(TARGET, end_s - 0.01)
    assert not pauses.is_paused(TARGET, end_s + MAX_RETURN_SPREAD_S)


@pytest.mark.parametrize("pause_s", [0.0, None])
def test_response_without_a_time_pauses_nothing(pause_s):
    assert not make_pauses((1.0, pause_s)).is_paused(TARGET, 1.0)


@pytest.mark.parametrize(("started_ms", "paused"), [(5, True), (0, True), (6, False)])
def test_pause_binds_the_start_that_asked_for_it(started_ms, paused):
    pauses = make_pauses((1.0, 2.0))
    assert pauses.is_paused(target(started_ms=started_ms), 2.0) is paused


# Guards against rule BUDGET where a late refusal by an earlier start replaces a pause.
def test_late_refusal_of_an_earlier_start_leaves_the_pause_as_it_is():
    pauses = make_pauses((1.0, 2.0))
    assert pauses.record(target(started_ms=4), 9.0, 1.5) is None
    assert pauses.is_paused(TARGET, 2.9)
    assert not pauses.is_paused(target(started_ms=6), 2.9)


def test_pause_that_ends_is_reported_once():
    pauses = make_pauses((1.0, 2.0))
    assert pauses.expire(2.9) == []
    ((name, pause),) = pauses.expire(3.0 + MAX_RETURN_SPREAD_S)
    assert (name, pause.began_s) == ("i-1", 1.0)
    assert pauses.expire(9.0) == []


# Guards against all members returning to a target in the same moment.
@pytest.mark.parametrize("members", [9, 68])
def test_members_return_over_a_time(members):
    ends_s = sorted(
        make_pauses((1.0, 4.0), seed=seed).pauses["i-1"].until_s
        for seed in range(members)
    )
    assert ends_s[0] >= 5.0
    assert ends_s[-1] <= 5.0 + MAX_RETURN_SPREAD_S
    tenth_s = MAX_RETURN_SPREAD_S / 10
    most_at_once = max(
        sum(begin <= end < begin + tenth_s for end in ends_s) for begin in ends_s
    )
    assert most_at_once < members / 2
