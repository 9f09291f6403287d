"""Chooses among the targets of a plain service by work under way and failures."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from burdockhaven_core.scheduling.target_registry import TargetEntry

# Weight of a new measurement of the time to answer.
LATENCY_WEIGHT = 0.2
# Seconds assumed for an answer before the first was measured.
FIRST_LATENCY_S = 0.03
# Weight of a new outcome in the rate of failures.
FAILURE_WEIGHT = 0.2
# Seconds for which a target that could not be reached gets nothing, at first and at
# most; each failure in a row doubles it.
EJECT_S = 0.5
EJECT_MAX_S = 4.0
# Seconds for which a target's own word on its load counts.
LOAD_VALID_S = 0.25
# How much a failure rate of one weighs against a full target.
FAILURE_COST = 3.0


@dataclass(slots=True)
class PlainTarget:
    """What one member knows of one target."""

    in_flight: int = 0
    latency_s: float = FIRST_LATENCY_S
    failures: float = 0.0
    unreachable: int = 0
    ejected_until_s: float = 0.0
    # Requests that the target had when it last answered, and when that was.
    reported: int = 0
    reported_s: float = 0.0


class PlainBalancer:
    """The targets of all plain services, as one member sees them."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.known: dict[str, PlainTarget] = {}

    def choose(
        self, entries: Iterable[TargetEntry], excluded: set[str], now: float
    ) -> TargetEntry | None:
        """The target that should answer soonest; None if there is none to try."""
        usable = [entry for entry in entries if entry.id not in excluded]
        calm = [e for e in usable if self.of(e.id).ejected_until_s <= now]
        best: tuple[float, float] | None = None
        chosen = None
        for entry in calm or usable:
            rank = (self._cost(entry, now), self.rng.random())
            if best is None or rank < best:
                best, chosen = rank, entry
        return chosen

    def of(self, target_id: str) -> PlainTarget:
        """The target's record, begun on first use."""
        found = self.known.get(target_id)
        if found is None:
            found = self.known[target_id] = PlainTarget()
        return found

    def report_load(self, target_id: str, under_way: int, now: float) -> None:
        """The target told its load with an answer."""
        target = self.of(target_id)
        target.reported, target.reported_s = under_way, now

    def succeeded(self, target_id: str, latency_s: float) -> None:
        """The target has answered."""
        target = self.of(target_id)
        target.latency_s += LATENCY_WEIGHT * (latency_s - target.latency_s)
        target.failures *= 1 - FAILURE_WEIGHT
        target.unreachable = 0

    def failed(self, target_id: str) -> None:
        """The target has failed a request, or was silent."""
        target = self.of(target_id)
        target.failures += FAILURE_WEIGHT * (1 - target.failures)

    def eject(self, target_id: str, now: float) -> None:
        """The target could not be reached."""
        target = self.of(target_id)
        pause_s = min(EJECT_MAX_S, EJECT_S * 2**target.unreachable)
        target.unreachable += 1
        target.ejected_until_s = now + pause_s

    def keep_only(self, target_ids: Iterable[str]) -> None:
        """Forget the targets that are gone."""
        kept = set(target_ids)
        self.known = {key: value for key, value in self.known.items() if key in kept}

    def _cost(self, entry: TargetEntry, now: float) -> float:
        target = self.of(entry.id)
        busy = target.in_flight
        if now - target.reported_s < LOAD_VALID_S:
            busy = max(busy, target.reported)
        wait = (1 + busy) / entry.slots
        return target.latency_s * (1 + wait) * (1 + FAILURE_COST * target.failures)
