"""Virtual time: calls in the order of their times, without waiting."""

import heapq
import itertools
from collections.abc import Callable

Call = Callable[[], None]


class Scheduler:
    """Runs calls at their times; equal times run in the order they were added."""

    def __init__(self) -> None:
        self.now = 0.0
        self._calls: list[tuple[float, int, Call]] = []
        self._order = itertools.count()

    def at(self, time_s: float, call: Call) -> None:
        """Run the call at a time; at once if the time has passed."""
        heapq.heappush(self._calls, (max(time_s, self.now), next(self._order), call))

    def after(self, seconds: float, call: Call) -> None:
        """Run the call after a number of seconds."""
        self.at(self.now + seconds, call)

    def every(self, interval_s: float, first_s: float, call: Call) -> None:
        """Run the call at a fixed interval for ever."""

        def again() -> None:
            call()
            self.after(interval_s, again)

        self.at(first_s, again)

    def run(self, until_s: float) -> None:
        """Run everything up to a time."""
        while self._calls and self._calls[0][0] <= until_s:
            self.now, _, call = heapq.heappop(self._calls)
            call()
        self.now = until_s
