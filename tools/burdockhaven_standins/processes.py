"""Starts stand-ins and daemons as processes and stops them by their ids."""

import queue
import signal
import subprocess
import sys
import threading
from collections.abc import Sequence
from dataclasses import dataclass, field

# Seconds in which a process has to say that it is ready.
READY_TIMEOUT_S = 20.0
# Seconds in which a process has to end after SIGTERM.
STOP_TIMEOUT_S = 10.0
READY_WORD = "ready"


class NotReadyError(Exception):
    """The process ended or stayed silent instead of saying that it is ready."""


@dataclass(slots=True)
class RunningProcess:
    """One process that this one started."""

    name: str
    process: subprocess.Popen[str]
    # What follows the word `ready` in the process's output: its address or name.
    ready_text: str = ""
    # Lines of output so far, standard error included.
    lines: list[str] = field(default_factory=list)
    # Lines that nobody has waited for yet; None marks the end.
    unread_lines: "queue.Queue[str | None]" = field(default_factory=queue.Queue)

    @classmethod
    def start(cls, name: str, arguments: Sequence[str]) -> "RunningProcess":
        """Starts `python -m` with the arguments and waits until it is ready."""
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
        """Base URL of a stand-in."""
        return f"http://{self.ready_text}"

    def wait_for_line(self, start: str) -> str:
        """The next line of output that starts so; `NotReadyError` if none comes."""
        while True:
            try:
                line = self.unread_lines.get(timeout=READY_TIMEOUT_S)
            except queue.Empty:
                line = None
            if line is None:
                output = "\n".join(self.lines)
                raise NotReadyError(f"{self.name} printed no {start!r}:\n{output}")
            if line.startswith(start):
                return line

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to just this process."""
        self.process.send_signal(number)

    def terminate(self) -> None:
        """Sends SIGTERM, also to a paused process."""
        if self.process.poll() is None:
            self.signal(signal.SIGTERM)
            self.signal(signal.SIGCONT)

    def stop(self) -> int:
        """Asks the process to stop and gives its exit code; kills it if it stays."""
        self.terminate()
        return self.wait()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """The exit code; kills the process if it stays."""
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return self.kill()

    def kill(self) -> int:
        """Ends the process at once and gives its exit code."""
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
    """Processes that are stopped together."""

    running: list[RunningProcess] = field(default_factory=list)

    def __enter__(self) -> "ProcessGroup":
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start(self, name: str, arguments: Sequence[str]) -> RunningProcess:
        """Starts one more process."""
        process = RunningProcess.start(name, arguments)
        self.running.append(process)
        return process

    def start_stand_in(self, kind: str, name: str, *options: str) -> RunningProcess:
        """Starts a stand-in on a free port."""
        arguments = ["burdockhaven_standins", kind, "--name", name, *options]
        return self.start(name, arguments)

    def stop(self) -> None:
        """Stops all of them."""
        for process in reversed(self.running):
            process.terminate()
        for process in self.running:
            process.wait()
