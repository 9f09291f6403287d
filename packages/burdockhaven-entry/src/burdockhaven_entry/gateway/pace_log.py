"""Logs which targets are paced after a start or a recovery."""

from burdockhaven_core.capacity import PaceChanges
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_entry.log_events import log


def log_pace_changes(changes: PaceChanges) -> None:
    """Log the changes since the last call."""
    for change in changes.take():
        if change.is_over:
            log(
                EventNumber.TARGET_PACE_ENDED,
                target=change.target,
                reason=change.reason.value,
                timely=change.timely,
                late=change.late,
            )
        else:
            log(
                EventNumber.TARGET_PACED,
                target=change.target,
                reason=change.reason.value,
            )
