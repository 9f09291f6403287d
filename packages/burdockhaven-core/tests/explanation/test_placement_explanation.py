"""Explanations of placements agree with the next real ones and change nothing."""

import random

import pytest
from scheduling_samples import ME, account, placement_request, table, target

from burdockhaven_core.explanation import CandidateState, explain_placement
from burdockhaven_core.scheduling.broker import Broker
from burdockhaven_core.scheduling.peer_messages import (
    RunEnd,
    RunProgress,
    RunUpdate,
    Verdict,
)
from burdockhaven_core.scheduling.quotas import QuotaRule

VERDICTS = {
    Verdict.GRANTED: "granted",
    Verdict.QUEUED: "queued",
    Verdict.OVERLOADED: "refused",
    Verdict.OVER_QUOTA: "refused",
}


def start_broker(engines=3, slots=2):
    broker = Broker(QuotaRule(8.0, 0.0))
    accounts = (account("acme", rate_per_s=1_000.0), account("free"))
    broker.set_table(table(accounts=accounts, slots=slots))
    broker.set_targets(
        {f"i-{n}": target(f"i-{n}", slots=slots) for n in range(engines)}, set()
    )
    for _ in range(20):
        broker.costs.record_run("r", 0.5, 1.0)
    return broker


# Guards against an explanation that tells another story than the broker then plays.
@pytest.mark.parametrize("seed", range(5))
def test_next_placement_agrees_with_its_explanation(seed):
    rng = random.Random(seed)
    broker, now, running = start_broker(), 0.0, []
    seen = set()
    for number in range(200):
        now += rng.expovariate(20.0)
        request = placement_request(
            number,
            account=rng.choice(("acme", "free", "")),
            prompt_tokens=rng.choice((200, 2_000, 20_000)),
            client_timeout_ms=2_000,
        )
        explained = explain_placement(broker, request, "entry-1", now)
        again = explain_placement(broker, request, "entry-1", now)
        assert explained == again
        reply = broker.submit(request, now)
        assert explained.verdict == VERDICTS[reply.verdict]
        assert explained.target == reply.target
        seen.add(explained.verdict)
        if reply.verdict is Verdict.GRANTED:
            running.append(number)
            update = RunUpdate(number, None, 60)
            broker.apply_progress(RunProgress(ME, (update,)), now)
        if running and rng.random() < 0.4:
            end = RunUpdate(running.pop(0), RunEnd.COMPLETED)
            broker.apply_progress(RunProgress(ME, (end,)), now)
        broker.refuse_infeasible(now)
    assert seen == {"granted", "queued", "refused"}


def states(explanation):
    return {found.target: found.state for found in explanation.candidates}


def test_each_candidate_says_what_speaks_against_it():
    broker = start_broker(engines=4, slots=1)
    assert broker.submit(placement_request(1), 0.0).target
    full = broker.runs.granted[next(iter(broker.runs.granted))]
    others = [f"i-{n}" for n in range(4) if f"i-{n}" != full]
    broker.runs.engines[others[0]].eject(0.0)
    request = placement_request(2, excluded=(others[1],))
    explained = explain_placement(broker, request, "entry-1", 0.1)
    assert explained.target == others[2]
    assert states(explained) == {
        full: CandidateState.FULL,
        others[0]: CandidateState.EJECTED,
        others[1]: CandidateState.EXCLUDED,
        others[2]: CandidateState.CHOSEN,
    }


def test_used_up_quota_is_named():
    broker = start_broker()
    request = placement_request(1, account="acme", prompt_tokens=100_000)
    explained = explain_placement(broker, request, "entry-1", 0.0)
    assert (explained.verdict, explained.target) == ("refused", "")
    assert "quota" in explained.reason
    assert explained.quota_used == 0.0
