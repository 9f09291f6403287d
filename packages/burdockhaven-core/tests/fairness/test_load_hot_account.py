"""Load pattern: one of several accounts asks seven times as much as usual."""

import random
from collections import Counter

import pytest
from scheduling_samples import ME, account, placement_request, table, target

from burdockhaven_core.scheduling.broker import Broker
from burdockhaven_core.scheduling.peer_messages import (
    RunEnd,
    RunProgress,
    RunUpdate,
    Verdict,
)
from burdockhaven_core.scheduling.quotas import QuotaRule

SLOTS = 8
ACCOUNTS = ("hot", "b", "c", "d")
# Requests a second of an account at usual times; all together take half of the slots.
USUAL_PER_S = 4.0
HOT_FACTOR = 7.0
RUN_S = 0.25
LENGTH_S = 12.0
STEP_S = 0.01


def play(*, divides_engines):
    """Return the requests asked and granted by account, and the largest idle queue."""
    rng = random.Random(1)
    broker = Broker(QuotaRule(8.0, 0.0))
    broker.divides_engines = divides_engines
    accounts = [account(name, rate_per_s=1e9) for name in ACCOUNTS]
    broker.set_table(table(accounts=accounts, slots=SLOTS))
    broker.set_targets({"i-1": target(slots=SLOTS)}, set())
    for _ in range(20):
        broker.costs.record_run("r", RUN_S, 1.0)
    asked, granted = Counter(), Counter()
    names, ends = {}, []
    idle_while_queued = 0
    for step in range(int(LENGTH_S / STEP_S)):
        now = step * STEP_S
        replies = []
        for number in [n for at_s, n in ends if at_s <= now]:
            update = RunUpdate(number, RunEnd.COMPLETED)
            broker.apply_progress(RunProgress(ME, (update,)), now)
        ends = [(at_s, number) for at_s, number in ends if at_s > now]
        for name in ACCOUNTS:
            factor = HOT_FACTOR if name == "hot" else 1.0
            if rng.random() < USUAL_PER_S * factor * STEP_S:
                number = len(names)
                names[number] = name
                asked[name] += 1
                request = placement_request(
                    number, account=name, client_timeout_ms=1_500, prompt_tokens=100
                )
                replies.append(broker.submit(request, now))
        replies += [r.reply for r in broker.grant_queued(now)]
        broker.refuse_infeasible(now)
        for reply in replies:
            if reply.verdict is Verdict.GRANTED:
                granted[names[reply.number]] += 1
                update = RunUpdate(reply.number, None, 60)
                broker.apply_progress(RunProgress(ME, (update,)), now)
                ends.append((now + RUN_S, reply.number))
        engine = broker.runs.engines["i-1"]
        idle_while_queued += bool(broker.queue) and engine.free_slots() > 0
    return asked, granted, idle_while_queued


# Guards against callers who are refused because another account overdraws.
def test_usual_accounts_are_served_beside_a_hot_one():
    asked, granted, idle = play(divides_engines=True)
    for name in ACCOUNTS[1:]:
        assert granted[name] >= 0.9 * asked[name]
    # Work-conserving: what the others leave goes to the hot account.
    assert granted["hot"] > granted["b"]
    assert idle == 0


# Shows the load: without the division the others pay for the hot account.
def test_without_division_the_others_pay():
    asked, granted, _ = play(divides_engines=False)
    shares = [granted[name] / asked[name] for name in ACCOUNTS[1:]]
    assert min(shares) < 0.9


@pytest.mark.parametrize("divides_engines", [False, True])
def test_total_service_does_not_fall_with_the_division(divides_engines):
    _, granted, _ = play(divides_engines=divides_engines)
    assert sum(granted.values()) >= 0.85 * SLOTS / RUN_S * LENGTH_S
