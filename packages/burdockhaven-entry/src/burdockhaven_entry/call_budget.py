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
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 10.0


@dataclass(slots=True)
class CallBudget:
    """A token bucket for calls, and how many were made, by kind."""

    # Calls added to the budget in a second.
    rate_per_s: float = CALLS_PER_S
    # The most calls that can be saved up.
    burst: float = CALL_BURST
    # Calls that could be made at `updated_at`.
    saved: float = CALL_BURST
    # Monotonic seconds.
    updated_at: float = 0.0
    # Calls made, by kind such as "range"; a watch counts once when it is opened.
    made: Counter[str] = field(default_factory=Counter)
    # Calls refused for want of budget, by kind.
    refused: Counter[str] = field(default_factory=Counter)

    def take(self, kind: str, now: float) -> bool:
        """Count one call; False if it must not be made."""
        earned = max(0.0, now - self.updated_at) * self.rate_per_s
        self.saved = min(self.burst, self.saved + earned)
        self.updated_at = now
        if self.saved < 1.0:
            self.refused[kind] += 1
            return False
        self.saved -= 1.0
        self.made[kind] += 1
        return True


@dataclass(slots=True)
class Backoff:
    """Delays before each retry: random up to a bound that doubles."""

    rng: random.Random
    first_s: float = FIRST_BACKOFF_S
    max_s: float = MAX_BACKOFF_S
    # Failures since the last success.
    failures: int = 0

    def next_delay_s(self) -> float:
        """Seconds to wait after one more failure.

        The whole delay is random, so that daemons that lost the service at the same
        moment do not come back at the same moment.
        """
        bound = min(self.max_s, self.first_s * 2.0 ** min(self.failures, 16))
        self.failures += 1
        return self.rng.uniform(0.0, bound)

    def succeeded(self) -> None:
        """Start again from the shortest delay."""
        self.failures = 0
