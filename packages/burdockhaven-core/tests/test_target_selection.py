"""Load-balancing policies."""

import dataclasses
import random

import pytest

from burdockhaven_core.configuration import TargetSpec
from burdockhaven_core.identity import AccountName, RunId, TargetName
from burdockhaven_core.queueing import QueuedRequest
from burdockhaven_core.target_selection import (
    NoTarget,
    bounded,
    least_reported,
    round_robin,
    two_choices,
)
from burdockhaven_core.targets import LoadReport, TargetState

REQUEST = QueuedRequest(
    run_id=RunId("r"),
    account=AccountName("a"),
    tier=1,
    weight=1.0,
    prompt_tokens=1000,
    output_tokens=100,
    prefix="",
    arrived_s=0.0,
    deadline_s=60.0,
    latest_start_s=50.0,
    targets=None,
    fresh_connection=False,
    high_output_tokens=100,
)


def targets(in_flight: list[int], interval_s: list[float]) -> list[TargetState]:
    states = []
    for number, runs in enumerate(in_flight):
        spec = TargetSpec(TargetName(f"t{number}"), "http://127.0.0.1:1", "z1", 4)
        state = TargetState(spec)
        state.runs = {RunId(f"t{number}-{run}") for run in range(runs)}
        state.token_interval_s = interval_s[number]
        states.append(state)
    return states


def test_round_robin_takes_each_in_turn():
    choose = round_robin()
    states = targets([0, 9, 0], [0.04] * 3)
    names = [choose(REQUEST, states, 0.0).spec.name for _ in range(6)]
    assert sorted(names) == ["t0", "t0", "t1", "t1", "t2", "t2"]


def test_least_reported_follows_the_reports():
    states = targets([0, 0], [0.04] * 2)
    states[0].report = LoadReport(running=5, waiting=0, received_s=0.0)
    states[1].report = LoadReport(running=1, waiting=1, received_s=0.0)
    assert least_reported()(REQUEST, states, 0.0) is states[1]


def test_two_choices_takes_the_less_loaded():
    states = targets([3, 1], [0.04] * 2)
    assert two_choices(random.Random(1))(REQUEST, states, 0.0) is states[1]


@pytest.mark.parametrize(
    ("in_flight", "interval_s", "chosen"),
    [
        ([0, 0, 0], [0.04, 0.02, 0.32], "t1"),
        ([0, 4, 0], [0.04, 0.02, 0.32], "t0"),
        ([4, 4, 4], [0.04, 0.02, 0.32], NoTarget.FULL),
        ([4, 4, 0], [0.04, 0.02, 0.32], "t2"),
        ([4, 4, 0], [0.04, 0.02, 0.60], NoTarget.TOO_SLOW),
    ],
)
def test_bounded(in_flight, interval_s, chosen):
    states = targets(in_flight, interval_s)
    choice = bounded(random.Random(1))(REQUEST, states, 0.0)
    if isinstance(choice, TargetState):
        assert choice.spec.name == chosen
    else:
        assert choice is chosen


@pytest.mark.parametrize(
    "policy",
    [
        round_robin(),
        least_reported(),
        two_choices(random.Random(1)),
        bounded(random.Random(1)),
    ],
)
@pytest.mark.parametrize("may_exceed_limit", [False, True])
def test_policies_report_full_without_targets(policy, may_exceed_limit):
    request = dataclasses.replace(REQUEST, may_exceed_limit=may_exceed_limit)
    assert policy(request, [], 0.0) is NoTarget.FULL
