"""Quotas over all members, from what each member says that it has sent.

Each account has a bucket that use fills and time empties at the account's rate. Each
hello carries the totals that its member has sent since its start; the difference to
the hello before fills the buckets of all that hear it. What a broker has granted since
counts until the member's next hello contains it, so that two brokers that do not know
of each other see each other's grants within one interval.

A bucket refuses a steady excess evenly. A limit on the sum over the window alone let an
account send all of it in the first seconds and nothing for the rest of the window.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from burdockhaven_core.scheduling.peer_messages import MemberName
from burdockhaven_core.scheduling.quotas import QuotaRule
from burdockhaven_core.scheduling.routing import Account

# Seconds after which a hello of the member contains a grant: the reply and the send
# take milliseconds.
TOLD_AFTER_S = 0.05
# Seconds after which a grant counts as told or not used, whatever was heard.
GRANT_SETTLE_S = 0.6
# Part of an account's quota in one window that its bucket holds beyond its burst; the
# platform allows a tenth.
EXCESS_PART = 0.06
# Part of a bucket that each rank of urgency leaves to those before it, and the most.
# Small requests that are not urgent would otherwise fill each gap, and large urgent ones
# never find room.
HEADROOM_PART = 0.15
MOST_HEADROOM = 0.45


@dataclass(slots=True)
class _Bucket:
    """Units that were used and that the rate has not given back yet."""

    units: float
    at_s: float


@dataclass(frozen=True, slots=True)
class _Grant:
    """Units that a broker has allowed and that no hello contains yet."""

    at_s: float
    node: str
    account: str
    units: float


@dataclass(frozen=True, slots=True)
class _Told:
    """The last totals of one start of a member."""

    boot: int
    totals: dict[str, int]


class SharedQuotas:
    """What all members together have sent."""

    def __init__(self, rule: QuotaRule, unknown_until_s: float | None = None) -> None:
        """Start with empty buckets, or with full ones if others may have sent.

        Args:
            rule: how exactly quotas are kept.
            unknown_until_s: the monotonic time until which members that are not known
                may have used the quotas; None if nothing was sent before.
        """
        self.rule = rule
        self.unknown_until_s = unknown_until_s
        self.buckets: dict[str, _Bucket] = {}
        self.told: dict[str, _Told] = {}
        self.grants: deque[_Grant] = deque()
        # Part of the quotas that this side of a partition may use.
        self.share = 1.0

    def hear(
        self,
        name: MemberName,
        totals: Iterable[tuple[str, int]],
        accounts: dict[str, Account],
        now: float,
    ) -> None:
        """Take in what a member has sent since its start.

        What a member had sent when it is first heard was sent while this one listened
        to it, or before: either way the buckets started full or it was sent just now.
        """
        new = dict(totals)
        known = self.told.get(name.node)
        if known is not None and known.boot == name.boot:
            before = known.totals
        else:
            before = {} if self.unknown_until_s is None else new
        self.told[name.node] = _Told(name.boot, new)
        for account_name, total in new.items():
            account = accounts.get(account_name)
            units = total - before.get(account_name, 0)
            if account is not None and units > 0:
                self._bucket(account, now).units += units
        self._settle(name.node, now)

    def grant(self, node: str, account: str, units: float, now: float) -> None:
        """Count a request that a member is about to send."""
        self.grants.append(_Grant(now, node, account, units))

    def use(self, accounts: dict[str, Account], now: float) -> None:
        """Use these quotas; one that was lowered binds from now on.

        What was used under a higher limit is forgiven as far as the new bucket does not
        hold it.
        """
        for name, account in accounts.items():
            if name in self.buckets:
                bucket = self._bucket(account, now)
                bucket.units = min(bucket.units, self.depth(account))

    def depth(self, account: Account) -> float:
        """Units that the account may use at once."""
        in_window = account.rate_per_s * self.rule.window_s + account.burst
        return account.burst + EXCESS_PART * in_window + self.rule.slack

    def used(self, account: Account, now: float) -> float:
        """Units that the account has used and not been given back."""
        while self.grants and now - self.grants[0].at_s > GRANT_SETTLE_S:
            self.grants.popleft()
        granted = sum(g.units for g in self.grants if g.account == account.name)
        return self._bucket(account, now).units + granted

    def admits(self, account: Account, units: float, now: float, rank: int = 0) -> bool:
        """Whether a request of so many units stays within the quota.

        One that is larger than the bucket is admitted by an empty one. A less urgent
        one leaves room for those that go before it.
        """
        if account.rate_per_s <= 0:
            return True
        return self._excess(account, units, now, rank) <= 0

    def retry_after_s(
        self, account: Account, units: float, now: float, rank: int = 0
    ) -> float:
        """Seconds until so many units should fit."""
        excess = max(0.0, self._excess(account, units, now, rank))
        return excess / max(1.0, account.rate_per_s * self.share)

    def _excess(self, account: Account, units: float, now: float, rank: int) -> float:
        """Units that do not fit; 0 or less if the request does."""
        room = self.depth(account) * (1 - min(MOST_HEADROOM, HEADROOM_PART * rank))
        return self.used(account, now) + min(units, room) - room

    def _bucket(self, account: Account, now: float) -> _Bucket:
        """The account's bucket as it is now."""
        bucket = self.buckets.get(account.name)
        if bucket is None:
            bucket = _Bucket(self._unknown(account, now), now)
            self.buckets[account.name] = bucket
        # A caller may have read the clock before another that came first.
        elapsed_s = max(0.0, now - bucket.at_s)
        earned = account.rate_per_s * self.share * elapsed_s
        bucket.units = max(0.0, bucket.units - earned)
        bucket.at_s += elapsed_s
        return bucket

    def _unknown(self, account: Account, now: float) -> float:
        """What the account may have used before anything was heard."""
        if self.unknown_until_s is None:
            return 0.0
        full = max(0.0, self.depth(account) - self.rule.recovery_slack)
        return max(0.0, full - account.rate_per_s * (now - self.unknown_until_s))

    def _settle(self, node: str, now: float) -> None:
        """Forget the grants that a hello of their member contains."""
        if any(g.node == node and now - g.at_s > TOLD_AFTER_S for g in self.grants):
            self.grants = deque(
                g for g in self.grants if g.node != node or now - g.at_s <= TOLD_AFTER_S
            )
