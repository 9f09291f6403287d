"""Virtual time: calls in the order of their times, without waiting."""

import heapq
import itertools
from collections.abc import Callable

Callback = Callable[[], None]


class Scheduler:
    """Runs calls at their times; equal times run in the order they were added."""

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[tuple[float, int, Callback]] = []
        self._order = itertools.count()

    def at(self, time_s: float, callback: Callback) -> None:
        """Run the call at a time; at once if the time has passed."""
        heapq.heappush(
            self._queue, (max(time_s, self.now), next(self._order), callback)
        )

    def after(self, seconds: float, callback: Callback) -> None:
        """Run the call after a number of seconds."""
        self.at(self.now + seconds, callback)

    def every(self, interval_s: float, first_s: float, callback: Callback) -> None:
        """Run the call at a fixed interval for ever."""

        def run_and_repeat() -> None:
            callback()
            self.after(interval_s, run_and_repeat)

        self.at(first_s, run_and_repeat)

    def run(self, until_s: float) -> None:
        """Run everything up to a time."""
        while self._queue and self._queue[0][0] <= until_s:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = until_s
