"""Speed of machines that targets share with others."""

import pytest

from burdockhaven_core.capacity import MachineSpeed, SlowShare
from burdockhaven_core.capacity.machine_speed import REPORT_TTL_S


def test_report_holds_for_a_short_time():
    machine = MachineSpeed()
    assert machine.slowdown(5.0) == 1.0
    machine.record(2.5, 10.0)
    assert machine.slowdown(10.0 + REPORT_TTL_S / 2) == 2.5
    assert machine.slowdown(10.0 + 2 * REPORT_TTL_S) == 1.0


# Guards against a target that is shunned, or gets all work, through a nonsense report.
@pytest.mark.parametrize("slowdown", [0.0, -1.0, 1e6, float("nan"), float("inf")])
def test_implausible_report_is_ignored(slowdown):
    machine, share = MachineSpeed(), SlowShare()
    machine.record(slowdown, 10.0)
    share.record(slowdown)
    assert machine.slowdown(10.0) == 1.0
    assert share.share == 0.0


def test_share_of_slow_reports_is_learned():
    share = SlowShare()
    for number in range(2_000):
        share.record(2.5 if number % 5 == 0 else 1.0)
    assert share.share == pytest.approx(0.2, abs=0.05)
