"""Pauses that targets ask this member for, with a refusal that names a time.

A pause binds the member that got the refusal; the others get refusals of their own.
"""

import random
from dataclasses import dataclass

from burdockhaven_core.scheduling.target_registry import UNKNOWN_START_MS, TargetEntry

# Longest pause in seconds. A target that needs longer says so again to the one request
# that asks it after this time.
MAX_PAUSE_S = 3600.0
# Part of a pause, and the upper bound in seconds, over which members that got the same
# pause return to the target.
RETURN_SPREAD_FRACTION = 0.25
MAX_RETURN_SPREAD_S = 1.0


@dataclass(frozen=True, slots=True)
class Pause:
    """Time in which this member sends nothing to one start of a target."""

    service: str
    # Unix milliseconds of the start; 0 for whichever start there is.
    started_ms: int
    # Monotonic time in seconds of the refusal, and of the end.
    began_s: float
    until_s: float

    def binds(self, started_ms: int) -> bool:
        """Whether the pause is that of the start, as far as both are known."""
        return started_ms == self.started_ms or UNKNOWN_START_MS in (
            started_ms,
            self.started_ms,
        )


class TargetPauses:
    """The pauses in force, by target."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.pauses: dict[str, Pause] = {}

    def record(
        self, target: TargetEntry, pause_s: float | None, now: float
    ) -> Pause | None:
        """Record a refusal; return the pause unless an earlier one ends later.

        The argument is None for a response that asks for no pause. It leaves an earlier
        pause as it is, because it may answer a request that was sent before.
        So does a late refusal of an earlier start.
        """
        if not pause_s:
            return None
        pause_s = min(pause_s, MAX_PAUSE_S)
        spread_s = min(RETURN_SPREAD_FRACTION * pause_s, MAX_RETURN_SPREAD_S)
        until_s = now + pause_s + self.rng.uniform(0.0, spread_s)
        known = self.pauses.get(target.id)
        if known is not None and known.binds(target.started_ms):
            if known.until_s >= until_s:
                return None
            now = min(known.began_s, now)
        elif known is not None and target.started_ms < known.started_ms:
            return None
        pause = Pause(target.service, target.started_ms, now, until_s)
        self.pauses[target.id] = pause
        return pause

    def is_paused(self, target: TargetEntry, now: float) -> bool:
        """Whether nothing may be sent to the target now."""
        return self.left_s(target.id, target.started_ms, now) > 0.0

    def left_s(self, target_id: str, started_ms: int, now: float) -> float:
        """Return the seconds until a start may be used; 0 if it may be now."""
        pause = self.pauses.get(target_id)
        if pause is None or not pause.binds(started_ms):
            return 0.0
        return max(0.0, pause.until_s - now)

    def expire(self, now: float) -> list[tuple[str, Pause]]:
        """Discard the pauses that have ended, and return them with their targets."""
        ended = [(name, p) for name, p in self.pauses.items() if p.until_s <= now]
        for name, _ in ended:
            del self.pauses[name]
        return ended
