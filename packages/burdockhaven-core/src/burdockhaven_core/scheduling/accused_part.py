"""What a broker knows of one prompt part that may end engines."""

import enum
import math
from collections import Counter
from dataclasses import dataclass, field

from burdockhaven_core.scheduling.request_queue import RequestKey

# Seconds after its last accusation or quarantine in which a part is remembered.
FORGET_S = 600.0
# Seconds of the first quarantine, doubled by each trial that ends its engine, and the
# upper bound.
QUARANTINE_S = 15.0
MAX_QUARANTINE_S = 960.0
# Quarantines after which they are no longer doubled; the upper bound is reached before.
MAX_QUARANTINES = 16
# Other parts that the evidence against one names.
MAX_BESIDE = 8
# Characters of the longest name of a part that is announced or recorded: names come
# from clients.
MAX_NAME = 64


class PartChangeKind(enum.Enum):
    """What happened to a prompt part."""

    ACCUSED = "accused"
    QUARANTINED = "quarantined"
    ACQUITTED = "acquitted"


@dataclass(frozen=True, slots=True)
class PartChange:
    """A change in the belief about a prompt part, for the log."""

    kind: PartChangeKind
    part: str
    # Ends of engines that accuse the part.
    ends: int
    # The engine that ended, or the member that announced the change.
    source: str
    # Length of the quarantine in seconds; 0 if there is none.
    quarantine_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PartEvidence:
    """What has to be known of an accused part after the end of all members."""

    part: str
    # Ends of engines that accuse the part, at least one, and the monotonic time in
    # seconds of the last.
    ends: int
    last_end_s: float
    # Monotonic time in seconds at which the last quarantine ends, and the number of
    # quarantines; both 0 without one.
    quarantined_until_s: float = 0.0
    quarantines: int = 0
    # Number of the ends beneath prompts that had each other recorded part, too.
    beside: tuple[tuple[str, int], ...] = ()


@dataclass(slots=True)
class AccusedPart:
    """Evidence against one prompt part since a run with it last began."""

    # When each engine, by start, last ended, and the number of ends that count.
    engines: dict[str, float] = field(default_factory=dict)
    ends: int = 0
    # Number of these ends at engines that had returned without a new start.
    repeated_ends: int = 0
    last_end_s: float = -math.inf
    # Number of these ends beneath prompts that have each other accused part.
    beside: Counter[str] = field(default_factory=Counter)
    # Runs that this broker had seen begin at the first accusation.
    begun_before: int = 0
    # The last run that was sent to an engine as a trial, and the engine's start.
    trial: RequestKey | None = None
    trial_engine: str = ""
    # Whether an engine ended beneath a trial.
    has_ended_trial: bool = False
    # When the last quarantine ends, 0 without one, and the number of quarantines.
    quarantined_until_s: float = 0.0
    quarantines: int = 0
    # Whether this broker has used the evidence; others have it from announcements.
    is_own: bool = True
    # Whether some of the evidence was read from a record.
    is_restored: bool = False

    def remembered_until_s(self) -> float:
        """Return the monotonic time in seconds at which the evidence is discarded."""
        return max(self.last_end_s, self.quarantined_until_s) + FORGET_S

    def covers(self, evidence: PartEvidence) -> bool:
        """Whether this is all of the evidence, or more."""
        has_ends = self.ends >= evidence.ends
        return has_ends and self.quarantines >= evidence.quarantines

    def rank(self) -> tuple[bool, float]:
        """Sort key by the worth of the evidence; the greatest is kept longest."""
        return (bool(self.quarantines), self.remembered_until_s())


@dataclass(frozen=True, slots=True)
class Acquittal:
    """A run with an accused part has begun."""

    at_s: float
    # Whether the part had been quarantined.
    had_quarantine: bool


def quarantine_s(quarantines: int) -> float:
    """Return the seconds of the last one of this many quarantines, at least one."""
    doublings = min(quarantines, MAX_QUARANTINES) - 1
    return min(MAX_QUARANTINE_S, QUARANTINE_S * 2.0**doublings)
