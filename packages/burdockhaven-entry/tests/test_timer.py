"""The timer service under a clock that the test moves."""

import asyncio
import random

from burdockhaven_entry.timer import TimerService


class FakeClock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def create_service():
    clock = FakeClock()
    return clock, TimerService(clock, random.Random(1))


def test_subscriber_is_called_at_each_interval():
    clock, service = create_service()
    calls = []
    service.subscribe(2.0, calls.append)
    for _ in range(6):
        clock.now += 1.0
        service.run_due_callbacks()
    assert calls == [102.0, 104.0, 106.0]


def test_process_pause_causes_one_call_per_subscription():
    clock, service = create_service()
    calls = []
    service.subscribe(1.0, calls.append)
    clock.now += 50.0
    assert service.run_due_callbacks() == 151.0
    assert calls == [150.0]


def test_jitter_shortens_intervals_by_at_most_its_fraction():
    clock, service = create_service()
    service.subscribe(1.0, lambda now: None, jitter=0.2)
    intervals = set()
    for _ in range(50):
        due_s = service.run_due_callbacks()
        intervals.add(round(due_s - clock.now, 9))
        clock.now = due_s
    assert all(0.8 <= interval <= 1.0 for interval in intervals)
    assert len(intervals) > 25


def test_subscription_cancelled_by_another_callback_is_not_called():
    clock, service = create_service()
    calls = []
    service.call_at(101.0, lambda now: later.cancel())
    later = service.call_at(102.0, calls.append)
    repeated = service.subscribe(1.0, calls.append)
    repeated.cancel()
    clock.now = 110.0
    assert service.run_due_callbacks() is None
    assert calls == []


def test_failing_callback_does_not_affect_others():
    clock, service = create_service()
    calls = []
    service.subscribe(1.0, lambda now: 1 / 0)
    service.subscribe(1.0, calls.append)
    for _ in range(2):
        clock.now += 1.0
        service.run_due_callbacks()
    assert calls == [101.0, 102.0]


async def test_run_calls_subscribers_until_stopped():
    loop = asyncio.get_running_loop()
    service = TimerService(loop.time, random.Random(1))
    task = asyncio.create_task(service.run())
    first = asyncio.Event()
    second = asyncio.Event()
    service.subscribe(0.001, lambda now: first.set())
    await first.wait()
    service.call_at(loop.time(), lambda now: second.set())
    await second.wait()
    service.stop()
    await task
