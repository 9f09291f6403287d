"""Load pattern: a few large prompts among many small ones, all engines full."""

import pytest
from scheduling_samples import ME, placement_request, table, target

from burdockhaven_core.scheduling.broker import Broker
from burdockhaven_core.scheduling.peer_messages import (
    RunEnd,
    RunProgress,
    RunUpdate,
    Verdict,
)
from burdockhaven_core.scheduling.quotas import QuotaRule
from burdockhaven_core.scheduling.route_sizes import MIN_SAMPLES, RouteSizes

SLOTS = 4
SMALL_TOKENS = 1_000
LARGE_TOKENS = 20_000
# Waiting, no client of these requests leaves before the end of a test.
PATIENCE = {"client_timeout_ms": 3_400}


def full_broker():
    """Return a broker whose engine is full and that has seen many small requests."""
    broker = Broker(QuotaRule(8.0, 0.0))
    broker.set_table(table(slots=SLOTS))
    broker.set_targets({"i-1": target(slots=SLOTS)}, set())
    for number in range(MIN_SAMPLES):
        broker.sizes.record(request(number))
    for number in range(SLOTS):
        assert broker.submit(request(number), 0.0).verdict is Verdict.GRANTED
        broker.apply_progress(RunProgress(ME, (RunUpdate(number),)), 0.0)
    for _ in range(20):
        broker.costs.record_run("r", 0.2, 1.0)
    return broker


def request(number, prompt_tokens=SMALL_TOKENS, **changes):
    return placement_request(
        number, prompt_tokens=prompt_tokens, **(PATIENCE | changes)
    )


def end_run(broker, number, now):
    update = RunUpdate(number, end=RunEnd.COMPLETED)
    broker.apply_progress(RunProgress(ME, (update,)), now)
    return [reply.reply.number for reply in broker.grant_queued(now)]


# Guards against the largest tenth of a route that is served half as often as the rest:
# large prompts wait for the few engines that they fit, are late by then, and rank
# behind the small ones that arrive meanwhile.
@pytest.mark.parametrize("waited_s", [0.1, 1.0])
def test_large_request_goes_ahead_of_small_ones_of_its_route(waited_s):
    broker = full_broker()
    for number in range(100, 104):
        broker.submit(request(number), 0.0)
    assert broker.submit(request(200, LARGE_TOKENS), 0.0).verdict is Verdict.QUEUED
    assert end_run(broker, 0, waited_s) == [200]


# Guards against large requests that starve a more urgent route.
def test_large_request_stays_behind_requests_of_a_higher_account_priority():
    broker = full_broker()
    broker.submit(request(200, LARGE_TOKENS, priority=1), 0.0)
    broker.submit(request(100), 0.0)
    assert end_run(broker, 0, 0.1) == [100]


def test_late_large_request_stays_behind_small_ones_on_time():
    broker = full_broker()
    broker.submit(request(200, LARGE_TOKENS, objective_ms=0), 0.0)
    broker.submit(request(100), 0.1)
    assert end_run(broker, 0, 0.2) == [100]


def test_size_counts_expected_output():
    sizes = RouteSizes()
    for number in range(MIN_SAMPLES):
        sizes.record(request(number, expected_tokens=100))
    assert not sizes.is_large(request(1, 2 * SMALL_TOKENS))
    assert sizes.is_large(request(1, expected_tokens=400))


def test_first_requests_of_a_route_are_not_large():
    sizes = RouteSizes()
    sizes.record(request(1))
    assert not sizes.is_large(request(2, LARGE_TOKENS))
