"""Quotas of client accounts over a sliding window."""

from dataclasses import dataclass

from burdockhaven_core.scheduling.routing import Account
from burdockhaven_core.scheduling.sliding_window import SlidingWindow


@dataclass(frozen=True, slots=True)
class QuotaRule:
    """How exactly quotas are kept."""

    # Seconds over which usage counts.
    window_s: float
    # Units beyond the quota of an account that are still allowed, all members together.
    slack: float
    # Units that are allowed besides while it is not known what ended members have sent.
    recovery_slack: float = 0.0


class Quotas:
    """What each account has used within the window."""

    def __init__(self, rule: QuotaRule) -> None:
        self.rule = rule
        self.windows: dict[str, SlidingWindow] = {}

    def allowance(self, account: Account, share: float = 1.0) -> float:
        """Units that the account may use in one window, for a share of the members."""
        limit = account.rate_per_s * self.rule.window_s + account.burst
        return share * (limit + self.rule.slack)

    def admits(
        self, account: Account, cost: float, now: float, share: float = 1.0
    ) -> bool:
        """Whether a request of so many units stays within the quota."""
        if account.rate_per_s <= 0:
            return True
        return self.window(account.name).sum(now) + cost <= self.allowance(
            account, share
        )

    def charge(self, account: str, cost: float, now: float) -> None:
        """Count a request that is about to be sent."""
        self.window(account).add(cost, now)

    def window(self, account: str) -> SlidingWindow:
        """The account's usage, begun on first use."""
        found = self.windows.get(account)
        if found is None:
            found = self.windows[account] = SlidingWindow(self.rule.window_s)
        return found


def quota_cost(
    account: Account | None, prompt_tokens: int | None, output_tokens: int | None
) -> float:
    """Quota units of a request; the counts are None where the client gave none."""
    if account is None or not account.counts_tokens:
        return 1.0
    tokens = (prompt_tokens or 0) + (output_tokens or 0)
    return float(tokens or account.default_tokens)
