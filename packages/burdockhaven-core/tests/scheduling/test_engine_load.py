import pytest

from burdockhaven_core.scheduling.engine_load import EngineLoad, Run
from burdockhaven_core.scheduling.engine_speed import ServiceSpeed


def engine(**changes):
    values = {"slots": 12, "cache_tokens": 100_000, "speed": ServiceSpeed(6)}
    return EngineLoad("i-1", **(values | changes))


def run(number=1, prefill_tokens=1_000, granted_s=0.0, **changes):
    return Run(
        "entry", 1, number, prefill_tokens, prefill_tokens, granted_s, 100.0, **changes
    )


def test_prefill_backlog_delays_a_new_request_until_it_is_prefilled():
    load = engine()
    alone_ms = load.first_event_ms(1_000, load.backlog(0.0))
    load.add_run(run(prefill_tokens=10_000), ())
    assert load.first_event_ms(1_000, load.backlog(0.0)) > alone_ms + 80
    assert load.first_event_ms(1_000, load.backlog(0.2)) == pytest.approx(alone_ms)


def test_overdue_run_is_dropped_from_the_backlog():
    load = engine()
    load.add_run(run(prefill_tokens=50_000), ())
    assert load.backlog(0.1).tokens == 50_000
    assert load.backlog(0.5).tokens == 0


def test_engine_is_not_stalled_while_another_run_progresses():
    load = engine()
    load.add_run(run(1), ())
    assert not load.is_stalled(0.5)
    assert load.is_stalled(1.5)
    load.record_progress(1.4)
    assert not load.is_stalled(1.5)


def test_only_a_cached_prefix_of_parts_counts():
    load = engine()
    load.add_run(run(), (("a", 60), ("b", 500)))
    assert load.prefill_tokens((("a", 60), ("b", 500)), 600) == 40
    assert load.prefill_tokens((("a", 60), ("c", 500)), 600) == 540
    assert load.prefill_tokens((("c", 60), ("b", 500)), 600) == 600


def test_least_recently_used_parts_are_evicted():
    load = engine(cache_tokens=1_000)
    load.add_run(run(1), (("a", 400),))
    load.add_run(run(2), (("b", 400),))
    assert load.prefill_tokens((("a", 400),), 400) == 400
    assert load.prefill_tokens((("b", 400),), 400) == 0


def test_first_event_behind_another_prompt_teaches_nothing():
    load = engine()
    load.add_run(run(1), ())
    behind = run(2)
    load.add_run(behind, ())
    before_ms = load.first_event_ms(1_000, load.backlog(9.0))
    load.record_first_event(behind, 10.0, 9.0)
    assert load.first_event_ms(1_000, load.backlog(9.0)) == before_ms


def test_ejection_time_doubles_with_consecutive_failures():
    load = engine()
    load.eject(0.0)
    first_s = load.ejected_until_s
    load.eject(first_s)
    assert load.ejected_until_s - first_s > first_s


def test_full_ejected_and_stalled_engines_are_unavailable():
    full, ejected, stalled = engine(slots=1), engine(), engine()
    full.add_run(run(), ())
    ejected.eject(0.0)
    stalled.add_run(run(), ())
    assert engine().is_available(0.1)
    assert not full.is_available(0.1)
    assert not ejected.is_available(0.1)
    assert not stalled.is_available(5.0)


def test_engine_is_ejected_after_several_runs_without_a_response():
    """An engine that crashed or flaps resets every request, unlike a lost response."""
    load = engine()
    load.record_disconnect(0.0)
    assert load.is_available(0.0)
    load.record_disconnect(0.1)
    assert not load.is_available(0.2)


def test_progress_between_disconnects_keeps_an_engine_in():
    load = engine()
    for now in (0.0, 1.0, 2.0):
        load.record_disconnect(now)
        load.record_progress(now + 0.5)
    assert load.is_available(2.6)


def test_ejected_engine_returns_with_a_single_request():
    load = engine()
    load.eject(0.0)
    returned_s = load.ejected_until_s + 0.1
    assert load.free_slots() == 1
    load.add_run(run(granted_s=returned_s), ())
    assert not load.is_available(returned_s)
    load.record_progress(returned_s + 0.1)
    assert load.is_available(returned_s + 0.1)
