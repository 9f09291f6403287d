"""The time that a reply is awaited, for brokers under rising and falling load."""

import pytest

from burdockhaven_core.scheduling.reply_times import (
    LONGEST_WAIT_S,
    SHORTEST_WAIT_S,
    ReplyTimes,
)


def ramp(first_s, last_s, count):
    return [first_s + (last_s - first_s) * n / (count - 1) for n in range(count)]


# Times in seconds to reply to successive requests of one member.
LOADS = {
    "idle": [0.002] * 40,
    "burst": [0.002] * 20 + ramp(0.002, 0.15, 40) + [0.15] * 20,
    "steady rise": ramp(0.03, 0.12, 30),
    "one long prompt among short ones": [0.005, 0.05] * 20,
}


# Guards against members that turn away from a broker that replies, only later and
# later, so that two brokers place requests on the same engines.
@pytest.mark.parametrize("load", LOADS)
def test_no_reply_of_a_broker_under_load_comes_after_the_last_wait(load):
    times, now = ReplyTimes(), 0.0
    for time_s in LOADS[load]:
        now += 1.0
        awaited_s = times.wait_s("broker") + times.wait_s("broker", 1)
        assert time_s <= awaited_s
        times.record("broker", now - time_s, now)


@pytest.mark.parametrize("load", LOADS)
def test_a_dead_broker_is_found_within_two_bounded_waits(load):
    times = ReplyTimes()
    for time_s in LOADS[load]:
        times.record("broker", 0.0, time_s)
    assert SHORTEST_WAIT_S <= times.wait_s("broker") <= LONGEST_WAIT_S
    assert times.wait_s("broker", 1) <= LONGEST_WAIT_S


def test_after_the_load_a_dead_broker_is_found_as_soon_as_before():
    times = ReplyTimes()
    for time_s in [0.15] * 20 + [0.002] * 60:
        times.record("broker", 0.0, time_s)
    assert times.wait_s("broker") == SHORTEST_WAIT_S


def test_another_broker_is_not_judged_by_the_times_of_the_last():
    times = ReplyTimes()
    times.record("broker", 0.0, 0.2)
    assert times.wait_s("next") == SHORTEST_WAIT_S
    times.record("next", 1.0, 1.001)
    assert times.wait_s("next") == SHORTEST_WAIT_S
    assert times.wait_s("broker") == SHORTEST_WAIT_S


def test_only_a_reply_of_the_same_broker_shows_that_it_lives():
    times = ReplyTimes()
    times.record("broker", 1.0, 2.0)
    assert times.has_replied_since("broker", 1.5)
    assert not times.has_replied_since("broker", 2.0)
    assert not times.has_replied_since("next", 1.5)
