"""Discrete-event scheduler: runs callbacks in virtual time, without waiting."""

import heapq
import itertools
from collections.abc import Callable

Callback = Callable[[], None]


class Scheduler:
    """Runs callbacks in order of time, ties in the order they were added."""

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[tuple[float, int, Callback]] = []
        self._order = itertools.count()

    def at(self, time_s: float, callback: Callback) -> None:
        """Run the callback at a time, or now if that time has passed."""
        heapq.heappush(
            self._queue, (max(time_s, self.now), next(self._order), callback)
        )

    def after(self, seconds: float, callback: Callback) -> None:
        """Run the callback after a delay."""
        self.at(self.now + seconds, callback)

    def every(self, interval_s: float, first_s: float, callback: Callback) -> None:
        """Run the callback at a fixed interval, starting at `first_s`."""

        def run_and_repeat() -> None:
            callback()
            self.after(interval_s, run_and_repeat)

        self.at(first_s, run_and_repeat)

    def run(self, until_s: float) -> None:
        """Run all callbacks due up to and including a time, and advance to it."""
        while self._queue and self._queue[0][0] <= until_s:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = until_s
