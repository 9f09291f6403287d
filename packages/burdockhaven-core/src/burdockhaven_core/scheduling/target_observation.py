"""What a target says of itself in the head of a response, as plain types."""

import enum
from dataclasses import dataclass


class Signal(enum.Enum):
    """A signal whose value may be unreadable."""

    LIMIT = "limit"
    LEAVING = "leaving"
    PAUSE = "pause"


@dataclass(frozen=True, slots=True)
class UnreadableSignal:
    """A signal whose value can't be interpreted."""

    signal: Signal
    # The value as received.
    value: str


@dataclass(frozen=True, slots=True)
class TargetObservation:
    """What the head of one response says of the target that sent it."""

    # Requests per second that the target accepts from all members together; None if it
    # names no limit.
    limit_per_s: float | None = None
    # Whether the address now belongs to another target.
    is_misdirected: bool = False
    # Whether the target finishes its runs and wants no new requests.
    is_leaving: bool = False
    # Seconds for which the target wants nothing from this member; None if it refused
    # nothing or named no time.
    pause_s: float | None = None
    # Signals that are present and can't be interpreted.
    unreadable: tuple[UnreadableSignal, ...] = ()

    @property
    def is_gone(self) -> bool:
        """Whether the target must get no further request from any member."""
        return self.is_misdirected or self.is_leaving

    def is_unreadable(self, signal: Signal) -> bool:
        """Whether the signal is present and can't be interpreted."""
        return any(found.signal is signal for found in self.unreadable)
