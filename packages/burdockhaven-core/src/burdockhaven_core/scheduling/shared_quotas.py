"""Account quotas across all members, from the usage that each member publishes.

Each heartbeat contains its sender's usage within the window. A broker adds its recent
grants until a heartbeat of the requesting member contains them, so that no request is
counted twice. Two brokers that are unaware of each other thus see each other's grants
within one heartbeat interval.
"""

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass

from burdockhaven_core.scheduling.peer_messages import MemberId
from burdockhaven_core.scheduling.quotas import QuotaRule
from burdockhaven_core.scheduling.routing import Account

# Seconds after which a grant is no longer counted if no heartbeat contains it; the
# request was not sent, or its member has ended.
GRANT_SETTLE_S = 0.4
# Upper bound in seconds of the delay from a grant until its request is part of the
# usage that the requesting member publishes.
GRANT_DELIVERY_S = 0.05


@dataclass(frozen=True, slots=True)
class _MemberUsage:
    """Quota units used through one member within the window, by account."""

    units: dict[str, int]
    received_s: float


@dataclass(frozen=True, slots=True)
class _Grant:
    """Quota units of a request that was granted a target."""

    granted_s: float
    sender: MemberId
    account: str
    units: float


class SharedQuotas:
    """Usage of all members together, and the quotas' limits on it."""

    def __init__(self, rule: QuotaRule) -> None:
        self.rule = rule
        # By incarnation: the usage of a node's earlier incarnation still counts.
        # The least recently heard first.
        self.members: dict[MemberId, _MemberUsage] = {}
        # Sum of their usage by account, so that no request needs all members.
        self.reported_units: Counter[str] = Counter()
        # The recent grants, the oldest first.
        self.grants: deque[_Grant] = deque()
        # Monotonic time of this process's start, from which on all usage is known.
        # Accounts may have used their full quota before it: older members publish their
        # usage, but members that have ended do not. None if no request was sent before
        # the start.
        self.usage_known_since_s: float | None = None
        # Fraction of the quotas that this side of a partition may use.
        self.share = 1.0
        # The members that are silent and may go on beyond a cut, and the sum of their
        # usage by account when they were last heard.
        self.silent: frozenset[MemberId] = frozenset()
        self.silent_units: Counter[str] = Counter()
        # Whether all known members publish their usage to this process.
        self.is_usage_complete = False

    def record_usage(
        self, member: MemberId, units: Iterable[tuple[str, int]], now: float
    ) -> None:
        """Replace the usage of a member by what it published."""
        self._forget(member)
        usage = _MemberUsage(dict(units), now)
        self.members[member] = usage
        self.reported_units.update(usage.units)

    def set_silent(self, members: Iterable[MemberId]) -> None:
        """Replace the set of members that are silent and may be running."""
        self.silent = frozenset(members)
        self.silent_units.clear()
        for member in self.silent & self.members.keys():
            self.silent_units.update(self.members[member].units)

    def record_grant(
        self, sender: MemberId, account: str, units: float, now: float
    ) -> None:
        """Count a request of a member that was granted a target."""
        self.grants.append(_Grant(now, sender, account, units))

    def used(self, account: Account, now: float) -> float:
        """Return the units that the account has used within the window."""
        self._expire(now)
        reported = self.reported_units[account.name]
        granted = sum(
            grant.units
            for grant in self.grants
            if grant.account == account.name and not self._is_reported(grant)
        )
        return reported + granted + self._unaccounted_usage(account, now)

    def limit(self, account: Account) -> float:
        """Return the units that the account may use per window, without slack."""
        return account.rate_per_s * self.rule.window_s + account.burst

    def admits(
        self,
        account: Account,
        units: float,
        now: float,
        *,
        others_wait: bool = False,
    ) -> bool:
        """Whether a request of this many units stays within the quota.

        While other requests wait, less is allowed beyond the quota, because it would be
        served at their expense.
        """
        if account.rate_per_s <= 0:
            return True
        slack = self.rule.min_slack if others_wait else self._slack(now)
        allowed = self.limit(account) + slack
        return self.used(account, now) + units <= allowed - self._reserve(
            account, allowed, now
        )

    def retry_after_s(self, account: Account, units: float, now: float) -> float:
        """Estimate the seconds until the units fit, at a steady use of the quota."""
        limit = self.limit(account)
        allowed = limit - self._reserve(account, limit, now)
        excess = self.used(account, now) + units - allowed
        return max(0.0, excess) / max(1.0, self.limit(account) / self.rule.window_s)

    def _reserve(self, account: Account, allowed: float, now: float) -> float:
        """Return what has to be left to members beyond a cut, besides their usage.

        They go on with their own share. What they had used when they were last heard
        counts for a window, also if it is more than that; so does what may have been
        used before this process started, because it may have been theirs.
        """
        self._expire(now)
        unaccounted = self._unaccounted_usage(account, now)
        counted = self.silent_units[account.name] + unaccounted
        return max(0.0, (1.0 - self.share) * allowed - counted)

    def _unaccounted_usage(self, account: Account, now: float) -> float:
        """Bound the units that the account may have used before usage was known."""
        if self.usage_known_since_s is None:
            return 0.0
        fraction = 1.0 - (now - self.usage_known_since_s) / self.rule.window_s
        return max(0.0, self.limit(account) * fraction - self.rule.recovery_slack)

    def _slack(self, now: float) -> float:
        """Return the units allowed beyond a quota: fewer while usage may be hidden."""
        since_s = self.usage_known_since_s
        has_settled = since_s is None or now - since_s >= self.rule.window_s
        if self.is_usage_complete and has_settled:
            return self.rule.slack
        return self.rule.min_slack

    def _is_reported(self, grant: _Grant) -> bool:
        """Whether the usage that the requesting member published contains a grant."""
        usage = self.members.get(grant.sender)
        return (
            usage is not None and usage.received_s - grant.granted_s > GRANT_DELIVERY_S
        )

    def _expire(self, now: float) -> None:
        while self.grants and now - self.grants[0].granted_s > GRANT_SETTLE_S:
            self.grants.popleft()
        # The usage of a member that ended still counts for one window.
        while self.members:
            member = next(iter(self.members))
            if now - self.members[member].received_s <= self.rule.window_s:
                break
            self._forget(member)

    def _forget(self, member: MemberId) -> None:
        usage = self.members.pop(member, None)
        if usage is not None:
            self.reported_units.subtract(usage.units)
            if member in self.silent:
                self.silent_units.subtract(usage.units)
                self.silent -= {member}
