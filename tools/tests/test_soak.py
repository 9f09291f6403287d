"""The soak as a whole: a short run, its plan, and the end of its processes."""

import os
import re
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from burdockhaven_bench.soak.history import FaultKind
from burdockhaven_bench.soak.plan import Plan

COMMAND = [sys.executable, "-u", "-m", "burdockhaven_bench.soak"]
STARTED = re.compile(r"started \S+ as process (\d+)")
# Limits of waits; no measurement depends on them.
RUN_TIMEOUT_S = 240
END_TIMEOUT_S = 20
INTERRUPTED = 130


def soak_arguments(seed, minutes):
    return [*COMMAND, "--seed", str(seed), "--minutes", str(minutes)]


def test_plan_depends_on_the_seed_only():
    plans = [Plan.from_seed(seed, 120.0, daemons=3) for seed in (1, 1, 2)]
    assert plans[0] == plans[1] != plans[2]
    assert {fault.kind for plan in plans for fault in plan.faults} == set(FaultKind)


def test_fault_that_is_left_out_leaves_the_rest_of_the_plan():
    kind = FaultKind.CONFIGURE
    whole = Plan.from_seed(1, 120.0, daemons=3)
    without = Plan.from_seed(1, 120.0, daemons=3, without=frozenset({kind}))
    assert without.faults == tuple(f for f in whole.faults if f.kind is not kind)


@pytest.mark.process
@pytest.mark.parametrize(
    ("seed", "options"),
    [
        (13, ["--clients", "16"]),
        (24, ["--clients", "32", "--site", "tight"]),
    ],
)
def test_short_soak_breaks_no_rule(seed, options, tmp_path):
    command = [*soak_arguments(seed, minutes=0.5), *options, "--report", str(tmp_path)]
    run = subprocess.run(command, capture_output=True, text=True, timeout=RUN_TIMEOUT_S)
    assert run.returncode == 0, run.stdout + run.stderr
    assert (tmp_path / "report.json").exists()


@pytest.mark.process
@pytest.mark.parametrize(
    ("number", "exit_code"),
    [(signal.SIGINT, INTERRUPTED), (signal.SIGKILL, -signal.SIGKILL)],
)
def test_daemons_end_with_the_soak(number, exit_code):
    process = subprocess.Popen(
        soak_arguments(seed=1, minutes=1), stdout=subprocess.PIPE, text=True
    )
    pids = []
    for line in process.stdout:
        if found := STARTED.search(line):
            pids.append(int(found.group(1)))
        if len(pids) == 3:
            break
    process.send_signal(number)
    process.stdout.read()
    assert process.wait(END_TIMEOUT_S) == exit_code
    deadline_s = time.monotonic() + END_TIMEOUT_S
    while any(is_running(pid) for pid in pids) and time.monotonic() < deadline_s:
        time.sleep(0.05)
    assert not any(is_running(pid) for pid in pids)


def is_running(pid):
    """Whether a process exists and has not ended."""
    try:
        os.kill(pid, 0)
        return ") Z " not in Path(f"/proc/{pid}/stat").read_text()
    except (ProcessLookupError, FileNotFoundError):
        return False
