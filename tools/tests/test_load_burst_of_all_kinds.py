"""A burst of requests of every kind exceeds the capacity of the engines."""

import pytest
from load_checks import MIN_VALUE_SHARE, check_nothing_starves

from burdockhaven_bench.placement_fleet import PlacementFleet


def burst(kind, at_s):
    return 2.5 if 8 < at_s < 13 else 1.05


@pytest.mark.parametrize("seed", [1, 2])
def test_value_share_holds_and_nothing_starves(seed):
    result = PlacementFleet(load=burst, seed=seed).run()
    assert result.value_share() >= MIN_VALUE_SHARE
    check_nothing_starves(result)


def test_queue_drains_soon_after_the_burst():
    result = PlacementFleet(load=burst, seed=1).run()
    after = result.value_share(lambda request: 18 < request.arrived_s < 28)
    calm = PlacementFleet(load=lambda kind, at_s: 1.05, seed=1).run()
    usual = calm.value_share(lambda request: 18 < request.arrived_s < 28)
    assert after >= MIN_VALUE_SHARE / 0.8 * usual


def test_urgent_requests_take_precedence():
    result = PlacementFleet(load=burst, seed=1).run()
    in_burst = [r for r in result.requests if 8 < r.arrived_s < 13]
    share = {
        name: sum(r.has_met_deadline for r in in_burst if r.kind.name == name)
        / sum(r.kind.name == name for r in in_burst)
        for name in ("review", "summary")
    }
    assert share["review"] > share["summary"]
