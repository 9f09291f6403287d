"""Estimates how long a request will wait for an engine."""

import math
from collections.abc import Collection, Mapping

from burdockhaven_core.scheduling.engine_load import EngineLoad
from burdockhaven_core.scheduling.queue_order import QueueClass, QueuedRequest
from burdockhaven_core.scheduling.route_costs import RouteCosts
from burdockhaven_core.scheduling.target_limits import RateLimiters
from burdockhaven_core.sliding_window import SlidingWindow

# Seconds over which the arrival rate is measured. The lower rate of the two windows
# counts, so that neither a short burst nor one that has ended leads to refusals.
SHORT_WINDOW_S = 1.0
LONG_WINDOW_S = 4.0
# Lower bounds of the capacity that is assumed to remain for a waiting request: a
# fraction of the engines' capacity, and a number of slots.
MIN_FREE_FRACTION = 0.05
MIN_FREE_SLOTS = 0.1


class ArrivalRate:
    """Rate of arrivals that is sustained over a short and a long window."""

    def __init__(self) -> None:
        self.windows = (SlidingWindow(SHORT_WINDOW_S), SlidingWindow(LONG_WINDOW_S))

    def record(self, now: float) -> None:
        """Count an arrival."""
        for window in self.windows:
            window.add(1.0, now)

    def per_second(self, now: float) -> float:
        """Return the arrivals per second; 0 if there were none lately."""
        return min(window.sum(now) / window.length_s for window in self.windows)

    def is_idle(self, now: float) -> bool:
        """Whether nothing has arrived within the long window."""
        return not self.windows[-1].sum(now)


class VersionedWork:
    """Work that waits for the engines of a service, by the software version it needs.

    Work that may run at any version takes the engines that become free first, so only
    the backlog of a version that is longer than the common one delays nobody else.
    """

    def __init__(self) -> None:
        # Slot seconds by version; empty for work that may run at any.
        self.work_s: dict[str, float] = {}

    def add(self, version: str, work_s: float) -> None:
        """Add work that needs a version; empty for any."""
        self.work_s[version] = self.work_s.get(version, 0.0) + work_s

    def wait_s(self, version: str, capacities: Mapping[str, float]) -> float:
        """Return the seconds until the work for a version has got its engines.

        `capacities` are the slot seconds per second of each version. The wait is
        infinite for a version without engines, and 0 while no engine is known.
        """
        if not capacities:
            return 0.0
        common_s = self._common_wait_s(capacities)
        if not version:
            return common_s
        capacity = capacities.get(version, 0.0)
        if not capacity:
            return math.inf
        return max(common_s, self.work_s.get(version, 0.0) / capacity)

    def _common_wait_s(self, capacities: Mapping[str, float]) -> float:
        """Return the wait of work that may run at any version."""
        # Engines of an unknown version, which is empty, have no backlog of their own.
        backlogs = sorted(
            (self.work_s.get(version, 0.0) / capacity if version else 0.0, capacity)
            for version, capacity in capacities.items()
        )
        work_s, total, wait_s = self.work_s.get("", 0.0), 0.0, 0.0
        for backlog_s, capacity in backlogs:
            if total and wait_s <= backlog_s:
                break
            work_s += backlog_s * capacity
            total += capacity
            wait_s = work_s / total
        return wait_s


class WaitEstimator:
    """Estimates waits from the arrival rate of each queue class."""

    def __init__(self, costs: RouteCosts, limiters: RateLimiters) -> None:
        self.costs = costs
        self.limiters = limiters
        self.arrivals: dict[QueueClass, ArrivalRate] = {}

    def record_arrival(self, queued: QueuedRequest, now: float) -> None:
        """Count a request that has arrived."""
        queue_class = queued.queue_class(now)
        rate = self.arrivals.get(queue_class)
        if rate is None:
            rate = self.arrivals[queue_class] = ArrivalRate()
        rate.record(now)

    def free_capacity(
        self, queue_class: QueueClass, engines: Collection[EngineLoad], now: float
    ) -> float:
        """Return the slot seconds per second that later arrivals leave to a class.

        If arrivals that go ahead of the class take all of the capacity, a minimum
        remains. The capacity is unlimited while no engine is known, as right after a
        start: the engines are read within a fraction of a second.
        """
        if not engines:
            return math.inf
        capacity = sum(self._capacity(engine, queue_class.route) for engine in engines)
        free = capacity - self._higher_priority_load(queue_class, now)
        return max(free, MIN_FREE_FRACTION * capacity, MIN_FREE_SLOTS)

    def capacities(
        self, queue_class: QueueClass, engines: Collection[EngineLoad], now: float
    ) -> dict[str, float]:
        """Return the free capacity for a class of each software version.

        Empty while no engine is known.
        """
        by_version: dict[str, float] = {}
        for engine in engines:
            capacity = self._capacity(engine, queue_class.route)
            version = engine.software_version
            by_version[version] = by_version.get(version, 0.0) + capacity
        total = sum(by_version.values())
        free = self.free_capacity(queue_class, engines, now)
        return {
            version: max(free * capacity / total if total else 0.0, MIN_FREE_SLOTS)
            for version, capacity in by_version.items()
        }

    def _capacity(self, engine: EngineLoad, route: str) -> float:
        """Return the slot seconds per second of an engine for requests of a route."""
        limit = self.limiters.rate_per_s(engine.target) * self.costs.average_s(route)
        return min(engine.slots / engine.slowness, limit)

    def _higher_priority_load(self, own: QueueClass, now: float) -> float:
        """Return the slot seconds per second of arrivals that go ahead of a class."""
        own_key = own.sort_key
        total = 0.0
        for queue_class, rate in list(self.arrivals.items()):
            if rate.is_idle(now):
                del self.arrivals[queue_class]
            elif queue_class.service == own.service and (
                queue_class.sort_key < own_key
            ):
                total += rate.per_second(now) * self.costs.average_s(queue_class.route)
        return total
