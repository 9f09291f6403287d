"""A third of the engines stop responding for five seconds, without a reset."""

from load_checks import check_nothing_starves

from burdockhaven_bench.placement_fleet import PlacementFleet

UNRESPONSIVE_SLOWNESS = 1_000.0
NORMAL_SLOWNESS = 0.68
OUTAGE_START_S = 8.0
OUTAGE_END_S = 13.0
CHANGES = tuple(
    (at_s, index, slowness)
    for index in (0, 1)
    for at_s, slowness in (
        (OUTAGE_START_S, UNRESPONSIVE_SLOWNESS),
        (OUTAGE_END_S, NORMAL_SLOWNESS),
    )
)


def run():
    return PlacementFleet(
        load=lambda kind, at_s: 1.0, seed=1, slowness_changes=CHANGES
    ).run()


def test_unresponsive_engines_get_few_requests():
    # Only the few first attempts that are needed to detect the failure.
    result = run()
    first_attempts = [
        request
        for request in result.requests
        if request.target in ("i-0", "i-1")
        and OUTAGE_START_S + 1.5 < request.arrived_s < OUTAGE_END_S - 0.5
        and request.attempts == 1
    ]
    assert len(first_attempts) <= 4


def test_other_engines_still_serve_and_nothing_starves():
    result = run()
    check_nothing_starves(result)
    during_outage = [
        r for r in result.requests if OUTAGE_START_S + 2 < r.arrived_s < OUTAGE_END_S
    ]
    assert sum(request.has_met_deadline for request in during_outage) >= 0.5 * len(
        during_outage
    )
