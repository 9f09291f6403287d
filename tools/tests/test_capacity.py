"""Tests of the capacity bench: valid inputs and a run of its cheapest probes."""

import msgspec
import pytest

from burdockhaven_bench.capacity import Row, all_probes, main
from burdockhaven_bench.capacity_entry import EntryHarness
from burdockhaven_bench.capacity_forecast import REGION, FittedLines, format_table
from burdockhaven_bench.capacity_inputs import make_configuration
from burdockhaven_bench.capacity_probe import Unit
from burdockhaven_core.configuration_check import validate_configuration


@pytest.mark.parametrize(("accounts", "targets"), [(5, 10), (200, 200)])
def test_inputs_are_valid_configurations(accounts, targets):
    configuration = make_configuration(accounts, targets)
    assert validate_configuration(configuration) == ()
    assert len(configuration.accounts) == accounts


def test_run_prints_and_writes_each_cost(tmp_path, capsys):
    only = "configuration encoded"
    assert main(["--output", str(tmp_path), "--only", only]) == 0
    assert capsys.readouterr().out.count(only) == 2
    rows = msgspec.json.decode((tmp_path / "capacity.json").read_bytes())
    assert {row["variable"] for row in rows} == {"accounts", "targets"}
    assert all(row["slope"] > 0 for row in rows)
    assert (tmp_path / "capacity.png").read_bytes().startswith(b"\x89PNG")


def test_unknown_cost_is_an_error(tmp_path):
    assert main(["--output", str(tmp_path), "--only", "no such cost"]) == 2


def test_harness_entry_admits_every_tier():
    harness = EntryHarness.from_sizes(members=8, targets=10, accounts=5)
    membership = harness.entry.state.membership
    assert len(membership.live(harness.now)) == 7
    assert membership.can_admit_lower_tiers(harness.now)
    harness.run_request(harness.issue_assignment(), 0)


def test_forecast_marks_exceeded_budgets():
    names = [(probe.name, probe.variable) for probe in all_probes()]
    rows = [Row(name, Unit.BYTES, var, 1, 1, 0, 0, ()) for name, var in names]
    printed = format_table(FittedLines(rows), REGION)
    assert "| member | " in printed
    assert "**no**" in printed
