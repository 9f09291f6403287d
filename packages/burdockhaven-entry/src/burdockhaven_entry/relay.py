"""Answers on their way from a target to the callers, and for a while after that."""

import asyncio
from collections import OrderedDict
from collections.abc import AsyncIterator, Sequence

import msgspec

from burdockhaven_core.identity import RunId, TargetName
from burdockhaven_core.outcome import NotRun, Unknown, UnknownReason

# Bytes of finished answers that are kept for callers that come back.
KEPT_ANSWER_BYTES = 16 * 1024 * 1024


class Chunk(msgspec.Struct, frozen=True, gc=False):
    """A piece of an answer."""

    # Index of the first token of the piece in the answer.
    offset: int
    # Tokens in the piece.
    count: int
    text: str


class Relay:
    """One answer: the chunks so far, and whether it is whole.

    The relay of a run that another entry started may begin at a later token: the one
    that its only caller lacks.
    """

    def __init__(self, run_id: RunId, target: TargetName, start: int = 0) -> None:
        self.run_id = run_id
        self.target = target
        self.chunks: list[Chunk] = []
        # Tokens so far, those before the start included.
        self.length = start
        self.bytes = 0
        self.whole = False
        # Why the answer will never be whole; None as long as it may be.
        self.lost: NotRun | Unknown | None = None
        # Set once the first chunk is there, or the end.
        self.started = asyncio.Event()
        # One for each reader that has read everything so far.
        self._waiting: list[asyncio.Future[None]] = []

    @property
    def ended(self) -> bool:
        """Whether no chunk will follow."""
        return self.whole or self.lost is not None

    def add(self, chunk: Chunk) -> None:
        """Append a chunk; it must start where the answer ends."""
        if chunk.offset != self.length:
            raise ValueError(
                f"chunk at token {chunk.offset} of run {self.run_id}, "
                f"expected token {self.length}"
            )
        self.chunks.append(chunk)
        self.length += chunk.count
        self.bytes += len(chunk.text)
        self._wake()

    def finish(self) -> None:
        """Mark the answer as whole."""
        self.whole = True
        self._wake()

    def fail(self, outcome: NotRun | Unknown) -> None:
        """Mark the answer as one that will never be whole."""
        if not self.ended:
            self.lost = outcome
            self._wake()

    async def batches(self, offset: int) -> AsyncIterator[Sequence[Chunk]]:
        """The chunks from a token on, as many at a time as have arrived.

        A chunk can't be divided: the first one may start before the token.
        """
        position = self._position(offset)
        loop = asyncio.get_running_loop()
        while True:
            if position < len(self.chunks):
                batch = self.chunks[position:]
                position = len(self.chunks)
                yield batch
            elif self.ended:
                return
            else:
                waiter = loop.create_future()
                self._waiting.append(waiter)
                await waiter

    def _position(self, offset: int) -> int:
        for position, chunk in enumerate(self.chunks):
            if chunk.offset + chunk.count > offset:
                return position
        return len(self.chunks)

    def _wake(self) -> None:
        if not self.started.is_set():
            self.started.set()
        if self._waiting:
            waiting, self._waiting = self._waiting, []
            for waiter in waiting:
                # A reader that went away has cancelled its own.
                if not waiter.done():
                    waiter.set_result(None)


class RelayStore:
    """The relays of a process; finished ones are dropped, oldest first."""

    def __init__(self, kept_bytes: int = KEPT_ANSWER_BYTES) -> None:
        self.kept_bytes = kept_bytes
        self.relays: dict[RunId, Relay] = {}
        self._finished: OrderedDict[RunId, int] = OrderedDict()
        self._finished_bytes = 0

    def open(self, run_id: RunId, target: TargetName) -> Relay:
        """The relay of a run that starts, also if another target refused it before."""
        relay = self.relays.setdefault(run_id, Relay(run_id, target))
        relay.target = target
        return relay

    def find(self, run_id: RunId) -> Relay:
        """The relay of a run; a lost one if the answer is no longer kept."""
        relay = self.relays.get(run_id)
        if relay is not None:
            return relay
        relay = Relay(run_id, TargetName(""))
        detail = "the answer was whole, but it is no longer kept"
        relay.fail(Unknown(UnknownReason.RECORD_EXPIRED, detail))
        return relay

    def close(self, run_id: RunId) -> None:
        """Count a finished relay against the bytes that are kept."""
        relay = self.relays.get(run_id)
        if relay is None or run_id in self._finished:
            return
        self._finished[run_id] = relay.bytes
        self._finished_bytes += relay.bytes
        while self._finished_bytes > self.kept_bytes:
            oldest, size = self._finished.popitem(last=False)
            self._finished_bytes -= size
            del self.relays[oldest]

    def drop(self, run_id: RunId) -> None:
        """Forget the relay of a run that was not started."""
        self.relays.pop(run_id, None)
