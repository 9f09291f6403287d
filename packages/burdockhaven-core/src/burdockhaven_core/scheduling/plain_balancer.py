"""Chooses among the targets of a plain service by work under way and failures."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from burdockhaven_core.scheduling.target_registry import TargetEntry

# Weight of a new measurement of the time to answer.
LATENCY_EWMA_WEIGHT = 0.2
# Seconds assumed for an answer before the first was measured.
INITIAL_LATENCY_S = 0.03
# Weight of a new outcome in the rate of failures.
FAILURE_EWMA_WEIGHT = 0.2
# Seconds for which a target that could not be reached gets nothing, at first and at
# most; each failure in a row doubles it.
EJECTION_BASE_S = 0.5
EJECTION_MAX_S = 4.0
# Seconds for which a target's own word on its load counts.
LOAD_REPORT_TTL_S = 0.25
# How much a failure rate of one weighs against a full target.
FAILURE_COST_WEIGHT = 3.0


@dataclass(slots=True)
class BalancedTarget:
    """What one member knows of one target."""

    in_flight: int = 0
    latency_s: float = INITIAL_LATENCY_S
    failure_rate: float = 0.0
    connect_failures: int = 0
    ejected_until_s: float = 0.0
    # Requests that the target had when it last answered, and when that was.
    reported_in_flight: int = 0
    reported_s: float = 0.0


class PlainBalancer:
    """The targets of all plain services, as one member sees them."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.targets: dict[str, BalancedTarget] = {}

    def choose(
        self, entries: Iterable[TargetEntry], excluded: set[str], now: float
    ) -> TargetEntry | None:
        """The target that should answer soonest; None if there is none to try."""
        usable = [entry for entry in entries if entry.id not in excluded]
        not_ejected = [e for e in usable if self.state_of(e.id).ejected_until_s <= now]
        best: tuple[float, float] | None = None
        chosen = None
        for entry in not_ejected or usable:
            rank = (self._cost(entry, now), self.rng.random())
            if best is None or rank < best:
                best, chosen = rank, entry
        return chosen

    def state_of(self, target_id: str) -> BalancedTarget:
        """The target's record, begun on first use."""
        found = self.targets.get(target_id)
        if found is None:
            found = self.targets[target_id] = BalancedTarget()
        return found

    def record_load(self, target_id: str, reported_in_flight: int, now: float) -> None:
        """The target told its load with an answer."""
        target = self.state_of(target_id)
        target.reported_in_flight, target.reported_s = reported_in_flight, now

    def record_success(self, target_id: str, latency_s: float) -> None:
        """The target has answered."""
        target = self.state_of(target_id)
        target.latency_s += LATENCY_EWMA_WEIGHT * (latency_s - target.latency_s)
        target.failure_rate *= 1 - FAILURE_EWMA_WEIGHT
        target.connect_failures = 0

    def record_failure(self, target_id: str) -> None:
        """The target has failed a request, or was silent."""
        target = self.state_of(target_id)
        target.failure_rate += FAILURE_EWMA_WEIGHT * (1 - target.failure_rate)

    def eject(self, target_id: str, now: float) -> None:
        """The target could not be reached."""
        target = self.state_of(target_id)
        ejection_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2**target.connect_failures)
        target.connect_failures += 1
        target.ejected_until_s = now + ejection_s

    def retain(self, target_ids: Iterable[str]) -> None:
        """Forget the targets that are gone."""
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
