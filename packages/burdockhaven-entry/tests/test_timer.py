"""The timer service under a clock that the test moves."""

import asyncio
import random

from burdockhaven_entry.timer import TimerService


class FakeClock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def new_service():
    clock = FakeClock()
    return clock, TimerService(clock, random.Random(1))


def test_a_subscriber_is_called_at_each_interval():
    clock, service = new_service()
    calls = []
    service.subscribe(2.0, calls.append)
    for _ in range(6):
        clock.now += 1.0
        service.run_due()
    assert calls == [102.0, 104.0, 106.0]


def test_a_pause_causes_one_call_and_not_a_burst():
    clock, service = new_service()
    calls = []
    service.subscribe(1.0, calls.append)
    clock.now += 50.0
    assert service.run_due() == 151.0
    assert calls == [150.0]


def test_jitter_shortens_intervals_within_its_bound():
    clock, service = new_service()
    service.subscribe(1.0, lambda now: None, jitter=0.2)
    gaps = set()
    for _ in range(50):
        due = service.run_due()
        gaps.add(round(due - clock.now, 9))
        clock.now = due
    assert all(0.8 <= gap <= 1.0 for gap in gaps)
    assert len(gaps) > 25


def test_a_cancelled_subscriber_is_not_called_even_by_another_one():
    clock, service = new_service()
    calls = []
    service.at(101.0, lambda now: later.cancel())
    later = service.at(102.0, calls.append)
    repeated = service.subscribe(1.0, calls.append)
    repeated.cancel()
    clock.now = 110.0
    assert service.run_due() is None
    assert calls == []


def test_a_failing_callback_harms_no_other():
    clock, service = new_service()
    calls = []
    service.subscribe(1.0, lambda now: 1 / 0)
    service.subscribe(1.0, calls.append)
    for _ in range(2):
        clock.now += 1.0
        service.run_due()
    assert calls == [101.0, 102.0]


async def test_the_task_calls_back_and_stops():
    loop = asyncio.get_running_loop()
    service = TimerService(loop.time, random.Random(1))
    task = asyncio.create_task(service.run())
    first = asyncio.Event()
    second = asyncio.Event()
    service.subscribe(0.001, lambda now: first.set())
    await first.wait()
    service.at(loop.time(), lambda now: second.set())
    await second.wait()
    service.stop()
    await task
