"""Limits and counts of the calls to the key-value service.

The service counts each call and its rates grow more slowly than the fleet, so every
daemon keeps to a budget of its own, and all of them spread their return after an
outage.
"""

import random
from collections import Counter
from dataclasses import dataclass, field

# Calls that a daemon may make in a second over a longer time, and in one burst.
CALLS_PER_S = 10.0
CALL_BURST = 40.0
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 10.0


@dataclass(slots=True)
class CallRateLimiter:
    """A token bucket for calls, and how many were made, by kind."""

    # Calls added to the budget in a second.
    rate_per_s: float = CALLS_PER_S
    # The most calls that can be saved up.
    burst: float = CALL_BURST
    # Calls that could be made at `updated_at`.
    tokens: float = CALL_BURST
    # Monotonic seconds.
    refilled_at: float = 0.0
    # Calls made, by kind such as "range"; a watch counts once when it is opened.
    calls_by_kind: Counter[str] = field(default_factory=Counter)
    # Calls refused for want of budget, by kind.
    rejected_by_kind: Counter[str] = field(default_factory=Counter)

    def try_acquire(self, kind: str, now: float) -> bool:
        """Count one call; False if it must not be made."""
        refilled = max(0.0, now - self.refilled_at) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + refilled)
        self.refilled_at = now
        if self.tokens < 1.0:
            self.rejected_by_kind[kind] += 1
            return False
        self.tokens -= 1.0
        self.calls_by_kind[kind] += 1
        return True


@dataclass(slots=True)
class Backoff:
    """Delays before each retry: random up to a bound that doubles."""

    rng: random.Random
    initial_s: float = INITIAL_BACKOFF_S
    max_s: float = MAX_BACKOFF_S
    # Failures since the last success.
    failures: int = 0

    def next_delay_s(self) -> float:
        """Seconds to wait after one more failure.

        The whole delay is random, so that daemons that lost the service at the same
        moment do not come back at the same moment.
        """
        max_delay_s = min(self.max_s, self.initial_s * 2.0 ** min(self.failures, 16))
        self.failures += 1
        return self.rng.uniform(0.0, max_delay_s)

    def reset(self) -> None:
        """Start again from the shortest delay."""
        self.failures = 0
