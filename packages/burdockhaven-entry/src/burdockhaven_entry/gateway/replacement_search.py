"""Looks for another engine while the engine of a stream is silent.

A silent engine may be sound and go on. Therefore its run is not ended before another
engine has accepted the request: if none does, the stream waits for the silent one.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from burdockhaven_entry.gateway.opened_run import OpenedRun

# Seconds between an unsuccessful look for another engine and the next one.
SEARCH_INTERVAL_S = 0.5


@dataclass(slots=True)
class ReplacementSearch:
    """Observes one run; holds the run that is opened elsewhere while it is silent.

    Each event of the run restarts it, because the engine is not silent.
    """

    # Ends the run when it expires; set once another engine has accepted the request.
    run_timeout: asyncio.Timeout
    # Opens a run at another engine; None if none accepts the request now.
    find: Callable[[], Awaitable[OpenedRun | None]]
    # Ends a run that was opened and is not used.
    give_back: Callable[[OpenedRun], None]
    # The run that was opened; None while there is none.
    found: OpenedRun | None = None
    # Starts the search; None if no search is due.
    timer: asyncio.TimerHandle | None = None
    # The running search; None if there is none.
    task: asyncio.Task[None] | None = None

    def restart(self, timeout_s: float) -> None:
        """Search after `timeout_s` seconds; an earlier search ends without effect."""
        self.stop()
        self.timer = asyncio.get_running_loop().call_later(timeout_s, self._start)

    def stop(self) -> None:
        """End the search and let the run continue, unless the run is ending already.

        To be called within the context of `run_timeout`.
        """
        if self.run_timeout.expired():
            return
        if self.run_timeout.when() is not None:
            self.run_timeout.reschedule(None)
        self.discard()

    def end_run_at(self, time_s: float) -> None:
        """End the run at a time of the event loop unless it is no longer silent."""
        if not self.run_timeout.expired():
            self.run_timeout.reschedule(time_s)

    def await_run(self) -> None:
        """Let the run go on until another engine has accepted the request."""
        if self.found is None and not self.run_timeout.expired():
            self.run_timeout.reschedule(None)

    def discard(self) -> None:
        """End the search and give back what it has found."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.task is not None:
            self.task.cancel()
            self.task = None
        found = self.take()
        if found is not None:
            self.give_back(found)

    def take(self) -> OpenedRun | None:
        """Return the run that was opened, if any, to the caller, who uses it."""
        found, self.found = self.found, None
        return found

    def _start(self) -> None:
        self.timer = None
        self.task = asyncio.get_running_loop().create_task(self._search())

    async def _search(self) -> None:
        found: OpenedRun | None = None
        while found is None:
            found = await self.find()
            if found is None:
                await asyncio.sleep(SEARCH_INTERVAL_S)
        self.found, self.task = found, None
        # The run may be ending already, which takes its connection some iterations.
        self.end_run_at(asyncio.get_running_loop().time())
