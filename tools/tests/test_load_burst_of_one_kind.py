"""One kind of request comes three times as often as usual."""

import pytest
from load_checks import WORTH_TARGET, check_nothing_starves

from burdockhaven_bench.placement_fleet import SHEET, Fleet


@pytest.mark.parametrize("name", [kind.name for kind in SHEET])
def test_the_other_kinds_are_served_on(name):
    def load(kind, at_s):
        return 3.0 if kind == name and 8 < at_s < 13 else 1.0

    result = Fleet(load=load, seed=1).play()
    assert result.worth() >= WORTH_TARGET
    check_nothing_starves(result)
