"""Demand of twice the capacity lasts for twelve seconds, with three kinds of requests.

The kinds have the sizes of a large deployment: many short requests of the lowest rank,
whose cost times rank is close to that of the middle one.
"""

import dataclasses

import pytest
from load_checks import STARVED_KIND_SHARE

from burdockhaven_bench.placement_fleet import PlacementFleet
from burdockhaven_bench.simulated_requests import FleetResult, RequestKind

KINDS = (
    RequestKind(
        "draft", 0, 26.8, 6610, 1.4, 54_600, 48, 1.5, 480, 0.645, 12.9, 9.0, 2.7, 450
    ),
    RequestKind(
        "revision", 1, 31.6, 628, 1.0, 3_310, 36, 1.5, 360, 0.619, 12.4, 1.3, 0.4, 530
    ),
    RequestKind(
        "classify", 2, 55.7, 1800, 1.3, 6_870, 3, 1.5, 30, 1.222, 3.06, 0.22, 0.068, 930
    ),
)
SLOWNESSES = (0.97, 0.98, 1.0, 1.0, 1.0, 1.02, 1.05, 1.1, 1.0, 4.4)
OVERLOAD_BEGIN_S = 6.0
OVERLOAD_END_S = 18.0
WINDOW_S = 4.0
# Difference of two served shares that counts as a preference.
PREFERENCE_SHARE = 0.05


def run_overload(factor: float, seed: int, scale: int = 1) -> FleetResult:
    return PlacementFleet(
        kinds=tuple(
            dataclasses.replace(
                kind,
                requests_per_s=scale * kind.requests_per_s,
                sessions=scale * kind.sessions,
            )
            for kind in KINDS
        ),
        engine_slownesses=scale * SLOWNESSES,
        slots=10,
        seed=seed,
        length_s=24.0,
        load=lambda kind, at_s: (
            factor if OVERLOAD_BEGIN_S < at_s < OVERLOAD_END_S else 0.6
        ),
    ).run()


def served_share(result, begin_s, end_s, kind=None):
    selected = [
        request
        for request in result.requests
        if begin_s <= request.arrived_s < end_s and kind in (None, request.kind.name)
    ]
    return sum(request.has_met_deadline for request in selected) / len(selected)


# Guards against incident SHORT: in overload, one kind of request got nothing.
@pytest.mark.parametrize("factor", [1.6, 2.0, 2.6])
@pytest.mark.parametrize("seed", [1, 2])
def test_no_kind_gets_nothing_while_others_are_served(factor, seed):
    result = run_overload(factor, seed)
    starved = []
    begin_s = OVERLOAD_BEGIN_S
    while begin_s + WINDOW_S <= OVERLOAD_END_S:
        end_s = begin_s + WINDOW_S
        overall = served_share(result, begin_s, end_s)
        for kind in KINDS:
            share = served_share(result, begin_s, end_s, kind.name)
            if share < STARVED_KIND_SHARE * overall:
                starved.append((begin_s, kind.name, share, overall))
        begin_s += 1.0
    assert starved == []


# Guards against incident SHORT: a kind was refused while one of lower rank was served.
@pytest.mark.parametrize(
    ("factor", "scale", "seed"), [(1.6, 1, 1), (1.6, 3, 2), (2.6, 1, 1)]
)
def test_kind_of_higher_rank_is_served_at_least_as_often(factor, scale, seed):
    result = run_overload(factor, seed, scale)
    shares = [
        served_share(result, OVERLOAD_BEGIN_S, OVERLOAD_END_S, kind.name)
        for kind in KINDS
    ]
    for higher, lower in zip(shares, shares[1:], strict=False):
        assert higher >= lower - PREFERENCE_SHARE, shares
