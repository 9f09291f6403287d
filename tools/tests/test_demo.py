"""Tests that the demonstration succeeds and an interrupt leaves no process behind."""

import os
import signal
import subprocess
import sys

import pytest

pytestmark = pytest.mark.process
COMMAND = [sys.executable, "-u", "-m", "burdockhaven_bench.demo"]


def children_of(pid):
    path = f"/proc/{pid}/task/{pid}/children"
    with open(path, encoding="ascii") as children:  # noqa: PTH123
        return [int(child) for child in children.read().split()]


def is_running(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def test_demo_succeeds_and_stops_every_process():
    run = subprocess.run(COMMAND, capture_output=True, text=True, timeout=120)
    assert run.returncode == 0, run.stdout + run.stderr
    assert "the sign-off service ran it 1 time(s)" in run.stdout
    assert "whole answer: 24 token(s)" in run.stdout


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_interrupt_stops_every_process(number):
    with subprocess.Popen(
        COMMAND, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    ) as demo:
        for line in demo.stdout:
            if line.startswith("3. "):
                break
        children = children_of(demo.pid)
        demo.send_signal(number)
        demo.send_signal(number)
        output = demo.stdout.read()
        assert demo.wait() == 130, output
    # Five stand-ins and three entries, plus the command line if it is running.
    assert len(children) in (8, 9)
    assert not any(is_running(child) for child in children)
