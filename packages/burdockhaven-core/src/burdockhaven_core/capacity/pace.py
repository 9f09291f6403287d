"""How many unanswered requests a target gets that has just started or recovered.

The limit grows with each response that comes as fast as expected of a target at full
speed, so it doubles with each round, and falls at once if responses come late or fail.
No time passes without need: a target that responds well has all its slots after a few
rounds, one that does not gets no more than it can take.
"""

from dataclasses import dataclass

# Requests without a response that a target gets before its first response, and after a
# recovery that another request has shown.
INITIAL_LIMIT = 2.0
# The least that a target gets, so that its responses can show a recovery.
MIN_LIMIT = 1.0
# A response is timely up to this multiple of the expected time and this margin in
# milliseconds, which covers the way and the caches that a start leaves empty.
TIMELY_FACTOR = 1.5
TIMELY_MARGIN_MS = 100.0
# Factor on the limit after a response that is not timely.
LATE_FACTOR = 0.5


@dataclass(slots=True)
class Pace:
    """Limit of the requests at one target until it has shown that it takes all."""

    # Requests that the target processes at once.
    slots: int
    limit: float = INITIAL_LIMIT
    # Monotonic time in seconds of the last reduction. Requests sent before it met the
    # same trouble and don't count again.
    reduced_s: float = float("-inf")
    # Responses that have counted.
    timely: int = 0
    late: int = 0

    @property
    def is_over(self) -> bool:
        """Whether the target has shown that it takes as many as it has slots."""
        return self.limit >= self.slots

    @property
    def usable_slots(self) -> int:
        """Number of requests without a response that may be at the target now."""
        return max(1, min(self.slots, int(self.limit)))

    def record_response(
        self, sent_s: float, took_ms: float, expected_ms: float, now: float
    ) -> None:
        """Count a response, or the first event of one, to a request sent then."""
        if sent_s < self.reduced_s:
            return
        if took_ms <= TIMELY_FACTOR * expected_ms + TIMELY_MARGIN_MS:
            self.timely += 1
            self.limit += 1.0
        else:
            self._reduce(LATE_FACTOR * self.limit, now)

    def record_failure(self, sent_s: float, now: float) -> None:
        """Count a request that the target failed or turned away."""
        if sent_s >= self.reduced_s:
            self._reduce(MIN_LIMIT, now)

    def _reduce(self, limit: float, now: float) -> None:
        self.late += 1
        self.limit = max(MIN_LIMIT, limit)
        self.reduced_s = now
