"""Engines three times slower or faster than those that the assumed times describe."""

import dataclasses

import pytest
from load_checks import MIN_VALUE_SHARE, check_nothing_starves

from burdockhaven_bench.placement_fleet import PlacementFleet
from burdockhaven_bench.simulated_requests import REQUEST_KINDS
from burdockhaven_standins.step_engine import StepEngineConfig


def unlike_fleet(factor):
    """Return a fleet of engines slower by a factor, at the same utilization."""
    base = StepEngineConfig()
    engine = dataclasses.replace(
        base,
        first_event_ms=base.first_event_ms * factor,
        step_ms=base.step_ms * factor,
        step_ms_per_run=base.step_ms_per_run * factor,
        prefill_tokens_per_ms=base.prefill_tokens_per_ms / factor,
        prefill_ms_per_m_pairs=base.prefill_ms_per_m_pairs * factor,
    )
    kinds = tuple(
        dataclasses.replace(
            kind,
            objective_s=kind.objective_s * factor,
            deadline_s=kind.deadline_s * factor,
            pause_objective_s=kind.pause_objective_s * factor,
        )
        for kind in REQUEST_KINDS
    )
    return PlacementFleet(
        kinds=kinds, engine_config=engine, load=lambda kind, at_s: 1.0 / factor, seed=1
    )


@pytest.mark.parametrize("factor", [1 / 3, 3.0])
def test_value_share_holds_and_nothing_starves(factor):
    result = unlike_fleet(factor).run()
    assert result.value_share() >= MIN_VALUE_SHARE
    check_nothing_starves(result)
