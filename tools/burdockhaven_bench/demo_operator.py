"""The operator's part in the demonstration: the command line, as operators use it."""

import contextlib
import signal
import subprocess
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

from burdockhaven_standins.processes import ProcessGroup, RunningProcess

# Seconds that a change may take to be in force on every entry.
WAIT_S = 15


class DemoError(Exception):
    """The demonstration did not go as it should."""


@contextlib.contextmanager
def interrupts_deferred() -> Iterator[None]:
    """Raises an interrupt that comes in the block only at the block's end.

    An interrupt while a process is being started would leave it to nobody. Blocking
    the signals instead would block them in the new process as well.
    """
    deferred: list[int] = []
    handlers = {
        number: signal.signal(number, lambda got, frame: deferred.append(got))
        for number in (signal.SIGINT, signal.SIGTERM)
    }
    try:
        yield
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)
    if deferred:
        raise KeyboardInterrupt


class Operator:
    """Publishes changes with `burdockhaven-ctl`, one after another."""

    def __init__(self, group: ProcessGroup, endpoints: Sequence[str]) -> None:
        # Stops a command that is interrupted.
        self.group = group
        # Base URLs of the administration addresses.
        self.endpoints = tuple(endpoints)

    def publish_template(self, path: Path) -> None:
        """Publishes the template in the file and waits until it is in force."""
        self._put("template", path)

    def publish_account(self, path: Path) -> None:
        """Publishes the client account's parameters in the file, likewise."""
        self._put("account", path)

    def show_members(self) -> None:
        """Prints the entries as the command line shows them."""
        self._run("members")

    def _put(self, noun: str, path: Path) -> None:
        waiting = ("--wait", str(WAIT_S))
        self._run(noun, "put", str(path), "--expected-version", "current", *waiting)

    def _run(self, *arguments: str) -> None:
        options = [f"--endpoint={endpoint}" for endpoint in self.endpoints]
        command = [sys.executable, "-m", "burdockhaven_ctl", *options, *arguments]
        with interrupts_deferred():
            process = subprocess.Popen(
                command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
            )
            running = RunningProcess("burdockhaven-ctl", process)
            self.group.running.append(running)
        output, _ = running.process.communicate()
        self.group.running.remove(running)
        print(f"   $ burdockhaven-ctl {' '.join(arguments[:2])}")
        for line in output.splitlines():
            print(f"     {line}")
        code = running.process.returncode
        if code != 0:
            raise DemoError(f"burdockhaven-ctl ended with exit code {code}")
