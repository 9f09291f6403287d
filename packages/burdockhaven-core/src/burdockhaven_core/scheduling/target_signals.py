"""Keeps the latest signals of each target and decides what follows from them.

Each response of a target to this member passes through `TargetSignals.record`, whatever
its status and whoever chose the target.
"""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from burdockhaven_core.scheduling.peer_messages import PausedTarget
from burdockhaven_core.scheduling.target_limits import TargetLimits
from burdockhaven_core.scheduling.target_observation import Signal, TargetObservation
from burdockhaven_core.scheduling.target_pauses import Pause, TargetPauses
from burdockhaven_core.scheduling.target_registry import TargetEntry, TargetRegistry


@dataclass(frozen=True, slots=True)
class SignalChanges:
    """What a response changed in the beliefs about its target."""

    # Whether the limit was named, changed or lifted.
    limit: bool
    # Whether the target is known to leave only since this response.
    has_left: bool
    # The pause that begins or is prolonged; None if there is none.
    pause: Pause | None


class TargetSignals:
    """The latest signals of all targets, as far as responses and members tell them."""

    def __init__(self, registry: TargetRegistry, rng: random.Random) -> None:
        # Holds which targets leave, beside what their entries say.
        self.registry = registry
        self.limits = TargetLimits()
        self.pauses = TargetPauses(rng)

    def record(
        self, target: TargetEntry, observation: TargetObservation, now: float
    ) -> SignalChanges:
        """Record what a response of the target says."""
        limit_changed = False
        if not observation.is_unreadable(Signal.LIMIT):
            limit_changed = self.limits.record(target.id, observation.limit_per_s, now)
        return SignalChanges(
            limit=limit_changed,
            has_left=self._record_leaving(target, observation, now),
            pause=self.pauses.record(target, observation.pause_s, now),
        )

    def usable_targets(self, service: str, now: float) -> list[TargetEntry]:
        """Return the service's targets to which this member may send now."""
        entries = self.registry.open_targets(service)
        if not self.pauses.pauses:
            return entries
        return [entry for entry in entries if not self.pauses.is_paused(entry, now)]

    def paused_targets(self, service: str, now: float) -> tuple[PausedTarget, ...]:
        """Return the service's targets that are paused for this member."""
        return tuple(
            PausedTarget(name, math.ceil((pause.until_s - now) * 1e3))
            for name, pause in self.pauses.pauses.items()
            if pause.service == service
            and pause.until_s > now
            and pause.binds(self.registry.start_of(name))
        )

    def is_paused(self, target_id: str, now: float) -> bool:
        """Whether this member may not send to the last known start of a target now."""
        started_ms = self.registry.start_of(target_id)
        return self.pauses.left_s(target_id, started_ms, now) > 0.0

    def pauses_left_s(
        self, service: str, now: float
    ) -> list[tuple[TargetEntry, float]]:
        """Return the service's open targets and the seconds left of each pause."""
        return [
            (entry, self.pauses.left_s(entry.id, entry.started_ms, now))
            for entry in self.registry.open_targets(service)
        ]

    def pause_left_s(self, service: str, now: float) -> float:
        """Return the seconds until a pause leaves a target usable; 0 without one."""
        return min(
            (left_s for _, left_s in self.pauses_left_s(service, now)),
            default=0.0,
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
