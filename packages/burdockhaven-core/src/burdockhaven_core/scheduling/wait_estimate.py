"""Estimates how long a request will wait for an engine."""

from collections.abc import Iterable

from burdockhaven_core.scheduling.engine_load import EngineLoad
from burdockhaven_core.scheduling.queue_order import QueueClass, QueuedRequest
from burdockhaven_core.scheduling.route_costs import RouteCosts
from burdockhaven_core.scheduling.sliding_window import SlidingWindow

# Seconds over which the arrival rate is measured.
ARRIVAL_WINDOW_S = 1.0
# Lower bounds of the capacity that is assumed to remain for a waiting request: a
# fraction of the engines' capacity, and a number of slots.
MIN_FREE_FRACTION = 0.05
MIN_FREE_SLOTS = 0.1


class WaitEstimator:
    """Estimates waits from the arrival rate of each queue class."""

    def __init__(self, costs: RouteCosts) -> None:
        self.costs = costs
        self.arrivals: dict[QueueClass, SlidingWindow] = {}

    def record_arrival(self, queued: QueuedRequest, now: float) -> None:
        """Count a request that has arrived."""
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
        """Estimate the seconds until the work ahead of a request is done.

        The work is in slot seconds. Later arrivals that go ahead of the request take
        part of the capacity. If they take all of it, the wait is bounded only by the
        minimum free capacity.
        """
        capacity = sum(engine.slots / engine.slowness for engine in engines)
        free = capacity - self._higher_priority_load(queued.queue_class(now), now)
        return work_s / max(free, MIN_FREE_FRACTION * capacity, MIN_FREE_SLOTS)

    def _higher_priority_load(self, own: QueueClass, now: float) -> float:
        """Return the slot seconds per second of arrivals that go ahead of a class."""
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
