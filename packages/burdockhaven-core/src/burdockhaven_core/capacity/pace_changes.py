"""Beginnings and ends of paces, for the log."""

import enum
from dataclasses import dataclass

# Changes that are kept until they are taken; later ones are dropped.
MAX_CHANGES = 200


class PaceReason(enum.StrEnum):
    """Why a target does not get all the requests that it has slots for."""

    STARTED = "started"
    RECOVERED = "recovered"


@dataclass(frozen=True, slots=True)
class PaceChange:
    """A target that is paced from now on, or is no longer."""

    target: str
    reason: PaceReason
    # Whether the pace has ended; the counts are 0 otherwise.
    is_over: bool
    timely: int = 0
    late: int = 0


class PaceChanges:
    """Changes since the last call of `take`, within a bound."""

    def __init__(self) -> None:
        self.changes: list[PaceChange] = []

    def add(self, change: PaceChange) -> None:
        """Keep a change for the log."""
        if len(self.changes) < MAX_CHANGES:
            self.changes.append(change)

    def take(self) -> list[PaceChange]:
        """Return the changes and forget them."""
        changes, self.changes = self.changes, []
        return changes
