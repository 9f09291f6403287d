"""The soak as a whole: a short run, its plan, and the end of its processes."""

import os
import random
import re
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from burdockhaven_bench.soak.client import OutgoingRequest
from burdockhaven_bench.soak.history import FaultKind
from burdockhaven_bench.soak.plan import EXTRA, Plan
from burdockhaven_bench.soak.traffic import Taint, add_parts

COMMAND = [sys.executable, "-u", "-m", "burdockhaven_bench.soak"]
STARTED = re.compile(r"started \S+ as process (\d+)")
# Limits of waits; no measurement depends on them.
RUN_TIMEOUT_S = 240
END_TIMEOUT_S = 20
INTERRUPTED = 130


def soak_arguments(seed, minutes):
    return [*COMMAND, "--seed", str(seed), "--minutes", str(minutes)]


def test_plan_depends_on_the_seed_only():
    plans = [
        Plan.from_seed(seed, 120.0, daemons=3, extra=frozenset(EXTRA))
        for seed in (1, 1, 2)
    ]
    assert plans[0] == plans[1] != plans[2]
    assert {fault.kind for plan in plans for fault in plan.faults} == set(FaultKind)


def test_fault_that_is_left_out_leaves_the_rest_of_the_plan():
    kind = FaultKind.CONFIGURE
    whole = Plan.from_seed(1, 120.0, daemons=3)
    without = Plan.from_seed(1, 120.0, daemons=3, without=frozenset({kind}))
    assert without.faults == tuple(f for f in whole.faults if f.kind is not kind)


def test_fault_that_is_added_leaves_the_rest_of_the_plan():
    plain = Plan.from_seed(1, 120.0, daemons=3)
    assert not {fault.kind for fault in plain.faults} & set(EXTRA)
    for kind in EXTRA:
        more = Plan.from_seed(1, 120.0, daemons=3, extra=frozenset({kind}))
        assert plain.faults == tuple(f for f in more.faults if f.kind is not kind)
        assert plain != more
        assert [f.at_s for f in more.faults] == sorted(f.at_s for f in more.faults)


@pytest.mark.parametrize("seed", range(20))
def test_tainted_parts_come_one_after_the_other_in_short_plans_too(seed):
    kind = FaultKind.TAINTED_PART
    for duration_s in (30.0, 300.0):
        plan = Plan.from_seed(seed, duration_s, daemons=3, extra=frozenset({kind}))
        taints = [fault for fault in plan.faults if fault.kind is kind]
        assert taints
        assert all(0 < fault.share < 1 for fault in taints)
        ends = [fault.at_s + fault.duration_s for fault in taints]
        starts = [fault.at_s for fault in taints[1:]] + [duration_s]
        assert all(end <= start for end, start in zip(ends, starts, strict=True))


def test_tainted_requests_are_unlike_each_other_and_like_sound_ones():
    rng = random.Random(1)
    taint = Taint("bad", 0.3)
    requests = [
        add_parts(
            OutgoingRequest(f"a{number}", number, "once", "/once/x", key, 15.0),
            rng,
            taint,
        )
        for number, key in zip(range(200), "xy" * 100, strict=True)
    ]
    ids = {r.attempt: [part for part, _ in r.parts] for r in requests}
    tainted = [r for r in requests if "bad" in ids[r.attempt]]
    sound = [r for r in requests if r not in tainted]
    assert 40 <= len(tainted) <= 80
    assert len({r.parts[-1] for r in requests}) == len(requests)
    assert {ids[r.attempt].index("bad") for r in tainted} == {1, 2}
    ((key, first),) = {(r.api_key, ids[r.attempt][0]) for r in tainted}
    assert key not in "xy"
    shared = {part for r in tainted for part in ids[r.attempt][:-1]} - {"bad"}
    assert shared <= {part for r in sound for part in ids[r.attempt][:-1]}
    assert any(ids[r.attempt][0] == first for r in sound)
    # Without a taint all requests are sound.
    assert all("bad" not in dict(add_parts(r, rng, None).parts) for r in sound)


def test_parts_add_up_to_the_prompt_and_are_sent():
    request = OutgoingRequest("a1", 1, "once", "/x", "k", 15.0, prompt_tokens=101)
    for number in range(20):
        parts = add_parts(request, random.Random(number), Taint("bad", 0.5)).parts
        assert sum(tokens for _, tokens in parts) == 101
    sent = add_parts(request, random.Random(1), Taint("bad", 1.0))
    header = ",".join(f"{part}:{tokens}" for part, tokens in sent.parts)
    assert f"\r\nX-Burdockhaven-Prompt-Prefix: {header}\r\n".encode() in sent.head()
    assert b"Prompt-Prefix" not in request.head()


@pytest.mark.process
@pytest.mark.parametrize(
    ("seed", "options"),
    [
        (13, ["--clients", "16"]),
        (24, ["--clients", "32", "--site", "tight"]),
        (24, ["--clients", "24", "--with", "tainted-part"]),
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
    # A shell starts its background jobs with SIGINT ignored, and children inherit that.
    inherited = signal.signal(signal.SIGINT, signal.default_int_handler)
    try:
        process = subprocess.Popen(
            soak_arguments(seed=1, minutes=1), stdout=subprocess.PIPE, text=True
        )
    finally:
        signal.signal(signal.SIGINT, inherited)
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
