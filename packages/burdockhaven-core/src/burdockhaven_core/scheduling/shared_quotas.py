"""Account quotas across all members, from the usage that each member publishes.

Each heartbeat contains its sender's usage within the window. A broker adds its recent
grants until the heartbeats contain them. Two brokers that are unaware of each other
thus see each other's grants within one heartbeat interval.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from burdockhaven_core.scheduling.peer_messages import MemberId
from burdockhaven_core.scheduling.quotas import QuotaRule
from burdockhaven_core.scheduling.routing import Account

# Seconds after which the heartbeats of the requesting member contain a grant.
GRANT_SETTLE_S = 0.4


@dataclass(frozen=True, slots=True)
class _MemberUsage:
    """Quota units used through one member within the window, by account."""

    units: dict[str, int]
    received_s: float


class SharedQuotas:
    """Usage of all members together, and the quotas' limits on it."""

    def __init__(self, rule: QuotaRule) -> None:
        self.rule = rule
        # By incarnation: the usage of a node's earlier incarnation still counts.
        self.members: dict[MemberId, _MemberUsage] = {}
        # Time, account and units of the recent grants.
        self.grants: deque[tuple[float, str, float]] = deque()
        # Monotonic time of this process's start, from which on all usage is known.
        # Accounts may have used their full quota before it: older members publish their
        # usage, but members that have ended do not. None if no request was sent before
        # the start.
        self.usage_known_since_s: float | None = None
        # Fraction of the quotas that this side of a partition may use.
        self.share = 1.0

    def record_usage(
        self, member: MemberId, units: Iterable[tuple[str, int]], now: float
    ) -> None:
        """Replace the usage of a member by what it published."""
        self.members[member] = _MemberUsage(dict(units), now)

    def record_grant(self, account: str, units: float, now: float) -> None:
        """Count a request that was granted a target."""
        self.grants.append((now, account, units))

    def used(self, account: Account, now: float) -> float:
        """Return the units that the account has used within the window."""
        self._expire(now)
        reported = sum(m.units.get(account.name, 0) for m in self.members.values())
        granted = sum(units for _, name, units in self.grants if name == account.name)
        return reported + granted + self._unaccounted_usage(account, now)

    def limit(self, account: Account) -> float:
        """Return the units that the account may use per window, without slack."""
        return account.rate_per_s * self.rule.window_s + account.burst

    def admits(self, account: Account, units: float, now: float) -> bool:
        """Whether a request of this many units stays within the quota."""
        if account.rate_per_s <= 0:
            return True
        allowed = self.share * (self.limit(account) + self.rule.slack)
        return self.used(account, now) + units <= allowed

    def retry_after_s(self, account: Account, units: float, now: float) -> float:
        """Estimate the seconds until the units fit, at a steady use of the quota."""
        excess = self.used(account, now) + units - self.limit(account)
        return max(0.0, excess) / max(1.0, self.limit(account) / self.rule.window_s)

    def _unaccounted_usage(self, account: Account, now: float) -> float:
        """Bound the units that the account may have used before usage was known."""
        if self.usage_known_since_s is None:
            return 0.0
        fraction = 1.0 - (now - self.usage_known_since_s) / self.rule.window_s
        return max(0.0, self.limit(account) * fraction - self.rule.recovery_slack)

    def _expire(self, now: float) -> None:
        while self.grants and now - self.grants[0][0] > GRANT_SETTLE_S:
            self.grants.popleft()
        for member, usage in list(self.members.items()):
            # The usage of a member that ended still counts for one window.
            if now - usage.received_s > self.rule.window_s:
                del self.members[member]
