"""Starts stand-ins and daemons as child processes and stops them by their ids."""

import queue
import signal
import subprocess
import sys
import threading
from collections.abc import Sequence
from dataclasses import dataclass, field

# Seconds within which a process must print its `ready` line, or any other line that
# is awaited.
READY_TIMEOUT_S = 20.0
# Seconds within which a process must exit after SIGTERM.
STOP_TIMEOUT_S = 10.0
READY_WORD = "ready"


class NotReadyError(Exception):
    """The process exited, or did not print the expected line in time."""


@dataclass(slots=True)
class RunningProcess:
    """A child process."""

    name: str
    process: subprocess.Popen[str]
    # Text after `ready` in the output of the process: its address or name.
    ready_text: str = ""
    # Lines of output so far, including standard error.
    lines: list[str] = field(default_factory=list)
    # Lines not yet consumed by `wait_for_line`; None marks the end of the output.
    unread_lines: "queue.Queue[str | None]" = field(default_factory=queue.Queue)

    @classmethod
    def start(cls, name: str, arguments: Sequence[str]) -> "RunningProcess":
        """Start `python -m` with the arguments and wait until it is ready.

        Raises:
            NotReadyError: The process exited or was not ready in time.
        """
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        started = cls(name, process)
        threading.Thread(target=started._read_output, daemon=True).start()
        try:
            line = started.wait_for_line(READY_WORD)
            started.ready_text = line[len(READY_WORD) :].strip()
        except BaseException:
            started.kill()
            raise
        return started

    @property
    def url(self) -> str:
        """Base URL, if the process is a stand-in."""
        return f"http://{self.ready_text}"

    def wait_for_line(self, start: str) -> str:
        """Consume output up to the first line with this prefix, and return the line.

        Raises:
            NotReadyError: The output ended or paused for too long.
        """
        while True:
            try:
                line = self.unread_lines.get(timeout=READY_TIMEOUT_S)
            except queue.Empty:
                line = None
            if line is None:
                output = "\n".join(self.lines)
                raise NotReadyError(
                    f"{self.name} did not print {start!r}; output:\n{output}"
                )
            if line.startswith(start):
                return line

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        self.process.send_signal(number)

    def terminate(self) -> None:
        """Send SIGTERM; resumes a stopped process so that it can handle the signal."""
        if self.process.poll() is None:
            self.signal(signal.SIGTERM)
            self.signal(signal.SIGCONT)

    def stop(self) -> int:
        """Terminate the process and return its exit code; kill it after a timeout."""
        self.terminate()
        return self.wait()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the exit code; kills the process after the timeout."""
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return self.kill()

    def kill(self) -> int:
        """Kill the process and return its exit code."""
        self.process.kill()
        return self.process.wait()

    def _read_output(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            self.lines.append(line.rstrip("\n"))
            self.unread_lines.put(line.rstrip("\n"))
        self.unread_lines.put(None)


@dataclass(slots=True)
class ProcessGroup:
    """Child processes that are stopped together, when the `with` block ends."""

    running: list[RunningProcess] = field(default_factory=list)

    def __enter__(self) -> "ProcessGroup":
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start(self, name: str, arguments: Sequence[str]) -> RunningProcess:
        """Start a process in this group."""
        process = RunningProcess.start(name, arguments)
        self.running.append(process)
        return process

    def start_stand_in(self, kind: str, name: str, *options: str) -> RunningProcess:
        """Start a stand-in on a free port."""
        arguments = ["burdockhaven_standins", kind, "--name", name, *options]
        return self.start(name, arguments)

    def stop(self) -> None:
        """Terminate all processes, latest first, and wait until they have exited."""
        for process in reversed(self.running):
            process.terminate()
        for process in self.running:
            process.wait()
