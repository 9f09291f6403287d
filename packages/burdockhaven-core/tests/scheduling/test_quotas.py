import pytest
from scheduling_samples import account

from burdockhaven_core.scheduling.quotas import QuotaRule, Quotas, quota_cost

RULE = QuotaRule(window_s=8.0, slack=0.0, min_slack=100.0)
SMALL = account(rate_per_s=100.0, burst=50.0)


def test_window_admits_exactly_rate_burst_and_slack():
    quotas = Quotas(RULE)
    assert quotas.admits(SMALL, 950, 0.0)
    quotas.charge(SMALL.name, 950, 0.0)
    assert not quotas.admits(SMALL, 1, 7.9)
    assert quotas.admits(SMALL, 950, 8.5)


def test_lowered_quota_applies_immediately():
    quotas = Quotas(RULE)
    quotas.charge(SMALL.name, 500, 0.0)
    lowered = account(rate_per_s=10.0)
    assert not quotas.admits(lowered, 1, 1.0)


def test_account_without_a_rate_is_unlimited():
    assert Quotas(RULE).admits(account(), 1e9, 0.0)


@pytest.mark.parametrize(
    ("counts", "prompt", "output", "expected"),
    [
        (True, 1_000, 50, 1_050),
        (True, None, None, 200),
        (False, 1_000, 50, 1),
    ],
)
def test_request_cost_is_its_tokens_or_one_unit(counts, prompt, output, expected):
    assert quota_cost(account(counts_tokens=counts), prompt, output) == expected
