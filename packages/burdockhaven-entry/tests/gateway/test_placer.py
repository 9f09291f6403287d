import asyncio
import time

import pytest
from scheduling_samples import ENGINES, ME, heartbeat, table, target

from burdockhaven_core.scheduling.broker import Broker
from burdockhaven_core.scheduling.member_list import MemberList
from burdockhaven_core.scheduling.peer_messages import (
    CancelPlacement,
    PlacementReply,
    PlacementRequest,
    RunEnd,
    RunProgress,
    RunUpdate,
    Verdict,
)
from burdockhaven_core.scheduling.quotas import QuotaRule
from burdockhaven_entry.gateway.placer import (
    ASK_TRIES,
    Placed,
    PlacementQuestion,
    Placer,
    Refused,
)


class Members:
    """A placer whose messages are kept instead of sent."""

    def __init__(self, slots=1):
        self.sent = []
        self.broker = Broker(QuotaRule(8.0, 0.0))
        self.broker.set_table(table(slots=slots))
        self.broker.set_targets({"i-1": target("i-1", slots=slots)}, set())
        self.member_list = MemberList(ME)
        self.placer = Placer(
            member_id=ME,
            member_list=self.member_list,
            broker=self.broker,
            own_hello=lambda: heartbeat(ME.node, ME.incarnation, started_ms=5),
            send=lambda node, message: self.sent.append((node, message)),
            clock=time.monotonic,
        )

    def hear(self, node, started_ms):
        self.member_list.record_heartbeat(
            heartbeat(node, 7, started_ms=started_ms), time.monotonic() + 60
        )

    def sent_to(self, node, kind):
        return [m for to, m in self.sent if to == node and isinstance(m, kind)]


def question(**changes):
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
        "patience_s": now + 15.0,
        "deadline_s": now + 15.0,
        "pause_objective_s": 0.3,
    }
    return PlacementQuestion(**(values | changes))


def target_of(placed, number):
    assert isinstance(placed, Placed)
    assert placed.number == number
    return placed.target


async def spin(condition):
    for _ in range(20_000):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError("the condition did not come true")


async def test_the_own_broker_grants_at_once_when_it_is_alone():
    members = Members()
    assert target_of(await members.placer.place(question()), 1) == "i-1"


async def test_a_queued_question_outlives_several_rechecks():
    """A wait that timed out once cancelled the question and cut the client off."""
    members = Members()
    first = await members.placer.place(question())
    waiting = asyncio.create_task(members.placer.place(question()))
    asks = []
    ask = members.broker.submit
    members.broker.submit = lambda *args: asks.append(args) or ask(*args)
    await spin(lambda: len(asks) >= 3)
    members.placer.ended(first.number, RunEnd.COMPLETED)
    members.placer.flush_news()
    assert target_of(await waiting, 2) == "i-1"


async def test_a_member_that_does_not_answer_is_passed_over():
    members = Members()
    members.hear("entry-2", started_ms=1)
    assert target_of(await members.placer.place(question()), 1) == "i-1"
    assert len(members.sent_to("entry-2", PlacementRequest)) == ASK_TRIES


async def test_a_grant_that_comes_too_late_is_given_back():
    members = Members()
    members.hear("entry-2", started_ms=1)
    await members.placer.place(question())
    late = PlacementReply(99, Verdict.GRANTED, "i-1", broker="entry-2")
    members.placer.on_reply(late, "entry-2")
    assert members.sent_to("entry-2", CancelPlacement) == [CancelPlacement(ME, 99)]


async def test_a_question_moves_to_the_next_broker_when_its_holder_drains():
    members = Members()
    members.hear("entry-2", started_ms=1)
    waiting = asyncio.create_task(members.placer.place(question()))
    await spin(lambda: members.sent_to("entry-2", PlacementRequest))
    members.placer.on_reply(
        PlacementReply(1, Verdict.QUEUED, broker="entry-2"), "entry-2"
    )
    draining = heartbeat("entry-2", 7, started_ms=1, draining=True, sequence=2)
    members.member_list.record_heartbeat(draining, time.monotonic())
    assert target_of(await waiting, 1) == "i-1"
    assert members.sent_to("entry-2", CancelPlacement) == [CancelPlacement(ME, 1)]


async def test_a_cancelled_question_is_withdrawn():
    members = Members()
    await members.placer.place(question())
    waiting = asyncio.create_task(members.placer.place(question()))
    await spin(lambda: members.broker.queue)
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert members.broker.queue == {}


async def test_a_refusal_carries_the_time_to_come_back():
    members = Members()
    await members.placer.place(question())
    refused = await members.placer.place(question(deadline_s=time.monotonic() + 0.3))
    assert isinstance(refused, Refused)
    assert refused.retry_after_s > 0
    assert not refused.over_quota


async def test_news_of_runs_go_to_the_broker_in_one_message():
    members = Members(slots=2)
    members.hear("entry-2", started_ms=1)
    placer = members.placer
    placer.runs.clear()
    await placer.place(question())
    placer.begun(1)
    placer.ended(1, RunEnd.COMPLETED, 0.0241)
    view = members.member_list.views["entry-2"]
    view.suspect_until_s = 0.0
    placer.flush_news()
    (progress,) = members.sent_to("entry-2", RunProgress)
    assert progress.updates[1] == RunUpdate(1, RunEnd.COMPLETED, 0, 241)
    assert progress.updates[0].end is None
