import random

import pytest

from burdockhaven_core.scheduling.first_event_model import FirstEventModel

# Base, milliseconds per token and per token squared of engines of unlike kinds.
ENGINES = [(16.0, 0.02, 0.0), (70.0, 0.008, 1.3e-7), (250.0, 0.002, 1e-8)]


def first_event_ms(engine, tokens, slowness=1.0):
    base, per_token, per_pair = engine
    return base + slowness * (per_token * tokens + per_pair * tokens * tokens)


def train(engine, samples=300, noise=0.1):
    rng = random.Random(1)
    model = FirstEventModel()
    for _ in range(samples):
        tokens = min(50_000, int(rng.lognormvariate(7.5, 1.2)))
        slowness = rng.choice((1.0, 1.0, 4.0))
        ms = first_event_ms(engine, tokens, slowness)
        model.record(tokens, slowness, ms * rng.uniform(1 - noise, 1 + noise))
    return model


@pytest.mark.parametrize("engine", ENGINES)
@pytest.mark.parametrize("tokens", [100, 1_000, 5_000, 20_000])
@pytest.mark.parametrize("slowness", [1.0, 4.0])
def test_prediction_follows_the_engines_behaviour(engine, tokens, slowness):
    model = train(engine)
    expected = first_event_ms(engine, tokens, slowness)
    assert model.predict_ms(tokens, slowness) == pytest.approx(expected, rel=0.15)


def test_few_stalled_first_events_hardly_change_the_prediction():
    model = train(ENGINES[0])
    before_ms = model.predict_ms(2_000)
    for _ in range(3):
        model.record(2_000, 1.0, 60_000.0)
    assert model.predict_ms(2_000) < 1.2 * before_ms


def test_no_coefficient_is_negative():
    model = train((100.0, 0.0, 0.0), noise=0.5)
    assert min(model.coefficients) >= 0.0


def test_prefill_time_excludes_the_base():
    model = train(ENGINES[1])
    assert model.prefill_ms(0) == 0.0
    assert model.prefill_ms(4_000) < model.predict_ms(4_000)


def test_model_follows_a_change_of_the_engines():
    model = train(ENGINES[0])
    for _ in range(600):
        model.record(2_000, 1.0, 500.0)
    assert model.predict_ms(2_000) == pytest.approx(500.0, rel=0.1)
