"""The budget of repeated sends that all members share.

Each member keeps to its part: a ratio of its own requests and an equal part of the
fixed allowance. The sum over the members then stays within the budget without a
message, whoever dies or joins.
"""

from dataclasses import dataclass

from burdockhaven_core.scheduling.sliding_window import SlidingWindow

# Part of the budget that is used; the rest covers members whose views differ.
USABLE_FRACTION = 0.8


@dataclass(frozen=True, slots=True)
class RetryRule:
    """The budget as the platform states it."""

    # Repeats for each request.
    ratio: float
    # Seconds over which both are counted.
    window_s: float
    # Repeats beyond the ratio, all members together.
    slack: float


class RetryBudget:
    """What one member has sent and repeated, by service."""

    def __init__(self, rule: RetryRule) -> None:
        self.rule = rule
        self.requests: dict[str, SlidingWindow] = {}
        self.retries: dict[str, SlidingWindow] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a request of a client."""
        self._window(self.requests, service).add(1.0, now)

    def try_acquire(self, service: str, members: int, now: float) -> bool:
        """Count one more send of a request, if the budget allows it."""
        requests = self._window(self.requests, service).sum(now)
        retries = self._window(self.retries, service)
        fixed_share = self.rule.slack / max(1, members)
        budget = USABLE_FRACTION * (self.rule.ratio * requests + fixed_share)
        if retries.sum(now) + 1 > budget:
            return False
        retries.add(1.0, now)
        return True

    def _window(self, windows: dict[str, SlidingWindow], service: str) -> SlidingWindow:
        found = windows.get(service)
        if found is None:
            found = windows[service] = SlidingWindow(self.rule.window_s)
        return found
