"""What is known of one request content beneath which targets have ended."""

import enum
import math
from dataclasses import dataclass, field

# Ends of targets that quarantine a content.
QUARANTINE_ENDS = 3
# Seconds of the first quarantine; each further end doubles them.
QUARANTINE_S = 15.0
# Number of ends that are remembered, the latest ones. It bounds the quarantine to eight
# minutes.
MAX_ENDS = 8
# Seconds for which a content is remembered after its last end, or its quarantine.
FORGET_ACCUSED_S = 120.0
FORGET_QUARANTINED_S = 600.0


class ContentChangeKind(enum.Enum):
    """What happened to a request content."""

    ACCUSED = "accused"
    QUARANTINED = "quarantined"
    ACQUITTED = "acquitted"


@dataclass(frozen=True, slots=True)
class ContentChange:
    """A change in the belief about a request content, for the log."""

    kind: ContentChangeKind
    content: int
    # Ends of targets that accuse the content.
    ends: int
    # The target that ended or answered, or the member that announced it.
    source: str
    # Seconds until one request tries the content again; 0 without a quarantine.
    quarantine_s: float = 0.0


@dataclass(slots=True)
class AccusedRequest:
    """Evidence against one request content; it is the same at all members.

    All that follows from it is computed from the ends, so that members agree without
    another message.
    """

    # Monotonic time in seconds of each end beneath the content, by `end_key`.
    ends: dict[int, float] = field(default_factory=dict)

    @property
    def last_end_s(self) -> float:
        """Monotonic time of the last end in seconds."""
        return max(self.ends.values(), default=-math.inf)

    def add_end(self, end: int, ended_s: float) -> bool:
        """Add an end; returns whether it is news."""
        if end in self.ends:
            return False
        self.ends[end] = ended_s
        if len(self.ends) > MAX_ENDS:
            oldest = min(self.ends, key=lambda key: self.ends[key])
            del self.ends[oldest]
            return oldest != end
        return True

    def discard_ends_before(self, until_s: float) -> None:
        """Discard the ends up to a monotonic time in seconds."""
        self.ends = {end: at_s for end, at_s in self.ends.items() if at_s > until_s}

    def remembered_until_s(self) -> float:
        """Return the monotonic time in seconds at which the evidence is discarded."""
        if len(self.ends) < QUARANTINE_ENDS:
            return self.last_end_s + FORGET_ACCUSED_S
        return self.last_end_s + quarantine_s(len(self.ends)) + FORGET_QUARANTINED_S

    def rank(self) -> tuple[int, float]:
        """Sort key by the worth of the evidence; the greatest is kept longest."""
        return (len(self.ends), self.last_end_s)


def quarantine_s(ends: int) -> float:
    """Return the seconds of a quarantine after this many ends; 0 for too few."""
    if ends < QUARANTINE_ENDS:
        return 0.0
    return float(QUARANTINE_S * 2 ** (ends - QUARANTINE_ENDS))
