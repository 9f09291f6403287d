"""Keeps the latest signals of each target and decides what follows from them.

Each response of a target to this member passes through `TargetSignals.record`, whatever
its status and whoever chose the target.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from burdockhaven_core.scheduling.target_limits import TargetLimits
from burdockhaven_core.scheduling.target_observation import Signal, TargetObservation
from burdockhaven_core.scheduling.target_registry import TargetEntry, TargetRegistry


@dataclass(frozen=True, slots=True)
class SignalChanges:
    """What a response changed in the beliefs about its target."""

    # Whether the limit was named, changed or lifted.
    limit: bool
    # Whether the target is known to leave only since this response.
    has_left: bool


class TargetSignals:
    """The latest signals of all targets, as far as responses and members tell them."""

    def __init__(self, registry: TargetRegistry) -> None:
        # Holds which targets leave, beside what their entries say.
        self.registry = registry
        self.limits = TargetLimits()

    def record(
        self, target: TargetEntry, observation: TargetObservation, now: float
    ) -> SignalChanges:
        """Record what a response of the target says."""
        limit_changed = False
        if not observation.is_unreadable(Signal.LIMIT):
            limit_changed = self.limits.record(target.id, observation.limit_per_s, now)
        return SignalChanges(
            limit_changed, self._record_leaving(target, observation, now)
        )

    def _record_leaving(
        self, target: TargetEntry, observation: TargetObservation, now: float
    ) -> bool:
        """Mark the start of the target to which the request was sent."""
        return observation.is_gone and self.registry.mark_leaving(
            target.id, target.started_ms, now
        )

    def retain(self, targets: Iterable[str]) -> None:
        """Discard the signals of all other targets."""
        self.limits.retain(targets)
