"""One read of the key-value service for all questions of a short time."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class BatchedRead(Generic[T]):
    """Shares reads among questions; each is answered by a read that begins after it."""

    def __init__(
        self,
        read: Callable[[], Awaitable[T]],
        clock: Callable[[], float],
        delay_s: float,
        interval_s: float = 0.0,
    ) -> None:
        self.read = read
        self.clock = clock
        # Seconds in which questions are collected for one read.
        self.delay_s = delay_s
        # Minimum seconds between the beginnings of two reads.
        self.interval_s = interval_s
        self.last_read_s = -math.inf
        # Read that has not begun; None if there is none.
        self.next_read: asyncio.Task[T] | None = None

    async def get(self) -> T:
        """Return the result of the next read."""
        if self.next_read is None:
            self.next_read = asyncio.create_task(self._read_soon())
        # The other questions need the result also if this one is cancelled.
        return await asyncio.shield(self.next_read)

    async def _read_soon(self) -> T:
        wait_s = self.last_read_s + self.interval_s - self.clock()
        await asyncio.sleep(max(self.delay_s, wait_s))
        self.next_read = None
        self.last_read_s = self.clock()
        return await self.read()
