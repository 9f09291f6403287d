"""Runs the operators' command line as a subprocess for the demonstration."""

import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

# Limit in seconds until a change is in force on every entry.
CHANGE_TIMEOUT_S = 15


class DemoError(Exception):
    """A step of the demonstration failed."""


class Operator:
    """Publishes changes with `burdockhaven-ctl`, one after another."""

    def __init__(self, endpoints: Sequence[str]) -> None:
        # Base URLs of the administration addresses.
        self.endpoints = tuple(endpoints)

    def publish_template(self, path: Path) -> None:
        """Publish the template in a file and wait until it is in force."""
        self._put("template", path)

    def publish_account(self, path: Path) -> None:
        """Publish the client account in a file and wait until it is in force."""
        self._put("account", path)

    def show_members(self) -> None:
        """Print the list of entries that the command line shows."""
        self._run("members")

    def _put(self, kind: str, path: Path) -> None:
        waiting = ("--wait", str(CHANGE_TIMEOUT_S))
        self._run(kind, "put", str(path), "--expected-version", "current", *waiting)

    def _run(self, *arguments: str) -> None:
        options = [f"--endpoint={endpoint}" for endpoint in self.endpoints]
        command = [sys.executable, "-m", "burdockhaven_ctl", *options, *arguments]
        completed = subprocess.run(command, capture_output=True, text=True, check=False)
        print(f"   $ burdockhaven-ctl {' '.join(arguments[:2])}")
        for line in (completed.stdout + completed.stderr).splitlines():
            print(f"     {line}")
        if completed.returncode != 0:
            text = f"burdockhaven-ctl exited with code {completed.returncode}"
            raise DemoError(text)
