"""Performance targets of the scheduling decisions under load, in virtual time."""

import functools

import pytest

from burdockhaven_bench.policy import PolicyOptions, run_policy
from burdockhaven_bench.scenarios import Scenario
from burdockhaven_bench.sites import SITES, TIER_COUNT

# Performance targets, as fractions.
MIN_HIGHEST_TIER_GOODPUT = 0.99
MIN_TOTAL_GOODPUT = 0.95
MAX_WASTED_PREFILL = 0.01
HIGHEST_TIER = TIER_COUNT - 1


@functools.cache
def figures(site, load, scenario=Scenario.STEADY):
    return run_policy(PolicyOptions(site, load, 1, scenario=scenario))


@pytest.mark.parametrize("site", sorted(SITES))
def test_same_seed_gives_same_figures(site):
    options = PolicyOptions(site, 1.2, 3, window_s=5.0, warm_up_s=5.0)
    assert run_policy(options) == run_policy(options)


@pytest.mark.parametrize("site", sorted(SITES))
def test_overload_spares_highest_tier_and_total_goodput(site):
    for group in figures(site, 1.2).groups.values():
        assert group.tiers[HIGHEST_TIER].work_part >= MIN_HIGHEST_TIER_GOODPUT
        assert group.goodput_part >= MIN_TOTAL_GOODPUT
        assert group.wasted_prefill_part < MAX_WASTED_PREFILL


@pytest.mark.parametrize("site", sorted(SITES))
def test_a_straggler_costs_only_its_own_speed(site):
    for group in figures(site, 0.9, Scenario.STRAGGLER).groups.values():
        assert group.goodput_part >= MIN_TOTAL_GOODPUT


@pytest.mark.parametrize("site", sorted(SITES))
def test_goodput_does_not_fall_with_more_load(site):
    at_overload = figures(site, 1.2).groups
    for name, group in figures(site, 2.0).groups.items():
        assert group.goodput_per_s >= at_overload[name].goodput_per_s
