"""Signals that reach a process before its event loop has handlers, or after."""

import json
import os
import signal
import subprocess
import sys

import pytest

from burdockhaven_standins.ports import free_address

pytestmark = pytest.mark.process
# Runs the daemon and sends it a signal at one moment of its life.
DRIVER = """
import os, sys
from burdockhaven_entry import main, listening_sockets

moment, number = sys.argv[1], int(sys.argv[2])


def signal_after(function):
    def call(*args, **kwargs):
        result = function(*args, **kwargs)
        os.kill(os.getpid(), number)
        return result

    return call


if moment == "imports":
    listening_sockets.open_listening_sockets = signal_after(
        listening_sockets.open_listening_sockets
    )
elif moment == "exit":
    import asyncio

    loop = asyncio.SelectorEventLoop
    loop.close = signal_after(loop.close)
sys.exit(main.main(["--platform"]))
"""


def start(folder, moment, number):
    listen = {
        name: free_address() for name in ("front", "readiness", "control", "directory")
    }
    peer_port = int(free_address().rpartition(":")[2])
    settings = {
        "node": "entry-1",
        "ip": "127.0.0.1",
        "zone": "a",
        "listen": listen,
        "port_range": [peer_port, peer_port],
        "bounds": {
            "grace_s": 1,
            "retry_budget_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 58,
            "quota_window_s": 8,
            "quota_slack": 0,
        },
        "platform": {"address": free_address()},
    }
    path = folder / "settings.yaml"
    # YAML, of which JSON is a subset.
    path.write_text(json.dumps(settings))
    return subprocess.Popen(
        [sys.executable, "-c", DRIVER, moment, str(int(number))],
        env=os.environ | {"BURDOCKHAVEN_SETTINGS": str(path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


def stop_when_ready(process):
    """Stop the process once it serves; return its exit code and standard error."""
    for line in process.stdout:
        if json.loads(line)["event"] == "READY":
            process.send_signal(signal.SIGTERM)
            break
    _, errors = process.communicate()
    return process.returncode, errors


# Guards against a process that a reload ends, because its event loop has no handler yet
# or none any more.
@pytest.mark.parametrize("moment", ["imports", "exit"])
def test_sighup_never_ends_the_process(tmp_path, moment):
    process = start(tmp_path, moment, signal.SIGHUP)
    assert stop_when_ready(process) == (0, b"")


# Guards against a stop that counts as a crash, because it is asked for again when the
# event loop is closed.
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_further_request_to_stop_at_the_exit_is_ignored(tmp_path, number):
    process = start(tmp_path, "exit", number)
    assert stop_when_ready(process) == (0, b"")


# Guards against a process that goes on with its start, or ends like a crash, when
# it is stopped before it can serve; it has accepted nothing yet.
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_request_to_stop_before_the_event_loop_ends_the_process(tmp_path, number):
    process = start(tmp_path, "imports", number)
    out, errors = process.communicate()
    assert (process.returncode, out, errors) == (0, b"", b"")


# Guards against a stop that depends on the reader of the log.
def test_process_without_a_reader_of_its_log_stops(tmp_path):
    process = start(tmp_path, "none", 0)
    for line in process.stdout:
        if json.loads(line)["event"] == "READY":
            break
    process.stdout.close()
    process.send_signal(signal.SIGTERM)
    assert (process.wait(), process.stderr.read()) == (0, b"")
