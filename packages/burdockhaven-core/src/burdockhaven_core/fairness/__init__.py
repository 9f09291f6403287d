"""Division of engine time over client accounts while there is too little of it."""

from burdockhaven_core.fairness.account_shares import AccountShares

__all__ = ["AccountShares"]
