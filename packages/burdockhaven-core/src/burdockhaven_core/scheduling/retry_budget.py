"""Retry budget that all members share without coordination.

Each member uses its own share: a ratio of its own requests and an equal part of the
fixed allowance. The sum over the members thus stays within the budget without messages,
also when members fail or join.
"""

from dataclasses import dataclass

from burdockhaven_core.sliding_window import SlidingWindow

# Fraction of the budget that is used; the rest is a margin for members whose member
# lists differ.
USABLE_FRACTION = 0.8


@dataclass(frozen=True, slots=True)
class RetryRule:
    """The budget as stated by the platform."""

    # Retries per request.
    ratio: float
    # Seconds over which requests and retries are counted.
    window_s: float
    # Retries allowed in addition to the ratio, for all members together.
    slack: float


class RetryBudget:
    """Requests and retries of one member, by service."""

    def __init__(self, rule: RetryRule) -> None:
        self.rule = rule
        self.requests: dict[str, SlidingWindow] = {}
        self.retries: dict[str, SlidingWindow] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a client's request."""
        self._window(self.requests, service).add(1.0, now)

    def admits(self, service: str, members: int, now: float) -> bool:
        """Whether one more retry is within the budget."""
        requests = self._window(self.requests, service).sum(now)
        fixed_share = self.rule.slack / max(1, members)
        budget = USABLE_FRACTION * (self.rule.ratio * requests + fixed_share)
        return self._window(self.retries, service).sum(now) + 1 <= budget

    def try_acquire(self, service: str, members: int, now: float) -> bool:
        """Count a retry and return True, or return False if it exceeds the budget."""
        if not self.admits(service, members, now):
            return False
        self._window(self.retries, service).add(1.0, now)
        return True

    def _window(self, windows: dict[str, SlidingWindow], service: str) -> SlidingWindow:
        found = windows.get(service)
        if found is None:
            found = windows[service] = SlidingWindow(self.rule.window_s)
        return found
