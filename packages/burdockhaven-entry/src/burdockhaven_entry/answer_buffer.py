"""Answers on their way from a target to the callers, and for a while after that."""

import asyncio
from collections import OrderedDict
from collections.abc import AsyncIterator, Sequence

import msgspec

from burdockhaven_core.identity import RunId, TargetName
from burdockhaven_core.outcome import NotRun, Unknown, UnknownReason

# Bytes of finished answers that are kept for callers that come back.
MAX_COMPLETED_ANSWERS_BYTES = 16 * 1024 * 1024


class Chunk(msgspec.Struct, frozen=True, gc=False):
    """A piece of an answer."""

    # Index of the first token of the piece in the answer.
    offset: int
    # Tokens in the piece.
    count: int
    text: str


class AnswerBuffer:
    """One answer: the chunks so far, and whether it is whole.

    The relay of a run that another entry started may begin at a later token: the one
    that its only caller lacks.
    """

    def __init__(
        self, run_id: RunId, target: TargetName, start_offset: int = 0
    ) -> None:
        self.run_id = run_id
        self.target = target
        self.chunks: list[Chunk] = []
        # Tokens so far, those before the start included.
        self.length = start_offset
        self.bytes = 0
        self.is_complete = False
        # Why the answer will never be whole; None as long as it may be.
        self.failure: NotRun | Unknown | None = None
        # Set once the first chunk is there, or the end.
        self.started = asyncio.Event()
        # One for each reader that has read everything so far.
        self._waiters: list[asyncio.Future[None]] = []

    @property
    def is_closed(self) -> bool:
        """Whether no chunk will follow."""
        return self.is_complete or self.failure is not None

    def append(self, chunk: Chunk) -> None:
        """Append a chunk; it must start where the answer ends."""
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
        """Mark the answer as whole."""
        self.is_complete = True
        self._notify_readers()

    def fail(self, outcome: NotRun | Unknown) -> None:
        """Mark the answer as one that will never be whole."""
        if not self.is_closed:
            self.failure = outcome
            self._notify_readers()

    async def batches(self, offset: int) -> AsyncIterator[Sequence[Chunk]]:
        """The chunks from a token on, as many at a time as have arrived.

        A chunk can't be divided: the first one may start before the token.
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
                # A reader that went away has cancelled its own.
                if not waiter.done():
                    waiter.set_result(None)


class AnswerBufferStore:
    """The relays of a process; finished ones are dropped, oldest first."""

    def __init__(self, max_bytes: int = MAX_COMPLETED_ANSWERS_BYTES) -> None:
        self.max_bytes = max_bytes
        self.buffers: dict[RunId, AnswerBuffer] = {}
        self._completed: OrderedDict[RunId, int] = OrderedDict()
        self._completed_bytes = 0

    def open(self, run_id: RunId, target: TargetName) -> AnswerBuffer:
        """The relay of a run that starts, also if another target refused it before."""
        buffer = self.buffers.setdefault(run_id, AnswerBuffer(run_id, target))
        buffer.target = target
        return buffer

    def get(self, run_id: RunId) -> AnswerBuffer:
        """The relay of a run; a lost one if the answer is no longer kept."""
        buffer = self.buffers.get(run_id)
        if buffer is not None:
            return buffer
        buffer = AnswerBuffer(run_id, TargetName(""))
        detail = "the answer was whole, but it is no longer kept"
        buffer.fail(Unknown(UnknownReason.RECORD_EXPIRED, detail))
        return buffer

    def mark_completed(self, run_id: RunId) -> None:
        """Count a finished relay against the bytes that are kept."""
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
        """Forget the relay of a run that was not started."""
        self.buffers.pop(run_id, None)
