"""Measured speed and capacity of targets."""

import pytest

from burdockhaven_core.configuration import (
    Configuration,
    GroupKind,
    GroupSpec,
    TargetSpec,
    Template,
)
from burdockhaven_core.identity import GroupName, RunId, TargetName
from burdockhaven_core.messages import GroupDemand
from burdockhaven_core.targets import MEASUREMENT_VALIDITY_S, TargetState, TargetTable

SPEC = TargetSpec(TargetName("t"), "http://127.0.0.1:1", "z1", 16)
GROUP = GroupName("g")


@pytest.mark.parametrize(
    ("slots", "mean_run_duration_s", "capacity"),
    [(2, 10.0, 2), (16, 30.0, 19), (16, 1.0, 24), (4, 0.01, 12)],
)
def test_capacity_allows_a_short_target_queue(slots, mean_run_duration_s, capacity):
    state = TargetState(TargetSpec(TargetName("t"), "http://127.0.0.1:1", "z1", slots))
    state.mean_run_duration_s = mean_run_duration_s
    assert state.capacity == capacity


def test_slowdown_is_detected_from_the_chunks_of_one_run():
    state = TargetState(SPEC)
    run = RunId("r")
    state.last_token_s[run] = now = 0.0
    for _ in range(40):
        now += 0.8
        state.observe_decode(run, 5, now)
        state.last_token_s[run] = now
    assert state.token_interval_s == pytest.approx(0.16, rel=0.05)


def test_queueing_of_short_prompts_does_not_skew_the_prefill_rate():
    state = TargetState(SPEC)
    for _ in range(50):
        state.observe_prefill(8_000, 0.5)
        for _ in range(20):
            state.observe_prefill(100, 0.3)
    assert state.prefill_rate > 5_000


def table():
    group = GroupSpec(GROUP, GroupKind.MODEL, (SPEC,))
    targets = TargetTable()
    targets.apply(Configuration(1, {"s": Template("s", (group,), ())}))
    return targets


def test_peer_speed_measurements_are_merged():
    measuring, idle = table(), table()
    slow = measuring.states[SPEC.name]
    slow.token_interval_s = 0.32
    slow.measured_at_s = 5.0
    for now in (5.0, 5.0 + MEASUREMENT_VALIDITY_S + 1):
        reported_us = (slow.recent_interval_us(now),)
        for _ in range(30):
            idle.merge_peer_measurements([GroupDemand(GROUP, (), {}, (), reported_us)])
    assert idle.states[SPEC.name].token_interval_s == pytest.approx(0.32, rel=0.1)
    assert reported_us == (0,)
