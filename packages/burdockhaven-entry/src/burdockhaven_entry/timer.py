"""The timer service: one task that calls back the parts that subscribed."""

import asyncio
import heapq
import itertools
import random
from collections.abc import Callable

from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_entry.log_events import log

# Gets the time of the call, in monotonic seconds.
TimerCallback = Callable[[float], None]


class Subscription:
    """One callback and when it is due."""

    def __init__(
        self,
        due_s: float,
        callback: TimerCallback,
        interval_s: float | None,
        jitter: float,
    ) -> None:
        self.due_s = due_s
        self.callback = callback
        # None for a callback that is due once.
        self.interval_s = interval_s
        # Each interval is shortened by up to this fraction.
        self.jitter = jitter
        self.cancelled = False

    def cancel(self) -> None:
        """Ends the subscription; its callback is not called again."""
        self.cancelled = True


class TimerService:
    """Calls subscribers when they are due.

    Callbacks run one at a time in the order of their due times. One that raises is
    logged and harms no other. After a pause of the process a repeated callback is
    called once, not once for each interval missed, so that a pause causes no burst.
    """

    def __init__(self, clock: Callable[[], float], rng: random.Random) -> None:
        self.clock = clock
        self.rng = rng
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, Subscription]] = []
        self._schedule_changed = asyncio.Event()
        self._stopping = False

    def subscribe(
        self, interval_s: float, callback: TimerCallback, *, jitter: float = 0.0
    ) -> Subscription:
        """Calls back at each interval, the first time after one interval.

        With a jitter of 0.1 each interval lasts between 0.9 and 1 times as long, which
        keeps processes that started together from acting together.
        """
        if interval_s <= 0:
            raise ValueError(f"interval of {interval_s} s is not positive")
        if not 0 <= jitter < 1:
            raise ValueError(f"jitter of {jitter} is not in [0, 1)")
        subscription = Subscription(0.0, callback, interval_s, jitter)
        subscription.due_s = self.clock() + self._next_interval(subscription)
        self._push(subscription)
        self._schedule_changed.set()
        return subscription

    def call_at(self, due_s: float, callback: TimerCallback) -> Subscription:
        """Calls back once, at the time given or as soon as possible after it."""
        subscription = Subscription(due_s, callback, None, 0.0)
        self._push(subscription)
        self._schedule_changed.set()
        return subscription

    def run_due_callbacks(self) -> float | None:
        """Calls what is due now; gives the time of the next call, None if none is."""
        now = self.clock()
        while self._queue and (self._queue[0][0] <= now or self._queue[0][2].cancelled):
            subscription = heapq.heappop(self._queue)[2]
            if not subscription.cancelled:
                self._run_callback(subscription, now)
        return self._queue[0][0] if self._queue else None

    async def run(self) -> None:
        """Calls subscribers when they are due, until `stop`."""
        while not self._stopping:
            self._schedule_changed.clear()
            due_s = self.run_due_callbacks()
            if self._stopping:
                break
            timeout = None if due_s is None else max(0.0, due_s - self.clock())
            try:
                async with asyncio.timeout(timeout):
                    await self._schedule_changed.wait()
            except TimeoutError:
                continue

    def stop(self) -> None:
        """Makes `run` return; nothing is called after that."""
        self._stopping = True
        self._schedule_changed.set()

    def _run_callback(self, subscription: Subscription, now: float) -> None:
        if subscription.interval_s is not None:
            subscription.due_s = now + self._next_interval(subscription)
            self._push(subscription)
        try:
            subscription.callback(now)
        except Exception as error:
            log(EventNumber.INTERNAL_ERROR, step="timer", error=repr(error))

    def _next_interval(self, subscription: Subscription) -> float:
        assert subscription.interval_s is not None
        shortening = subscription.jitter * self.rng.random()
        return subscription.interval_s * (1.0 - shortening)

    def _push(self, subscription: Subscription) -> None:
        entry = (subscription.due_s, next(self._sequence), subscription)
        heapq.heappush(self._queue, entry)
