"""Rate limiter (token bucket) and randomized backoff for the key-value service.

The service meters each call, and the rates that it allows grow more slowly than the
number of daemons. Each daemon therefore limits its own call rate, and after an outage
the daemons return at random times.
"""

import random
from collections import Counter
from dataclasses import dataclass, field

# Sustained calls per second of one daemon, and its largest burst of calls.
CALLS_PER_S = 10.0
CALL_BURST = 40.0
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 10.0


@dataclass(slots=True)
class CallRateLimiter:
    """A token bucket for calls, with counts by kind of call."""

    # Tokens added per second.
    rate_per_s: float = CALLS_PER_S
    # Capacity of the bucket.
    burst: float = CALL_BURST
    # Tokens in the bucket at `refilled_at`.
    tokens: float = CALL_BURST
    # Monotonic seconds of the last refill.
    refilled_at: float = 0.0
    # Allowed calls by kind, such as "range"; a watch counts once, when it is opened.
    calls_by_kind: Counter[str] = field(default_factory=Counter)
    # Calls refused for lack of a token, by kind.
    refused_by_kind: Counter[str] = field(default_factory=Counter)

    def try_acquire(self, kind: str, now: float) -> bool:
        """Take a token for one call; False if none is left."""
        refilled = max(0.0, now - self.refilled_at) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + refilled)
        self.refilled_at = now
        if self.tokens < 1.0:
            self.refused_by_kind[kind] += 1
            return False
        self.tokens -= 1.0
        self.calls_by_kind[kind] += 1
        return True


@dataclass(slots=True)
class Backoff:
    """Exponential backoff with full jitter."""

    rng: random.Random
    initial_s: float = INITIAL_BACKOFF_S
    max_s: float = MAX_BACKOFF_S
    # Failures since the last success.
    failures: int = 0

    def next_delay_s(self) -> float:
        """Record a failure and return the delay before the next attempt, in seconds.

        The delay is drawn from the full range up to its bound, so that daemons that
        lost the service at the same moment do not return at the same moment.
        """
        max_delay_s = min(self.max_s, self.initial_s * 2.0 ** min(self.failures, 16))
        self.failures += 1
        return self.rng.uniform(0.0, max_delay_s)

    def reset(self) -> None:
        """Record a success: start again from the initial delay."""
        self.failures = 0
