"""HTTP server around `EngineModel`: a model engine in real time, as a process."""

import asyncio
import math
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import msgspec
from litestar import Litestar, Response, delete, get, post
from litestar.response import Stream

from burdockhaven_standins.engine_messages import (
    Choice,
    Completion,
    EngineControl,
    EngineCounts,
    EngineLoadReport,
    Order,
    StreamChunk,
    Usage,
)
from burdockhaven_standins.engine_model import (
    DuplicateRunError,
    EngineConfig,
    EngineFinished,
    EngineModel,
    EngineRun,
)
from burdockhaven_standins.faults import CutPoint, Faults
from burdockhaven_standins.prefix_cache import prompt_blocks
from burdockhaven_standins.server import (
    AnyRequest,
    ConnectionCutError,
    cut_response,
    hang,
    json_response,
    read_body,
)

EVENT_STREAM_TYPE = "text/event-stream"
# Number of leading characters of the run id that the text of each token repeats.
RUN_ID_PREFIX_LENGTH = 6


@dataclass(slots=True)
class OpenStream:
    """A connection that streams one run."""

    run_id: str
    # Index of the next token to send; -1 after the end of the run has been sent.
    sent_tokens: int
    # Set when there may be more data to send.
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    cut: bool = False
    silent: bool = False


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Behaviour of the process in addition to that of the model."""

    # Whether orders with an outdated fencing token are rejected.
    checks_fencing: bool = False
    # Whether the text of the first token is replaced by two monotonic times in
    # seconds: when the run arrived and when the token was sent. For benches whose
    # processes share one machine, and thus one clock.
    stamps: bool = False


@dataclass(slots=True)
class Engine:
    """State of one engine process."""

    model: EngineModel
    options: EngineOptions
    faults: Faults = field(default_factory=Faults)
    # Open streams by run id.
    streams: dict[str, list[OpenStream]] = field(default_factory=dict)
    # Results of finished runs, by run id.
    finished: dict[str, EngineFinished] = field(default_factory=dict)
    orders: list[Order] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    # Monotonic arrival time of each run in seconds.
    arrival_s: dict[str, float] = field(default_factory=dict)
    # Set when the time of the next engine event may have changed.
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def start(self, completion: Completion) -> None:
        """Submit a run.

        Raises:
            DuplicateRunError: The run id is in use.
        """
        words = completion.prompt.split()
        run = EngineRun(
            run_id=completion.request_id,
            prompt_tokens=len(words),
            output_tokens=completion.max_tokens,
            blocks=prompt_blocks(words, self.model.config.block_tokens),
        )
        self.arrival_s[run.run_id] = time.monotonic()
        self.advance()
        self.model.submit(run, time.monotonic())
        self.changed.set()

    def advance(self) -> None:
        """Advance the model to the current time and wake streams with new output."""
        for output in self.model.advance(time.monotonic()):
            if isinstance(output, EngineFinished):
                self.finished[output.run_id] = output
            for stream in self.streams.get(output.run_id, ()):
                stream.changed.set()

    async def run(self) -> None:
        """Advance the model at each of its events; never returns."""
        while True:
            self.advance()
            self.changed.clear()
            wait_s = self.model.next_event_s() - time.monotonic()
            timeout_s = None if wait_s == math.inf else max(0.0, wait_s)
            try:
                await asyncio.wait_for(self.changed.wait(), timeout_s)
            except TimeoutError:
                continue

    def cancel(self, run_id: str) -> bool:
        """Cancel the run and cut its streams; False if the run is unknown."""
        self.advance()
        if not self.model.cancel(run_id, time.monotonic()):
            return False
        self.cancelled.append(run_id)
        self.finished.pop(run_id, None)
        for stream in self.streams.get(run_id, ()):
            stream.changed.set()
        self.changed.set()
        return True

    def accept_order(self, order: Order) -> bool:
        """Record the order as executed; False if its fencing token is outdated."""
        highest_fencing = max((each.fencing for each in self.orders), default=0)
        if self.options.checks_fencing and order.fencing < highest_fencing:
            return False
        self.orders.append(order)
        return True

    async def stream(self, run_id: str, offset: int) -> AsyncIterator[bytes]:
        """Yield the events of the run, starting at a token offset.

        Raises:
            ConnectionCutError: The stream was cut or the run was cancelled.
        """
        stream = OpenStream(run_id, offset)
        self.streams.setdefault(run_id, []).append(stream)
        try:
            while (events := self._next_events(stream)) is not None:
                if events:
                    yield events
                if stream.silent:
                    await hang()
                if stream.sent_tokens < 0:
                    return
                await stream.changed.wait()
                stream.changed.clear()
        finally:
            self._close(stream)
        raise ConnectionCutError

    def _next_events(self, stream: OpenStream) -> bytes | None:
        """Return the data to send now; None if the connection is to be cut."""
        state = self.model.states.get(stream.run_id)
        if stream.cut or state is None:
            return None
        if stream.silent:
            return b""
        events = b""
        if state.emitted > stream.sent_tokens:
            count = state.emitted - stream.sent_tokens
            events = self._encode_chunk(stream.run_id, stream.sent_tokens, count)
            stream.sent_tokens = state.emitted
        if state.finished_s is not None:
            events += _encode_end(self.finished[stream.run_id])
            stream.sent_tokens = -1
        return events

    def _encode_chunk(self, run_id: str, offset: int, count: int) -> bytes:
        indices = range(offset, offset + count)
        text = "".join(token_text(run_id, index) for index in indices)
        if self.options.stamps and offset == 0:
            text = f"{self.arrival_s[run_id]} {time.monotonic()} "
        choice = Choice(text, count)
        return _encode_event(StreamChunk(run_id, offset, (choice,)))

    def _close(self, stream: OpenStream) -> None:
        readers = self.streams[stream.run_id]
        readers.remove(stream)
        if not readers:
            del self.streams[stream.run_id]

    def apply(self, control: EngineControl) -> None:
        """Apply the faults and the speed that a control request sets."""
        self.faults.apply(control)
        self.advance()
        if control.slowness is not None:
            self.model.set_slowness(control.slowness or math.inf, time.monotonic())
        if control.stall_run is not None:
            self.model.stall(control.stall_run)
        if control.continue_run is not None:
            self.model.stall(control.continue_run, False)
        if control.forget_runs:
            self._cancel_all_runs()
        for stream in [each for readers in self.streams.values() for each in readers]:
            stream.cut |= control.cut_streams
            stream.silent |= control.silence_streams
            stream.changed.set()
        self.changed.set()

    def _cancel_all_runs(self) -> None:
        for run_id in list(self.model.states):
            self.model.cancel(run_id, time.monotonic())

    def counts(self) -> EngineCounts:
        """Return the counts since the start."""
        return EngineCounts(
            submissions=dict(self.model.submissions),
            cancelled=self.cancelled,
            orders=self.orders,
            prefill_done_tokens=self.model.prefill_done_tokens,
            prefill_wasted_tokens=self.model.prefill_wasted_tokens,
            generated_tokens=self.model.generated_tokens,
        )


def make_app(config: EngineConfig, options: EngineOptions) -> Litestar:
    """Create the application of one engine."""
    engine = Engine(EngineModel.from_config(config), options)
    faults = engine.faults

    @post("/v1/completions", status_code=200)
    async def complete(request: AnyRequest) -> Response[bytes] | Stream:
        completion = await read_body(request, Completion)
        rejection = await faults.rejection_before_start()
        if rejection is not None:
            return rejection
        try:
            engine.start(completion)
        except DuplicateRunError:
            return json_response(None, 409)
        if faults.consume_cut(CutPoint.AFTER):
            return cut_response()
        return _event_stream(engine, completion.request_id, 0)

    @get("/v1/completions/{run_id:str}")
    async def resume(run_id: str, offset: int = 0) -> Response[bytes] | Stream:
        engine.advance()
        if run_id not in engine.model.states:
            return json_response(None, 404)
        return _event_stream(engine, run_id, offset)

    @delete("/v1/completions/{run_id:str}", status_code=200)
    async def cancel(run_id: str) -> Response[bytes]:
        return json_response(None, 200 if engine.cancel(run_id) else 404)

    @get("/load")
    async def load() -> Response[bytes]:
        now = engine.model.load(time.monotonic())
        return json_response(EngineLoadReport(now.running, now.waiting, faults.leaving))

    @post("/orders", status_code=200)
    async def orders(request: AnyRequest) -> Response[bytes]:
        order = await read_body(request, Order)
        return json_response(None, 200 if engine.accept_order(order) else 409)

    @post("/control", status_code=200)
    async def control(request: AnyRequest) -> Response[bytes]:
        engine.apply(await read_body(request, EngineControl))
        return json_response(None)

    @get("/counts")
    async def counts() -> Response[bytes]:
        return json_response(engine.counts())

    tasks: list[asyncio.Task[None]] = []

    async def start_engine() -> None:
        tasks.append(asyncio.create_task(engine.run()))

    return Litestar(
        [complete, resume, cancel, load, orders, control, counts],
        on_startup=[start_engine],
    )


def _event_stream(engine: Engine, run_id: str, offset: int) -> Stream:
    return Stream(engine.stream(run_id, offset), media_type=EVENT_STREAM_TYPE)


def token_text(run_id: str, index: int) -> str:
    """Return the text of one token, which identifies its run and its index."""
    return f"{run_id[:RUN_ID_PREFIX_LENGTH]}-{index} "


def _encode_end(finished: EngineFinished) -> bytes:
    usage = Usage(
        finished.prompt_tokens, finished.output_tokens, finished.cached_tokens
    )
    choice = Choice("", 0, "stop")
    end = StreamChunk(finished.run_id, finished.output_tokens, (choice,), usage)
    return _encode_event(end) + b"data: [DONE]\n\n"


def _encode_event(chunk: StreamChunk) -> bytes:
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"
