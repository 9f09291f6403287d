"""Signals of the process before its event loop has handlers, and after it had them.

The loop's own handlers exist only while it runs. Without them a reload would end the
process, and a stop would look like a crash. This module imports no library, because
imports take most of a start.
"""

import os
import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
EXIT_OK = 0


def prepare_for_start() -> None:
    """Ignore reloads for good, and let a stop end the process at once with code 0.

    No setting changes while a process runs. Until the event loop runs, no connection
    is accepted, so there is nothing to drain.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for number in STOP_SIGNALS:
        signal.signal(number, lambda received, frame: os._exit(EXIT_OK))


def ignore_until_exit() -> None:
    """Ignore further requests to stop; blocked signals end with the process.

    The event loop restores the default actions when it is closed.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
