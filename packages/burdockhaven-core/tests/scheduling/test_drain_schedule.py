import pytest

from burdockhaven_core.scheduling.drain_schedule import DrainSchedule

STOP_S = 100.0
GRACE_S = 8.0
# A request that is sent later and forwarded may not be cut.
LATEST_REQUEST_S = 3.0


@pytest.fixture
def schedule():
    return DrainSchedule.from_grace(STOP_S, GRACE_S)


# Guards against LOST: a request that came late in a drain was forwarded and cut.
@pytest.mark.parametrize(
    ("after_stop_s", "limit_s", "is_accepted"),
    [
        (0.0, 15.0, True),
        (2.8, 15.0, True),
        (LATEST_REQUEST_S, 15.0, False),
        (LATEST_REQUEST_S, 5.0, False),
        (LATEST_REQUEST_S, 4.0, True),
        (6.0, 1.0, True),
        (7.0, 1.0, False),
        (7.6, 0.1, False),
    ],
)
def test_late_requests_are_accepted_only_if_they_end_in_time(
    schedule, after_stop_s, limit_s, is_accepted
):
    now = STOP_S + after_stop_s
    assert schedule.accepts(now + limit_s, now) is is_accepted


@pytest.mark.parametrize("grace_s", [0.0, 0.3, 1.0, 2.0, 3.0, 8.0, 30.0])
def test_no_request_is_accepted_after_the_end(grace_s):
    schedule = DrainSchedule.from_grace(STOP_S, grace_s)
    times_s = [schedule.accept_until_s, schedule.answer_by_s, schedule.end_s]
    assert [STOP_S, *times_s, STOP_S + grace_s] == sorted(
        [STOP_S, *times_s, STOP_S + grace_s]
    )
    assert not schedule.accepts(schedule.end_s + 1.0, schedule.end_s + 0.1)
