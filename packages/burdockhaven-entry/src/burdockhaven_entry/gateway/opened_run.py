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
# that has a connection: it rejects within a round trip, but answers only once it has
# read the prompt. Two engines may not work on one stream for longer.
ACCEPTANCE_DELAY_S = 0.05
# Seconds by which the end of this wait is late if this process stood still. A rejection
# that arrived in the meantime has not been read yet.
OWN_STALL_S = 0.01


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
        """Return the response if it begins at once; None if the engine is at work.

        Raises `SendError` if there is no valid response.
        """
        waited: set[asyncio.Future[Any]] = {self.opening, self.connected}
        await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
        if await self._waits_late() and not self.opening.done():
            await self._waits_late()
        return self.opening.result() if self.opening.done() else None

    async def _waits_late(self) -> bool:
        """Wait until the engine counts as at work; returns whether that ended late."""
        loop = asyncio.get_running_loop()
        accepted_s = loop.time() + ACCEPTANCE_DELAY_S
        await asyncio.wait({self.opening}, timeout=ACCEPTANCE_DELAY_S)
        return loop.time() - accepted_s > OWN_STALL_S

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
