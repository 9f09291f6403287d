import random

import pytest
from scheduling_samples import ME, heartbeat, placement_request, table, target

from burdockhaven_core.scheduling.broker import Broker
from burdockhaven_core.scheduling.member_list import MemberList
from burdockhaven_core.scheduling.peer_messages import RunEnd, RunProgress, RunUpdate
from burdockhaven_core.scheduling.quotas import QuotaRule
from burdockhaven_entry.gateway.placement_client import PlacementClient
from burdockhaven_entry.gateway.queue_poller import (
    GRANT_INTERVAL_S,
    LOAD_SHEDDING_INTERVAL_S,
    QueuePoller,
)
from burdockhaven_entry.timer import TimerService


class Harness:
    """A poller, its broker with one slot and a clock that the test sets."""

    def __init__(self):
        self.now = 0.0
        self.broker = Broker(QuotaRule(8.0, 0.0))
        self.broker.set_table(table(slots=1))
        self.broker.set_targets({"i-1": target("i-1", slots=1)}, set())
        self.timer = TimerService(lambda: self.now, random.Random(1))
        self.placement_client = PlacementClient(
            member_id=ME,
            member_list=MemberList(ME),
            broker=self.broker,
            own_heartbeat=lambda: heartbeat(ME.node, ME.incarnation),
            send=lambda node, message: None,
            clock=lambda: self.now,
            on_queued=lambda: self.poller.start(),
        )
        self.poller = QueuePoller(self.timer, self.broker, self.placement_client)

    def run_until(self, end_s):
        """Run all callbacks until this time and return when the last of them ran."""
        last_s = None
        while (due_s := self.timer.run_due_callbacks()) is not None and due_s <= end_s:
            self.now = last_s = due_s
        self.now = end_s
        return last_s


@pytest.fixture
def harness():
    return Harness()


def test_nothing_is_polled_while_the_queue_is_empty(harness):
    harness.placement_client.submit(placement_request(1), 0.0)
    assert harness.run_until(10.0) is None


def test_queued_request_is_granted_and_polling_ends(harness):
    harness.placement_client.submit(placement_request(1), 0.0)
    harness.placement_client.submit(placement_request(2), 0.0)
    ended = RunProgress(ME, (RunUpdate(1, RunEnd.COMPLETED),))
    harness.broker.apply_progress(ended, 0.0)
    assert harness.run_until(1.0) <= 2 * LOAD_SHEDDING_INTERVAL_S
    assert harness.broker.queue == {}
    assert harness.poller.subscriptions == []


def test_infeasible_request_is_refused_and_polling_starts_again_later(harness):
    for number in (1, 2):
        request = placement_request(number, deadline_ms=1_500)
        harness.placement_client.submit(request, harness.now)
    harness.run_until(2.0)
    assert harness.broker.queue == {}
    harness.placement_client.submit(placement_request(3), 2.0)
    assert harness.run_until(2.0 + 1.5 * GRANT_INTERVAL_S) is not None
