import asyncio
import time

import pytest
from scheduling_samples import ENGINES, ME, heartbeat, table, target

from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.scheduling.broker import Broker
from burdockhaven_core.scheduling.member_list import MemberList
from burdockhaven_core.scheduling.peer_messages import (
    CancelPlacement,
    PlacementReply,
    PlacementRequest,
    RunEnd,
    RunProgress,
    RunReport,
    RunUpdate,
    Verdict,
    encode_message,
)
from burdockhaven_core.scheduling.quotas import QuotaRule
from burdockhaven_entry.gateway import placement_client as placement_client_module
from burdockhaven_entry.gateway.peer_endpoint import MAX_DATAGRAM_BYTES
from burdockhaven_entry.gateway.placement_client import (
    MAX_UNANSWERED_ATTEMPTS,
    Placement,
    PlacementClient,
    PlacementRefused,
    PlacementRequirements,
)


class PlacementHarness:
    """A placement client whose messages are recorded instead of sent."""

    def __init__(self, slots=1):
        self.sent = []
        self.broker = Broker(QuotaRule(8.0, 0.0))
        self.broker.set_table(table(slots=slots))
        self.broker.set_targets({"i-1": target("i-1", slots=slots)}, set())
        self.member_list = MemberList(ME)
        self.placement_client = PlacementClient(
            member_id=ME,
            member_list=self.member_list,
            broker=self.broker,
            own_heartbeat=lambda: heartbeat(ME.node, ME.incarnation, started_ms=5),
            send=lambda node, message: self.sent.append((node, message)),
            clock=time.monotonic,
        )

    def add_member(self, node, started_ms):
        self.member_list.record_heartbeat(
            heartbeat(node, 7, started_ms=started_ms), time.monotonic() + 60
        )

    def drain_member(self, node, started_ms):
        self.member_list.record_heartbeat(
            heartbeat(node, 7, started_ms=started_ms, draining=True, sequence=2),
            time.monotonic() + 60,
        )

    def sent_to(self, node, kind):
        return [m for to, m in self.sent if to == node and isinstance(m, kind)]


def requirements(**changes):
    now = time.monotonic()
    values = {
        "service": ENGINES,
        "route": "r",
        "account": "",
        "priority": 0,
        "route_priority": 0,
        "prompt_tokens": 1_000,
        "output_tokens": 100,
        "parts": (),
        "objective_s": now + 0.6,
        "client_timeout_s": now + 15.0,
        "deadline_s": now + 15.0,
        "pause_objective_s": 0.3,
    }
    return PlacementRequirements(**(values | changes))


def granted_target(placement, number):
    assert isinstance(placement, Placement)
    assert placement.number == number
    return placement.target


async def wait_until(condition):
    for _ in range(20_000):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError("the condition was not met")


async def test_local_broker_grants_at_once_without_other_members():
    harness = PlacementHarness()
    assert (
        granted_target(await harness.placement_client.place(requirements()), 1) == "i-1"
    )


async def test_queued_request_survives_several_resends():
    """Guards against a timed-out wait that cancels the request.

    The client of such a request was disconnected.
    """
    harness = PlacementHarness()
    first = await harness.placement_client.place(requirements())
    waiting = asyncio.create_task(harness.placement_client.place(requirements()))
    submissions = []
    submit = harness.broker.submit
    harness.broker.submit = lambda *args: submissions.append(args) or submit(*args)
    await wait_until(lambda: len(submissions) >= 3)
    harness.placement_client.record_end(first.number, RunEnd.COMPLETED)
    harness.placement_client.flush_progress()
    assert granted_target(await waiting, 2) == "i-1"


async def test_unresponsive_broker_is_skipped():
    harness = PlacementHarness()
    harness.add_member("entry-2", started_ms=1)
    assert (
        granted_target(await harness.placement_client.place(requirements()), 1) == "i-1"
    )
    assert len(harness.sent_to("entry-2", PlacementRequest)) == MAX_UNANSWERED_ATTEMPTS


class LiveBroker:
    """A broker on another member that replies to each request, after a time."""

    def __init__(self, harness, node, delay_s=0.0, lost=()):
        self.harness = harness
        self.node = node
        self.delay_s = delay_s
        # Numbers of requests whose first sends are lost, and how many of them.
        self.lost = dict(lost)
        harness.add_member(node, started_ms=1)
        harness.placement_client.send = self.receive

    def receive(self, node, message):
        self.harness.sent.append((node, message))
        if not isinstance(message, PlacementRequest):
            return
        if self.lost.get(message.number, 0):
            self.lost[message.number] -= 1
            return
        reply = PlacementReply(message.number, Verdict.GRANTED, "i-1", broker=node)
        asyncio.get_running_loop().call_later(
            self.delay_s, self.harness.placement_client.on_reply, reply, node
        )

    @property
    def is_suspected(self):
        view = self.harness.member_list.views[self.node]
        return view.suspect_until_s > 0


# Guards against two brokers at once: members turned to and fro in a burst, in which the
# broker took longer to reply than the 60 ms that each of two sends was awaited.
async def test_broker_whose_replies_take_longer_and_longer_is_waited_for():
    harness = PlacementHarness()
    broker = LiveBroker(harness, "entry-2")
    for step in range(12):
        broker.delay_s = 0.015 * step
        await harness.placement_client.place(requirements())
        assert not broker.is_suspected


# Guards against a member that turns away for one request that is lost again and again.
async def test_broker_that_replies_to_other_requests_is_not_suspected():
    harness = PlacementHarness()
    broker = LiveBroker(harness, "entry-2", lost={1: 3})
    lost = asyncio.create_task(harness.placement_client.place(requirements()))
    await wait_until(lambda: harness.placement_client.pending)
    while not lost.done():
        await harness.placement_client.place(requirements())
        await asyncio.sleep(0.01)
    assert granted_target(await lost, 1) == "i-1"
    assert not broker.is_suspected


async def test_late_grant_is_cancelled():
    harness = PlacementHarness()
    harness.add_member("entry-2", started_ms=1)
    await harness.placement_client.place(requirements())
    late = PlacementReply(99, Verdict.GRANTED, "i-1", broker="entry-2")
    harness.placement_client.on_reply(late, "entry-2")
    assert harness.sent_to("entry-2", CancelPlacement) == [CancelPlacement(ME, 99)]


async def test_queued_request_moves_to_the_next_broker_when_its_broker_drains():
    harness = PlacementHarness()
    harness.add_member("entry-2", started_ms=1)
    waiting = asyncio.create_task(harness.placement_client.place(requirements()))
    await wait_until(lambda: harness.sent_to("entry-2", PlacementRequest))
    harness.placement_client.on_reply(
        PlacementReply(1, Verdict.QUEUED, broker="entry-2"), "entry-2"
    )
    draining = heartbeat("entry-2", 7, started_ms=1, draining=True, sequence=2)
    harness.member_list.record_heartbeat(draining, time.monotonic())
    assert granted_target(await waiting, 1) == "i-1"
    assert harness.sent_to("entry-2", CancelPlacement) == [CancelPlacement(ME, 1)]


async def begin_run_placed_by(harness, node):
    """Begin a run that the broker of another member has placed."""
    running = asyncio.create_task(harness.placement_client.place(requirements()))
    await wait_until(lambda: harness.sent_to(node, PlacementRequest))
    grant = PlacementReply(1, Verdict.GRANTED, "i-1", broker=node)
    harness.placement_client.on_reply(grant, node)
    assert granted_target(await running, 1) == "i-1"


# Guards against a broker that takes over and grants the slots of runs unknown to it.
async def test_next_broker_knows_the_runs_before_it_places_a_request():
    harness = PlacementHarness()
    harness.add_member("entry-2", started_ms=1)
    await begin_run_placed_by(harness, "entry-2")
    harness.add_member("entry-3", started_ms=2)
    harness.drain_member("entry-2", started_ms=1)
    waiting = asyncio.create_task(harness.placement_client.place(requirements()))
    await wait_until(lambda: harness.sent_to("entry-3", PlacementRequest))
    waiting.cancel()
    report, request = harness.sent_to("entry-3", RunReport | PlacementRequest)[:2]
    next_broker = PlacementHarness().broker
    next_broker.apply_report(report, 0.0)
    assert next_broker.submit(request, 0.0).verdict is Verdict.QUEUED


# Guards against a member whose own broker takes over and does not know the own runs.
async def test_own_broker_that_takes_over_knows_the_own_runs():
    harness = PlacementHarness()
    harness.add_member("entry-2", started_ms=1)
    await begin_run_placed_by(harness, "entry-2")
    harness.drain_member("entry-2", started_ms=1)
    waiting = asyncio.create_task(harness.placement_client.place(requirements()))
    await wait_until(lambda: harness.broker.queue or waiting.done())
    assert not waiting.done()
    waiting.cancel()


# Guards against a member without new requests whose runs the next broker does not know.
async def test_progress_of_runs_is_preceded_by_their_report_to_a_new_broker():
    harness = PlacementHarness()
    harness.add_member("entry-2", started_ms=1)
    await begin_run_placed_by(harness, "entry-2")
    harness.add_member("entry-3", started_ms=2)
    harness.drain_member("entry-2", started_ms=1)
    harness.placement_client.record_first_event(1)
    harness.placement_client.flush_progress()
    report, progress = harness.sent_to("entry-3", RunReport | RunProgress)
    assert [run.number for run in report.runs] == [1]
    assert [update.number for update in progress.updates] == [1]


async def test_abandoned_request_cancels_its_placement():
    harness = PlacementHarness()
    await harness.placement_client.place(requirements())
    waiting = asyncio.create_task(harness.placement_client.place(requirements()))
    await wait_until(lambda: harness.broker.queue)
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert harness.broker.queue == {}


async def test_refusal_carries_retry_after():
    harness = PlacementHarness()
    await harness.placement_client.place(requirements())
    refused = await harness.placement_client.place(
        requirements(deadline_s=time.monotonic() + 0.3)
    )
    assert isinstance(refused, PlacementRefused)
    assert refused.retry_after_s > 0
    assert not refused.over_quota


async def test_run_updates_are_batched_into_one_message():
    harness = PlacementHarness(slots=2)
    harness.add_member("entry-2", started_ms=1)
    placement_client = harness.placement_client
    placement_client.runs.clear()
    await placement_client.place(requirements())
    placement_client.record_first_event(1)
    placement_client.record_end(1, RunEnd.COMPLETED, 0.0241)
    view = harness.member_list.views["entry-2"]
    view.suspect_until_s = 0.0
    placement_client.flush_progress()
    (progress,) = harness.sent_to("entry-2", RunProgress)
    assert progress.updates[1] == RunUpdate(1, RunEnd.COMPLETED, 0, 241)
    assert progress.updates[0].end is None


async def test_suspected_broker_and_changes_are_logged_once(monkeypatch):
    logged = []
    monkeypatch.setattr(
        placement_client_module,
        "log",
        lambda number, **fields: logged.append((number, fields["peer"])),
    )
    harness = PlacementHarness(slots=2)
    harness.add_member("entry-2", started_ms=1)
    await harness.placement_client.place(requirements())
    await harness.placement_client.place(requirements())
    assert logged == [
        (EventNumber.BROKER_CHANGED, "entry-2"),
        (EventNumber.BROKER_SUSPECTED, "entry-2"),
        (EventNumber.BROKER_CHANGED, ME.node),
    ]


async def test_first_of_several_updates_requests_one_flush():
    harness = PlacementHarness(slots=2)
    flushes = []
    harness.placement_client.on_pending_updates = lambda: flushes.append(1)
    await harness.placement_client.place(requirements())
    harness.placement_client.record_first_event(1)
    harness.placement_client.record_end(1, RunEnd.COMPLETED)
    assert flushes == [1]
    harness.placement_client.flush_progress()
    await harness.placement_client.place(requirements())
    harness.placement_client.record_first_event(2)
    assert flushes == [1, 1]


# Guards against LOST: a request that waited for an engine got no answer when its
# process stopped.
@pytest.mark.parametrize("iterations", range(4))
async def test_waiting_request_is_refused_however_far_its_wait_is(iterations):
    harness = PlacementHarness()
    client = harness.placement_client
    await client.place(requirements())
    waiting = asyncio.create_task(client.place(requirements()))
    await wait_until(lambda: client.pending)
    for _ in range(iterations):
        await asyncio.sleep(0)
    client.refuse_waiting(lambda _: True, retry_after_s=0.1)
    assert await waiting == PlacementRefused(over_quota=False, retry_after_s=0.1)
    assert not harness.broker.queue
    assert not client.pending
    assert not client.own_refusals


async def test_granted_request_is_not_refused():
    harness = PlacementHarness()
    client = harness.placement_client
    harness.add_member("entry-2", started_ms=1)
    placing = asyncio.create_task(client.place(requirements()))
    await wait_until(lambda: harness.sent_to("entry-2", PlacementRequest))
    reply = PlacementReply(1, Verdict.GRANTED, "i-1", broker="entry-2")
    client.on_reply(reply, "entry-2")
    client.refuse_waiting(lambda _: True, retry_after_s=0.1)
    assert granted_target(await placing, 1) == "i-1"


async def test_only_the_selected_requests_are_refused():
    harness = PlacementHarness()
    client = harness.placement_client
    first = await client.place(requirements())
    waiting = asyncio.create_task(client.place(requirements(is_retry=True)))
    await wait_until(lambda: client.pending)
    client.refuse_waiting(lambda request: not request.is_retry, retry_after_s=0.1)
    client.record_end(first.number, RunEnd.COMPLETED)
    client.flush_progress()
    assert granted_target(await waiting, 2) == "i-1"


# Clients name the parts of their prompts: the report of an engine's end with many long
# ones was larger than a datagram, and the ends of the runs with it were lost.
async def test_report_of_broken_prompts_fits_into_a_datagram():
    harness = PlacementHarness(slots=64)
    harness.add_member("entry-2", started_ms=1)
    parts = tuple((f"{n}" + 500 * "x", 10) for n in range(30))
    client = harness.placement_client
    for number in range(1, 65):
        placing = asyncio.create_task(client.place(requirements(parts=parts)))
        await asyncio.sleep(0)
        client.on_reply(PlacementReply(number, Verdict.GRANTED, "i-1"), "entry-2")
        await placing
        client.record_end(number, RunEnd.FAILED, has_disconnected=True)
    client.flush_progress()
    messages = harness.sent_to("entry-2", RunProgress)
    assert sum(len(message.broken_prompts) for message in messages) == 64
    # Also if the broken prompts of all runs are sent at once.
    together = tuple(p for message in messages for p in message.broken_prompts)
    joined = RunProgress(ME, (), together)
    assert len(encode_message(joined)) <= MAX_DATAGRAM_BYTES


# A request beneath which an engine ended was placed again before the broker knew it.
async def test_end_beneath_a_prompt_is_reported_before_its_next_placement():
    harness = PlacementHarness()
    harness.add_member("entry-2", started_ms=1)
    client = harness.placement_client
    needed = requirements(parts=(("bad", 10), ("own", 10)))
    placing = asyncio.create_task(client.place(needed))
    await asyncio.sleep(0)
    client.on_reply(PlacementReply(1, Verdict.GRANTED, "i-1"), "entry-2")
    await placing
    client.record_end(1, RunEnd.FAILED, has_disconnected=True)
    again = asyncio.create_task(client.place(needed))
    await asyncio.sleep(0)
    again.cancel()
    kinds = [type(message) for _, message in harness.sent]
    # The broker gets a report of the runs first, as it is new.
    assert kinds[0] is RunReport
    assert kinds[1:4] == [PlacementRequest, RunProgress, PlacementRequest]
