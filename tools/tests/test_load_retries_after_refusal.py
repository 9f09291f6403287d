"""Clients refused during a burst retry after the delay that the refusal stated."""

from load_checks import STARVED_KIND_SHARE

from burdockhaven_bench.placement_fleet import PlacementFleet


def run():
    return PlacementFleet(
        load=lambda k, at_s: 2.5 if 8 < at_s < 11 else 0.9, seed=1
    ).run()


def test_retried_requests_are_not_starved():
    requests = run().requests
    retried = [request for request in requests if request.attempts > 1]
    assert len(retried) >= 10
    served_share = sum(request.has_met_deadline for request in retried) / len(retried)
    overall_share = sum(request.has_met_deadline for request in requests) / len(
        requests
    )
    assert served_share >= STARVED_KIND_SHARE * overall_share


def test_refusals_are_prompt():
    # A request is refused on arrival or as soon as it is certainly infeasible.
    refused = [request for request in run().requests if request.attempts > 1]
    held = sorted(request.queued_s / request.attempts for request in refused)
    assert held[len(held) // 2] <= 1.0
