"""Quotas over all members, from what each member says that it has sent.

Each hello carries its member's usage within the window. What a broker has granted since
is added until the next hellos contain it, so that two brokers that do not know of each
other still see each other's grants within one interval.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from burdockhaven_core.scheduling.peer_messages import MemberId
from burdockhaven_core.scheduling.quotas import QuotaRule
from burdockhaven_core.scheduling.routing import Account

# Seconds after which a grant is contained in the hellos of its member.
GRANT_SETTLE_S = 0.4


@dataclass(frozen=True, slots=True)
class _MemberUsage:
    """What one member has sent within the window."""

    units: dict[str, int]
    received_s: float


class SharedQuotas:
    """What all members together have sent."""

    def __init__(self, rule: QuotaRule) -> None:
        self.rule = rule
        # By start: what an earlier start of a node has sent still counts beside it.
        self.members: dict[MemberId, _MemberUsage] = {}
        # Time, account and units of the last grants.
        self.grants: deque[tuple[float, str, float]] = deque()
        # Monotonic time since when everything sent is known: that of the own start.
        # Before it, accounts may have used all that they may, also where older members
        # are heard, for others may have ended. None if nothing was sent before.
        self.usage_known_since_s: float | None = None
        # Part of the quotas that this side of a partition may use.
        self.share = 1.0

    def record_usage(
        self, member: MemberId, units: Iterable[tuple[str, int]], now: float
    ) -> None:
        """Take in what a member says of itself."""
        self.members[member] = _MemberUsage(dict(units), now)

    def record_grant(self, account: str, units: float, now: float) -> None:
        """Count a request that is about to be sent."""
        self.grants.append((now, account, units))

    def used(self, account: Account, now: float) -> float:
        """Units that the account has used within the window."""
        self._expire(now)
        reported = sum(m.units.get(account.name, 0) for m in self.members.values())
        granted = sum(units for _, name, units in self.grants if name == account.name)
        return reported + granted + self._unaccounted_usage(account, now)

    def limit(self, account: Account) -> float:
        """Units that the account may use within one window."""
        return account.rate_per_s * self.rule.window_s + account.burst

    def admits(self, account: Account, units: float, now: float) -> bool:
        """Whether a request of so many units stays within the quota."""
        if account.rate_per_s <= 0:
            return True
        allowed = self.share * (self.limit(account) + self.rule.slack)
        return self.used(account, now) + units <= allowed

    def retry_after_s(self, account: Account, units: float, now: float) -> float:
        """Seconds until so many units should fit, at a steady use of the quota."""
        excess = self.used(account, now) + units - self.limit(account)
        return max(0.0, excess) / max(1.0, self.limit(account) / self.rule.window_s)

    def _unaccounted_usage(self, account: Account, now: float) -> float:
        """What the account may have used before all that is known."""
        if self.usage_known_since_s is None:
            return 0.0
        fraction = 1.0 - (now - self.usage_known_since_s) / self.rule.window_s
        return max(0.0, self.limit(account) * fraction - self.rule.recovery_slack)

    def _expire(self, now: float) -> None:
        while self.grants and now - self.grants[0][0] > GRANT_SETTLE_S:
            self.grants.popleft()
        for member, usage in list(self.members.items()):
            # What a member that ended has sent still counts for one window.
            if now - usage.received_s > self.rule.window_s:
                del self.members[member]
