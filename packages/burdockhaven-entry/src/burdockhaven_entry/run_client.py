"""Client of the targets: starts runs, streams their answers, resumes and cancels them.

Each run uses a new connection. A pooled connection may have gone silent while it was
idle, and it would be unknown whether a run sent on it had started.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

import httpx
import msgspec

from burdockhaven_core.configuration import TargetSpec
from burdockhaven_core.events import (
    Event,
    LoadReported,
    RunCompleted,
    RunLost,
    RunProgressed,
    RunRejected,
)
from burdockhaven_core.identity import RunId
from burdockhaven_entry.answer_buffer import AnswerBuffer, Chunk
from burdockhaven_entry.event_stream import (
    NotConnectedError,
    StreamBrokenError,
    StreamRequest,
    StreamTimeouts,
    read_stream,
)
from burdockhaven_entry.target_wire import (
    CompletionRequest,
    CompletionUsage,
    ServiceCall,
    chunk_decoder,
    load_decoder,
    rejection_decoder,
    result_decoder,
)

# Timeout for connecting to a target, in seconds.
CONNECT_TIMEOUT_S = 2.0
# Timeout for a target to report its load, in seconds.
LOAD_TIMEOUT_S = 2.0
# Seconds without a byte after which a connection counts as broken.
READ_TIMEOUT_S = 5.0
# Consecutive resumes without a new token after which a run is reported as lost.
MAX_IDLE_RESUMES = 3
# Seconds between resumes of one run.
RESUME_INTERVAL_S = 0.2
# Timeout for a plain service to answer a call, in seconds.
SERVICE_TIMEOUT_S = 30.0
# Tokens of a run between reports of its progress to the core.
PROGRESS_TOKENS = 16

STREAM_TIMEOUTS = StreamTimeouts(connect_s=CONNECT_TIMEOUT_S, read_s=READ_TIMEOUT_S)
# Data of the event that ends the stream of a run.
DONE = "[DONE]"

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503

# Passes an event to the core.
Report = Callable[[Event], None]


@dataclass(frozen=True, slots=True)
class RunRequest:
    """A run to start at a target."""

    run_id: RunId
    target: TargetSpec
    request_class: str
    model: str
    prompt: str
    max_output_tokens: int
    # Monotonic time by which the complete answer is due.
    deadline_s: float


class _RunRejectedError(Exception):
    """The target has certainly not started the run."""

    def __init__(self, detail: str, leaving: bool = False) -> None:
        super().__init__(detail)
        self.leaving = leaving


class _InvalidAnswerError(Exception):
    """The target's response does not continue or complete the answer."""


class RunClient:
    """Client of engines and plain services; one per daemon."""

    def __init__(
        self, report: Report, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.report = report
        # Returns monotonic seconds.
        self.clock = clock
        self.client = httpx.AsyncClient(
            timeout=httpx.Timeout(READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S, pool=None),
            limits=httpx.Limits(max_connections=None, max_keepalive_connections=0),
            trust_env=False,
        )
        # Reuses its connections: a poll of the load may be lost or repeated.
        self.load_client = httpx.AsyncClient(
            timeout=LOAD_TIMEOUT_S, limits=httpx.Limits(), trust_env=False
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.client.aclose()
        await self.load_client.aclose()

    async def run_model(self, request: RunRequest, buffer: AnswerBuffer) -> None:
        """Run a request on an engine and report its result."""
        try:
            usage = await self._start_run(request, buffer)
            if usage is None:
                usage = await self._resume(
                    request.run_id, request.target, buffer, request.deadline_s
                )
        except _RunRejectedError as error:
            self._report_rejected(request, str(error), error.leaving)
        except _InvalidAnswerError as error:
            detail = f"target {request.target.name}: {error or type(error).__name__}"
            self.report(RunLost(request.run_id, detail))
        else:
            self._report_finished(request.run_id, buffer, usage)

    async def run_service(self, request: RunRequest, buffer: AnswerBuffer) -> None:
        """Send a call to a plain service once and report its result."""
        call = ServiceCall(request.run_id, request.prompt, request.request_class)
        try:
            response = await self.client.post(
                f"{request.target.address}/v1/calls",
                content=msgspec.json.encode(call),
                timeout=httpx.Timeout(SERVICE_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            )
            _check_accepted(response.status_code, response.content)
            result = result_decoder.decode(response.content)
            if result.request_id != request.run_id:
                raise _InvalidAnswerError("the response is for another request")
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            self._report_rejected(request, f"no connection: {error}", leaving=False)
        except _RunRejectedError as error:
            self._report_rejected(request, str(error), error.leaving)
        except (httpx.HTTPError, msgspec.DecodeError, _InvalidAnswerError) as error:
            detail = f"target {request.target.name}: {error or type(error).__name__}"
            self.report(RunLost(request.run_id, detail))
        else:
            self.report(RunProgressed(request.run_id, 1))
            buffer.append(Chunk(0, 1, result.result))
            self._report_finished(
                request.run_id, buffer, CompletionUsage(completion_tokens=1)
            )

    async def recover(
        self, run_id: RunId, targets: tuple[TargetSpec, ...], buffer: AnswerBuffer
    ) -> bool:
        """Read a run that another entry started.

        Returns False if no target holds the run or its answer could not be completed.
        """
        for target in targets:
            try:
                usage = await self._read_rest(run_id, target, buffer)
                if usage is None and not buffer.chunks:
                    continue
                buffer.target = target.name
                if usage is None:
                    await self._resume(run_id, target, buffer)
            except (NotConnectedError, _InvalidAnswerError):
                if not buffer.chunks:
                    continue
                return False
            buffer.complete()
            return True
        return False

    async def cancel(self, run_id: RunId, target: TargetSpec) -> None:
        """Cancel a run at an engine; a failure is ignored."""
        try:
            await self.client.delete(f"{target.address}/v1/completions/{run_id}")
        except httpx.HTTPError:
            return

    async def poll_load(self, target: TargetSpec) -> None:
        """Request a target's load and report it; a failure is ignored."""
        try:
            response = await self.load_client.get(f"{target.address}/load")
            response.raise_for_status()
            load = load_decoder.decode(response.content)
        except (httpx.HTTPError, msgspec.DecodeError):
            return
        self.report(LoadReported(target.name, load.running, load.waiting, load.leaving))

    async def _start_run(
        self, request: RunRequest, buffer: AnswerBuffer
    ) -> CompletionUsage | None:
        """Start a run and read its answer; None if the connection broke."""
        completion = CompletionRequest(
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_output_tokens,
            request_id=request.run_id,
        )
        url = f"{request.target.address}/v1/completions"
        stream_request = StreamRequest("POST", url, msgspec.json.encode(completion))
        reader = _RunReader(request.run_id, buffer, self.report)
        try:
            end = await read_stream(stream_request, STREAM_TIMEOUTS, reader.on_event)
        except NotConnectedError as error:
            raise _RunRejectedError(f"no connection: {error}") from error
        except StreamBrokenError:
            return None
        _check_accepted(end.status, end.body)
        return reader.usage

    async def _resume(
        self,
        run_id: RunId,
        target: TargetSpec,
        buffer: AnswerBuffer,
        prefill_deadline_s: float = 0.0,
    ) -> CompletionUsage:
        """Read the rest of a run on new connections while it makes progress.

        A run without a token may still be in prefill: as long as its target can be
        reached, resumes until the prefill deadline don't count as idle.
        """
        idle_resumes = 0
        while idle_resumes < MAX_IDLE_RESUMES:
            length = buffer.length
            awaits_prefill = not buffer.chunks and self.clock() < prefill_deadline_s
            try:
                usage = await self._read_rest(run_id, target, buffer)
            except NotConnectedError:
                usage, awaits_prefill = None, False
            if usage is not None:
                return usage
            idle_resumes = (
                0 if awaits_prefill or buffer.length > length else idle_resumes + 1
            )
            await asyncio.sleep(RESUME_INTERVAL_S)
        raise _InvalidAnswerError(f"no progress after token {buffer.length}")

    async def _read_rest(
        self, run_id: RunId, target: TargetSpec, buffer: AnswerBuffer
    ) -> CompletionUsage | None:
        """Read a run from the end of the buffer; None if the connection broke."""
        url = f"{target.address}/v1/completions/{run_id}?offset={buffer.length}"
        reader = _RunReader(run_id, buffer, self.report)
        try:
            end = await read_stream(
                StreamRequest("GET", url), STREAM_TIMEOUTS, reader.on_event
            )
        except StreamBrokenError:
            return None
        if end.status == HTTP_NOT_FOUND:
            raise _InvalidAnswerError("the target no longer holds the run")
        if end.status != HTTP_OK:
            raise _InvalidAnswerError(f"status {end.status} on a resume")
        return reader.usage

    def _report_finished(
        self, run_id: RunId, buffer: AnswerBuffer, usage: CompletionUsage
    ) -> None:
        buffer.complete()
        self.report(RunCompleted(run_id, buffer.length, usage.cached_tokens))

    def _report_rejected(self, request: RunRequest, detail: str, leaving: bool) -> None:
        self.report(RunRejected(request.run_id, request.target.name, detail, leaving))


def _check_accepted(status: int, body: bytes) -> None:
    if status == HTTP_OK:
        return
    if status == HTTP_UNAVAILABLE:
        try:
            rejection = rejection_decoder.decode(body)
        except msgspec.DecodeError as error:
            raise _InvalidAnswerError(
                f"status {status}, undecodable body: {error}"
            ) from error
        if rejection.error == "not_accepted":
            raise _RunRejectedError(rejection.error, rejection.leaving)
    raise _InvalidAnswerError(f"status {status}")


class _RunReader:
    """Validates the events of a run and appends their tokens to its buffer."""

    def __init__(self, run_id: RunId, buffer: AnswerBuffer, report: Report) -> None:
        self.run_id = run_id
        self.buffer = buffer
        self.report = report
        # Token usage of the run; None until its last event.
        self.usage: CompletionUsage | None = None
        # Tokens since the last progress report.
        self.unreported_tokens = 0

    def on_event(self, data: str) -> bool:
        """Process one event; True if it is the last one."""
        if not data:
            return False
        if data == DONE:
            return True
        try:
            chunk = chunk_decoder.decode(data)
        except msgspec.DecodeError as error:
            raise _InvalidAnswerError(f"undecodable chunk: {error}") from error
        if chunk.id != self.run_id:
            raise _InvalidAnswerError(f"received a chunk of run {chunk.id}")
        for choice in chunk.choices:
            if choice.token_count:
                self._append(Chunk(chunk.offset, choice.token_count, choice.text))
            if choice.finish_reason is not None:
                self.usage = _check_complete(chunk.usage, self.buffer)
                return True
        return False

    def _append(self, chunk: Chunk) -> None:
        first = not self.buffer.chunks
        try:
            self.buffer.append(chunk)
        except ValueError as error:
            raise _InvalidAnswerError(str(error)) from error
        self.unreported_tokens += chunk.count
        if first or self.unreported_tokens >= PROGRESS_TOKENS:
            self.report(RunProgressed(self.run_id, self.unreported_tokens))
            self.unreported_tokens = 0


def _check_complete(
    usage: CompletionUsage | None, buffer: AnswerBuffer
) -> CompletionUsage:
    if usage is None or usage.completion_tokens != buffer.length:
        raise _InvalidAnswerError(f"incomplete answer: ended at token {buffer.length}")
    return usage
