import random
import types

import pytest
from scheduling_samples import ENGINES, placement_request

from burdockhaven_core.scheduling.queue_order import QueuedRequest
from burdockhaven_core.scheduling.request_queue import RequestQueue


def queued_request(number, now, *, is_retry=False, **changes):
    request = placement_request(number, is_retry=is_retry, **changes)
    return QueuedRequest.from_request(request, False, now)


def numbers_in_order(queue, now, underserved=types.MappingProxyType({})):
    return [
        queued.request.number
        for _, group in queue.in_order(underserved, now)
        for _, queued in group
    ]


@pytest.mark.parametrize("seed", range(5))
def test_order_is_that_of_sorting_all_requests(seed):
    rng = random.Random(seed)
    queue = RequestQueue()
    expected = {}
    now = 0.0
    for number in range(200):
        now += rng.random() * 0.02
        queued = queued_request(
            number,
            now,
            is_retry=rng.random() < 0.3,
            route=rng.choice("ab"),
            priority=rng.randrange(2),
            # The same for a route, as in a configuration.
            route_priority=0,
            objective_ms=700,
        )
        key = ("entry", 1, number)
        queue[key] = expected[key] = queued
        if rng.random() < 0.4:
            removed = rng.choice(list(expected))
            del queue[removed], expected[removed]
    assert dict(queue) == expected

    def sort_key(queued):
        queue_class = queued.queue_class(now)
        return (queue_class.rank({}), queue_class.route, queued.arrived_s)

    order = [q.request.number for q in sorted(expected.values(), key=sort_key)]
    ranks = [
        (queue_class.rank({}), queue_class.route, queued.request.number)
        for queue_class, group in queue.in_order({}, now)
        for _, queued in group
    ]
    assert [number for *_, number in sorted(ranks, key=lambda r: r[:2])] == order
    assert [rank for rank, *_ in ranks] == sorted(rank for rank, *_ in ranks)


def test_request_goes_back_once_it_is_late():
    queue = RequestQueue()
    queue["entry", 1, 1] = queued_request(1, 0.0, objective_ms=500)
    queue["entry", 1, 2] = queued_request(2, 0.1, objective_ms=5_000)
    assert numbers_in_order(queue, 0.2) == [1, 2]
    assert numbers_in_order(queue, 0.4) == [2, 1]


def test_counts_ahead_are_those_of_better_rank_and_of_the_same_class():
    queue = RequestQueue()
    for number, priority in enumerate([0, 1, 1, 2]):
        queue["entry", 1, number] = queued_request(
            number, 0.0, route=f"r{priority}", route_priority=priority
        )
    added = queued_request(9, 0.1, route="r1", route_priority=1).queue_class(0.1)
    counts = queue.counts_ahead(added, {}, 0.1)
    assert sorted((c.route, count) for c, count in counts) == [("r0", 1), ("r1", 2)]
    other = queued_request(9, 0.1, service="other").queue_class(0.1)
    assert queue.counts_ahead(other, {}, 0.1) == []
    assert queue.holds_service(ENGINES)
    assert not queue.holds_service("other")


def test_removed_request_leaves_nothing_behind():
    queue = RequestQueue()
    queue["entry", 1, 1] = queued_request(1, 0.0)
    del queue["entry", 1, 1]
    assert queue == {}
    assert queue.groups == {}
    assert numbers_in_order(queue, 10.0) == []


@pytest.mark.parametrize(
    ("relative_share", "order"),
    [
        (None, [0, 1, 2, 3, 4]),
        # Behind the first rank, ahead of the second one.
        (0.7, [0, 2, 1, 3, 4]),
        # Below the guaranteed share.
        (0.3, [2, 0, 1, 3, 4]),
    ],
)
def test_underserved_route_goes_ahead_within_its_account_priority(
    relative_share, order
):
    queue = RequestQueue()
    for number, changes in enumerate(
        [
            {"route": "high"},
            {"route": "middle", "route_priority": 1},
            {"route": "low", "route_priority": 2},
            {"route": "low", "route_priority": 2, "objective_ms": -1},
            {"route": "high", "priority": 1},
        ]
    ):
        queue["entry", 1, number] = queued_request(number, 0.0, **changes)
    low = queue["entry", 1, 2].queue_class(0.1).route_key
    underserved = {} if relative_share is None else {low: relative_share}
    assert numbers_in_order(queue, 0.1, underserved) == order
