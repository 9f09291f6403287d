"""Load pattern: all engines have runs, and their machines are slow now and then."""

import random

import pytest
from scheduling_samples import ME

from burdockhaven_core.scheduling.engine_load import EngineLoad, Run
from burdockhaven_core.scheduling.engine_speed import ServiceSpeed
from burdockhaven_core.scheduling.placement import PlacementConstraints, place

LONG_PROMPT_TOKENS = 50_000
PAUSE_OBJECTIVE_MS = 300.0
# Share of the time in which a machine is slow, and how much longer its work takes then.
SLOW_SHARE = 0.15
SLOWDOWN = 2.5
# Milliseconds of a step, of a prefill chunk beside it, and tokens of an event.
STEP_MS = 2.3
CHUNK_MS = 13.0
EVENT_TOKENS = 9


def learned_speed(reports):
    """Return what is learned from runs that were paused by prompts beside them."""
    rng = random.Random(1)
    speed = ServiceSpeed(tokens_per_event=EVENT_TOKENS)
    for _ in range(200):
        speed.record_pause("i-1", EVENT_TOKENS * STEP_MS)
    for _ in range(500):
        slowdown = SLOWDOWN if rng.random() < SLOW_SHARE else 1.0
        if reports:
            speed.slow_machines.record(slowdown)
        speed.first_event.record(10_000, 1.0, 50 + 10_000 / 1_000 * CHUNK_MS)
        pause_ms = slowdown * EVENT_TOKENS * (STEP_MS + CHUNK_MS)
        speed.record_prefill_pause("i-1", LONG_PROMPT_TOKENS, pause_ms)
    return speed


def busy_engine(speed):
    engine = EngineLoad("i-1", 5, 450_000, speed)
    run = Run(ME.node, ME.incarnation, 1, 600, 600, 0.0, 100.0, first_event_seen=True)
    engine.add_run(run, ())
    return engine


def place_long_prompt(engines, now):
    constraints = PlacementConstraints(
        LONG_PROMPT_TOKENS, (), 2_000.0, PAUSE_OBJECTIVE_MS, excluded=()
    )
    return place(constraints, engines, now)


# Guards against long prompts that wait for an idle engine until they are refused, since
# the pauses of slow machines are taken for those that prompts cause.
@pytest.mark.parametrize("reports", [True, False])
def test_long_prompt_is_placed_beside_runs(reports):
    found = place_long_prompt([busy_engine(learned_speed(reports))], now=1.0)
    # Without reports nothing tells the causes of pauses apart.
    assert (found is not None) == reports


# Guards against requests that are sent to a machine which is slow at this moment.
def test_engine_whose_machine_is_slow_now_is_avoided():
    speed = ServiceSpeed(tokens_per_event=EVENT_TOKENS)
    engines = [EngineLoad(f"i-{number}", 5, 450_000, speed) for number in range(2)]
    engines[0].record_machine(SLOWDOWN, 1.0)
    found = place_long_prompt(engines, now=1.1)
    assert found is not None and found.engine is engines[1]
