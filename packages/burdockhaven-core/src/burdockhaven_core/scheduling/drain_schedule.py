"""What a process does when, between the request to stop and its end."""

from dataclasses import dataclass

# Seconds after the request to stop during which new connections and requests are
# accepted; clients use a cached look-up for up to three times its lifetime. A stream
# that is accepted later may not end within the grace period.
LAME_DUCK_S = 2.9
# Seconds between the end of the drain and the time at which the platform kills the
# process.
STOP_MARGIN_S = 0.5
# Seconds before the end of the drain by which responses have to be ready.
ANSWER_MARGIN_S = 0.1


@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """Times of one drain, in monotonic seconds."""

    # When the process was asked to stop.
    requested_s: float
    # Until when new connections and requests are accepted.
    accept_until_s: float
    # Until when a response is certain to reach its client.
    answer_by_s: float
    # When the connections that are still open are closed.
    end_s: float

    @classmethod
    def from_grace(cls, requested_s: float, grace_s: float) -> "DrainSchedule":
        """Create the schedule for a grace period from the request to stop."""
        end_s = requested_s + max(0.0, grace_s - STOP_MARGIN_S)
        answer_by_s = max(requested_s, end_s - ANSWER_MARGIN_S)
        accept_until_s = min(answer_by_s, requested_s + LAME_DUCK_S)
        return cls(requested_s, accept_until_s, answer_by_s, end_s)

    def accepts(self, deadline_s: float, now: float) -> bool:
        """Whether a request with a deadline may still be sent to a target.

        Late in a drain only if it is certain to be answered before the end: the client
        of a refused request can send it to another process at once.
        """
        return now <= self.accept_until_s or self.is_answered_in_time(deadline_s)

    def is_answered_in_time(self, deadline_s: float) -> bool:
        """Whether a request with a deadline is certain to be answered."""
        return deadline_s <= self.answer_by_s
