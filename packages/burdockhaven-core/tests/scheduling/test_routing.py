import random

import pytest
from scheduling_samples import route, table

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
