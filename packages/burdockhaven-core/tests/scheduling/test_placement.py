import dataclasses

from burdockhaven_core.scheduling.engine_load import EngineLoad, Run
from burdockhaven_core.scheduling.engine_speed import ASSUMED_STEP_MS, ServiceSpeed
from burdockhaven_core.scheduling.placement import PlacementConstraints, place

CONSTRAINTS = PlacementConstraints(
    prompt_tokens=600,
    parts=(),
    objective_left_ms=600,
    pause_objective_ms=300,
    excluded=(),
)


def engine(name, slowness=1.0, runs=0, first_event_seen=True, zone=""):
    step_ms = slowness * ASSUMED_STEP_MS
    speed = ServiceSpeed(6, step_ms_by_engine={name: step_ms})
    load = EngineLoad(name, 12, 800_000, speed, zone)
    for number in range(runs):
        load.add_run(
            Run(
                "entry",
                1,
                number,
                1_000,
                1_000,
                0.0,
                100.0,
                first_event_seen=first_event_seen,
            ),
            (),
        )
    return load


def chosen(constraints, *engines, now=0.0):
    found = place(constraints, engines, now)
    return None if found is None else found.engine.target


def changed(**changes):
    return dataclasses.replace(CONSTRAINTS, **changes)


def test_less_loaded_of_two_equal_engines_is_chosen():
    assert chosen(CONSTRAINTS, engine("a", runs=4), engine("b", runs=2)) == "b"


def test_engine_with_the_cached_session_is_preferred_at_equal_load():
    a, b = engine("a", runs=3), engine("b", runs=3)
    a.add_run(
        Run("entry", 1, 99, 1, 1, 0.0, 100.0, first_event_seen=True), (("s", 20_000),)
    )
    constraints = changed(prompt_tokens=20_000, parts=(("s", 20_000),))
    assert chosen(constraints, a, b) == "a"


def test_large_prompt_is_not_placed_where_it_would_stall_other_streams():
    constraints = changed(prompt_tokens=20_000, objective_left_ms=10_000)
    assert chosen(constraints, engine("slow", 3.0, runs=1)) is None
    assert chosen(
        constraints, engine("slow", 3.0, runs=1), engine("fast", 0.7, runs=9)
    ) == ("fast")


def test_small_prompt_prefers_an_idle_slow_engine_to_a_nearly_full_fast_one():
    fast, slow = engine("fast", 0.7, runs=11), engine("slow", 3.0)
    assert chosen(CONSTRAINTS, fast, slow) == "slow"


def test_long_answer_avoids_an_engine_too_slow_for_its_deadline():
    constraints = changed(output_tokens=1_000, deadline_left_ms=12_000)
    fast, slow = engine("fast", 0.7, runs=11), engine("slow", 3.0)
    assert chosen(constraints, fast, slow) == "fast"


def test_excluded_target_is_not_chosen():
    assert chosen(changed(excluded=("a",)), engine("a")) is None


def test_session_stays_at_its_engine_beside_an_idle_one():
    cached, idle = engine("cached", runs=5), engine("idle")
    cached.cached_parts["s"] = 6_000
    constraints = changed(prompt_tokens=6_000, parts=(("s", 6_000),))
    assert chosen(constraints, cached, idle) == "cached"


def test_session_leaves_a_nearly_full_engine():
    cached, idle = engine("cached", runs=11), engine("idle")
    cached.cached_parts["s"] = 6_000
    constraints = changed(prompt_tokens=6_000, parts=(("s", 6_000),))
    assert chosen(constraints, cached, idle) == "idle"


def test_engine_in_the_same_zone_is_chosen_at_similar_load():
    near, far = engine("near", runs=3, zone="a"), engine("far", runs=2, zone="b")
    assert chosen(changed(zone="a"), near, far) == "near"


def test_engine_in_another_zone_is_chosen_when_the_near_one_is_busy():
    near, far = engine("near", runs=8, zone="a"), engine("far", runs=2, zone="b")
    assert chosen(changed(zone="a"), near, far) == "far"
