"""Forwards requests whose answers are streams of events, from model engines."""

import asyncio
import enum
from dataclasses import dataclass, field

from aiohttp import web

from burdockhaven_core.scheduling.peer_messages import RunEnd
from burdockhaven_core.scheduling.quotas import quota_cost
from burdockhaven_core.scheduling.target_registry import TargetEntry
from burdockhaven_entry.gateway.call import Call
from burdockhaven_entry.gateway.event_splitter import EventSplitter, StreamEvent
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.placer import (
    Placed,
    PlacementQuestion,
    Placer,
    Refused,
    with_excluded,
)
from burdockhaven_entry.gateway.replies import (
    BAD_GATEWAY,
    RETRY_SOON_S,
    TIMED_OUT,
    TOO_MANY,
    UNAVAILABLE,
    not_run,
    reply,
)
from burdockhaven_entry.gateway.target_client import (
    OpenAnswer,
    SendError,
    SendOutcome,
    TargetClient,
)
from burdockhaven_entry.platform import client_headers

# Seconds without a first event beyond the predicted time, and between events, after
# which a stream that may be resumed is moved to another target. Clients wait for two
# seconds at least.
FIRST_EVENT_PATIENCE_S = 0.4
PAUSE_PATIENCE_S = 1.0
# A first event may take so many times the predicted time.
PREDICTION_FACTOR = 3.0
# Placements of one request at most.
MAX_PLACEMENTS = 5
# Longest pause that is assumed where the route states none.
DEFAULT_PAUSE_OBJECTIVE_S = 1.0
# Pauses from which the speed of an engine is learned, at least.
LEAST_PAUSES = 3


class _RunResult(enum.Enum):
    """How one run of a stream went."""

    # The whole answer, or a final failure of the target, was passed on.
    DONE = 1
    # Nothing ran; another target may be tried.
    NOT_RUN = 2
    # The run broke off, or failed before its first event.
    BROKEN = 3


@dataclass(slots=True)
class _Stream:
    """The state of one answer over its runs."""

    question: PlacementQuestion
    last_event_id: str | None
    # Runs that may have begun.
    ran: int = 0
    # The answer to the client; None before its head was sent.
    response: web.StreamResponse | None = None
    # A target's own failure, passed on if no other run succeeds.
    failure: web.Response | None = None
    pauses_s: list[float] = field(default_factory=list)
    last_event_s: float = 0.0
    # Whether the request may be running at a target or may have run.
    sent: bool = False


@dataclass(slots=True)
class StreamForwarding:
    """Forwards to model engines."""

    state: GatewayState
    targets: TargetClient
    placer: Placer

    async def forward(self, call: Call) -> web.StreamResponse:
        """The answer for the client, at the deadline at the latest."""
        stream = _Stream(self._question(call), call.said.last_event_id)
        try:
            async with asyncio.timeout(call.deadline_s - self.state.clock()):
                return await self._run_all(call, stream)
        except TimeoutError:
            return self._timed_out(call, stream)

    def _question(self, call: Call) -> PlacementQuestion:
        said = call.said
        return PlacementQuestion(
            service=call.service,
            route=call.route.name,
            account="" if call.account is None else call.account.name,
            priority=call.priority,
            route_priority=call.route.priority,
            prompt_tokens=said.prompt_tokens or 0,
            output_tokens=said.max_output_tokens or 0,
            parts=said.parts,
            objective_s=call.objective_s,
            patience_s=call.arrived_s + call.route.client_timeout_s,
            deadline_s=call.deadline_s,
            pause_objective_s=call.route.pause_objective_s or DEFAULT_PAUSE_OBJECTIVE_S,
            digest=call.digest,
            expected_tokens=said.expected_output_tokens or 0,
        )

    async def _run_all(self, call: Call, stream: _Stream) -> web.StreamResponse:
        for _ in range(MAX_PLACEMENTS):
            asked_s = self.state.clock()
            placed = await self.placer.place(stream.question)
            call.trace.queued_s += self.state.clock() - asked_s
            if isinstance(placed, Refused):
                return self._refuse(call, stream, placed)
            target = self._target(call, placed)
            if target is None:
                self.placer.ended(placed.number, RunEnd.NOT_SENT)
                stream.question = with_excluded(stream.question, placed.target)
                continue
            result = await self._run(call, stream, target, placed)
            if result is _RunResult.DONE and stream.response is not None:
                return stream.response
            stream.sent = stream.ran > 0
            stream.question = with_excluded(stream.question, target.id)
            if result is _RunResult.BROKEN and not self._may_run_again(call, stream):
                break
            if not self._may_repeat(call):
                break
        return self._give_up(call, stream)

    def _target(self, call: Call, placed: Placed) -> TargetEntry | None:
        """The target of a grant; None if this process knows that it leaves."""
        registry = self.state.registry
        if not registry.is_usable(placed.target):
            return None
        known = registry.entries.get(placed.target)
        if known is not None or not placed.address:
            return known
        # Registered lately, and this process has not read that yet.
        return TargetEntry(
            placed.target, call.service, placed.address, "", slots=1, draining=False
        )

    async def _run(
        self, call: Call, stream: _Stream, target: TargetEntry, placed: Placed
    ) -> _RunResult:
        now = self.state.clock()
        self._charge(call, now)
        stream.sent = True
        call.trace.sends += 1
        call.trace.target = target.id
        stream.last_event_s = 0.0
        reuse = call.route.idempotent
        request = call.outgoing(target.id, now, stream.last_event_id, reuse)
        end = RunEnd.CANCELLED
        stream.pauses_s.clear()
        try:
            async with asyncio.timeout(None) as patience:
                self._be_patient(call, stream, patience, _first_patience_s(placed))
                async with self.targets.send(target, request) as answer:
                    end, result = await self._take(
                        call, stream, target, placed, answer, patience
                    )
                    return result
        except TimeoutError:
            if self.state.clock() >= call.deadline_s:
                raise
            stream.ran += 1
            end = RunEnd.FAILED
            call.trace.failures.append(f"{target.id}: silent")
            return _RunResult.BROKEN
        except SendError as error:
            call.trace.failures.append(str(error))
            end, result = _after_error(error)
            stream.ran += result is _RunResult.BROKEN
            return result
        finally:
            self.placer.ended(placed.number, end, _quartile(stream.pauses_s))

    async def _take(
        self,
        call: Call,
        stream: _Stream,
        target: TargetEntry,
        placed: Placed,
        answer: OpenAnswer,
        patience: asyncio.Timeout,
    ) -> tuple[RunEnd, _RunResult]:
        head = answer.head
        if head.not_run:
            call.trace.failures.append(f"{target.id}: rejected, {head.status}")
            await answer.read_body()
            if head.other_target:
                self.state.registry.mark_leaving(target.id)
                self.state.targets_changed()
                return RunEnd.LEAVING, _RunResult.NOT_RUN
            return RunEnd.REJECTED, _RunResult.NOT_RUN
        if not head.succeeded or not head.is_event_stream:
            call.trace.failures.append(f"{target.id}: failed, {head.status}")
            return await self._take_failure(stream, answer)
        if stream.response is None and head.signed and not head.coded:
            stream.response = web.StreamResponse(
                status=head.status, headers=client_headers(answer.headers)
            )
            await stream.response.prepare(call.request)
        if stream.response is None:
            stream.ran += 1
            return RunEnd.FAILED, _RunResult.BROKEN
        splitter = EventSplitter()
        async for data in answer.chunks():
            for event in splitter.feed(data):
                self.placer.begun(placed.number)
                await self._pass_on(call, stream, event)
                self._be_patient(call, stream, patience, PAUSE_PATIENCE_S)
        if splitter.rest.strip():
            call.trace.failures.append(f"{target.id}: ended within an event")
            stream.ran += 1
            return RunEnd.FAILED, _RunResult.BROKEN
        return RunEnd.COMPLETED, _RunResult.DONE

    async def _take_failure(
        self, stream: _Stream, answer: OpenAnswer
    ) -> tuple[RunEnd, _RunResult]:
        """A target's answer that is no stream of events."""
        body = await answer.read_body()
        stream.ran += 1
        head = answer.head
        if head.signed and not head.coded and stream.response is None:
            response = web.Response(
                status=head.status, body=body, headers=client_headers(answer.headers)
            )
            if head.status < 500:
                stream.response = response
                return RunEnd.COMPLETED, _RunResult.DONE
            stream.failure = response
        return RunEnd.FAILED, _RunResult.BROKEN

    async def _pass_on(self, call: Call, stream: _Stream, event: StreamEvent) -> None:
        assert stream.response is not None
        now = self.state.clock()
        if call.trace.first_event_s is None:
            call.trace.first_event_s = now - call.arrived_s
        call.trace.events += 1
        if stream.last_event_s:
            pause_s = now - stream.last_event_s
            stream.pauses_s.append(pause_s)
            call.trace.longest_pause_s = max(call.trace.longest_pause_s, pause_s)
        stream.last_event_s = now
        if event.id is not None:
            if _is_repeated(event.id, stream.last_event_id):
                return
            stream.last_event_id = event.id
        await stream.response.write(event.data)

    def _be_patient(
        self, call: Call, stream: _Stream, patience: asyncio.Timeout, wait_s: float
    ) -> None:
        """Allow a resumable stream so long until its next event."""
        if not call.route.resumable or stream.ran + 1 >= call.route.max_attempts:
            return
        patience.reschedule(asyncio.get_running_loop().time() + wait_s)

    def _charge(self, call: Call, now: float) -> None:
        account = call.account
        if account is not None:
            said = call.said
            cost = quota_cost(account, said.prompt_tokens, said.max_output_tokens)
            self.state.own_usage.charge(account.name, cost, now)

    def _may_run_again(self, call: Call, stream: _Stream) -> bool:
        return call.route.idempotent and stream.ran < call.route.max_attempts

    def _may_repeat(self, call: Call) -> bool:
        now = self.state.clock()
        members = self.state.member_list.serving_count(now)
        return self.state.retry_budget.try_acquire(call.service, members, now)

    def _refuse(
        self, call: Call, stream: _Stream, refused: Refused
    ) -> web.StreamResponse:
        if stream.response is not None or stream.ran:
            return self._give_up(call, stream)
        status = TOO_MANY if refused.over_quota else UNAVAILABLE
        detail = "over the quota" if refused.over_quota else "no engine in time"
        return not_run(status, detail, call.said.attempt_id, refused.retry_after_s)

    def _give_up(self, call: Call, stream: _Stream) -> web.StreamResponse:
        if stream.response is not None:
            return _break_off(call, stream.response)
        if stream.failure is not None:
            return stream.failure
        if stream.ran:
            return reply(BAD_GATEWAY, "the engine failed", call.said.attempt_id)
        return not_run(
            UNAVAILABLE, "no engine takes it", call.said.attempt_id, RETRY_SOON_S
        )

    def _timed_out(self, call: Call, stream: _Stream) -> web.StreamResponse:
        if stream.response is not None:
            return _break_off(call, stream.response)
        if stream.sent:
            return reply(TIMED_OUT, "no answer in time", call.said.attempt_id)
        return not_run(
            UNAVAILABLE, "no engine in time", call.said.attempt_id, RETRY_SOON_S
        )


def _first_patience_s(placed: Placed) -> float:
    return FIRST_EVENT_PATIENCE_S + PREDICTION_FACTOR * placed.predicted_s


def _after_error(error: SendError) -> tuple[RunEnd, _RunResult]:
    if error.outcome is SendOutcome.NOT_SENT:
        return RunEnd.UNREACHABLE, _RunResult.NOT_RUN
    return RunEnd.FAILED, _RunResult.BROKEN


def _is_repeated(event_id: str, last_event_id: str | None) -> bool:
    """Whether an event was passed on by the run before."""
    if last_event_id is None or not (event_id.isdigit() and last_event_id.isdigit()):
        return False
    return int(event_id) <= int(last_event_id)


def _quartile(pauses_s: list[float]) -> float:
    """The lower quartile: pauses in which no prompt of another was read."""
    if len(pauses_s) < LEAST_PAUSES:
        return 0.0
    return sorted(pauses_s)[len(pauses_s) // 4]


def _break_off(call: Call, response: web.StreamResponse) -> web.StreamResponse:
    """End the connection so that the answer does not look complete."""
    transport = call.request.transport
    if transport is not None:
        transport.close()
    return response
