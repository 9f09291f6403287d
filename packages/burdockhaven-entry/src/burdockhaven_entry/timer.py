"""Timer service: one task that runs periodic and one-shot callbacks."""

import asyncio
import heapq
import itertools
import random
from collections.abc import Callable

from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_entry.log_events import log

# Called with the current time in monotonic seconds.
TimerCallback = Callable[[float], None]


class Subscription:
    """A callback and the time at which it is due."""

    def __init__(
        self,
        due_s: float,
        callback: TimerCallback,
        interval_s: float | None,
        jitter: float,
    ) -> None:
        self.due_s = due_s
        self.callback = callback
        # None for a one-shot callback.
        self.interval_s = interval_s
        # Largest fraction by which an interval is shortened at random.
        self.jitter = jitter
        self.cancelled = False

    def cancel(self) -> None:
        """Cancel the subscription; its callback is not called again."""
        self.cancelled = True


class TimerService:
    """Runs the callbacks of subscriptions when they are due.

    Callbacks run one at a time in the order of their due times. An exception in one is
    logged and does not affect the others. After a pause of the process, a periodic
    callback runs once instead of once for each missed interval, to avoid a burst.
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
        """Run the callback periodically, for the first time after one interval.

        With a jitter of 0.1, each interval is multiplied by a random factor between 0.9
        and 1, so that processes that started together do not act at the same time.
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
        """Run the callback once, at the given time or as soon as possible after it."""
        subscription = Subscription(due_s, callback, None, 0.0)
        self._push(subscription)
        self._schedule_changed.set()
        return subscription

    def run_due_callbacks(self) -> float | None:
        """Run all due callbacks; return the next due time, or None if there is none."""
        now = self.clock()
        while self._queue and (self._queue[0][0] <= now or self._queue[0][2].cancelled):
            subscription = heapq.heappop(self._queue)[2]
            if not subscription.cancelled:
                self._run_callback(subscription, now)
        return self._queue[0][0] if self._queue else None

    async def run(self) -> None:
        """Run callbacks when they are due, until `stop` is called."""
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
        """Make `run` return; no callback runs after that."""
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
