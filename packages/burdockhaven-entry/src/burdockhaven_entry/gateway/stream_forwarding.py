"""Forwards streaming requests to model engines and resumes broken streams.

A broker places each run. If a stream breaks and the route is resumable, the request is
placed on another engine with the id of the last event sent to the client, and events
that the client already has are dropped.
"""

import asyncio
import dataclasses
import itertools
from dataclasses import dataclass

from aiohttp import web

from burdockhaven_core.scheduling.peer_messages import RunEnd, StreamOrigin
from burdockhaven_core.scheduling.quotas import quota_cost
from burdockhaven_core.scheduling.target_registry import TargetEntry
from burdockhaven_entry.gateway.client_server import close_after_response
from burdockhaven_entry.gateway.event_splitter import (
    MAX_EVENT_BYTES,
    EventSplitter,
    StreamEvent,
)
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.opened_run import OpenedRun
from burdockhaven_entry.gateway.placement_client import (
    Placement,
    PlacementClient,
    PlacementRefused,
    PlacementRequirements,
    retry_excluding,
)
from burdockhaven_entry.gateway.replacement_search import ReplacementSearch
from burdockhaven_entry.gateway.routed_request import RoutedRequest
from burdockhaven_entry.gateway.stream_continuation import (
    continue_at,
    has_granted_version,
    is_resumed,
    latest_begin_s,
    refusal_reason,
    resume_at,
    unknown_origin_response,
)
from burdockhaven_entry.gateway.stream_origin_directory import StreamOriginDirectory
from burdockhaven_entry.gateway.stream_responses import (
    failure_response,
    quarantine_response,
    refusal_response,
    timeout_response,
)
from burdockhaven_entry.gateway.stream_state import RunResult, StreamState
from burdockhaven_entry.gateway.target_client import (
    READ_STEP,
    SEND_STEP,
    SendError,
    SendOutcome,
    TargetClient,
    TargetResponse,
)
from burdockhaven_entry.platform import client_headers

# Another target is looked for if the first event takes longer than
# `FIRST_EVENT_TIMEOUT_FACTOR` times the predicted time plus this margin in seconds.
FIRST_EVENT_TIMEOUT_MARGIN_S = 0.4
FIRST_EVENT_TIMEOUT_FACTOR = 3.0
# The same if the next event does not arrive within this many seconds. Clients wait for
# at least two seconds.
EVENT_PAUSE_TIMEOUT_S = 1.0
# Maximum number of placements of a request that can still be refused.
MAX_PLACEMENTS = 5
# Seconds between two placements of a request that can't be refused any more, unless the
# first of them led to a run; doubled after each send that the target rejected.
COMMITTED_RETRY_INTERVAL_S = 0.2
# Objective for the pause between events if the route states none.
DEFAULT_PAUSE_OBJECTIVE_S = 1.0


@dataclass(slots=True)
class StreamForwarder:
    """Forwards streaming requests to model engines."""

    state: GatewayState
    target_client: TargetClient
    placement_client: PlacementClient
    origins: StreamOriginDirectory

    async def forward(self, routed: RoutedRequest) -> web.StreamResponse:
        """Return the response for the client, no later than at the deadline."""
        stream = StreamState(
            routed,
            self._placement_requirements(routed),
            routed.client_request.last_event_id,
        )
        try:
            async with routed.time_limit:
                if is_resumed(routed):
                    found = await self.origins.find(
                        routed.client_request,
                        routed.route,
                        routed.service,
                        latest_begin_s(stream),
                    )
                    routed.trace.origin = found.source
                    routed.trace.origin_s = self.state.clock() - routed.arrived_s
                    if found.origin is None:
                        return unknown_origin_response(routed, found.retry_after_s)
                    routed = dataclasses.replace(routed, service=found.origin.service)
                    stream.requirements = resume_at(stream.requirements, found.origin)
                return await self._forward_with_retries(routed, stream)
        except TimeoutError:
            return timeout_response(stream)
        finally:
            if stream.replacement is not None:
                self._abandon(stream, stream.replacement)

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
        self, routed: RoutedRequest, stream: StreamState
    ) -> web.StreamResponse:
        for count in itertools.count(1):
            if self._is_quarantined(stream):
                return self._refuse_quarantined(stream)
            opened, stream.replacement = stream.replacement, None
            placement = (
                await self._next_placement(routed, stream)
                if opened is None
                else opened.placement
            )
            if isinstance(placement, Placement) and self._is_quarantined(stream):
                # Since the request was queued.
                self._give_back(placement)
                return self._refuse_quarantined(stream)
            if isinstance(placement, PlacementRefused):
                if self._can_wait_for_quota(stream, placement):
                    await asyncio.sleep(placement.retry_after_s)
                    continue
                if placement.is_final or not self._is_client_waiting(stream):
                    return refusal_response(stream, placement)
                await self._pause(stream)
                continue
            result = await self._use_placement(routed, stream, placement, opened)
            if result is RunResult.DONE and stream.response is not None:
                return stream.response
            if result is RunResult.GIVEN_UP or (
                result is RunResult.BROKEN and not stream.can_run_again
            ):
                break
            has_placement = stream.replacement is not None
            if count >= MAX_PLACEMENTS and not (
                has_placement or self._is_client_waiting(stream)
            ):
                break
            if result is not RunResult.BROKEN and stream.is_committed:
                await self._pause(stream)
                stream.rejections += result is RunResult.NOT_RUN
            # A replacement was charged when it was opened.
            is_charged = has_placement or result is RunResult.NOT_SENT
            if not is_charged and not await self._acquire_next_run(routed, stream):
                break
        return failure_response(stream)

    def _is_quarantined(self, stream: StreamState) -> bool:
        """Whether no engine may get the request; one that has gone on continues."""
        return not stream.has_gone_on and (
            not self.state.admits_content(stream.routed.content)
        )

    def _refuse_quarantined(self, stream: StreamState) -> web.StreamResponse:
        stream.routed.trace.record_quarantine(stream.routed.content)
        return quarantine_response(stream)

    async def _next_placement(
        self, routed: RoutedRequest, stream: StreamState
    ) -> Placement | PlacementRefused:
        stream.readmit(self._usable_targets(routed, stream))
        requested_s = self.state.clock()
        placement = await self.placement_client.place(stream.current_requirements())
        routed.trace.queued_s += self.state.clock() - requested_s
        if isinstance(placement, PlacementRefused):
            routed.trace.record_refusal(refusal_reason(placement))
        return placement

    async def _use_placement(
        self,
        routed: RoutedRequest,
        stream: StreamState,
        placement: Placement,
        opened: OpenedRun | None,
    ) -> RunResult:
        """Run the request at the granted target, which the next placement avoids.

        `opened` is the run at that target, None if it is still to be opened.
        """
        if opened is None:
            target = self._resolve_target(routed, stream, placement)
            # Granted before the broker knew which targets the request has used up.
            is_beyond_limit = (
                stream.has_used_up_targets and placement.target not in stream.ran_at
            )
            if target is None or is_beyond_limit:
                self._give_back(placement)
                # The next placement request names a pause, which ends by itself.
                if not self.state.is_paused(placement.target):
                    stream.exclude(placement.target)
                return RunResult.NOT_SENT
            opened = self._open_run(routed, stream, target, placement)
        result = await self._run_on_target(routed, stream, opened)
        stream.may_have_run = stream.possible_runs > 0
        stream.exclude(placement.target)
        return result

    def _is_client_waiting(self, stream: StreamState) -> bool:
        """Whether a committed request has a client that still waits for an event."""
        return stream.is_committed and self.state.clock() < stream.give_up_s

    def _can_wait_for_quota(
        self, stream: StreamState, refused: PlacementRefused
    ) -> bool:
        """Whether a resumed stream has quota again while its client still waits.

        The broker keeps that quota for it. Its client may have no attempt left.
        """
        back_s = self.state.clock() + refused.retry_after_s
        return (
            refused.over_quota
            and stream.requirements.is_resumption
            and back_s <= latest_begin_s(stream)
        )

    async def _acquire_next_run(
        self, routed: RoutedRequest, stream: StreamState
    ) -> bool:
        """Charge the next run to the retry budget; a committed request waits for it."""
        while not self._acquire_retry(routed, stream):
            if not self._is_client_waiting(stream):
                return False
            await self._pause(stream)
        return True

    async def _pause(self, stream: StreamState) -> None:
        """Wait before the next placement, but not beyond the time to give up."""
        pause_s = COMMITTED_RETRY_INTERVAL_S * 2**stream.rejections
        left_s = stream.give_up_s - self.state.clock()
        await asyncio.sleep(max(0.0, min(pause_s, left_s)))

    def _resolve_target(
        self, routed: RoutedRequest, stream: StreamState, placement: Placement
    ) -> TargetEntry | None:
        """Return the granted target; None if it must not be used or has no address."""
        registry = self.state.registry
        if not registry.is_usable(placement.target) or self.state.is_paused(
            placement.target
        ):
            return None
        entry = registry.entries.get(placement.target)
        if not has_granted_version(entry, placement, stream.requirements):
            return None
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
            software_version=placement.software_version,
        )

    def _open_run(
        self,
        routed: RoutedRequest,
        stream: StreamState,
        target: TargetEntry,
        placement: Placement,
    ) -> OpenedRun:
        """Send the request to the granted target."""
        now = self.state.clock()
        self._charge_quota(routed, now)
        routed.trace.sends += 1
        self.state.record_send_of_content(routed.content, target)
        reuse = routed.route.idempotent
        request = routed.outgoing_request(target.id, now, stream.last_event_id, reuse)
        return OpenedRun.begin(self.target_client, placement, target, request)

    async def _run_on_target(
        self, routed: RoutedRequest, stream: StreamState, opened: OpenedRun
    ) -> RunResult:
        target, placement = opened.target, opened.placement
        routed.trace.target = target.id
        stream.begin_run()
        end = RunEnd.CANCELLED
        has_disconnected = False
        search: ReplacementSearch | None = None
        try:
            async with asyncio.timeout(None) as run_timeout:
                search = self._create_search(routed, stream, target, run_timeout)
                try:
                    search.restart(_first_event_timeout_s(placement))
                    async with opened.response() as response:
                        end, result = await self._relay_response(
                            routed, stream, opened, response, search
                        )
                        return result
                finally:
                    search.stop()
        except TimeoutError:
            if search is None or self.state.clock() >= routed.deadline_s:
                raise
            stream.record_possible_run(target.id)
            routed.trace.failures.append(f"{target.id}: silent")
            stream.replacement = search.take()
            if stream.replacement is None:
                return RunResult.GIVEN_UP
            stream.was_replaced = True
            end = RunEnd.REPLACED
            return RunResult.BROKEN
        except SendError as error:
            end, result = self._record_send_error(routed, stream, target, error)
            has_disconnected = error.is_disconnect
            return result
        finally:
            self.placement_client.record_end(
                placement.number,
                end,
                stream.typical_pause_s(),
                stream.longest_pause_s(),
                has_disconnected,
            )
            if search is not None:
                search.discard()
            if stream.asked is not None:
                # The task that asks it has not seen yet that it was cancelled.
                self._abandon(stream, stream.asked)

    def _record_send_error(
        self,
        routed: RoutedRequest,
        stream: StreamState,
        target: TargetEntry,
        error: SendError,
    ) -> tuple[RunEnd, RunResult]:
        routed.trace.failures.append(str(error))
        end, result = _classify_send_error(error)
        if error.is_disconnect and not stream.has_gone_on:
            self.state.record_end_beneath(routed.content, target)
        if result is RunResult.BROKEN:
            stream.record_possible_run(target.id)
        return end, result

    async def _relay_response(
        self,
        routed: RoutedRequest,
        stream: StreamState,
        opened: OpenedRun,
        target_response: TargetResponse,
        search: ReplacementSearch,
    ) -> tuple[RunEnd, RunResult]:
        target, head = opened.target, target_response.head
        self.state.record_response(target, head, self.state.clock())
        if head.not_run:
            end = await self._handle_rejection(routed, target_response)
            return end, RunResult.NOT_RUN
        if head.is_encoded or not head.is_signed:
            routed.trace.failures.append(
                f"{target.id}: unsigned or encoded, {head.status}"
            )
            stream.record_possible_run(target.id)
            return RunEnd.FAILED, RunResult.BROKEN
        if not head.is_success or not head.is_event_stream:
            routed.trace.failures.append(f"{target.id}: failed, {head.status}")
            return await self._handle_failure(stream, target_response)
        if stream.response is None:
            stream.response = web.StreamResponse(
                status=head.status, headers=client_headers(target_response.headers)
            )
            if self.state.draining:
                close_after_response(routed.request, stream.response)
            # Once its client has the head, a silent run is not ended for an answer.
            search.await_run()
            await stream.response.prepare(routed.request)
        await self._relay_events(
            routed, stream, target, opened.placement, target_response, search
        )
        self._record_answered(stream, target.id)
        return RunEnd.COMPLETED, RunResult.DONE

    async def _handle_rejection(
        self, routed: RoutedRequest, target_response: TargetResponse
    ) -> RunEnd:
        head = target_response.head
        routed.trace.failures.append(
            f"{target_response.target}: rejected, {head.status}"
        )
        await target_response.discard_body()
        if head.observation.is_gone:
            return RunEnd.LEAVING
        return RunEnd.PAUSED if head.observation.pause_s else RunEnd.REJECTED

    async def _relay_events(
        self,
        routed: RoutedRequest,
        stream: StreamState,
        target: TargetEntry,
        placement: Placement,
        target_response: TargetResponse,
        search: ReplacementSearch,
    ) -> None:
        """Pass on the events of a run; raises `SendError` if they are not complete."""
        assert stream.response is not None
        splitter = EventSplitter()
        load = target_response.head.load
        slowdown = None if load is None else load.machine_slowdown
        async for data in target_response.chunks():
            for event in splitter.feed(data):
                if not event.has_fields:
                    await stream.response.write(event.data)
                    continue
                self.placement_client.record_first_event(placement.number, slowdown)
                # A client that is slow to read does not make the engine silent.
                search.stop()
                routed.trace.add_software_version(target.software_version)
                self._record_origin(routed, stream, target)
                had_gone_on = stream.has_gone_on
                await self._relay_event(stream, event)
                if stream.has_gone_on and not had_gone_on:
                    self._record_answered(stream, target.id)
                search.restart(EVENT_PAUSE_TIMEOUT_S)
            if splitter.bytes_since_event > MAX_EVENT_BYTES:
                detail = f"no event ended within {MAX_EVENT_BYTES} bytes"
                raise target_response.read_error(detail)
        if splitter.buffer.strip() or (
            # A target that fails after its head closes the connection in order, too.
            target_response.is_close_delimited and not splitter.has_events
        ):
            raise target_response.read_error("ended before the end of an event")

    def _record_answered(self, stream: StreamState, target_id: str) -> None:
        self.state.request_quarantine.record_answered(
            stream.routed.content, target_id, self.state.clock()
        )

    def _record_origin(
        self, routed: RoutedRequest, stream: StreamState, target: TargetEntry
    ) -> None:
        """Fix the software version of a stream at its first event."""
        if stream.is_origin_recorded or not routed.route.resumable:
            return
        stream.is_origin_recorded = True
        origin = StreamOrigin(routed.service, target.software_version)
        stream.requirements = continue_at(stream.requirements, origin)
        self.origins.record(routed.client_request, origin)

    async def _handle_failure(
        self, stream: StreamState, target_response: TargetResponse
    ) -> tuple[RunEnd, RunResult]:
        """Handle an error response, or a response that is not an event stream."""
        body = await target_response.read_body()
        self._record_answered(stream, target_response.target)
        stream.record_possible_run(target_response.target)
        head = target_response.head
        if stream.response is None:
            response = web.Response(
                status=head.status,
                body=body,
                headers=client_headers(target_response.headers),
            )
            if head.status < 500:
                stream.response = response
                return RunEnd.COMPLETED, RunResult.DONE
            stream.last_failure = response
        return RunEnd.FAILED, RunResult.BROKEN

    async def _relay_event(self, stream: StreamState, event: StreamEvent) -> None:
        assert stream.response is not None
        if stream.record_event(event, self.state.clock()):
            await stream.response.write(event.data)

    def _create_search(
        self,
        routed: RoutedRequest,
        stream: StreamState,
        target: TargetEntry,
        run_timeout: asyncio.Timeout,
    ) -> ReplacementSearch:
        async def find() -> OpenedRun | None:
            opened = await self._find_replacement(routed, stream, target)
            has_failed = stream.rejections or stream.refused_replacements
            if opened is None and has_failed and stream.response is None:
                # Its client gets a response, so that it can send the request again.
                left_s = stream.give_up_s - self.state.clock()
                search.end_run_at(asyncio.get_running_loop().time() + left_s)
            return opened

        def give_back(opened: OpenedRun) -> None:
            self._abandon(stream, opened)

        search = ReplacementSearch(run_timeout, find, give_back)
        return search

    def _give_back(self, placement: Placement) -> None:
        self.placement_client.record_end(placement.number, RunEnd.NOT_SENT)

    def _abandon(self, stream: StreamState, opened: OpenedRun) -> None:
        """End a run that was opened and is not used."""
        stream.asked = None
        opened.abort()
        if opened.connected.done():
            stream.record_abandoned_run(opened.target.id)
        self.placement_client.record_end(opened.placement.number, RunEnd.CANCELLED)

    async def _find_replacement(
        self, routed: RoutedRequest, stream: StreamState, target: TargetEntry
    ) -> OpenedRun | None:
        """Open a run at an engine other than a silent one; None if there is none."""
        if not self._may_replace(routed, stream, target):
            return None
        requirements = retry_excluding(stream.current_requirements(), target.id)
        # Without the digest, a refusal here does not count as one of the client.
        requirements = dataclasses.replace(requirements, digest=0)
        placement = await self.placement_client.place(requirements)
        if isinstance(placement, PlacementRefused):
            return None
        other = self._resolve_target(routed, stream, placement)
        # Its like may have ended engines since the request was queued.
        is_admitted = not self._is_quarantined(stream)
        if other is None or not is_admitted or not self._acquire_retry(routed, stream):
            self._give_back(placement)
            return None
        stream.is_retry_acquired = False
        opened = stream.asked = self._open_run(routed, stream, other, placement)
        is_accepted = await self._is_accepted(routed, stream, opened)
        stream.asked = None
        return opened if is_accepted else None

    def _may_replace(
        self, routed: RoutedRequest, stream: StreamState, target: TargetEntry
    ) -> bool:
        """Whether another engine than a silent one may get the request now."""
        route = routed.route
        return (
            route.resumable
            and len(stream.ran_at | {target.id}) < route.max_attempts
            and stream.may_be_replaced
            and self.state.clock() >= stream.search_from_s
            and self._has_other_engine(routed, stream, target)
            and self._admits_retry(routed, stream)
            and not self._is_quarantined(stream)
        )

    async def _is_accepted(
        self, routed: RoutedRequest, stream: StreamState, opened: OpenedRun
    ) -> bool:
        """Whether the engine of an opened run accepts it; otherwise the run has ended.

        The silent run goes on beside it.
        """
        has_disconnected = False
        try:
            response = await opened.wait_for_rejection()
            if response is None or _may_be_relayed(stream, response):
                return True
            end = await self._end_refused_run(routed, stream, opened, response)
        except asyncio.CancelledError:
            if stream.asked is opened:
                self._abandon(stream, opened)
            raise
        except SendError as error:
            end, _ = self._record_send_error(routed, stream, opened.target, error)
            has_disconnected = error.is_disconnect
        stream.record_refused_replacement(self.state.clock())
        self.placement_client.record_end(
            opened.placement.number, end, has_disconnected=has_disconnected
        )
        return False

    async def _end_refused_run(
        self,
        routed: RoutedRequest,
        stream: StreamState,
        opened: OpenedRun,
        response: TargetResponse,
    ) -> RunEnd:
        target, head = opened.target, response.head
        try:
            self.state.record_response(target, head, self.state.clock())
            if head.not_run:
                return await self._handle_rejection(routed, response)
            routed.trace.failures.append(f"{target.id}: not a stream, {head.status}")
            stream.record_possible_run(target.id)
            return RunEnd.FAILED
        finally:
            response.close()

    def _has_other_engine(
        self, routed: RoutedRequest, stream: StreamState, target: TargetEntry
    ) -> bool:
        excluded = {*stream.requirements.excluded, target.id}
        return not self._usable_targets(routed, stream) <= excluded

    def _usable_targets(self, routed: RoutedRequest, stream: StreamState) -> set[str]:
        """Return the ids of the open targets that may run the rest of the stream."""
        version = stream.requirements.software_version
        return {
            entry.id
            for entry in self.state.usable_targets(routed.service)
            if version in ("", entry.software_version)
        }

    def _charge_quota(self, routed: RoutedRequest, now: float) -> None:
        account = routed.account
        if account is not None:
            client_request = routed.client_request
            cost = quota_cost(
                account, client_request.prompt_tokens, client_request.max_output_tokens
            )
            self.state.own_usage.charge(account.name, cost, now)

    def _admits_retry(self, routed: RoutedRequest, stream: StreamState) -> bool:
        """Whether the retry budget has room for the next run."""
        return stream.is_retry_acquired or self.state.admits_retry(routed.service)

    def _acquire_retry(self, routed: RoutedRequest, stream: StreamState) -> bool:
        """Charge the next run to the retry budget, once."""
        if not stream.is_retry_acquired:
            stream.is_retry_acquired = self.state.acquire_retry(routed.service)
        return stream.is_retry_acquired


def _first_event_timeout_s(placement: Placement) -> float:
    return (
        FIRST_EVENT_TIMEOUT_MARGIN_S
        + FIRST_EVENT_TIMEOUT_FACTOR * placement.predicted_s
    )


def _may_be_relayed(stream: StreamState, response: TargetResponse) -> bool:
    """Whether a response is part of the stream, or the final one to its client."""
    head = response.head
    if head.not_run or head.is_encoded or not head.is_signed:
        return False
    if head.is_success:
        return head.is_event_stream
    return stream.response is None and head.status < 500


def _classify_send_error(error: SendError) -> tuple[RunEnd, RunResult]:
    if error.outcome is SendOutcome.NOT_SENT:
        return RunEnd.UNREACHABLE, RunResult.NOT_RUN
    if error.step == SEND_STEP or (error.is_refused and error.step == READ_STEP):
        return RunEnd.DISCONNECTED, RunResult.BROKEN
    return RunEnd.FAILED, RunResult.BROKEN
