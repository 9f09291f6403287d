"""Load balancer for the targets of plain services.

Chooses by latency, requests in flight and failure rate, with outlier ejection.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from burdockhaven_core.scheduling.target_limits import RateLimiters
from burdockhaven_core.scheduling.target_registry import TargetEntry

# Weight of a new measurement in the moving average of the latency.
LATENCY_EWMA_WEIGHT = 0.2
# Assumed latency before the first measurement.
INITIAL_LATENCY_S = 0.03
# Weight of a new outcome in the moving average of the failure rate.
FAILURE_EWMA_WEIGHT = 0.2
# Seconds for which a target is ejected after a failed connection, and the upper bound;
# each consecutive failure doubles the time.
EJECTION_BASE_S = 0.5
EJECTION_MAX_S = 4.0
# Seconds for which the load that a target reports is valid.
LOAD_REPORT_TTL_S = 0.25
# Weight of a failure rate of 1; the load of a full target weighs about 1.
FAILURE_COST_WEIGHT = 3.0


@dataclass(slots=True)
class BalancedTarget:
    """State of one target, as seen by one member."""

    in_flight: int = 0
    latency_s: float = INITIAL_LATENCY_S
    failure_rate: float = 0.0
    connect_failures: int = 0
    ejected_until_s: float = 0.0
    # Requests in flight that the target reported last, and when it did so.
    reported_in_flight: int = 0
    reported_s: float = 0.0


class PlainBalancer:
    """Balances requests over the targets of all plain services."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.targets: dict[str, BalancedTarget] = {}
        # Keeps the requests of this member within its part of the targets' limits.
        self.limiters = RateLimiters()

    def choose(
        self, entries: Iterable[TargetEntry], excluded: set[str], now: float
    ) -> TargetEntry | None:
        """Return the target that should respond soonest; None if there is none.

        Excluded targets and those at their limit are not used, ejected ones only if
        nothing else is left.
        """
        usable = [
            entry
            for entry in entries
            if entry.id not in excluded and self.limiters.admits(entry.id, now)
        ]
        not_ejected = [e for e in usable if self.state_of(e.id).ejected_until_s <= now]
        best: tuple[float, float] | None = None
        chosen = None
        for entry in not_ejected or usable:
            rank = (self._cost(entry, now), self.rng.random())
            if best is None or rank < best:
                best, chosen = rank, entry
        return chosen

    def state_of(self, target_id: str) -> BalancedTarget:
        """Return the target's state, created on first use."""
        found = self.targets.get(target_id)
        if found is None:
            found = self.targets[target_id] = BalancedTarget()
        return found

    def record_load(self, target_id: str, reported_in_flight: int, now: float) -> None:
        """Record the load that a target reported with a response."""
        target = self.state_of(target_id)
        target.reported_in_flight, target.reported_s = reported_in_flight, now

    def record_success(self, target_id: str, latency_s: float) -> None:
        """Record a response of the target."""
        target = self.state_of(target_id)
        target.latency_s += LATENCY_EWMA_WEIGHT * (latency_s - target.latency_s)
        target.failure_rate *= 1 - FAILURE_EWMA_WEIGHT
        target.connect_failures = 0

    def record_failure(self, target_id: str) -> None:
        """Record that the target failed a request or timed out."""
        target = self.state_of(target_id)
        target.failure_rate += FAILURE_EWMA_WEIGHT * (1 - target.failure_rate)

    def eject(self, target_id: str, now: float) -> None:
        """Eject the target for a time that doubles, after a failed connection."""
        target = self.state_of(target_id)
        ejection_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2**target.connect_failures)
        target.connect_failures += 1
        target.ejected_until_s = now + ejection_s

    def retain(self, target_ids: Iterable[str]) -> None:
        """Discard the state of all other targets."""
        present = set(target_ids)
        self.targets = {
            key: value for key, value in self.targets.items() if key in present
        }

    def _cost(self, entry: TargetEntry, now: float) -> float:
        target = self.state_of(entry.id)
        in_flight = target.in_flight
        if now - target.reported_s < LOAD_REPORT_TTL_S:
            in_flight = max(in_flight, target.reported_in_flight)
        wait = (1 + in_flight) / entry.slots
        return (
            target.latency_s
            * (1 + wait)
            * (1 + FAILURE_COST_WEIGHT * target.failure_rate)
        )
