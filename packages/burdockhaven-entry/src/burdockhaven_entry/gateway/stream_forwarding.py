"""Forwards streaming requests to model engines and resumes broken streams.

A broker places each run. If a stream breaks and the route is resumable, the request is
placed on another engine with the id of the last event sent to the client, and events
that the client already has are dropped.
"""

import asyncio
import enum
from dataclasses import dataclass, field

from aiohttp import web

from burdockhaven_core.scheduling.peer_messages import RunEnd
from burdockhaven_core.scheduling.quotas import quota_cost
from burdockhaven_core.scheduling.target_registry import TargetEntry
from burdockhaven_entry.gateway.event_splitter import EventSplitter, StreamEvent
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.placement_client import (
    Placement,
    PlacementClient,
    PlacementRefused,
    PlacementRequirements,
    retry_excluding,
)
from burdockhaven_entry.gateway.responses import (
    BAD_GATEWAY,
    DEFAULT_RETRY_AFTER_S,
    GATEWAY_TIMEOUT,
    TOO_MANY_REQUESTS,
    UNAVAILABLE,
    error_response,
    not_run_response,
)
from burdockhaven_entry.gateway.routed_request import RoutedRequest
from burdockhaven_entry.gateway.target_client import (
    SEND_STEP,
    SendError,
    SendOutcome,
    TargetClient,
    TargetResponse,
)
from burdockhaven_entry.platform import client_headers

# A resumable stream is moved to another target if its first event takes longer than
# `FIRST_EVENT_TIMEOUT_FACTOR` times the predicted time plus this margin in seconds.
FIRST_EVENT_TIMEOUT_MARGIN_S = 0.4
# It is also moved if the next event does not arrive within this many seconds. Clients
# wait for at least two seconds.
EVENT_PAUSE_TIMEOUT_S = 1.0
FIRST_EVENT_TIMEOUT_FACTOR = 3.0
# Maximum number of placements of one request.
MAX_PLACEMENTS = 5
# Objective for the pause between events if the route states none.
DEFAULT_PAUSE_OBJECTIVE_S = 1.0
# Minimum number of pauses from which the speed of an engine is estimated.
MIN_PAUSE_SAMPLES = 3


class _RunResult(enum.Enum):
    """Result of one run of a stream."""

    # The run gave the complete response, or a final error response of the target.
    DONE = 1
    # The target did not run the request; another target may be tried.
    NOT_RUN = 2
    # The run may have started and did not complete.
    BROKEN = 3


@dataclass(slots=True)
class _StreamState:
    """State of one streamed response across its runs."""

    requirements: PlacementRequirements
    last_event_id: str | None
    # Number of attempts that a target may have run.
    possible_runs: int = 0
    # The response to the client; None until its head is sent.
    response: web.StreamResponse | None = None
    # The last error response of a target; forwarded if no other run succeeds.
    last_failure: web.Response | None = None
    pauses_s: list[float] = field(default_factory=list)
    last_event_s: float = 0.0
    # Whether a target may be running the request or may have run it.
    may_have_run: bool = False
    # Whether the next run is charged to the retry budget already.
    is_retry_acquired: bool = False
    # Abandons the run if its next event is late; None if it is not to be abandoned.
    event_timer: asyncio.TimerHandle | None = None

    def cancel_event_timer(self) -> None:
        """Let the run continue however long its next event takes."""
        if self.event_timer is not None:
            self.event_timer.cancel()
            self.event_timer = None


@dataclass(slots=True)
class StreamForwarder:
    """Forwards streaming requests to model engines."""

    state: GatewayState
    target_client: TargetClient
    placement_client: PlacementClient

    async def forward(self, routed: RoutedRequest) -> web.StreamResponse:
        """Return the response for the client, no later than at the deadline."""
        stream = _StreamState(
            self._placement_requirements(routed), routed.client_request.last_event_id
        )
        try:
            async with asyncio.timeout(routed.deadline_s - self.state.clock()):
                return await self._forward_with_retries(routed, stream)
        except TimeoutError:
            return self._timeout_response(routed, stream)

    def _placement_requirements(self, routed: RoutedRequest) -> PlacementRequirements:
        client_request = routed.client_request
        return PlacementRequirements(
            service=routed.service,
            route=routed.route.name,
            account="" if routed.account is None else routed.account.name,
            priority=routed.priority,
            route_priority=routed.route.priority,
            prompt_tokens=client_request.prompt_tokens or 0,
            output_tokens=client_request.max_output_tokens or 0,
            parts=client_request.parts,
            objective_s=routed.objective_s,
            client_timeout_s=routed.arrived_s + routed.route.client_timeout_s,
            deadline_s=routed.deadline_s,
            pause_objective_s=routed.route.pause_objective_s
            or DEFAULT_PAUSE_OBJECTIVE_S,
            digest=routed.digest,
            expected_tokens=client_request.expected_output_tokens or 0,
        )

    async def _forward_with_retries(
        self, routed: RoutedRequest, stream: _StreamState
    ) -> web.StreamResponse:
        for _ in range(MAX_PLACEMENTS):
            requested_s = self.state.clock()
            placement = await self.placement_client.place(stream.requirements)
            routed.trace.queued_s += self.state.clock() - requested_s
            if isinstance(placement, PlacementRefused):
                return self._refusal_response(routed, stream, placement)
            target = self._resolve_target(routed, placement)
            if target is None:
                self.placement_client.record_end(placement.number, RunEnd.NOT_SENT)
                stream.requirements = retry_excluding(
                    stream.requirements, placement.target
                )
                continue
            result = await self._run_on_target(routed, stream, target, placement)
            if result is _RunResult.DONE and stream.response is not None:
                return stream.response
            stream.may_have_run = stream.possible_runs > 0
            stream.requirements = retry_excluding(stream.requirements, target.id)
            if result is _RunResult.BROKEN and not self._can_run_again(routed, stream):
                break
            if not self._acquire_retry(routed, stream):
                break
            stream.is_retry_acquired = False
        return self._failure_response(routed, stream)

    def _resolve_target(
        self, routed: RoutedRequest, placement: Placement
    ) -> TargetEntry | None:
        """Return the granted target; None if it is leaving or has no known address."""
        registry = self.state.registry
        if not registry.is_usable(placement.target):
            return None
        entry = registry.entries.get(placement.target)
        if entry is not None or not placement.address:
            return entry
        # Registered recently; this process has not read its entry yet.
        return TargetEntry(
            placement.target,
            routed.service,
            placement.address,
            "",
            slots=1,
            draining=False,
        )

    async def _run_on_target(
        self,
        routed: RoutedRequest,
        stream: _StreamState,
        target: TargetEntry,
        placement: Placement,
    ) -> _RunResult:
        now = self.state.clock()
        self._charge_quota(routed, now)
        stream.may_have_run = True
        routed.trace.sends += 1
        routed.trace.target = target.id
        stream.last_event_s = 0.0
        reuse = routed.route.idempotent
        request = routed.outgoing_request(target.id, now, stream.last_event_id, reuse)
        end = RunEnd.CANCELLED
        stream.pauses_s.clear()
        try:
            async with asyncio.timeout(None) as event_timeout:
                self._set_event_timeout(
                    routed,
                    stream,
                    target,
                    event_timeout,
                    _first_event_timeout_s(placement),
                )
                try:
                    async with self.target_client.send(target, request) as response:
                        end, result = await self._relay_response(
                            routed, stream, target, placement, response, event_timeout
                        )
                        return result
                finally:
                    stream.cancel_event_timer()
        except TimeoutError:
            if self.state.clock() >= routed.deadline_s:
                raise
            stream.possible_runs += 1
            end = RunEnd.FAILED
            routed.trace.failures.append(f"{target.id}: silent")
            return _RunResult.BROKEN
        except SendError as error:
            routed.trace.failures.append(str(error))
            end, result = _classify_send_error(error)
            stream.possible_runs += result is _RunResult.BROKEN
            return result
        finally:
            self.placement_client.record_end(
                placement.number,
                end,
                _lower_quartile(stream.pauses_s),
                max(stream.pauses_s, default=0.0),
            )

    async def _relay_response(
        self,
        routed: RoutedRequest,
        stream: _StreamState,
        target: TargetEntry,
        placement: Placement,
        target_response: TargetResponse,
        event_timeout: asyncio.Timeout,
    ) -> tuple[RunEnd, _RunResult]:
        head = target_response.head
        self.state.record_limit(target.id, head, self.state.clock())
        if head.not_run:
            routed.trace.failures.append(f"{target.id}: rejected, {head.status}")
            await target_response.read_body()
            if head.is_misdirected:
                self.state.registry.mark_leaving(target.id)
                self.state.publish_targets()
                return RunEnd.LEAVING, _RunResult.NOT_RUN
            return RunEnd.REJECTED, _RunResult.NOT_RUN
        if not head.is_success or not head.is_event_stream:
            routed.trace.failures.append(f"{target.id}: failed, {head.status}")
            return await self._handle_failure(stream, target_response)
        if stream.response is None and head.is_signed and not head.is_encoded:
            stream.response = web.StreamResponse(
                status=head.status, headers=client_headers(target_response.headers)
            )
            await stream.response.prepare(routed.request)
        if stream.response is None:
            stream.possible_runs += 1
            return RunEnd.FAILED, _RunResult.BROKEN
        splitter = EventSplitter()
        async for data in target_response.chunks():
            for event in splitter.feed(data):
                self.placement_client.record_first_event(placement.number)
                await self._relay_event(routed, stream, event)
                self._set_event_timeout(
                    routed, stream, target, event_timeout, EVENT_PAUSE_TIMEOUT_S
                )
        if splitter.buffer.strip():
            routed.trace.failures.append(f"{target.id}: ended within an event")
            stream.possible_runs += 1
            return RunEnd.FAILED, _RunResult.BROKEN
        return RunEnd.COMPLETED, _RunResult.DONE

    async def _handle_failure(
        self, stream: _StreamState, target_response: TargetResponse
    ) -> tuple[RunEnd, _RunResult]:
        """Handle an error response, or a response that is not an event stream."""
        body = await target_response.read_body()
        stream.possible_runs += 1
        head = target_response.head
        if head.is_signed and not head.is_encoded and stream.response is None:
            response = web.Response(
                status=head.status,
                body=body,
                headers=client_headers(target_response.headers),
            )
            if head.status < 500:
                stream.response = response
                return RunEnd.COMPLETED, _RunResult.DONE
            stream.last_failure = response
        return RunEnd.FAILED, _RunResult.BROKEN

    async def _relay_event(
        self, routed: RoutedRequest, stream: _StreamState, event: StreamEvent
    ) -> None:
        assert stream.response is not None
        now = self.state.clock()
        if routed.trace.first_event_s is None:
            routed.trace.first_event_s = now - routed.arrived_s
        routed.trace.events += 1
        if stream.last_event_s:
            pause_s = now - stream.last_event_s
            stream.pauses_s.append(pause_s)
            routed.trace.longest_pause_s = max(routed.trace.longest_pause_s, pause_s)
        stream.last_event_s = now
        if event.id is not None:
            if _is_duplicate(event.id, stream.last_event_id):
                return
            stream.last_event_id = event.id
        await stream.response.write(event.data)

    def _set_event_timeout(
        self,
        routed: RoutedRequest,
        stream: _StreamState,
        target: TargetEntry,
        event_timeout: asyncio.Timeout,
        timeout_s: float,
    ) -> None:
        """Set the timeout for the next event, if another run may replace this one.

        When it expires, the run continues if no other engine can be tried: its next
        event may still arrive.
        """
        stream.cancel_event_timer()
        if (
            not routed.route.resumable
            or stream.possible_runs + 1 >= routed.route.max_attempts
        ):
            return
        loop = asyncio.get_running_loop()

        def abandon() -> None:
            if self._has_other_engine(routed, stream, target) and (
                self._acquire_retry(routed, stream)
            ):
                event_timeout.reschedule(loop.time())

        stream.event_timer = loop.call_later(timeout_s, abandon)

    def _has_other_engine(
        self, routed: RoutedRequest, stream: _StreamState, target: TargetEntry
    ) -> bool:
        excluded = {*stream.requirements.excluded, target.id}
        entries = self.state.registry.open_targets(routed.service)
        return any(entry.id not in excluded for entry in entries)

    def _charge_quota(self, routed: RoutedRequest, now: float) -> None:
        account = routed.account
        if account is not None:
            client_request = routed.client_request
            cost = quota_cost(
                account, client_request.prompt_tokens, client_request.max_output_tokens
            )
            self.state.own_usage.charge(account.name, cost, now)

    def _can_run_again(self, routed: RoutedRequest, stream: _StreamState) -> bool:
        return (
            routed.route.idempotent and stream.possible_runs < routed.route.max_attempts
        )

    def _acquire_retry(self, routed: RoutedRequest, stream: _StreamState) -> bool:
        """Charge the next run to the retry budget, once."""
        if not stream.is_retry_acquired:
            now = self.state.clock()
            members = self.state.member_list.serving_count(now)
            stream.is_retry_acquired = self.state.retry_budget.try_acquire(
                routed.service, members, now
            )
        return stream.is_retry_acquired

    def _refusal_response(
        self, routed: RoutedRequest, stream: _StreamState, refused: PlacementRefused
    ) -> web.StreamResponse:
        reason = "quota exceeded" if refused.over_quota else "overloaded"
        routed.trace.failures.append(f"placement refused: {reason}")
        if stream.response is not None or stream.possible_runs:
            return self._failure_response(routed, stream)
        status = TOO_MANY_REQUESTS if refused.over_quota else UNAVAILABLE
        detail = (
            "account quota exceeded"
            if refused.over_quota
            else "no engine available within the deadline"
        )
        return not_run_response(
            status, detail, routed.client_request.attempt_id, refused.retry_after_s
        )

    def _failure_response(
        self, routed: RoutedRequest, stream: _StreamState
    ) -> web.StreamResponse:
        if stream.response is not None:
            return _abort_response(routed, stream.response, "no engine continues it")
        if stream.last_failure is not None:
            return stream.last_failure
        if stream.possible_runs:
            return error_response(
                BAD_GATEWAY,
                "the engine failed; the request may have run",
                routed.client_request.attempt_id,
            )
        return not_run_response(
            UNAVAILABLE,
            "no engine accepted the request",
            routed.client_request.attempt_id,
            DEFAULT_RETRY_AFTER_S,
        )

    def _timeout_response(
        self, routed: RoutedRequest, stream: _StreamState
    ) -> web.StreamResponse:
        if stream.response is not None:
            return _abort_response(routed, stream.response, "deadline")
        if stream.may_have_run:
            return error_response(
                GATEWAY_TIMEOUT,
                "no response within the deadline",
                routed.client_request.attempt_id,
            )
        return not_run_response(
            UNAVAILABLE,
            "no engine available within the deadline",
            routed.client_request.attempt_id,
            DEFAULT_RETRY_AFTER_S,
        )


def _first_event_timeout_s(placement: Placement) -> float:
    return (
        FIRST_EVENT_TIMEOUT_MARGIN_S
        + FIRST_EVENT_TIMEOUT_FACTOR * placement.predicted_s
    )


def _classify_send_error(error: SendError) -> tuple[RunEnd, _RunResult]:
    if error.outcome is SendOutcome.NOT_SENT:
        return RunEnd.UNREACHABLE, _RunResult.NOT_RUN
    if error.step == SEND_STEP:
        return RunEnd.DISCONNECTED, _RunResult.BROKEN
    return RunEnd.FAILED, _RunResult.BROKEN


def _is_duplicate(event_id: str, last_event_id: str | None) -> bool:
    """Whether an earlier run already sent the event to the client."""
    if last_event_id is None or not (event_id.isdigit() and last_event_id.isdigit()):
        return False
    return int(event_id) <= int(last_event_id)


def _lower_quartile(pauses_s: list[float]) -> float:
    """Return the lower quartile of the pauses; 0 if there are too few.

    Longer pauses include time in which the engine processes the prompt of another run.
    """
    if len(pauses_s) < MIN_PAUSE_SAMPLES:
        return 0.0
    return sorted(pauses_s)[len(pauses_s) // 4]


def _abort_response(
    routed: RoutedRequest, response: web.StreamResponse, reason: str
) -> web.StreamResponse:
    """Close the connection so that the client sees the response as truncated."""
    routed.trace.truncated_by = reason
    transport = routed.request.transport
    if transport is not None:
        transport.close()
    return response
