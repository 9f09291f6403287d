from burdockhaven_core.scheduling.retry_budget import RetryBudget, RetryRule

RULE = RetryRule(ratio=0.2, window_s=10.0, slack=58.0)
MEMBERS = 9


def test_all_members_together_stay_within_the_budget():
    sent = repeated = 0
    members = [RetryBudget(RULE) for _ in range(MEMBERS)]
    for step in range(1_000):
        now = step * 0.01
        budget = members[step % MEMBERS]
        budget.count_request("s", now)
        sent += 1
        repeated += budget.take("s", MEMBERS, now)
    assert 0 < repeated <= 0.2 * sent + 58


def test_a_service_does_not_use_the_budget_of_another():
    budget = RetryBudget(RULE)
    while budget.take("s", 1, 0.0):
        pass
    assert budget.take("t", 1, 0.0)


def test_the_budget_returns_with_time():
    budget = RetryBudget(RULE)
    while budget.take("s", 1, 0.0):
        pass
    assert not budget.take("s", 1, 9.0)
    assert budget.take("s", 1, 11.0)
