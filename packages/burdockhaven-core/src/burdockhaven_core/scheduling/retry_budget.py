"""Retry budget that all members share without coordination.

Each member uses its own share: a ratio of its own requests and an equal part of the
fixed allowance. The sum over the members thus stays within the budget without messages,
also when members fail, are cut off or join: a part is that of a node, not of a process,
and a node that is out of contact keeps its part.
"""

import math
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
    """Requests and retries of one member, by service.

    `started_s` is the monotonic time at which this process started, if an earlier one
    of its node may have sent retries. Nothing tells how many, so that the node's part
    of the allowance counts as used until they have left the window.
    """

    def __init__(self, rule: RetryRule, started_s: float = -math.inf) -> None:
        self.rule = rule
        self.started_s = started_s
        self.requests: dict[str, SlidingWindow] = {}
        self.retries: dict[str, SlidingWindow] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a client's request."""
        self._window(self.requests, service).add(1.0, now)

    def admits(self, service: str, members: int, now: float) -> bool:
        """Whether one more retry is within the budget.

        `members` are all that may use a part of the allowance, including those that
        have been out of contact for less than a window.
        """
        requests = self._window(self.requests, service).sum(now)
        budget = self.rule.ratio * requests + self._fixed_share(members, now)
        retries = self._window(self.retries, service).sum(now)
        return retries + 1 <= USABLE_FRACTION * budget

    def _fixed_share(self, members: int, now: float) -> float:
        if now - self.started_s <= self.rule.window_s:
            return 0.0
        return self.rule.slack / max(1, members)

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
