"""Two of six engines go down and up by turns and reset every request while down."""

import pytest
from load_checks import check_nothing_starves

from burdockhaven_bench.placement_fleet import PlacementFleet

FLAPPING = (0, 1)
# Seconds of each outage and between two, as in a process that crashes at its start.
PERIOD_S = 2.0
OUTAGES = tuple(
    (index, at_s, at_s + PERIOD_S / 2)
    for index in FLAPPING
    for at_s in (8.0, 10.0, 12.0, 14.0)
)
# A reset shows an outage; each engine may lose the requests that it holds at its begin
# and one or two more in each outage.
MAX_RESETS_PER_OUTAGE = 3


def run(seed):
    return PlacementFleet(seed=seed, outages=OUTAGES).run()


@pytest.mark.parametrize("seed", [1, 2])
def test_flapping_engines_reset_few_requests(seed):
    requests = run(seed).requests
    reset_at_send = [request for request in requests if request.was_reset]
    assert len(reset_at_send) <= MAX_RESETS_PER_OUTAGE * len(OUTAGES)


@pytest.mark.parametrize("seed", [1, 2])
def test_nothing_starves_and_the_engines_are_used_again(seed):
    result = run(seed)
    check_nothing_starves(result)
    after = [
        request
        for request in result.requests
        if request.arrived_s > 20 and request.target in ("i-0", "i-1")
    ]
    assert after
