"""The step by step engine against what the platform's pages say of engines."""

import pytest

from burdockhaven_standins.step_engine import StepEngine, StepEngineConfig, StepRun


class Engine:
    def __init__(self, **changes):
        self.events = []
        self.config = StepEngineConfig(**changes)
        self.engine = StepEngine(self.config, self.on_event)
        self.now = 0.0

    def on_event(self, run, now, whole):
        self.events.append((run.run_id, now, whole))

    def submit(self, run_id, prompt=100, output=6, parts=()):
        self.engine.submit(StepRun(run_id, prompt, output, parts), self.now)

    def run(self, most_steps=100_000):
        for _ in range(most_steps):
            if not self.engine.busy:
                return
            self.now = self.engine.advance(self.now)
        raise AssertionError("the engine does not come to an end")

    def first_s(self, run_id):
        return next(at for number, at, _ in self.events if number == run_id)

    def whole(self):
        return [number for number, _, whole in self.events if whole]


def test_events_come_in_strides_and_the_last_says_so():
    engine = Engine(tokens_per_event=6)
    engine.submit(1, output=20)
    engine.run()
    assert [whole for _, _, whole in engine.events] == [False, False, False, True]


def test_requests_beyond_the_slots_wait_in_order_of_arrival():
    engine = Engine(slots=1)
    for number in (1, 2, 3):
        engine.submit(number)
    engine.run()
    assert engine.whole() == [1, 2, 3]


def test_a_long_prompt_lengthens_the_pauses_of_others():
    calm, disturbed = Engine(), Engine()
    for engine in (calm, disturbed):
        engine.submit(1, output=600)
    disturbed.submit(2, prompt=50_000)
    calm.run()
    disturbed.run()
    assert disturbed.engine.prefilled == 50_100
    times = [at for number, at, _ in disturbed.events if number == 1]
    alone = [at for number, at, _ in calm.events if number == 1]
    assert times[-1] > alone[-1]


def test_a_kept_part_is_not_read_again():
    engine = Engine()
    engine.submit(1, prompt=5_000, parts=(("a", 4_000), ("b", 1_000)))
    engine.run()
    engine.submit(2, prompt=5_000, parts=(("a", 4_000), ("c", 1_000)))
    engine.run()
    assert engine.engine.prefilled == 5_000 + 1_000


def test_a_part_is_of_no_use_without_those_before_it():
    engine = Engine()
    engine.submit(1, prompt=5_000, parts=(("a", 4_000), ("b", 1_000)))
    engine.run()
    engine.submit(2, prompt=5_000, parts=(("x", 4_000), ("b", 1_000)))
    engine.run()
    assert engine.engine.prefilled == 10_000


def test_the_least_recently_used_parts_yield():
    engine = Engine(memory_tokens=2_500)
    for number, part in enumerate("aba", 1):
        engine.submit(number, prompt=1_000, parts=((part, 1_000),))
        engine.run()
    engine.submit(4, prompt=1_000, parts=(("c", 1_000),))
    engine.run()
    assert list(engine.engine.cache) == ["a", "c"]


def test_the_newest_request_is_preempted_and_read_again_from_its_start():
    engine = Engine(memory_tokens=2_400)
    engine.submit(1, prompt=1_000, output=300)
    engine.submit(2, prompt=1_000, output=300)
    engine.run()
    assert engine.engine.preempted >= 1
    assert engine.engine.prefilled > 2_000
    assert engine.whole() == [1, 2]
    # No event comes twice.
    assert len([n for n, _, _ in engine.events if n == 2]) == 50


@pytest.mark.parametrize(("prompt", "fits"), [(900, True), (1_000, False)])
def test_a_request_larger_than_the_memory_does_not_fit(prompt, fits):
    engine = Engine(memory_tokens=1_000)
    assert engine.engine.fits(StepRun(1, prompt, 50)) is fits


def test_a_request_that_is_cancelled_frees_its_slot_and_memory():
    engine = Engine(slots=1)
    engine.submit(1, prompt=5_000, output=5_000)
    engine.submit(2)
    engine.now = engine.engine.advance(engine.now)
    engine.engine.cancel(1)
    engine.run()
    assert engine.whole() == [2]
    assert engine.engine.used_tokens == 0
