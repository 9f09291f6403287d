import pytest
from scheduling_samples import account

from burdockhaven_core.scheduling.peer_messages import MemberName
from burdockhaven_core.scheduling.quotas import QuotaRule
from burdockhaven_core.scheduling.shared_quotas import (
    EXCESS_PART,
    GRANT_SETTLE_S,
    SharedQuotas,
)

# The bucket holds the burst and the excess: 200 and 60 units.
ACME = account("acme", rate_per_s=100.0, burst=200.0)
DEPTH = 200 + EXCESS_PART * 1_000
ACCOUNTS = {"acme": ACME}
WINDOW_S = 8.0
# What the platform allows in any window: a tenth beyond the quota.
MOST_IN_WINDOW = 1.1 * (100 * WINDOW_S + 200)


def quotas(**changes):
    return SharedQuotas(QuotaRule(WINDOW_S, slack=0.0, **changes))


def member(number, boot=1):
    return MemberName(f"entry-{number}", boot)


def test_what_all_members_sent_counts():
    made = quotas()
    made.hear(member(1), [("acme", 100), ("other", 900)], ACCOUNTS, 0.0)
    made.hear(member(2), [("acme", 100)], ACCOUNTS, 0.0)
    assert made.admits(ACME, DEPTH - 200, 0.0)
    assert not made.admits(ACME, DEPTH - 199, 0.0)


def test_only_what_is_new_in_a_hello_counts():
    made = quotas()
    for now in (0.0, 0.1, 0.2):
        made.hear(member(1), [("acme", 100)], ACCOUNTS, now)
    assert made.used(ACME, 0.2) == pytest.approx(80)


def test_a_member_that_starts_again_counts_from_nothing():
    made = quotas()
    made.hear(member(1), [("acme", 100)], ACCOUNTS, 0.0)
    made.hear(member(1, boot=2), [("acme", 50)], ACCOUNTS, 0.0)
    assert made.used(ACME, 0.0) == 150


def test_use_is_given_back_at_the_rate():
    made = quotas()
    made.hear(member(1), [("acme", 260)], ACCOUNTS, 0.0)
    assert not made.admits(ACME, 101, 1.0)
    assert made.admits(ACME, 100, 1.0)


def test_a_grant_counts_until_its_member_tells_it():
    made = quotas()
    made.grant("entry-1", "acme", DEPTH, 0.0)
    assert not made.admits(ACME, 1, 0.0)
    made.hear(member(2), [], ACCOUNTS, 0.1)
    assert made.used(ACME, 0.1) == DEPTH
    made.hear(member(1), [("acme", int(DEPTH))], ACCOUNTS, 0.1)
    assert made.used(ACME, 0.1) == DEPTH


def test_a_grant_that_was_just_made_is_not_in_a_hello_that_was_under_way():
    made = quotas()
    made.grant("entry-1", "acme", DEPTH, 0.0)
    made.hear(member(1), [], ACCOUNTS, 0.01)
    assert not made.admits(ACME, 1, 0.01)


def test_a_grant_that_was_never_used_is_forgotten():
    made = quotas()
    made.grant("entry-1", "acme", DEPTH, 0.0)
    assert made.used(ACME, GRANT_SETTLE_S + 0.1) == 0


def test_two_brokers_that_grant_at_once_see_each_other_by_the_members():
    """Each counted its own grants only, and both granted the whole quota."""
    first, second = quotas(), quotas()
    first.grant("entry-1", "acme", 200, 0.0)
    second.grant("entry-2", "acme", 200, 0.0)
    for made in (first, second):
        made.hear(member(1), [("acme", 200)], ACCOUNTS, 0.2)
        made.hear(member(2), [("acme", 200)], ACCOUNTS, 0.2)
        assert not made.admits(ACME, 1, 0.2)


def test_a_steady_excess_is_refused_evenly_and_not_all_at_once():
    """A limit on the window's sum let all of it through, then nothing for seconds."""
    made = quotas()
    total = 0
    served = {}
    for step in range(24 * 20):
        now = step / 20
        if made.admits(ACME, 10, now):
            total += 10
            served[int(now)] = served.get(int(now), 0) + 10
            made.hear(member(1), [("acme", total)], ACCOUNTS, now)
    # It asks for 200 a second; from the third second on it gets its rate in each.
    assert all(90 <= served[second] <= 110 for second in range(3, 24))


@pytest.mark.parametrize("units", [1, 7, 60, 250])
def test_no_window_holds_more_than_the_platform_allows(units):
    made = quotas()
    total = 0
    sent = []
    for step in range(30 * 50):
        now = step / 50
        if made.admits(ACME, units, now):
            total += units
            sent.append((now, units))
            made.hear(member(1), [("acme", total)], ACCOUNTS, now)
    for start, _ in sent:
        within = sum(u for at, u in sent if start <= at < start + WINDOW_S)
        assert within <= MOST_IN_WINDOW


def test_a_lowered_quota_binds_at_its_new_rate_at_once():
    """It was refused whole until what it had used before left the window."""
    made = quotas()
    made.hear(member(1), [("acme", 5_000)], ACCOUNTS, 0.0)
    lowered = account("acme", rate_per_s=50.0, burst=50.0)
    made.use({"acme": lowered}, 0.0)
    assert not made.admits(lowered, 1, 0.0)
    assert made.admits(lowered, 50, 1.0)
    assert not made.admits(lowered, 51, 1.0)


def test_a_minority_earns_its_part_of_the_rate():
    made = quotas()
    made.share = 0.25
    made.hear(member(1), [("acme", int(DEPTH))], ACCOUNTS, 0.0)
    assert made.admits(ACME, 25, 1.0)
    assert not made.admits(ACME, 26, 1.0)


def test_after_the_end_of_all_members_the_quota_comes_back_at_its_rate():
    made = SharedQuotas(QuotaRule(WINDOW_S, slack=0.0), unknown_until_s=10.0)
    assert not made.admits(ACME, 1, 10.0)
    assert made.admits(ACME, 100, 11.0)
    assert not made.admits(ACME, 101, 11.0)


def test_after_the_end_of_all_members_a_part_of_the_slack_is_left_at_once():
    """All accounts were refused in the first second, though they had used little."""
    rule = QuotaRule(WINDOW_S, slack=0.0, recovery_slack=100.0)
    made = SharedQuotas(rule, unknown_until_s=10.0)
    assert made.admits(ACME, 100, 10.0)
    assert not made.admits(ACME, 101, 10.0)


def test_a_start_beside_others_does_not_count_what_they_sent_long_ago():
    made = SharedQuotas(QuotaRule(WINDOW_S, slack=0.0), unknown_until_s=0.0)
    made.hear(member(1), [("acme", 1_000_000)], ACCOUNTS, 5.0)
    assert made.admits(ACME, 200, 5.0)


def test_the_time_to_come_back_grows_with_the_excess():
    made = quotas()
    made.hear(member(1), [("acme", int(DEPTH))], ACCOUNTS, 0.0)
    assert made.retry_after_s(ACME, 100, 0.0) == 1.0
    assert made.retry_after_s(ACME, 200, 0.0) == 2.0


def test_a_request_larger_than_the_bucket_is_admitted_by_an_empty_one():
    made = quotas()
    assert made.admits(ACME, 5 * DEPTH, 0.0)
    made.hear(member(1), [("acme", 1)], ACCOUNTS, 0.0)
    assert not made.admits(ACME, 5 * DEPTH, 0.0)


def test_a_clock_that_was_read_earlier_takes_nothing_back():
    made = quotas()
    made.used(ACME, 1.0)
    assert made.used(ACME, 0.5) == 0


def test_an_account_without_a_rate_has_no_limit():
    made = SharedQuotas(QuotaRule(WINDOW_S, slack=0.0), unknown_until_s=0.0)
    assert made.admits(account("free"), 1e9, 0.0)
