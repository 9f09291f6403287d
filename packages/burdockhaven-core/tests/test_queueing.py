"""Dispatch order of the queue of a group."""

import pytest

from burdockhaven_core.identity import AccountName, RunId
from burdockhaven_core.queueing import GroupQueue, QueuedRequest


def request(
    name: str,
    account: str = "a",
    tier: int = 1,
    weight: float = 1.0,
    tokens: int = 10,
    latest: float = 100.0,
) -> QueuedRequest:
    return QueuedRequest(
        run_id=RunId(name),
        account=AccountName(account),
        tier=tier,
        weight=weight,
        prompt_tokens=tokens,
        output_tokens=0,
        prefix="",
        arrived_s=0.0,
        deadline_s=latest + 1.0,
        latest_start_s=latest,
        targets=None,
        fresh_connection=False,
    )


def dispatch(queue: GroupQueue, number: int) -> list[str]:
    names = []
    for _ in range(number):
        head = next(queue.heads(queue.tiers()[0]))
        names.append(str(queue.take_for_dispatch(head.run_id).run_id))
    return names


@pytest.mark.parametrize(
    ("requests", "order"),
    [
        ([request("low", tier=0), request("high", tier=2)], ["high", "low"]),
        ([request("late", latest=9), request("soon", latest=5)], ["soon", "late"]),
        (
            [request("a1"), request("a2"), request("a3"), request("b1", "b")],
            ["a1", "b1", "a2", "a3"],
        ),
        (
            [request(f"a{n}", weight=2.0) for n in range(4)]
            + [request(f"b{n}", "b") for n in range(2)],
            ["a0", "b0", "a1", "a2", "b1", "a3"],
        ),
        (
            [request("a1", tokens=90), request("a2")]
            + [request(f"b{n}", "b", tokens=30) for n in range(3)],
            ["a1", "b0", "b1", "b2", "a2"],
        ),
    ],
)
def test_dispatch_order(requests, order):
    queue = GroupQueue()
    for item in requests:
        queue.add(item)
    assert dispatch(queue, len(order)) == order


def test_idle_account_accrues_no_credit():
    queue = GroupQueue()
    queue.add(request("b0", "b"))
    dispatch(queue, 1)
    for number in range(20):
        queue.add(request(f"a{number}"))
    dispatch(queue, 10)
    for number in range(1, 9):
        queue.add(request(f"b{number}", "b"))
    names = dispatch(queue, 6)
    assert sum(name.startswith("a") for name in names) >= 2


def test_removed_request_is_neither_dispatched_nor_counted():
    queue = GroupQueue()
    queue.add(request("x", tier=2))
    queue.add(request("y"))
    assert queue.remove(RunId("x")) is not None
    assert queue.remove(RunId("x")) is None
    assert queue.tiers() == (1,)
    assert queue.queued_by_tier(3) == (0, 1, 0)
    assert dispatch(queue, 1) == ["y"]
    assert len(queue) == 0


def test_overdue_lists_requests_past_their_latest_start():
    queue = GroupQueue()
    for name, latest in (("x", 1.0), ("y", 2.0)):
        queue.add(request(name, latest=latest))
    assert [item.run_id for item in queue.overdue(1.5)] == ["x"]
