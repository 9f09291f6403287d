"""Deferred signal handling: stop signals take effect between two steps of a program.

An exception raised inside a signal handler could interrupt the start of a child
process, which would then never be stopped. The handler therefore only sets a flag.
"""

import signal
from types import FrameType

STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


class Interrupts:
    """Records whether a stop signal has been received."""

    def __init__(self) -> None:
        self.received = False

    def install(self) -> None:
        """Install the handler of the stop signals."""
        for number in STOP_SIGNALS:
            signal.signal(number, self._on_signal)

    def check(self) -> None:
        """Raise `KeyboardInterrupt` if a stop signal has been received."""
        if self.received:
            raise KeyboardInterrupt

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        self.received = True
