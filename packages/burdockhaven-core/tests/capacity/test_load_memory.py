"""Load pattern: large requests that together exceed the memory of an engine."""

import pytest
from scheduling_samples import ME, placement_request, table, target

from burdockhaven_core.capacity.memory_use import USABLE_FRACTION, needed_tokens
from burdockhaven_core.scheduling.broker import Broker
from burdockhaven_core.scheduling.peer_messages import (
    RunEnd,
    RunProgress,
    RunUpdate,
    Verdict,
)
from burdockhaven_core.scheduling.quotas import QuotaRule

SLOTS = 8
# Memory of the engines in `table`.
MEMORY_TOKENS = 800_000


def start_broker(*, guards_memory=True):
    broker = Broker(QuotaRule(8.0, 0.0))
    broker.guards_memory = guards_memory
    broker.set_table(table(slots=SLOTS))
    broker.set_targets({"i-1": target(slots=SLOTS)}, set())
    return broker


def request(number, prompt_tokens, **changes):
    changes = {"pause_objective_ms": 60_000, "objective_ms": 60_000} | changes
    return placement_request(number, prompt_tokens=prompt_tokens, **changes)


# Guards against an engine that ends, with all its requests, because they exceed its
# memory together while slots are free.
@pytest.mark.parametrize("guards_memory", [True, False])
def test_request_waits_until_there_is_memory(guards_memory):
    broker = start_broker(guards_memory=guards_memory)
    for number in range(3):
        reply = broker.submit(request(number, 230_000), 0.0)
        assert reply.verdict is Verdict.GRANTED
    expected = Verdict.QUEUED if guards_memory else Verdict.GRANTED
    assert broker.submit(request(3, 230_000), 0.1).verdict is expected
    if guards_memory:
        assert broker.submit(request(4, 1_000), 0.2).verdict is Verdict.QUEUED
        end = RunProgress(ME, (RunUpdate(0, RunEnd.COMPLETED),))
        broker.apply_progress(end, 0.3)
        assert [r.reply.number for r in broker.grant_queued(0.3)] == [3, 4]


# Guards against a request that is queued and sent though it would end every engine.
def test_request_that_fits_no_engine_is_refused_for_good():
    broker = start_broker()
    reply = broker.submit(request(1, MEMORY_TOKENS), 0.0)
    assert reply.is_too_large
    assert reply.retry_after_ms == 0
    assert not broker.queue


@pytest.mark.parametrize(
    ("expected_tokens", "tokens"), [(0, 3_000), (100, 1_400), (5_000, 3_000)]
)
def test_needed_tokens_follow_the_expected_length(expected_tokens, tokens):
    assert needed_tokens(1_000, expected_tokens, 2_000) == tokens
    assert USABLE_FRACTION < 1.0
