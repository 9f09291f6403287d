import pytest
from scheduling_samples import account

from burdockhaven_core.scheduling.quotas import quota_cost


@pytest.mark.parametrize(
    ("counts", "prompt", "output", "expected"),
    [
        (True, 1_000, 50, 1_050),
        (True, None, None, 200),
        (False, 1_000, 50, 1),
    ],
)
def test_a_request_costs_its_tokens_or_one(counts, prompt, output, expected):
    assert quota_cost(account(counts_tokens=counts), prompt, output) == expected
