"""Interrupts that take effect between two steps of a program.

An exception raised by a signal handler may strike while a child process is being
started, which nobody would stop then. So the handler only takes note.
"""

import signal
from types import FrameType

STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


class Interrupts:
    """Whether the user has asked the program to stop."""

    def __init__(self) -> None:
        self.received = False

    def install(self) -> None:
        """Take note of the stop signals from now on."""
        for number in STOP_SIGNALS:
            signal.signal(number, self._on_signal)

    def check(self) -> None:
        """Raise `KeyboardInterrupt` if a stop signal has come."""
        if self.received:
            raise KeyboardInterrupt

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        self.received = True
