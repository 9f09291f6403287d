"""Token bucket: limits a rate, and the requests that may be sent at once."""

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Grants one token per request; it is created empty."""

    # Tokens per second, and the most that are kept.
    rate_per_s: float
    burst: float
    updated_s: float
    tokens: float = 0.0

    def set_rate(self, rate_per_s: float, burst: float, now: float) -> None:
        """Change the rate; tokens so far are kept within the new burst."""
        self._refill(now)
        self.rate_per_s, self.burst = rate_per_s, burst
        self.tokens = min(self.tokens, burst)

    def has_token(self, now: float) -> bool:
        """Whether a request may be sent now."""
        self._refill(now)
        return self.tokens >= 1.0

    def take(self, now: float) -> None:
        """Count a request that is sent; a missing token is owed."""
        self._refill(now)
        self.tokens -= 1.0

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.updated_s)
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate_per_s)
        self.updated_s = max(self.updated_s, now)
