"""Stand-ins for the platform's targets, with its published protocol.

There is an engine and a plain service. Both return the id of the request, sign their
responses, reject requests that are meant for another instance, and mark a rejection as
not executed. The test that owns them switches faults on.
"""

import asyncio
import contextlib
import enum
import itertools
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

from burdockhaven_standins.step_engine import StepEngine, StepEngineConfig, StepRun

ATTEMPT = "X-Burdockhaven-Attempt-Id"
SIGNATURE = "X-Burdockhaven-Response-Signature"
NOT_EXECUTED = "X-Burdockhaven-Not-Executed"
EXPECT_INSTANCE = "X-Burdockhaven-Expect-Instance"
TOKEN_COUNTS = "X-Burdockhaven-Token-Counts"
PROMPT_PREFIX = "X-Burdockhaven-Prompt-Prefix"
LAST_EVENT_ID = "Last-Event-Id"
TENANT = "X-Burdockhaven-Tenant"
DEADLINE = "X-Burdockhaven-Deadline-Ms"
LEAVING = "Server-Leaving"
RETRY_AFTER = "Retry-After"
# Maximum number of waiting requests per slot; further requests are rejected.
MAX_QUEUED_PER_SLOT = 1
HEALTH_PATH = "/healthz"


@dataclass(frozen=True, slots=True)
class CrashingParts:
    """Parts of prompts on which an engine crashes."""

    # Ids of the parts. The first token of an answer to a prompt with one of them ends
    # the engine.
    ids: frozenset[str]
    # Seconds until the engine serves again, with an empty state.
    down_s: float
    # Whether it returns under a new id; otherwise as a later start of the same target.
    has_new_id: bool = False
    # Whether the head of the response is sent before the first token.
    sends_head: bool = True

    def find(self, run: StepRun) -> str | None:
        """Return the first of these parts in a prompt; None if it has none."""
        return next((part for part, _ in run.parts if part in self.ids), None)


@dataclass(frozen=True, slots=True)
class EngineCrash:
    """A crash of an engine."""

    target: str
    # Id of the part of the prompt that caused it.
    part: str
    # Seconds of the monotonic clock.
    at_s: float


@dataclass(slots=True)
class TargetFaults:
    """Faults that are active."""

    draining: bool = False
    # Responses say that the target leaves; its entry in the store does not change.
    leaving: bool = False
    # Seconds that each refusal asks for; all requests are refused. None for no fault.
    pause_s: float | None = None
    # Requests are accepted and never answered.
    silent: bool = False
    # Event loop time in seconds until which nothing is sent; then the target continues.
    silent_until_s: float = 0.0
    # The same, until which all requests are rejected as if every slot were taken.
    full_until_s: float = 0.0
    # Number of events after which the next stream is aborted, in the middle of the
    # following event; None for no fault. At a service, 0 aborts the next response.
    abort_next_after_events: int | None = None
    # Parts of prompts on which an engine crashes; None for no fault.
    crashing_parts: CrashingParts | None = None

    def consume_abort(self, sent_events: int) -> bool:
        """Return whether to abort after this many events; resets the fault if so."""
        is_due = self.abort_next_after_events == sent_events
        if is_due:
            self.abort_next_after_events = None
        return is_due

    def is_full(self) -> bool:
        """Whether requests are rejected without being executed."""
        return asyncio.get_running_loop().time() < self.full_until_s

    async def wait_while_silent(self) -> None:
        """Wait until the target may send again."""
        if self.silent:
            await asyncio.Event().wait()
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, self.silent_until_s - loop.time()))


class RequestEnd(enum.Enum):
    """How a target's work on a request ended."""

    # Not executed.
    REJECTED = "rejected"
    COMPLETE = "complete"
    # The target aborted the connection.
    ABORTED = "aborted"
    # The sender closed the connection.
    DISCONNECTED = "disconnected"


@dataclass(slots=True)
class ReceivedRequest:
    """A request that reached a target."""

    attempt: str
    # Milliseconds that the sender allows; None if it names no deadline.
    deadline_ms: float | None
    # The client account that the sender names; empty if none.
    account: str
    # Ids of the parts of the prompt, in order.
    parts: tuple[str, ...]
    # Arrival and end of the work, in seconds of the monotonic clock.
    arrived_s: float
    ended_s: float | None = None
    # None while the target works on the request.
    end: RequestEnd | None = None
    # Pause in seconds that its rejection asked for; None if it asked for none.
    retry_after_s: float | None = None


@dataclass(slots=True)
class TargetRecord:
    """The identity of a target and the requests that it has received."""

    id: str
    service: str
    slots: int
    zone: str = "a"
    software_version: str = "v1"
    seq: int = 0
    # Milliseconds that identify the start of the target; a later start has more.
    started_ms: int = 1
    # Executions by request id.
    runs: Counter[str] = field(default_factory=Counter)
    faults: TargetFaults = field(default_factory=TargetFaults)
    # All requests in order of arrival, rejected ones included.
    received: list[ReceivedRequest] = field(default_factory=list)

    @property
    def arrivals(self) -> int:
        """Number of requests that have reached the target, executed or not."""
        return len(self.received)

    def store_entry(self, address: str) -> bytes:
        """Encode the entry that the target writes to the store."""
        self.seq += 1
        entry = {
            "service": self.service,
            "address": address,
            "zone": self.zone,
            "version": self.software_version,
            "slots": self.slots,
            "state": "draining" if self.faults.draining else "ready",
            "cold_left_ms": 0,
            "seq": self.seq,
            "born": self.started_ms,
        }
        return msgspec.json.encode(entry)

    def rejection(self, request: web.Request, waiting: int) -> web.Response | None:
        """Return the rejection of a request; None if the target executes it."""
        attempt = request.headers.get(ATTEMPT)
        if attempt is None:
            headers = {NOT_EXECUTED: "1"} | self._signals()
            return web.Response(status=400, headers=headers)
        expected_id = request.headers.get(EXPECT_INSTANCE, self.id)
        if expected_id != self.id:
            return self._reject(421, request)
        if (
            self.faults.pause_s is not None
            or self.faults.is_full()
            or waiting >= MAX_QUEUED_PER_SLOT * self.slots
        ):
            return self.overload_rejection(request)
        return None

    @contextlib.contextmanager
    def execution(self, request: web.Request) -> Iterator[ReceivedRequest]:
        """Record an execution for as long as the context lasts."""
        received = self._receive(request)
        self.runs[received.attempt] += 1
        try:
            yield received
        except (asyncio.CancelledError, ConnectionError):
            received.end = received.end or RequestEnd.DISCONNECTED
            raise
        finally:
            received.ended_s = received.ended_s or time.monotonic()
            received.end = received.end or RequestEnd.COMPLETE

    def abort_executions(self) -> None:
        """Record that the target ends in the middle of its work."""
        for received in self.received:
            if received.ended_s is None:
                received.ended_s = time.monotonic()
                received.end = RequestEnd.ABORTED

    def headers(self, attempt: str) -> dict[str, str]:
        """Return the headers of the response to an executed request."""
        headers = {ATTEMPT: attempt, SIGNATURE: f"{self.id}.{self.seq}"}
        return headers | self._signals()

    def health_response(self) -> web.Response:
        """Return the response to a health check."""
        status = 503 if self.faults.draining else 200
        headers = {"X-Burdockhaven-Instance-Id": self.id} | self._signals()
        return web.Response(status=status, headers=headers)

    def overload_rejection(self, request: web.Request) -> web.Response:
        """Return the rejection of a request that exceeds the capacity."""
        return self._reject(503, request)

    def _receive(self, request: web.Request) -> ReceivedRequest:
        headers = request.headers
        deadline_ms = headers.get(DEADLINE)
        received = ReceivedRequest(
            headers[ATTEMPT],
            None if deadline_ms is None else float(deadline_ms),
            headers.get(TENANT, ""),
            tuple(part for part, _ in _parse_parts(request)),
            time.monotonic(),
        )
        self.received.append(received)
        return received

    def _reject(self, status: int, request: web.Request) -> web.Response:
        received = self._receive(request)
        received.ended_s, received.end = received.arrived_s, RequestEnd.REJECTED
        headers = {ATTEMPT: received.attempt, NOT_EXECUTED: "1"} | self._signals()
        if status == 503 and self.faults.pause_s is not None:
            received.retry_after_s = self.faults.pause_s
            headers[RETRY_AFTER] = f"{self.faults.pause_s:g}"
        return web.Response(status=status, headers=headers)

    def _signals(self) -> dict[str, str]:
        if self.faults.draining or self.faults.leaving:
            return {"Connection": "close", LEAVING: "1"}
        return {}


def _ignore_crash(crash: EngineCrash) -> None:
    """Do nothing."""


async def _answer_done(request: web.Request) -> bytes:
    return b"done"


async def answer_sizes(request: web.Request) -> bytes:
    """Return the number of bytes in the body and the number of header fields."""
    size = len(await request.read())
    return f"{size} {len(request.raw_headers)}".encode()


class PlatformService:
    """Plain service: each call takes `call_s`; the slots limit the concurrency.

    `answer` returns the body of the response.
    """

    def __init__(
        self,
        record: TargetRecord,
        call_s: float,
        answer: Callable[[web.Request], Awaitable[bytes]] = _answer_done,
    ) -> None:
        self.record = record
        self.call_s = call_s
        self.answer = answer
        self.free_slots = asyncio.Semaphore(record.slots)
        self.waiting = 0

    def application(self) -> web.Application:
        """Create the HTTP application of the service."""
        # The size of bodies is not limited.
        app = web.Application(client_max_size=0)
        app.router.add_get(HEALTH_PATH, self._health)
        app.router.add_route("*", "/{path:.*}", self._call)
        return app

    async def _health(self, request: web.Request) -> web.Response:
        return self.record.health_response()

    async def _call(self, request: web.Request) -> web.Response:
        rejection = self.record.rejection(request, self.waiting)
        if rejection is not None:
            return rejection
        await self._wait_for_slot()
        try:
            with self.record.execution(request) as received:
                return await self._execute(request, received)
        finally:
            self.free_slots.release()

    async def _wait_for_slot(self) -> None:
        self.waiting += 1
        try:
            await self.free_slots.acquire()
        finally:
            self.waiting -= 1

    async def _execute(
        self, request: web.Request, received: ReceivedRequest
    ) -> web.Response:
        await asyncio.sleep(self.call_s)
        await self.record.faults.wait_while_silent()
        if self.record.faults.consume_abort(0):
            assert request.transport is not None
            request.transport.abort()
            received.end = RequestEnd.ABORTED
        headers = self.record.headers(received.attempt)
        return web.Response(body=await self.answer(request), headers=headers)


class PlatformEngine:
    """Model engine: streams events, with the timing of a `StepEngine`."""

    def __init__(self, record: TargetRecord, config: StepEngineConfig) -> None:
        self.record = record
        # Id of its first start.
        self.first_id = record.id
        self.config = config
        self.run_ids = itertools.count(1)
        self.work_available = asyncio.Event()
        # Called when the engine crashes; has to end its connections and its listener.
        self.on_crash: Callable[[EngineCrash], None] = _ignore_crash
        # Whether it has crashed and does not serve yet.
        self.is_down = False
        self._reset_state()

    def begin_new_start(self, target: str) -> None:
        """Prepare the return from a crash as this target, which may be another one."""
        record = self.record
        started_ms = record.started_ms + 1
        if target == record.id:
            record.started_ms = started_ms
        else:
            self.record = TargetRecord(
                target,
                record.service,
                record.slots,
                record.zone,
                record.software_version,
                started_ms=started_ms,
                faults=TargetFaults(crashing_parts=record.faults.crashing_parts),
            )

    def _reset_state(self) -> None:
        self.engine = StepEngine(self.config, self._on_event, self._on_first_token)
        self.streams: dict[int, asyncio.Queue[bool]] = {}

    def application(self) -> web.Application:
        """Create the HTTP application, which advances the engine while it runs."""
        app = web.Application()
        app.router.add_get(HEALTH_PATH, self._health)
        app.router.add_get("/-/report", self._report)
        app.router.add_route("*", "/{path:.*}", self._stream)
        app.cleanup_ctx.append(self._step_while_serving)
        return app

    async def _step_while_serving(self, app: web.Application):  # type: ignore[no-untyped-def]
        task = asyncio.create_task(self._step_loop())
        yield
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def _step_loop(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if not self.engine.is_busy:
                self.work_available.clear()
                await self.work_available.wait()
            now = loop.time()
            await asyncio.sleep(max(0.0, self.engine.advance(now) - now))

    def _on_event(self, run: StepRun, at_s: float, is_complete: bool) -> None:
        self.streams[run.run_id].put_nowait(is_complete)

    def _on_first_token(self, run: StepRun, at_s: float) -> None:
        crashing = self.record.faults.crashing_parts
        part = None if crashing is None else crashing.find(run)
        if part is None or self.is_down:
            return
        self.is_down = True
        self.record.abort_executions()
        self.on_crash(EngineCrash(self.record.id, part, time.monotonic()))
        self._reset_state()

    async def _health(self, request: web.Request) -> web.Response:
        return self.record.health_response()

    async def _report(self, request: web.Request) -> web.Response:
        engine = self.engine
        report = {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 0,
            "queued": len(engine.waiting),
            "active": len(engine.prefilling) + len(engine.decoding),
            "kv_used": engine.used_tokens - engine.cached_tokens,
            "kv_total": engine.config.memory_tokens,
            "handles": 0,
        }
        return web.json_response(report)

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        rejection = self.record.rejection(request, len(self.engine.waiting))
        if rejection is not None:
            return rejection
        await request.read()
        run = self._parse_run(request)
        if not self.engine.fits(run):
            return self.record.overload_rejection(request)
        with self.record.execution(request) as received:
            self.streams[run.run_id] = asyncio.Queue()
            self.engine.submit(run, asyncio.get_running_loop().time())
            self.work_available.set()
            try:
                return await self._send_events(request, received, run)
            finally:
                self.engine.cancel(run.run_id)
                # After a crash the run is no longer known.
                self.streams.pop(run.run_id, None)

    async def _send_events(
        self, request: web.Request, received: ReceivedRequest, run: StepRun
    ) -> web.StreamResponse:
        record, faults = self.record, self.record.faults
        response = web.StreamResponse(headers=record.headers(received.attempt))
        response.content_type = "text/event-stream"
        event_id = int(request.headers.get(LAST_EVENT_ID, "0"))
        sent_events = 0
        is_complete = False
        events = self.streams[run.run_id]
        crashing = faults.crashing_parts
        if crashing is not None and crashing.sends_head and crashing.find(run):
            await response.prepare(request)
        while not is_complete:
            is_complete = await events.get()
            await faults.wait_while_silent()
            if not response.prepared:
                await response.prepare(request)
            if faults.consume_abort(sent_events):
                await response.write(b"id: ")
                assert request.transport is not None
                request.transport.abort()
                received.end = RequestEnd.ABORTED
                return response
            event_id, sent_events = event_id + 1, sent_events + 1
            data = f"e{event_id} {record.software_version} {record.id} "
            event = f"id: {event_id}\ndata: {data}{received.attempt}\n\n"
            try:
                await response.write(event.encode())
            except ConnectionError:
                # The sender has left; nobody reads the rest.
                received.end = received.end or RequestEnd.DISCONNECTED
                return response
        return response

    def _parse_run(self, request: web.Request) -> StepRun:
        prompt, output = map(int, request.headers[TOKEN_COUNTS].split(","))
        received_events = int(request.headers.get(LAST_EVENT_ID, "0"))
        remaining_tokens = (
            output - received_events * self.engine.config.tokens_per_event
        )
        return StepRun(
            next(self.run_ids),
            prompt,
            max(1, remaining_tokens),
            _parse_parts(request),
        )


def _parse_parts(request: web.Request) -> tuple[tuple[str, int], ...]:
    """Return the id and the token count of each part of a prompt."""
    parts = request.headers.get(PROMPT_PREFIX, "").split(",")
    fields = (part.partition(":") for part in parts if part)
    return tuple((name, int(tokens)) for name, _, tokens in fields)
