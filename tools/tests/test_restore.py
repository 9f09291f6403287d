"""Members recover from a restore of the store, in virtual time."""

import pytest

from burdockhaven_bench.restore import run_in_virtual_time

# Within this time after a disruption the platform expects everything to be in order.
STABLE_S = 3.0
# Rates of the store at the sizes of the users' deployments: writes and reads a second.
RATES_PER_S = {9: 400 + 2_000, 68: 1_200 + 6_000}


@pytest.mark.parametrize("members", [9, 68])
def test_members_recover_in_time_and_within_the_rates_of_the_store(members):
    figures = run_in_virtual_time(members, seed=1)
    assert figures.slowest_s <= STABLE_S
    assert figures.peak_calls_per_s <= RATES_PER_S[members] / 2
