"""Buffers for answers, each filled by one run and read by any number of callers.

Completed answers stay buffered up to a byte limit, so that a caller that lost its
connection can resume.
"""

import asyncio
from collections import OrderedDict
from collections.abc import AsyncIterator, Sequence

import msgspec

from burdockhaven_core.identity import RunId, TargetName
from burdockhaven_core.outcome import NotRun, Unknown, UnknownReason

# Limit on the total size of completed answers, which are kept for resuming callers.
MAX_COMPLETED_ANSWERS_BYTES = 16 * 1024 * 1024


class Chunk(msgspec.Struct, frozen=True, gc=False):
    """Consecutive tokens of an answer."""

    # Index of the first token in the answer.
    offset: int
    # Number of tokens.
    count: int
    text: str


class AnswerBuffer:
    """The chunks of one answer so far, and its state.

    The buffer of a run that another entry started may start at a later token: the first
    one that its only caller needs.
    """

    def __init__(
        self, run_id: RunId, target: TargetName, start_offset: int = 0
    ) -> None:
        self.run_id = run_id
        self.target = target
        self.chunks: list[Chunk] = []
        # Tokens so far, including those before the start offset.
        self.length = start_offset
        self.bytes = 0
        self.is_complete = False
        # Why the answer cannot be completed; None unless it failed.
        self.failure: NotRun | Unknown | None = None
        # Set once there is a chunk, or the buffer is closed.
        self.started = asyncio.Event()
        # One future for each reader that waits for more chunks.
        self._waiters: list[asyncio.Future[None]] = []

    @property
    def is_closed(self) -> bool:
        """Whether no more chunks will follow."""
        return self.is_complete or self.failure is not None

    def append(self, chunk: Chunk) -> None:
        """Append a chunk; raises `ValueError` if it is not contiguous."""
        if chunk.offset != self.length:
            raise ValueError(
                f"chunk at token {chunk.offset} of run {self.run_id}, "
                f"expected token {self.length}"
            )
        self.chunks.append(chunk)
        self.length += chunk.count
        self.bytes += len(chunk.text)
        self._notify_readers()

    def complete(self) -> None:
        """Mark the answer as complete."""
        self.is_complete = True
        self._notify_readers()

    def fail(self, outcome: NotRun | Unknown) -> None:
        """Mark the answer as failed, unless the buffer is closed already."""
        if not self.is_closed:
            self.failure = outcome
            self._notify_readers()

    async def batches(self, offset: int) -> AsyncIterator[Sequence[Chunk]]:
        """Yield the chunks from a token on, in batches of all that are available.

        Chunks are not split, so the first one may start before the token.
        """
        index = self._index_of_token(offset)
        loop = asyncio.get_running_loop()
        while True:
            if index < len(self.chunks):
                batch = self.chunks[index:]
                index = len(self.chunks)
                yield batch
            elif self.is_closed:
                return
            else:
                waiter = loop.create_future()
                self._waiters.append(waiter)
                await waiter

    def _index_of_token(self, offset: int) -> int:
        for index, chunk in enumerate(self.chunks):
            if chunk.offset + chunk.count > offset:
                return index
        return len(self.chunks)

    def _notify_readers(self) -> None:
        if not self.started.is_set():
            self.started.set()
        if self._waiters:
            waiters, self._waiters = self._waiters, []
            for waiter in waiters:
                # The future of a reader that disconnected is cancelled.
                if not waiter.done():
                    waiter.set_result(None)


class AnswerBufferStore:
    """The answer buffers of a process; evicts the oldest completed ones first."""

    def __init__(self, max_bytes: int = MAX_COMPLETED_ANSWERS_BYTES) -> None:
        self.max_bytes = max_bytes
        self.buffers: dict[RunId, AnswerBuffer] = {}
        self._completed: OrderedDict[RunId, int] = OrderedDict()
        self._completed_bytes = 0

    def open(self, run_id: RunId, target: TargetName) -> AnswerBuffer:
        """Open the buffer of a run, or reuse it if another target rejected the run."""
        buffer = self.buffers.setdefault(run_id, AnswerBuffer(run_id, target))
        buffer.target = target
        return buffer

    def get(self, run_id: RunId) -> AnswerBuffer:
        """Return the buffer of a run; a failed buffer if it was evicted."""
        buffer = self.buffers.get(run_id)
        if buffer is not None:
            return buffer
        buffer = AnswerBuffer(run_id, TargetName(""))
        detail = "the completed answer is no longer buffered"
        buffer.fail(Unknown(UnknownReason.RECORD_EXPIRED, detail))
        return buffer

    def mark_completed(self, run_id: RunId) -> None:
        """Count a closed buffer against the byte limit and evict the oldest ones."""
        buffer = self.buffers.get(run_id)
        if buffer is None or run_id in self._completed:
            return
        self._completed[run_id] = buffer.bytes
        self._completed_bytes += buffer.bytes
        while self._completed_bytes > self.max_bytes:
            oldest, size = self._completed.popitem(last=False)
            self._completed_bytes -= size
            del self.buffers[oldest]

    def discard(self, run_id: RunId) -> None:
        """Discard the buffer of a run that was not started."""
        self.buffers.pop(run_id, None)
