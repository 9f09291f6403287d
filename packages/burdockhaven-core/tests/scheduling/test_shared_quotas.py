from scheduling_samples import account

from burdockhaven_core.scheduling.peer_messages import MemberName
from burdockhaven_core.scheduling.quotas import QuotaRule
from burdockhaven_core.scheduling.shared_quotas import GRANT_SETTLE_S, SharedQuotas

ENTRY_1 = MemberName("entry-1", 1)
ENTRY_2 = MemberName("entry-2", 1)
# May use 1,000 units in a window.
ACME = account("acme", rate_per_s=100.0, burst=200.0)


def quotas():
    return SharedQuotas(QuotaRule(window_s=8.0, slack=0.0))


def test_what_all_members_sent_counts():
    made = quotas()
    made.hear(ENTRY_1, [("acme", 400), ("other", 900)], 0.0)
    made.hear(ENTRY_2, [("acme", 500)], 0.0)
    assert made.admits(ACME, 100, 0.1)
    assert not made.admits(ACME, 101, 0.1)


def test_a_grant_counts_until_its_member_tells_it():
    made = quotas()
    made.grant("acme", 1_000, 0.0)
    assert not made.admits(ACME, 1, 0.1)
    made.hear(ENTRY_1, [("acme", 1_000)], GRANT_SETTLE_S + 0.1)
    assert made.used(ACME, GRANT_SETTLE_S + 0.1) == 1_000


def test_two_brokers_that_grant_at_once_see_each_other_by_the_members():
    """Each counted its own grants only, and both granted the whole quota."""
    first, second = quotas(), quotas()
    first.grant("acme", 600, 0.0)
    second.grant("acme", 500, 0.0)
    for made in (first, second):
        made.hear(ENTRY_1, [("acme", 600)], 0.5)
        made.hear(ENTRY_2, [("acme", 500)], 0.5)
        assert not made.admits(ACME, 1, 0.5)


def test_what_a_member_sent_before_it_ended_counts_for_one_window():
    made = quotas()
    made.hear(ENTRY_1, [("acme", 1_000)], 0.0)
    assert not made.admits(ACME, 1, 7.9)
    assert made.admits(ACME, 1_000, 8.1)


def test_a_member_that_starts_again_does_not_hide_what_it_sent_before():
    """Half of the members that end and start again freed half of the quota."""
    made = quotas()
    made.hear(ENTRY_1, [("acme", 1_000)], 0.0)
    made.hear(MemberName("entry-1", 2), [], 1.5)
    assert not made.admits(ACME, 1, 1.5)
    assert made.admits(ACME, 1_000, 8.1)


def test_after_the_end_of_all_members_the_quota_comes_back_at_its_rate():
    made = quotas()
    made.known_since_s = 10.0
    assert not made.admits(ACME, 1, 10.0)
    assert made.admits(ACME, 500, 14.0)
    assert not made.admits(ACME, 501, 14.0)
    assert made.admits(ACME, 1_000, 18.0)


def test_the_time_to_come_back_grows_with_the_excess():
    made = quotas()
    made.hear(ENTRY_1, [("acme", 1_000)], 0.0)
    small = made.retry_after_s(ACME, 125, 0.0)
    assert small == 1.0
    assert made.retry_after_s(ACME, 500, 0.0) > small


def test_an_account_without_a_rate_has_no_limit():
    made = quotas()
    made.known_since_s = 0.0
    assert made.admits(account("free"), 1e9, 0.0)


def test_after_the_end_of_all_members_a_part_of_the_slack_is_left_at_once():
    """All accounts were refused in the first second, though they had used little."""
    made = SharedQuotas(QuotaRule(window_s=8.0, slack=0.0, recovery_slack=300.0))
    made.known_since_s = 10.0
    assert made.admits(ACME, 300, 10.0)
    assert not made.admits(ACME, 301, 10.0)
