import pytest

from burdockhaven_core.scheduling.engine_load import EngineLoad, Run


def engine(**changes):
    values = {"slots": 12, "tokens_per_event": 6, "cache_tokens": 100_000}
    return EngineLoad("i-1", **(values | changes))


def run(number=1, unread=1_000, granted_s=0.0, **changes):
    return Run("entry", 1, number, unread, unread, granted_s, 100.0, **changes)


def test_prompts_before_a_new_one_delay_it_until_they_are_read():
    load = engine()
    alone_ms = load.first_event_ms(1_000, 0.0)
    load.start(run(unread=10_000), ())
    assert load.first_event_ms(1_000, 0.0) > alone_ms + 80
    assert load.first_event_ms(1_000, 0.2) == pytest.approx(alone_ms)


def test_a_lost_answer_is_no_backlog_for_ever():
    load = engine()
    load.start(run(unread=50_000), ())
    assert load.backlog_tokens(0.1) == 50_000
    assert load.backlog_tokens(0.5) == 0


def test_an_engine_is_stalled_only_if_no_other_run_brings_news():
    load = engine()
    load.start(run(1), ())
    assert not load.is_stalled(0.5)
    assert load.is_stalled(1.5)
    load.heard(1.4)
    assert not load.is_stalled(1.5)


def test_the_parts_of_a_prompt_count_as_kept_in_order():
    load = engine()
    load.start(run(), (("a", 60), ("b", 500)))
    assert load.unread((("a", 60), ("b", 500)), 600) == 40
    assert load.unread((("a", 60), ("c", 500)), 600) == 540
    assert load.unread((("c", 60), ("b", 500)), 600) == 600


def test_the_oldest_parts_yield_when_the_memory_fills():
    load = engine(cache_tokens=1_000)
    load.start(run(1), (("a", 400),))
    load.start(run(2), (("b", 400),))
    assert load.unread((("a", 400),), 400) == 400
    assert load.unread((("b", 400),), 400) == 0


def test_the_speed_is_learned_from_pauses():
    load = engine()
    for _ in range(20):
        load.learn_pause(70.0)
    assert load.slowness == pytest.approx(70.0 / (6 * 3.9), rel=0.01)


def test_an_engine_that_can_not_be_reached_is_left_alone_ever_longer():
    load = engine()
    load.eject(0.0)
    first_s = load.ejected_until_s
    load.eject(first_s)
    assert load.ejected_until_s - first_s > first_s


def test_a_full_an_ejected_and_a_stalled_engine_take_no_work():
    full, ejected, stalled = engine(slots=1), engine(), engine()
    full.start(run(), ())
    ejected.eject(0.0)
    stalled.start(run(), ())
    assert engine().takes_work(0.1)
    assert not full.takes_work(0.1)
    assert not ejected.takes_work(0.1)
    assert not stalled.takes_work(5.0)
