"""Prompts that wait for the records of accused parts after a start."""

import pytest
from scheduling_samples import placement_request, table, target

from burdockhaven_core.scheduling.accused_part import PartEvidence
from burdockhaven_core.scheduling.broker import Broker
from burdockhaven_core.scheduling.peer_messages import Verdict
from burdockhaven_core.scheduling.quotas import QuotaRule
from burdockhaven_core.scheduling.records_wait import RECORDS_WAIT_S, RecordsWait

SHARED = (("all", 60), ("bad", 40), ("own", 20))


@pytest.fixture
def broker():
    """A broker that has started and not read the records."""
    broker = Broker(QuotaRule(8.0, 0.0))
    broker.records_wait = RecordsWait(is_pending=True)
    broker.set_table(table())
    broker.set_targets({"i-1": target("i-1")}, set())
    return broker


def verdicts(replies):
    return [(r.reply.verdict, r.reply.quarantined_part) for r in replies]


# Guards against BUDGET: after a start of all members, prompts went to engines before
# the records that name their parts were read.
def test_prompt_with_a_recorded_part_reaches_no_engine_after_a_start(broker):
    request = placement_request(1, parts=SHARED)
    assert broker.submit(request, 1.0).verdict is Verdict.QUEUED
    assert broker.grant_queued(1.1) == []
    broker.crashes.restore(PartEvidence("bad", 3, 0.0, 15.0, 1), "store", 1.2)
    broker.records_wait.end()
    replies = broker.refuse_infeasible(1.2)
    assert verdicts(replies) == [(Verdict.OVERLOADED, "bad")]


def test_prompts_go_on_once_the_records_are_read(broker):
    broker.submit(placement_request(1, parts=SHARED), 1.0)
    assert broker.refuse_infeasible(1.1) == []
    broker.records_wait.end()
    assert verdicts(broker.grant_queued(1.1)) == [(Verdict.GRANTED, "")]
    reply = broker.submit(placement_request(2, parts=SHARED), 1.2)
    assert reply.verdict is Verdict.GRANTED


# Guards against a store that keeps service away by being away.
def test_prompts_wait_for_a_bounded_time(broker):
    broker.submit(placement_request(1, parts=SHARED), 1.0)
    assert broker.grant_queued(1.0 + RECORDS_WAIT_S - 0.01) == []
    now = 1.0 + RECORDS_WAIT_S
    assert verdicts(broker.grant_queued(now)) == [(Verdict.GRANTED, "")]
    reply = broker.submit(placement_request(2, parts=SHARED), now)
    assert reply.verdict is Verdict.GRANTED


# The time begins with the first prompt: the configuration may come late, too.
def test_wait_begins_with_the_first_prompt(broker):
    broker.submit(placement_request(1, parts=SHARED), 60.0)
    assert broker.grant_queued(60.1) == []


@pytest.mark.parametrize(
    "changes",
    [{"parts": (("own", 20),)}, {"parts": ()}, {"parts": SHARED, "has_begun": True}],
)
def test_prompt_that_no_record_can_accuse_does_not_wait(broker, changes):
    reply = broker.submit(placement_request(1, **changes), 1.0)
    assert reply.verdict is Verdict.GRANTED
