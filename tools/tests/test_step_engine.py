"""The step-based engine model against the platform's documentation of engines."""

import pytest

from burdockhaven_standins.step_engine import StepEngine, StepEngineConfig, StepRun


class EngineDriver:
    def __init__(self, **changes):
        self.events = []
        self.config = StepEngineConfig(**changes)
        self.engine = StepEngine(self.config, self.on_event)
        self.now = 0.0

    def on_event(self, run, now, is_complete):
        self.events.append((run.run_id, now, is_complete))

    def submit(self, run_id, prompt=100, output=6, parts=()):
        self.engine.submit(StepRun(run_id, prompt, output, parts), self.now)

    def run(self, max_steps=100_000):
        for _ in range(max_steps):
            if not self.engine.is_busy:
                return
            self.now = self.engine.advance(self.now)
        raise AssertionError("engine still busy after the maximum number of steps")

    def first_s(self, run_id):
        return next(at for number, at, _ in self.events if number == run_id)

    def completed_runs(self):
        return [number for number, _, is_complete in self.events if is_complete]


def test_events_carry_a_fixed_token_count_and_last_is_marked():
    engine = EngineDriver(tokens_per_event=6)
    engine.submit(1, output=20)
    engine.run()
    assert [is_complete for _, _, is_complete in engine.events] == [
        False,
        False,
        False,
        True,
    ]


def test_requests_without_a_slot_are_served_in_arrival_order():
    engine = EngineDriver(slots=1)
    for number in (1, 2, 3):
        engine.submit(number)
    engine.run()
    assert engine.completed_runs() == [1, 2, 3]


def test_long_prompt_slows_decoding_of_others():
    undisturbed, disturbed = EngineDriver(), EngineDriver()
    for engine in (undisturbed, disturbed):
        engine.submit(1, output=600)
    disturbed.submit(2, prompt=50_000)
    undisturbed.run()
    disturbed.run()
    assert disturbed.engine.prefilled_tokens == 50_100
    times = [at for number, at, _ in disturbed.events if number == 1]
    alone = [at for number, at, _ in undisturbed.events if number == 1]
    assert times[-1] > alone[-1]


def test_cached_part_is_not_prefilled_again():
    engine = EngineDriver()
    engine.submit(1, prompt=5_000, parts=(("a", 4_000), ("b", 1_000)))
    engine.run()
    engine.submit(2, prompt=5_000, parts=(("a", 4_000), ("c", 1_000)))
    engine.run()
    assert engine.engine.prefilled_tokens == 5_000 + 1_000


def test_cached_part_without_its_prefix_is_prefilled():
    engine = EngineDriver()
    engine.submit(1, prompt=5_000, parts=(("a", 4_000), ("b", 1_000)))
    engine.run()
    engine.submit(2, prompt=5_000, parts=(("x", 4_000), ("b", 1_000)))
    engine.run()
    assert engine.engine.prefilled_tokens == 10_000


def test_least_recently_used_parts_are_evicted():
    engine = EngineDriver(memory_tokens=2_500)
    for number, part in enumerate("aba", 1):
        engine.submit(number, prompt=1_000, parts=((part, 1_000),))
        engine.run()
    engine.submit(4, prompt=1_000, parts=(("c", 1_000),))
    engine.run()
    assert list(engine.engine.cache) == ["a", "c"]


def test_newest_request_is_preempted_and_prefilled_from_start():
    engine = EngineDriver(memory_tokens=2_400)
    engine.submit(1, prompt=1_000, output=300)
    engine.submit(2, prompt=1_000, output=300)
    engine.run()
    assert engine.engine.preemptions >= 1
    assert engine.engine.prefilled_tokens > 2_000
    assert engine.completed_runs() == [1, 2]
    # No event is repeated after the preemption.
    assert len([n for n, _, _ in engine.events if n == 2]) == 50


@pytest.mark.parametrize(("prompt", "fits"), [(900, True), (1_000, False)])
def test_request_larger_than_memory_does_not_fit(prompt, fits):
    engine = EngineDriver(memory_tokens=1_000)
    assert engine.engine.fits(StepRun(1, prompt, 50)) is fits


def test_cancelled_request_frees_slot_and_memory():
    engine = EngineDriver(slots=1)
    engine.submit(1, prompt=5_000, output=5_000)
    engine.submit(2)
    engine.now = engine.engine.advance(engine.now)
    engine.engine.cancel(1)
    engine.run()
    assert engine.completed_runs() == [2]
    assert engine.engine.used_tokens == 0
