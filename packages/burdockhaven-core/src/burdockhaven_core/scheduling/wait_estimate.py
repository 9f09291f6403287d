"""How long a request will wait for an engine."""

from collections.abc import Iterable

from burdockhaven_core.scheduling.engine_load import EngineLoad
from burdockhaven_core.scheduling.queue_order import QueueClass, QueuedRequest
from burdockhaven_core.scheduling.route_costs import RouteCosts
from burdockhaven_core.scheduling.sliding_window import SlidingWindow

# Seconds over which the rate of arrivals is measured.
ARRIVAL_WINDOW_S = 1.0
# Part of the engines, and slots, that are assumed to be left for a waiting request at
# least.
MIN_FREE_FRACTION = 0.05
MIN_FREE_SLOTS = 0.1


class WaitEstimator:
    """The arrivals of the last second, by class."""

    def __init__(self, costs: RouteCosts) -> None:
        self.costs = costs
        self.arrivals: dict[QueueClass, SlidingWindow] = {}

    def record_arrival(self, queued: QueuedRequest, now: float) -> None:
        """A request has arrived."""
        queue_class = queued.queue_class(now)
        window = self.arrivals.get(queue_class)
        if window is None:
            window = self.arrivals[queue_class] = SlidingWindow(ARRIVAL_WINDOW_S)
        window.add(1.0, now)

    def wait_s(
        self,
        queued: QueuedRequest,
        work_s: float,
        engines: Iterable[EngineLoad],
        now: float,
    ) -> float:
        """Seconds until so many slot seconds of work before a request are done.

        Requests that arrive later and go first take their part of the engines; where
        they take all, the wait has no end.
        """
        capacity = sum(engine.slots / engine.slowness for engine in engines)
        free = capacity - self._higher_priority_load(queued.queue_class(now), now)
        return work_s / max(free, MIN_FREE_FRACTION * capacity, MIN_FREE_SLOTS)

    def _higher_priority_load(self, own: QueueClass, now: float) -> float:
        """Slot seconds a second of newcomers that go before a class."""
        class_key = own.sort_key(self.costs)
        total = 0.0
        for queue_class, window in list(self.arrivals.items()):
            arrived = window.sum(now)
            if not arrived:
                del self.arrivals[queue_class]
            elif queue_class.service == own.service and (
                queue_class.sort_key(self.costs) < class_key
            ):
                total += (
                    arrived / ARRIVAL_WINDOW_S * self.costs.average_s(queue_class.route)
                )
        return total
