"""Records the signals of targets, and logs each change."""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field

from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.scheduling.peer_messages import Heartbeat
from burdockhaven_core.scheduling.target_observation import Signal, UnreadableSignal
from burdockhaven_core.scheduling.target_registry import TargetEntry
from burdockhaven_core.scheduling.target_signals import SignalChanges, TargetSignals
from burdockhaven_entry.log_events import log
from burdockhaven_entry.platform import TargetResponseHead

NO_LIMIT_TEXT = "none"
HEARTBEAT_TEXT = "heartbeat"


@dataclass(slots=True)
class TargetSignalLog:
    """The signals known to this process; each change is one log event."""

    node: str
    signals: TargetSignals
    # Signals that could not be read and have been logged, each with its target.
    unreadable: set[tuple[str, Signal]] = field(default_factory=set)
    # Targets whose leave has been logged, until their next start.
    leaving: set[str] = field(default_factory=set)

    def record_response(
        self, target: TargetEntry, head: TargetResponseHead, now: float
    ) -> SignalChanges:
        """Record what a response to this member says of its target."""
        observation = head.observation
        for unreadable in observation.unreadable:
            self._log_unreadable(target.id, unreadable)
        changes = self.signals.record(target, observation, now)
        if changes.limit:
            self._log_limit(target.id, observation.limit_per_s, self.node)
        if changes.has_left:
            self._log_leaving(target.id, self.node, _answer_text(head))
        if changes.pause is not None:
            log(
                EventNumber.TARGET_PAUSED,
                target=target.id,
                seconds=round(changes.pause.until_s - now, 1),
                asked_s=observation.pause_s or 0.0,
                answer=_answer_text(head),
            )
        return changes

    def expire(self, now: float) -> None:
        """Discard the pauses that have ended."""
        for target, pause in self.signals.pauses.expire(now):
            log(
                EventNumber.TARGET_PAUSE_ENDED,
                target=target,
                seconds=round(now - pause.began_s, 1),
            )

    def record_announced_leaving(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record which targets leave as a member announces; True if any is news.

        Targets without an entry are announced again once they have one.
        """
        registry = self.signals.registry
        has_changed = False
        for target, started_ms in itertools.zip_longest(
            heartbeat.leaving, heartbeat.leaving_started_ms, fillvalue=0
        ):
            if target in registry.entries and registry.mark_leaving(
                target, started_ms, now
            ):
                self._log_leaving(target, heartbeat.sender.node, HEARTBEAT_TEXT)
                has_changed = True
        return has_changed

    def record_entry_changes(self, heartbeat: Heartbeat) -> bool:
        """Record which entries a member saw removed or return; True if any is news.

        This member may not have read the change, or may be cut off from the store.
        """
        has_changed = False
        for change in heartbeat.entry_changes:
            if self.signals.registry.apply_change(change):
                log(
                    EventNumber.TARGET_ENTRY_RETURNED_ELSEWHERE
                    if change.is_present
                    else EventNumber.TARGET_ENTRY_REMOVED_ELSEWHERE,
                    target=change.target,
                    started_ms=change.started_ms,
                    era=change.era,
                    revision=change.revision,
                    source=heartbeat.sender.node,
                )
                has_changed = True
        return has_changed

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
        self._log_new_starts()

    def _log_leaving(self, target: str, source: str, answer: str) -> None:
        self.leaving.add(target)
        log(
            EventNumber.TARGET_TOLD_LEAVING,
            target=target,
            started_ms=self.signals.registry.start_of(target),
            source=source,
            answer=answer,
        )

    def _log_new_starts(self) -> None:
        registry = self.signals.registry
        for target in self.leaving - registry.leaving.keys():
            self.leaving.discard(target)
            if registry.is_usable(target) and target in registry.entries:
                log(
                    EventNumber.TARGET_STARTED_ANEW,
                    target=target,
                    started_ms=registry.start_of(target),
                )

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
        if unreadable.signal is Signal.LIMIT:
            log(
                EventNumber.TARGET_LIMIT_UNREADABLE,
                target=target,
                value=unreadable.value,
            )
            return
        log(
            EventNumber.TARGET_SIGNAL_UNREADABLE,
            target=target,
            signal=unreadable.signal.value,
            value=unreadable.value,
        )


def _answer_text(head: TargetResponseHead) -> str:
    return f"{head.status} {head.attempt_id}"
