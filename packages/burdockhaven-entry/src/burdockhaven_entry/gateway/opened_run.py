"""Runs that are opened at another engine while the engine of a stream is silent.

The silent engine may be sound and go on, and the other one may reject the request, so
the silent run is given up only once the other engine has accepted it.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from burdockhaven_core.scheduling.target_registry import TargetEntry
from burdockhaven_entry.gateway.placement_client import Placement
from burdockhaven_entry.gateway.target_client import (
    OutgoingRequest,
    TargetClient,
    TargetResponse,
)

# Seconds without a response after which an engine counts as having accepted a request
# that has a connection. A full engine may queue a request for a while before it rejects
# it, but two engines may work on one stream for 400 ms at most.
ACCEPTANCE_DELAY_S = 0.3
# Seconds for which a response is read that arrived while this process stood still.
LATE_READ_S = 0.02


@dataclass(slots=True)
class OpenedRun:
    """A request that was sent, and whose response has not been used yet."""

    placement: Placement
    target: TargetEntry
    target_client: TargetClient
    # Sends the request; its result is the response, once the head has arrived.
    opening: asyncio.Task[TargetResponse]
    # Resolved once the request has a connection.
    connected: asyncio.Future[None]

    @classmethod
    def begin(
        cls,
        target_client: TargetClient,
        placement: Placement,
        target: TargetEntry,
        request: OutgoingRequest,
    ) -> "OpenedRun":
        """Send the request, without waiting for a response."""
        connected: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        opening = asyncio.create_task(target_client.open(target, request, connected))
        return cls(placement, target, target_client, opening, connected)

    async def wait_for_rejection(self) -> TargetResponse | None:
        """Return the response if it begins soon; None if the engine is at work.

        Raises `SendError` if there is no valid response.
        """
        waited: set[asyncio.Future[Any]] = {self.opening, self.connected}
        await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
        for timeout_s in (ACCEPTANCE_DELAY_S, LATE_READ_S):
            await asyncio.wait({self.opening}, timeout=timeout_s)
        return self.opening.result() if self.opening.done() else None

    @asynccontextmanager
    async def response(self) -> AsyncIterator[TargetResponse]:
        """Yield the response once its head has arrived; raises `SendError`."""
        try:
            yield await self.opening
        finally:
            # Also if the response arrived in the iteration in which the wait ended.
            self.abort()

    def abort(self) -> None:
        """Close the connection, which ends the run."""
        if not self.opening.done():
            self.opening.cancel()
        elif not self.opening.cancelled() and self.opening.exception() is None:
            self.opening.result().close()
