"""Many users of every kind at once, beyond what the engines can carry."""

import pytest
from load_checks import WORTH_TARGET, check_nothing_starves

from burdockhaven_bench.placement_fleet import Fleet


def burst(kind, at_s):
    return 2.5 if 8 < at_s < 13 else 1.05


@pytest.mark.parametrize("seed", [1, 2])
def test_the_worth_holds_and_nothing_starves(seed):
    result = Fleet(load=burst, seed=seed).play()
    assert result.worth() >= WORTH_TARGET
    check_nothing_starves(result)


def test_the_queue_is_empty_again_soon_after():
    result = Fleet(load=burst, seed=1).play()
    after = result.worth(lambda request: 18 < request.arrived_s < 28)
    calm = Fleet(load=lambda kind, at_s: 1.05, seed=1).play()
    usual = calm.worth(lambda request: 18 < request.arrived_s < 28)
    assert after >= WORTH_TARGET / 0.8 * usual


def test_urgent_requests_are_served_before_the_others():
    result = Fleet(load=burst, seed=1).play()
    in_burst = [r for r in result.requests if 8 < r.arrived_s < 13]
    share = {
        name: sum(r.served for r in in_burst if r.kind.name == name)
        / sum(r.kind.name == name for r in in_burst)
        for name in ("review", "summary")
    }
    assert share["review"] > share["summary"]
