"""Records the signals of targets, and logs each change."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.scheduling.target_observation import (
    Signal,
    TargetObservation,
    UnreadableSignal,
)
from burdockhaven_core.scheduling.target_registry import TargetEntry
from burdockhaven_core.scheduling.target_signals import SignalChanges, TargetSignals
from burdockhaven_entry.log_events import log

NO_LIMIT_TEXT = "none"


@dataclass(slots=True)
class TargetSignalLog:
    """The signals known to this process; each change is one log event."""

    node: str
    signals: TargetSignals
    # Signals that could not be read and have been logged, each with its target.
    unreadable: set[tuple[str, Signal]] = field(default_factory=set)

    def record_response(
        self, target: TargetEntry, observation: TargetObservation, now: float
    ) -> SignalChanges:
        """Record what a response to this member says of its target."""
        for unreadable in observation.unreadable:
            self._log_unreadable(target.id, unreadable)
        changes = self.signals.record(target, observation, now)
        if changes.limit:
            self._log_limit(target.id, observation.limit_per_s, self.node)
        return changes

    def record_limit(
        self, target: str, limit_per_s: float | None, observed_s: float, source: str
    ) -> bool:
        """Record an observation of another member; True if the limit has changed."""
        if not self.signals.limits.record(target, limit_per_s, observed_s):
            return False
        self._log_limit(target, limit_per_s, source)
        return True

    def retain(self, targets: Iterable[str]) -> None:
        """Discard what is known of all other targets."""
        present = set(targets)
        self.signals.retain(present)
        self.unreadable = {key for key in self.unreadable if key[0] in present}

    def _log_limit(self, target: str, limit_per_s: float | None, source: str) -> None:
        log(
            EventNumber.TARGET_LIMIT_CHANGED,
            target=target,
            limit=NO_LIMIT_TEXT if limit_per_s is None else f"{limit_per_s:g}",
            source=source,
        )

    def _log_unreadable(self, target: str, unreadable: UnreadableSignal) -> None:
        key = (target, unreadable.signal)
        if key in self.unreadable:
            return
        self.unreadable.add(key)
        log(
            EventNumber.TARGET_LIMIT_UNREADABLE,
            target=target,
            value=unreadable.value,
        )
