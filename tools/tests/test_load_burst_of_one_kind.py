"""The rate of one kind of request triples for five seconds."""

import pytest
from load_checks import MIN_VALUE_SHARE, check_nothing_starves

from burdockhaven_bench.placement_fleet import PlacementFleet
from burdockhaven_bench.simulated_requests import REQUEST_KINDS


@pytest.mark.parametrize("name", [kind.name for kind in REQUEST_KINDS])
def test_other_kinds_are_still_served(name):
    def load(kind, at_s):
        return 3.0 if kind == name and 8 < at_s < 13 else 1.0

    result = PlacementFleet(load=load, seed=1).run()
    assert result.value_share() >= MIN_VALUE_SHARE
    check_nothing_starves(result)
