import math

import pytest

from burdockhaven_standins.engine_model import (
    DuplicateRunError,
    EngineChunk,
    EngineConfig,
    EngineFinished,
    EngineLoad,
    EngineModel,
    EngineRun,
)
from burdockhaven_standins.prefix_cache import prompt_blocks

CONFIG = EngineConfig(
    slots=2,
    max_batch=4,
    token_interval_s=0.1,
    prefill_tokens_per_s=100.0,
    cache_tokens=40,
    block_tokens=10,
    hold_s=5.0,
)


def run(name, prompt=10, output=3, text=None):
    blocks = prompt_blocks((text or name) * prompt, CONFIG.block_tokens)
    return EngineRun(name, prompt, output, blocks)


def engine(*runs):
    model = EngineModel.from_config(CONFIG)
    for each in runs:
        model.submit(each, 0.0)
    return model


def finish_times_s(outputs):
    return {o.run_id: o.at_s for o in outputs if isinstance(o, EngineFinished)}


@pytest.mark.parametrize(
    ("runs", "expected"),
    [
        # Prefill of 0.1 s produces the first token; two steps of 0.1 s follow.
        ([run("a")], {"a": 0.3}),
        # Prompts are prefilled one at a time.
        ([run("a", output=1), run("b", output=1)], {"a": 0.1, "b": 0.2}),
        # Four runs on two slots take twice as long per token.
        ([run(n, prompt=0, output=2) for n in "abcd"], dict.fromkeys("abcd", 0.2)),
    ],
)
def test_finish_times_and_chunk_offsets(runs, expected):
    outputs = engine(*runs).advance(10.0)
    assert finish_times_s(outputs) == pytest.approx(expected, abs=0.101)
    for each in runs:
        chunks = [
            o for o in outputs if isinstance(o, EngineChunk) and o.run_id == each.run_id
        ]
        assert [c.offset for c in chunks] == list(range(each.output_tokens))


def test_batch_above_slots_slows_down():
    model = engine(*[run(n, prompt=0, output=2) for n in "abcd"])
    model.advance(0.0)
    assert model.next_event_s() == pytest.approx(0.1)
    model.advance(0.1)
    assert not model.decoding
    crowded = engine(*[run(n, prompt=0, output=3) for n in "abcd"])
    crowded.advance(0.1)
    assert crowded.next_event_s() == pytest.approx(0.3)


def test_cached_prefix_is_not_prefilled_again():
    model = engine(run("a", output=1, text="x"))
    model.advance(1.0)
    model.submit(run("b", prompt=15, output=1, text="x"), 1.0)
    (_, finished) = model.advance(2.0)
    assert finished.cached_tokens == 10
    assert finished.at_s == pytest.approx(1.05)
    assert model.prefill_done_tokens == 15


def test_cache_memory_is_limited():
    model = engine(run("a", text="x"), run("b", prompt=40, text="y"))
    model.advance(5.0)
    model.submit(run("c", text="x"), 5.0)
    model.advance(10.0)
    assert model.states["c"].cached_tokens == 0


def test_cancel_counts_wasted_prefill():
    model = engine(run("a", prompt=100), run("b", prompt=100), run("c", prompt=100))
    model.advance(1.0)
    assert model.cancel("a", 1.0)
    assert model.cancel("b", 1.5)
    assert not model.cancel("b", 1.5)
    assert model.prefill_wasted_tokens == 150
    assert finish_times_s(model.advance(10.0))["c"] == pytest.approx(2.7)


def test_stuck_engine_resumes_its_work():
    model = engine(run("a", prompt=100, output=1))
    model.set_slowness(math.inf, 0.5)
    assert model.advance(100.0) == []
    assert model.next_event_s() == math.inf
    model.set_slowness(2.0, 100.0)
    assert finish_times_s(model.advance(200.0)) == pytest.approx({"a": 101.0})


def test_stalled_run_does_not_delay_others():
    model = engine(run("a", prompt=0), run("b", prompt=0))
    model.advance(0.0)
    model.stall("a")
    assert finish_times_s(model.advance(5.0)).keys() == {"b"}
    model.stall("a", False)
    assert finish_times_s(model.advance(10.0)).keys() == {"a"}


def test_duplicate_submission_is_counted_and_rejected():
    model = engine(run("a"))
    with pytest.raises(DuplicateRunError):
        model.submit(run("a"), 0.0)
    assert model.submissions["a"] == 2


def test_load_report_lags_and_includes_waiting_runs():
    model = engine(*[run(n, prompt=1000) for n in "abcdef"])
    assert model.load(0.5) == EngineLoad(0, 0)
    assert model.load(1.0) == EngineLoad(4, 2)


def test_finished_runs_expire_after_hold_time():
    model = engine(run("a", output=1))
    model.advance(4.0)
    assert model.states["a"].emitted == 1
    model.advance(6.0)
    assert "a" not in model.states
