"""Load pattern: an engine starts or returns while many requests are queued."""

import pytest
from scheduling_samples import ENGINES, ME, placement_request, table, target

from burdockhaven_core.capacity import PaceReason
from burdockhaven_core.scheduling.broker import Broker
from burdockhaven_core.scheduling.peer_messages import (
    RunEnd,
    RunProgress,
    RunUpdate,
    Verdict,
)
from burdockhaven_core.scheduling.quotas import QuotaRule

SLOTS = 8
QUEUED = 40


def loaded_broker(*, paces_all=True):
    """Return a broker with one full engine and a queue."""
    broker = Broker(QuotaRule(8.0, 0.0))
    broker.runs.paces_all = paces_all
    broker.set_table(table(slots=SLOTS))
    broker.set_targets({"i-1": target("i-1", slots=SLOTS)}, set())
    for _ in range(20):
        broker.costs.record_run("r", 0.5, 1.0)
    for number in range(SLOTS + QUEUED):
        reply = broker.submit(placement_request(number), 0.0)
        assert reply.verdict in (Verdict.GRANTED, Verdict.QUEUED)
    return broker


def start_engine(broker, started_ms=1_000):
    entries = {
        "i-1": target("i-1", slots=SLOTS),
        "i-2": target("i-2", slots=SLOTS, started_ms=started_ms),
    }
    broker.set_targets(entries, set())


def granted(broker, now):
    return [reply.reply.number for reply in broker.grant_queued(now)]


def answer(broker, numbers, took_ms, now):
    updates = tuple(RunUpdate(number, None, took_ms) for number in numbers)
    broker.apply_progress(RunProgress(ME, updates), now)


# Guards against a started engine that gets a whole batch of prompts at once.
def test_started_engine_gets_more_with_each_timely_response():
    broker = loaded_broker()
    start_engine(broker)
    first = granted(broker, 1.0)
    assert len(first) == 2
    answer(broker, first, 60, 1.1)
    second = granted(broker, 1.1)
    assert len(second) == 4
    answer(broker, second, 60, 1.2)
    assert broker.runs.engines["i-2"].pace is None
    assert len(granted(broker, 1.2)) == SLOTS - 6
    reasons = [(c.reason, c.is_over) for c in broker.runs.pace_changes.take()]
    assert reasons == [(PaceReason.STARTED, False), (PaceReason.STARTED, True)]


def test_slow_engine_gets_no_more_than_it_answers():
    broker = loaded_broker()
    start_engine(broker)
    answer(broker, granted(broker, 1.0), 5_000, 6.0)
    assert broker.runs.engines["i-2"].pace.usable_slots == 1


# Guards against an engine that gets all its slots after one sign of life.
def test_recovered_engine_is_paced():
    broker = loaded_broker()
    failed = RunUpdate(0, RunEnd.FAILED)
    broker.apply_progress(RunProgress(ME, (failed,)), 1.0)
    answer(broker, [1], 60, 1.1)
    pace = broker.runs.engines["i-1"].pace
    assert pace is not None and pace.usable_slots < SLOTS


# Guards against a drop in service at a start of this process, or of the store.
@pytest.mark.parametrize("is_absent", [False, True])
def test_known_engine_that_was_away_from_the_store_is_not_paced(is_absent):
    broker = loaded_broker()
    entries = {"i-1": target("i-1", slots=SLOTS), "i-3": target("i-3", slots=SLOTS)}
    broker.set_targets(entries, set())
    broker.runs.engines["i-3"].has_started = False
    if is_absent:
        broker.set_targets({"i-1": entries["i-1"]}, set())
    broker.set_targets(entries, set())
    granted(broker, 1.0)
    assert broker.runs.engines["i-3"].pace is None


# Guards against an engine that is idle until the streams have ended that it serves.
def test_streams_that_flow_leave_room_for_new_requests():
    broker = loaded_broker()
    answer(broker, range(4), 60, 0.2)
    end = RunUpdate(0, RunEnd.FAILED)
    broker.apply_progress(RunProgress(ME, (end,)), 1.0)
    answer(broker, [4], 60, 1.1)
    engine = broker.runs.engines["i-1"]
    assert engine.pace is not None
    assert engine.free_slots() < 1
    answer(broker, range(5, SLOTS), 60, 1.2)
    assert len(granted(broker, 1.3)) == 1


# Guards against a pace that begins, and is logged, at members whose broker is not used.
def test_pace_begins_with_the_first_run():
    broker = loaded_broker()
    start_engine(broker)
    assert not broker.runs.pace_changes.take()
    granted(broker, 1.0)
    assert [c.target for c in broker.runs.pace_changes.take()] == ["i-2"]


# Guards against a change of deployments that don't ask for a pace.
@pytest.mark.parametrize("reports_speed", [False, True])
def test_engines_are_paced_where_the_deployment_asks_for_it(reports_speed):
    broker = loaded_broker(paces_all=False)
    if reports_speed:
        broker.runs.speeds[ENGINES].slow_machines.record(1.0)
    start_engine(broker)
    granted(broker, 1.0)
    assert (broker.runs.engines["i-2"].pace is not None) == reports_speed
