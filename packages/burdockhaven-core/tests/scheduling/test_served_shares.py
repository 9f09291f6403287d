import pytest
from scheduling_samples import placement_request

from burdockhaven_core.scheduling.served_shares import (
    GUARANTEED_RATIO,
    WINDOW_S,
    ServedShares,
    Tier,
)

TIER = Tier.from_request(placement_request())


def make_shares(**counts):
    """Return the shares after these arrivals and grants by route, all at 1 s."""
    shares = ServedShares()
    for route, (arrivals, grants) in counts.items():
        request = placement_request(route=route)
        for _ in range(arrivals):
            shares.record_arrival(request, 1.0)
        for _ in range(grants):
            shares.record_grant(request, 1.0)
    return shares


@pytest.mark.parametrize(
    ("low", "expected"),
    [
        # All is served.
        ((10, 10), {}),
        # The tier gets 17 of 20, the route 7 of 10.
        ((10, 7), {}),
        # The tier gets 14 of 20, the route 4 of 10.
        ((10, 4), {(TIER, "low"): pytest.approx(4 / 7)}),
        ((10, 1), {(TIER, "low"): pytest.approx(1 / 5.5)}),
        ((10, 0), {(TIER, "low"): 0.0}),
        # Less than one request is missing.
        ((1, 0), {}),
        # Nothing arrives.
        ((0, 0), {}),
    ],
)
def test_routes_below_a_fair_share_are_underserved(low, expected):
    shares = make_shares(high=(10, 10), low=low)
    assert shares.underserved_routes(1.1) == expected


def test_share_is_relative_to_requests_of_the_same_account_priority():
    shares = make_shares(high=(10, 10))
    other = placement_request(route="low", priority=1)
    for _ in range(10):
        shares.record_arrival(other, 1.0)
    assert shares.underserved_routes(1.1) == {}


def test_counts_expire_with_the_window():
    shares = make_shares(high=(10, 10), low=(10, 0))
    assert shares.underserved_routes(1.5 * WINDOW_S + 1.0) == {}


def test_idle_routes_are_discarded():
    shares = make_shares(high=(10, 10), low=(10, 0))
    shares.discard_idle(1.1)
    assert set(shares.tiers[TIER]) == {"high", "low"}
    shares.discard_idle(1.5 * WINDOW_S + 1.0)
    assert shares.tiers == {}


def test_guaranteed_rate_follows_the_arrivals_and_the_share_of_the_tier():
    shares = make_shares(high=(10, 10), low=(10, 0))
    expected = GUARANTEED_RATIO * 0.5 * 10 / WINDOW_S
    assert shares.guaranteed_per_s((TIER, "low"), 1.1) == pytest.approx(expected)
    assert shares.guaranteed_per_s((TIER, "new"), 1.1) == 0.0
