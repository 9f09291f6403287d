"""How long a member waits for the broker's replies, from those that it has received.

A broker under load replies late, but it is not dead: a member that turns to another
broker makes two of them place requests on the same engines.
"""

from dataclasses import dataclass

# Bounds in seconds of the time that a reply is awaited. The one-way latency between
# zones is about a millisecond; a busy process takes some tens of milliseconds to reply.
# The longest is a fraction of the strictest latency objective.
SHORTEST_WAIT_S = 0.06
LONGEST_WAIT_S = 0.25
# Factor on the wait after each send without a reply.
BACKOFF_FACTOR = 2.0
# Weights of a new reply in the moving averages of the time and of its deviation, and
# the number of deviations that are waited beyond the average, as for TCP (RFC 6298).
TIME_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4.0


@dataclass(slots=True)
class ReplyTimes:
    """Times of the broker in use to reply; they start anew with another broker."""

    # Node of the broker; empty before the first reply.
    node: str = ""
    # Monotonic time in seconds of its last reply.
    last_reply_s: float = 0.0
    # Moving averages in seconds.
    time_s: float = 0.0
    deviation_s: float = 0.0

    def record(self, node: str, sent_s: float, now: float) -> None:
        """Record the reply to a request; `sent_s` is when it was first sent."""
        time_s = now - sent_s
        if node != self.node:
            self.node = node
            self.time_s, self.deviation_s = time_s, time_s / 2
        else:
            error_s = time_s - self.time_s
            self.deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self.deviation_s)
            self.time_s += TIME_WEIGHT * error_s
        self.last_reply_s = now

    def wait_s(self, node: str, unanswered: int = 0) -> float:
        """Return the seconds to wait for the reply after sends without one."""
        expected_s = SHORTEST_WAIT_S
        if node == self.node:
            expected_s = max(expected_s, self.time_s + DEVIATIONS * self.deviation_s)
        return min(LONGEST_WAIT_S, expected_s * BACKOFF_FACTOR**unanswered)

    def has_replied_since(self, node: str, since_s: float) -> bool:
        """Whether a broker has replied to any request since a time."""
        return node == self.node and self.last_reply_s > since_s
