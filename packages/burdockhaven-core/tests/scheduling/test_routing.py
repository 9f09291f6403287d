import random

import pytest
from scheduling_samples import account, route, table

from burdockhaven_core.scheduling.routing import RouteKind, ServiceShare


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("one.example", "/a/x", "/a/"),
        ("one.example:8080", "/a/x", "/a/"),
        ("ONE.example", "/a/b/x", "/a/b/"),
        ("one.example", "/a/bb", "/a/"),
        ("one.example", "/c/", None),
        ("two.example", "/a/x", None),
    ],
)
def test_longest_matching_prefix_of_the_host_is_chosen(host, path, expected):
    found = table(routes=(route("/a/"), route("/a/b/"))).find_route(host, path)
    assert (found.prefix if found else None) == expected


@pytest.mark.parametrize(
    ("kind", "resumable", "expected"),
    [
        (RouteKind.SAFE, False, True),
        (RouteKind.UNSAFE, False, False),
        (RouteKind.UNSAFE, True, False),
        (RouteKind.STREAMING, False, False),
        (RouteKind.STREAMING, True, True),
    ],
)
def test_only_safe_requests_and_resumable_streams_are_idempotent(
    kind, resumable, expected
):
    assert route(kind=kind, resumable=resumable).idempotent is expected


def test_services_are_picked_in_proportion_to_their_weights():
    split = route(shares=(ServiceShare("x", 90), ServiceShare("y", 10)))
    rng = random.Random(1)
    drawn = [split.pick_service(rng) for _ in range(2_000)]
    assert 0.87 < drawn.count("x") / len(drawn) < 0.93


# Guards against incident SHORT where accounts have no priority: each rank of the routes
# was then strictly behind the one before it.
@pytest.mark.parametrize(
    ("account_priorities", "chosen", "expected"),
    [
        ((None, None), 0, 0),
        ((None, None), None, 0),
        ((1, None), 0, 1),
        ((1, None), 1, 2),
        ((1, None), None, 2),
    ],
)
def test_routes_compete_in_one_tier_if_no_account_has_a_priority(
    account_priorities, chosen, expected
):
    accounts = [
        account(f"a-{number}", priority=priority)
        for number, priority in enumerate(account_priorities)
    ]
    found = table(accounts=accounts)
    low = route("/low/", priority=2)
    assert (
        found.priority_of(low, None if chosen is None else accounts[chosen]) == expected
    )
