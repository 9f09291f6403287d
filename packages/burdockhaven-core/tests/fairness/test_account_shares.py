"""Engine time of accounts, and the accounts that use more than their part."""

import pytest

from burdockhaven_core.fairness.account_shares import WINDOW_S, AccountShares
from burdockhaven_core.scheduling.served_shares import Tier

TIER = Tier("engines", 0)


def used(**slot_s):
    shares = AccountShares()
    for account, seconds in slot_s.items():
        shares.record_grant(TIER, account, seconds, 10.0)
    return shares


@pytest.mark.parametrize(
    ("used_s", "quotas", "overdrawn"),
    [
        # Equal quotas.
        ({"a": 8.0, "b": 1.0, "c": 1.0}, {"a": 5, "b": 5, "c": 5}, ["a"]),
        ({"a": 3.0, "b": 2.0, "c": 2.0}, {"a": 5, "b": 5, "c": 5}, []),
        # A large account uses what it has ordered.
        ({"a": 8.0, "b": 1.0, "c": 1.0}, {"a": 80, "b": 10, "c": 10}, []),
        # A small one that uses more than its quota stands for.
        ({"a": 4.0, "b": 4.0}, {"a": 80, "b": 10}, ["b"]),
        # Without a quota an account counts as one of average size.
        ({"a": 8.0, "b": 1.0, "c": 1.0}, {"b": 5, "c": 5}, ["a"]),
        ({"a": 8.0, "b": 1.0, "c": 1.0}, {}, ["a"]),
        # Nobody else competes.
        ({"a": 8.0}, {"a": 5, "b": 5}, []),
    ],
)
def test_overdrawn_accounts(used_s, quotas, overdrawn):
    shares = used(**used_s)
    found = [name for name in used_s if shares.is_overdrawn(TIER, name, quotas, 10.0)]
    assert found == overdrawn


def test_use_is_forgotten_after_the_window():
    shares = used(a=8.0, b=1.0)
    later_s = 10.0 + 2 * WINDOW_S
    shares.discard_idle(later_s)
    assert not shares.used_s
    assert not shares.is_overdrawn(TIER, "a", {}, later_s)


def test_tiers_do_not_share():
    shares = used(a=8.0, b=1.0)
    assert not shares.is_overdrawn(Tier("engines", 1), "a", {}, 10.0)
