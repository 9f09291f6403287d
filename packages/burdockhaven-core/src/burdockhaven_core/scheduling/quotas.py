"""Rate limits of client accounts over a sliding window."""

from dataclasses import dataclass

from burdockhaven_core.scheduling.routing import Account
from burdockhaven_core.sliding_window import SlidingWindow


@dataclass(frozen=True, slots=True)
class QuotaRule:
    """Window and tolerance of the quotas."""

    # Seconds over which usage is counted.
    window_s: float
    # Units allowed beyond an account's quota, for all members together: at most, and
    # while some members' usage may be unknown or other requests wait.
    slack: float
    min_slack: float = 0.0
    # Units allowed in addition while the usage of ended members is unknown.
    recovery_slack: float = 0.0


class Quotas:
    """Usage of each account within the window, as counted by one member."""

    def __init__(self, rule: QuotaRule) -> None:
        self.rule = rule
        self.windows: dict[str, SlidingWindow] = {}

    def allowance(self, account: Account, share: float = 1.0) -> float:
        """Return the units per window that a member may admit on its own."""
        limit = account.rate_per_s * self.rule.window_s + account.burst
        return share * (limit + self.rule.min_slack)

    def admits(
        self, account: Account, cost: float, now: float, share: float = 1.0
    ) -> bool:
        """Whether a request of this cost stays within the quota."""
        if account.rate_per_s <= 0:
            return True
        return self.window(account.name).sum(now) + cost <= self.allowance(
            account, share
        )

    def charge(self, account: str, cost: float, now: float) -> None:
        """Count the cost of a request that is about to be sent."""
        self.window(account).add(cost, now)

    def window(self, account: str) -> SlidingWindow:
        """Return the account's window, created on first use."""
        found = self.windows.get(account)
        if found is None:
            found = self.windows[account] = SlidingWindow(self.rule.window_s)
        return found


def quota_cost(
    account: Account | None, prompt_tokens: int | None, output_tokens: int | None
) -> float:
    """Return a request's quota units; counts are None if the client stated none."""
    if account is None or not account.counts_tokens:
        return 1.0
    tokens = (prompt_tokens or 0) + (output_tokens or 0)
    return float(tokens or account.default_tokens)
