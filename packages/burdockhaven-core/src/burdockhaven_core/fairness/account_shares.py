"""Engine time used by each client account, and which use more than their part.

Accounts of one tier share a service in proportion to their quotas, which state what
they have ordered. The shares only order the queue, so that no engine is idle while
anything waits, and an account that was idle has no credit beyond the window.
"""

from collections.abc import Hashable, Mapping

from burdockhaven_core.sliding_window import SlidingWindow

# Seconds over which engine time is counted: long enough for several responses of an
# account, short enough that a burst is over before its account is held back for it.
WINDOW_S = 4.0
# Multiple of the tier's use for each unit of quota from which on an account uses more
# than its part.
OVERDRAWN_RATIO = 1.5
# Accounts of a tier that must have used engines lately; one alone competes with none.
MIN_ACCOUNTS = 2


class AccountShares:
    """Engine time of the accounts of each tier, as granted by one broker."""

    def __init__(self) -> None:
        # Slot seconds by account, in each tier of each service.
        self.used_s: dict[Hashable, dict[str, SlidingWindow]] = {}

    def record_grant(
        self, tier: Hashable, account: str, slot_s: float, now: float
    ) -> None:
        """Count the engine time that a granted request is expected to take."""
        accounts = self.used_s.setdefault(tier, {})
        window = accounts.get(account)
        if window is None:
            window = accounts[account] = SlidingWindow(WINDOW_S)
        window.add(slot_s, now)

    def is_overdrawn(
        self, tier: Hashable, account: str, quotas: Mapping[str, float], now: float
    ) -> bool:
        """Whether an account has used more than its part of a tier's engine time.

        `quotas` are the units a second of each account; an account without a quota
        counts as one of average size.
        """
        used_s = {
            name: used
            for name, window in self.used_s.get(tier, {}).items()
            if (used := window.sum(now)) > 0.0
        }
        own_s = used_s.get(account, 0.0)
        if not own_s or len(used_s) < MIN_ACCOUNTS:
            return False
        known = [quotas[name] for name in used_s if quotas.get(name)]
        average = sum(known) / len(known) if known else 1.0
        weights = {name: quotas.get(name) or average for name in used_s}
        common = sum(used_s.values()) / sum(weights.values())
        return own_s > OVERDRAWN_RATIO * common * weights[account]

    def discard_idle(self, now: float) -> None:
        """Forget accounts that have used nothing within the window."""
        for tier, accounts in list(self.used_s.items()):
            for name in [n for n, window in accounts.items() if not window.sum(now)]:
                del accounts[name]
            if not accounts:
                del self.used_s[tier]
