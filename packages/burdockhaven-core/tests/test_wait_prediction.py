"""Queueing-delay prediction."""

import dataclasses

import pytest
from test_queueing import request

from burdockhaven_core.configuration import TargetSpec
from burdockhaven_core.identity import TargetName
from burdockhaven_core.queueing import GroupQueue
from burdockhaven_core.targets import TargetState
from burdockhaven_core.wait_prediction import (
    SHARE_LAG_S,
    exceeds_wait_budget,
    predict_wait_s,
)


def queue_of(*requests):
    queue = GroupQueue()
    for item in requests:
        queue.add(dataclasses.replace(item, service_s=10.0))
    return queue


def target(limit, slots=1):
    state = TargetState(TargetSpec(TargetName("t"), "http://127.0.0.1:1", "z1", slots))
    state.limit = limit
    return state


@pytest.mark.parametrize(
    ("queued", "running", "elsewhere", "wait_s"),
    [
        ([], (0.0, 2.0), 0, 0.0),
        ([request("a")], (0.0, 2.0), 9, 5.0),
        # Higher tiers occupy half of the slots.
        ([request("a")], (0.0, 1.0, 1.0), 9, 10.0),
        # Lower tiers and later requests of the same account are not ahead.
        ([request("a", tier=0), request("b", latest=900.0)], (2.0,), 9, 0.0),
        # Only this entry has queued requests, so it will be granted all slots.
        ([request("a")] * 1, (0.0, 2.0), 0, min(5.0, SHARE_LAG_S + 10.0 / 16)),
    ],
)
def test_predicted_wait(queued, running, elsewhere, wait_s):
    state = target(limit=2, slots=14)
    state.mean_run_duration_s = 30.0
    new = dataclasses.replace(request("new"), service_s=10.0)
    queue = queue_of(*queued)
    wait = predict_wait_s(new, queue, [state], running, elsewhere)
    assert wait == pytest.approx(wait_s)


@pytest.mark.parametrize(("wait_s", "hopeless"), [(60.0, False), (80.0, True)])
def test_exceeds_wait_budget(wait_s, hopeless):
    assert exceeds_wait_budget(request("r", latest=100.0), wait_s, 0.0) is hopeless


def test_parked_and_dispatched_requests_add_no_queued_work():
    queue = queue_of(request("a"), request("b"), request("c"))
    queue.park(request("a").run_id)
    queue.take_for_dispatch(request("b").run_id)
    queue.remove(request("a").run_id)
    assert queue.work_ahead_s(request("new")) == 10.0
    assert [item.run_id for item in queue.newest(1)] == ["c"]
