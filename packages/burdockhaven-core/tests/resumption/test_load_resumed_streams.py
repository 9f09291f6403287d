"""Load pattern: streams cut by a kill of all members return beside a burst."""

from scheduling_samples import ME, placement_request, table, target

from burdockhaven_core.scheduling.broker import Broker
from burdockhaven_core.scheduling.peer_messages import (
    RunEnd,
    RunProgress,
    RunUpdate,
    Verdict,
)
from burdockhaven_core.scheduling.quotas import QuotaRule

SLOTS = 4


def full_broker():
    """Return a broker whose only engine is full, and that knows what runs cost."""
    broker = Broker(QuotaRule(8.0, 0.0))
    broker.set_table(table(slots=SLOTS))
    broker.set_targets({"i-1": target(slots=SLOTS, software_version="v1")}, set())
    for number in range(SLOTS):
        reply = broker.submit(placement_request(number), 0.0)
        assert reply.verdict is Verdict.GRANTED
    for _ in range(20):
        broker.costs.record_run("r", 1.0, 1.0)
    return broker


def end_run(broker, number, now):
    update = RunUpdate(number, end=RunEnd.COMPLETED)
    broker.apply_progress(RunProgress(ME, (update,)), now)
    return [reply.reply.number for reply in broker.grant_queued(now)]


def resumption(number):
    """Return a stream whose objective, counted from its first attempt, has passed."""
    return placement_request(
        number,
        objective_ms=-2_000,
        client_timeout_ms=2_400,
        is_retry=True,
        is_resumption=True,
        software_version="v1",
    )


# Guards against LOST: streams with known versions are refused as late while new ones of
# the same route begin.
def test_resumed_stream_goes_ahead_of_a_burst_of_new_ones():
    broker = full_broker()
    for number in range(100, 130):
        broker.submit(placement_request(number, client_timeout_ms=2_400), 0.1)
    assert broker.submit(resumption(200), 0.2).verdict is Verdict.QUEUED
    assert broker.submit(resumption(201), 0.3).verdict is Verdict.QUEUED
    assert end_run(broker, 0, 0.4) == [200]
    assert end_run(broker, 1, 0.5) == [201]


# Guards against a rank that outweighs the priority between accounts.
def test_resumed_stream_stays_behind_accounts_of_higher_priority():
    broker = full_broker()
    broker.submit(placement_request(100, client_timeout_ms=2_400), 0.1)
    broker.submit(
        placement_request(
            200,
            priority=1,
            is_retry=True,
            is_resumption=True,
            client_timeout_ms=2_400,
            objective_ms=-2_000,
        ),
        0.2,
    )
    assert end_run(broker, 0, 0.4) == [100]
