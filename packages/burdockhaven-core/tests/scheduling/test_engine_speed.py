import pytest

from burdockhaven_core.scheduling.engine_speed import ServiceSpeed

TOKENS_PER_EVENT = 6


def measured_speed(**step_ms):
    speed = ServiceSpeed(TOKENS_PER_EVENT)
    for _ in range(20):
        for target, ms in step_ms.items():
            speed.record_pause(target, ms * TOKENS_PER_EVENT)
    return speed


def test_slowness_is_relative_to_the_median_engine():
    speed = measured_speed(a=2.0, b=2.0, c=9.0)
    assert speed.nominal_step_ms == pytest.approx(2.0)
    assert speed.slowness("a") == pytest.approx(1.0)
    assert speed.slowness("c") == pytest.approx(4.5)


def test_unmeasured_engine_counts_as_nominal():
    speed = measured_speed(a=2.0)
    assert speed.slowness("new") == 1.0
    assert not speed.is_measured("new")


def test_events_that_arrive_together_make_no_engine_fast():
    speed = measured_speed(a=2.0, b=2.0, c=2.0)
    speed.record_pause("a", 0.1 * TOKENS_PER_EVENT)
    assert speed.slowness("a") > 0.7
    assert speed.nominal_step_ms == pytest.approx(2.0)


def test_pause_limit_survives_a_model_without_prefill_time():
    speed = measured_speed(a=2.0)
    for _ in range(300):
        speed.record_first_event("a", 1_000, 50.0)
    speed.first_event.coefficients = (50.0, 0.0, 0.0)
    speed.record_prefill_pause("a", 20_000, 80.0)
    assert speed.prefill_pause_limit_ms is None


def test_sudden_slowdown_counts_at_once():
    speed = measured_speed(a=2.0, b=2.0, c=2.0)
    speed.record_pause("c", 10.0 * TOKENS_PER_EVENT)
    assert speed.slowness("c") == pytest.approx(5.0)


def test_small_deviation_is_averaged():
    speed = measured_speed(a=2.0, b=2.0, c=2.0)
    speed.record_pause("c", 3.0 * TOKENS_PER_EVENT)
    assert 1.0 < speed.slowness("c") < 1.3


def test_prefill_takes_longer_on_a_slow_engine():
    """The way to the engine and back does not."""
    speed = measured_speed(a=2.0, b=2.0, slow=8.0)
    for tokens in (100, 4_000) * 200:
        speed.record_first_event("a", tokens, 50.0 + 0.01 * tokens)
        speed.record_first_event("slow", tokens, 50.0 + 0.04 * tokens)
    assert speed.first_event.predict_ms(4_000, 1.0) == pytest.approx(90.0, rel=0.1)
    assert speed.first_event.predict_ms(4_000, 4.0) == pytest.approx(210.0, rel=0.1)
    assert speed.first_event.predict_ms(0, 4.0) == pytest.approx(50.0, rel=0.1)


def test_error_of_the_predictions_falls_as_they_are_learned():
    speed = measured_speed(a=2.0)
    for _ in range(20):
        speed.record_first_event("a", 1_000, 400.0)
    untrained = speed.first_event_error
    for _ in range(200):
        speed.record_first_event("a", 1_000, 400.0)
    assert speed.first_event_error < untrained / 4


def test_pauses_show_how_much_prefill_engines_do_between_two_steps():
    speed = measured_speed(a=2.0)
    long_prompt = 40_000
    unlimited_ms = speed.prefill_ms(long_prompt)
    for _ in range(100):
        speed.record_prefill_pause("a", long_prompt, 40.0)
    steps_ms = TOKENS_PER_EVENT * 2.0
    assert speed.pause_ms(long_prompt) < unlimited_ms / 2
    assert speed.pause_ms(long_prompt) - steps_ms == pytest.approx(28.0, rel=0.3)


def test_pause_beside_a_short_prompt_shows_nothing():
    speed = measured_speed(a=2.0)
    before_ms = speed.pause_ms(40_000)
    speed.record_prefill_pause("a", 100, 500.0)
    assert speed.pause_ms(40_000) == before_ms


def test_engines_that_are_gone_are_discarded():
    speed = measured_speed(a=2.0, b=8.0, c=8.0)
    speed.retain({"a"})
    assert speed.nominal_step_ms == pytest.approx(2.0)
    assert not speed.is_measured("b")
