"""Forwards requests with a single response, with retries across targets.

Safe (idempotent) requests are retried after any failure, within the attempts that the
route allows, and sent to another target beside one that is slow to respond. Unsafe
requests are retried only if the target certainly did not run them. Each retry is also
charged to the retry budget of the service.

While no target may be sent to, some requests wait for those that can respond in time.
"""

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass, field

from aiohttp import web

from burdockhaven_core.scheduling.plain_balancer import AwaitedTarget, BalancedTarget
from burdockhaven_core.scheduling.quotas import quota_cost
from burdockhaven_core.scheduling.routing import Account
from burdockhaven_core.scheduling.target_registry import TargetEntry
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.placement_client import PlacementClient
from burdockhaven_entry.gateway.responses import (
    BAD_GATEWAY,
    DEFAULT_RETRY_AFTER_S,
    GATEWAY_TIMEOUT,
    QUARANTINED,
    TOO_MANY_REQUESTS,
    UNAVAILABLE,
    error_response,
    not_run_response,
    pause_retry_after_s,
)
from burdockhaven_entry.gateway.routed_request import RoutedRequest
from burdockhaven_entry.gateway.target_client import (
    OutgoingRequest,
    SendError,
    SendOutcome,
    TargetClient,
    TargetResponse,
)
from burdockhaven_entry.platform import client_headers

# An attempt is slow after this multiple of the target's average latency,
HEDGE_DELAY_LATENCY_FACTOR = 6.0
# but not before this fraction of the route's latency objective.
HEDGE_DELAY_OBJECTIVE_FRACTION = 0.5
# Maximum number of sends of one request, whatever their outcome.
MAX_ATTEMPTS = 5


@dataclass(slots=True)
class _Attempts:
    """The attempts made so far for one request."""

    excluded: set[str] = field(default_factory=set)
    # Number of attempts that the target may have run.
    possible_runs: int = 0
    sends: int = 0
    # The last error response that a target itself produced.
    last_failure: web.Response | None = None
    # Whether the next attempt is charged to the retry budget already.
    is_retry_acquired: bool = False
    # Whether the request waits for a target, so that none of its sends is under way.
    is_waiting: bool = False

    def begin(self, target_id: str) -> None:
        """Record that the request is sent to a target.

        The target is not tried again, unless it asks for a pause and that has ended.
        """
        self.sends += 1
        self.excluded.add(target_id)
        self.is_retry_acquired = self.is_waiting = False


@dataclass(slots=True)
class PlainForwarder:
    """Forwards requests to the targets of plain services."""

    state: GatewayState
    target_client: TargetClient
    placement_client: PlacementClient
    # Number of requests that wait for a target, by service.
    waiting: Counter[str] = field(default_factory=Counter)
    # Set, and replaced, at the next end of a send to the service.
    send_ends: dict[str, asyncio.Event] = field(default_factory=dict)

    async def forward(self, routed: RoutedRequest) -> web.StreamResponse:
        """Return the response for the client, no later than at the deadline."""
        attempts = _Attempts()
        if not self.state.admits_content(routed.content):
            return self._quarantine_response(routed, attempts)
        refusal = self._check_quota(routed)
        if refusal is not None:
            return refusal
        try:
            async with routed.time_limit:
                return await self._forward_with_retries(routed, attempts)
        except TimeoutError:
            return self._timeout_response(routed, attempts)

    def _check_quota(self, routed: RoutedRequest) -> web.Response | None:
        state, account = self.state, routed.account
        if account is None:
            return None
        cost = quota_cost(
            account,
            routed.client_request.prompt_tokens,
            routed.client_request.max_output_tokens,
        )
        now = state.clock()
        if self._is_over_quota(account, cost, now):
            return not_run_response(
                TOO_MANY_REQUESTS,
                "account quota exceeded",
                routed.client_request.attempt_id,
                DEFAULT_RETRY_AFTER_S,
            )
        state.own_usage.charge(account.name, cost, now)
        state.own_plain_usage.charge(account.name, cost, now)
        return None

    def _is_over_quota(self, account: Account, cost: float, now: float) -> bool:
        """Whether the broker, or this member's share of the quota, admits no more.

        The share applies only while some members can't be heard: their requests may be
        unknown to the broker.
        """
        state = self.state
        if account.name in self._exhausted_accounts(now):
            return True
        if state.broker.quotas.is_usage_complete:
            return False
        # Up to half of the members may be out of contact, so each member limits itself
        # to twice an equal share of the quota.
        share = min(1.0, 2.0 / state.member_list.serving_count(now))
        return not state.own_plain_usage.admits(account, cost, now, share)

    def _exhausted_accounts(self, now: float) -> tuple[str, ...]:
        node = self.placement_client.broker_node()
        view = self.state.member_list.views.get(node)
        if view is not None:
            return view.heartbeat.exhausted_accounts
        return self.state.broker.exhausted_accounts(now)

    async def _forward_with_retries(
        self, routed: RoutedRequest, attempts: _Attempts
    ) -> web.Response:
        while True:
            if attempts.sends >= MAX_ATTEMPTS:
                return self._failure_response(routed, attempts)
            target = await self._next_target(routed, attempts)
            if not self.state.admits_content(routed.content):
                return self._quarantine_response(routed, attempts)
            if target is None:
                return self._failure_response(routed, attempts)
            if attempts.sends and not self._acquire_retry(routed, attempts):
                return self._failure_response(routed, attempts)
            response = await self._attempt_with_hedges(routed, target, attempts)
            if response is not None:
                return response
            if attempts.possible_runs and not self._can_run_again(routed, attempts):
                return self._failure_response(routed, attempts)

    async def _next_target(
        self, routed: RoutedRequest, attempts: _Attempts
    ) -> TargetEntry | None:
        """Return the target of the next attempt, once there is one in time."""
        target = self._choose(routed, attempts)
        if target is not None or not self._has_waiting_place(routed, attempts):
            return target
        began_s = self.state.clock()
        if attempts.sends and not self._acquire_retry(routed, attempts):
            return None
        self.waiting[routed.service] += 1
        attempts.is_waiting = True
        try:
            while target is None:
                wait_s = self._wait_s(routed, attempts)
                if wait_s is None:
                    return None
                await self._wait_for_send_end(routed.service, wait_s)
                target = self._choose(routed, attempts)
            return target
        finally:
            self.waiting[routed.service] -= 1
            routed.trace.queued_s += self.state.clock() - began_s

    def _choose(self, routed: RoutedRequest, attempts: _Attempts) -> TargetEntry | None:
        entries = self.state.usable_targets(routed.service)
        now = self.state.clock()
        return self.state.balancer.choose(entries, attempts.excluded, now)

    def _has_waiting_place(self, routed: RoutedRequest, attempts: _Attempts) -> bool:
        now = self.state.clock()
        places = self.state.balancer.waiting_places(
            self._awaited_targets(routed, attempts),
            _respond_by_s(routed),
            self.state.member_list.serving_count(now),
            now,
        )
        return self.waiting[routed.service] < places

    def _wait_s(self, routed: RoutedRequest, attempts: _Attempts) -> float | None:
        return self.state.balancer.wait_s(
            self._awaited_targets(routed, attempts),
            _respond_by_s(routed),
            self.state.clock(),
        )

    def _awaited_targets(
        self, routed: RoutedRequest, attempts: _Attempts
    ) -> list[AwaitedTarget]:
        return [
            target
            for target in self.state.awaited_targets(routed.service)
            if target.entry.id not in attempts.excluded
        ]

    async def _wait_for_send_end(self, service: str, wait_s: float) -> None:
        event = self.send_ends.setdefault(service, asyncio.Event())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await event.wait()

    async def _attempt_with_hedges(
        self, routed: RoutedRequest, target: TargetEntry, attempts: _Attempts
    ) -> web.Response | None:
        """Send to a target and, while it is slow, to others; None if all fail.

        A slow attempt goes on beside the next one, which may be rejected.
        """
        delay_s = self._hedge_delay_s(routed, target)
        if delay_s is None:
            return await self._start_attempt(routed, target, attempts)
        running = {self._start_attempt(routed, target, attempts)}
        try:
            while running:
                done, running = await asyncio.wait(
                    running, timeout=delay_s, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    response = task.result()
                    if response is not None:
                        return response
                if done:
                    continue
                hedge = self._choose_hedge(routed, attempts, len(running))
                if hedge is None:
                    delay_s = None
                    continue
                self.state.balancer.record_failure(routed.trace.target)
                routed.trace.failures.append(f"{routed.trace.target}: slow")
                running.add(self._start_attempt(routed, hedge, attempts))
            return None
        finally:
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)

    def _choose_hedge(
        self, routed: RoutedRequest, attempts: _Attempts, running: int
    ) -> TargetEntry | None:
        """Return another target beside those that run; None if there is to be none."""
        if attempts.sends >= MAX_ATTEMPTS or (
            attempts.possible_runs + running >= routed.route.max_attempts
        ):
            return None
        if not self.target_client.has_room_for_hedge():
            return None
        if not self.state.admits_content(routed.content):
            return None
        hedge = self._choose(routed, attempts)
        if hedge is None or not self._acquire_retry(routed, attempts):
            return None
        return hedge

    def _start_attempt(
        self, routed: RoutedRequest, target: TargetEntry, attempts: _Attempts
    ) -> asyncio.Task[web.Response | None]:
        """Send the request once; the result is None if another target may be tried.

        The send counts at once, so that the next choice of a target knows it.
        """
        target_state = self.state.balancer.state_of(target.id)
        sent_s = self.state.clock()
        attempts.begin(target.id)
        routed.trace.sends += 1
        routed.trace.target = target.id
        request = routed.outgoing_request(
            target.id, sent_s, None, routed.route.idempotent
        )
        self.state.record_send_of_content(routed.content, target)
        target_state.begin_send(target.started_ms, sent_s)
        self.state.balancer.limiters.record_send(target.id, sent_s)
        task = asyncio.create_task(
            self._attempt(routed, target, request, attempts, sent_s)
        )
        task.add_done_callback(
            lambda _: self._end_attempt(target, target_state, sent_s)
        )
        return task

    def _end_attempt(
        self, target: TargetEntry, target_state: BalancedTarget, sent_s: float
    ) -> None:
        target_state.end_send(target.started_ms, sent_s)
        event = self.send_ends.pop(target.service, None)
        if event is not None:
            event.set()

    async def _attempt(
        self,
        routed: RoutedRequest,
        target: TargetEntry,
        request: OutgoingRequest,
        attempts: _Attempts,
        sent_s: float,
    ) -> web.Response | None:
        try:
            async with self.target_client.send(target, request) as target_response:
                return await self._handle_response(
                    routed, target, target_response, attempts, sent_s
                )
        except SendError as error:
            self._record_send_error(routed.content, target, error, attempts)
            routed.trace.failures.append(str(error))
        return None

    async def _handle_response(
        self,
        routed: RoutedRequest,
        target: TargetEntry,
        target_response: TargetResponse,
        attempts: _Attempts,
        sent_s: float,
    ) -> web.Response | None:
        state, head = self.state, target_response.head
        now = state.clock()
        state.record_response(target, head, now)
        if head.load is not None:
            in_flight = head.load.running + head.load.waiting
            state.balancer.record_load(
                target.id, in_flight, now, head.load.machine_slowdown
            )
        if head.not_run:
            routed.trace.failures.append(f"{target.id}: rejected, {head.status}")
            if head.observation.pause_s:
                attempts.excluded.discard(target.id)
            await target_response.discard_body()
            return None
        if head.is_encoded or not head.is_signed:
            routed.trace.failures.append(
                f"{target.id}: unsigned or encoded, {head.status}"
            )
            attempts.possible_runs += 1
            state.balancer.record_failure(target.id)
            return None
        body = await target_response.read_body()
        state.request_quarantine.record_answered(routed.content, target.id, now)
        response = web.Response(
            status=head.status,
            body=body,
            headers=client_headers(target_response.headers),
        )
        if head.is_success or head.status < 500:
            state.balancer.record_success(target, sent_s, now)
            return response
        attempts.possible_runs += 1
        routed.trace.failures.append(f"{target.id}: failed, {head.status}")
        attempts.last_failure = response
        return None

    def _hedge_delay_s(
        self, routed: RoutedRequest, target: TargetEntry
    ) -> float | None:
        """Return the time after which an attempt is slow; None for no hedges."""
        if not routed.route.idempotent or routed.route.max_attempts <= 1:
            return None
        latency_s = self.state.balancer.state_of(target.id).latency_s
        return max(
            HEDGE_DELAY_LATENCY_FACTOR * latency_s,
            HEDGE_DELAY_OBJECTIVE_FRACTION * routed.route.objective_s,
        )

    def _record_send_error(
        self,
        content: int,
        target: TargetEntry,
        error: SendError,
        attempts: _Attempts,
    ) -> None:
        if error.outcome is SendOutcome.NOT_SENT:
            self.state.balancer.eject(target.id, self.state.clock())
        elif error.outcome is SendOutcome.UNKNOWN:
            attempts.possible_runs += 1
            self.state.balancer.record_failure(target.id)
            if error.is_disconnect:
                self.state.record_end_beneath(content, target)

    def _can_run_again(self, routed: RoutedRequest, attempts: _Attempts) -> bool:
        return (
            routed.route.idempotent
            and attempts.possible_runs < routed.route.max_attempts
        )

    def _acquire_retry(self, routed: RoutedRequest, attempts: _Attempts) -> bool:
        """Charge the next attempt to the retry budget, once."""
        if not attempts.is_retry_acquired:
            attempts.is_retry_acquired = self.state.acquire_retry(routed.service)
        return attempts.is_retry_acquired

    def _quarantine_response(
        self, routed: RoutedRequest, attempts: _Attempts
    ) -> web.Response:
        """Return the response to a request beneath whose like targets have ended.

        It has no time to return, because the request would be refused again.
        """
        routed.trace.record_quarantine(routed.content)
        failure = self._run_failure(routed, attempts)
        return failure or not_run_response(
            UNAVAILABLE, QUARANTINED, routed.client_request.attempt_id, None
        )

    def _failure_response(
        self, routed: RoutedRequest, attempts: _Attempts
    ) -> web.Response:
        failure = self._run_failure(routed, attempts)
        return failure or not_run_response(
            UNAVAILABLE,
            "no target accepted the request",
            routed.client_request.attempt_id,
            pause_retry_after_s(self.state.pause_left_s(routed.service), self.state.rng)
            or DEFAULT_RETRY_AFTER_S,
        )

    def _run_failure(
        self, routed: RoutedRequest, attempts: _Attempts
    ) -> web.Response | None:
        """Return the response to a request that may have run; None if it has not."""
        if attempts.last_failure is not None:
            return attempts.last_failure
        if not attempts.possible_runs:
            return None
        return error_response(
            BAD_GATEWAY,
            "the target failed; the request may have run",
            routed.client_request.attempt_id,
        )

    def _timeout_response(
        self, routed: RoutedRequest, attempts: _Attempts
    ) -> web.Response:
        if attempts.last_failure is not None:
            return attempts.last_failure
        if attempts.possible_runs or (attempts.sends and not attempts.is_waiting):
            return error_response(
                GATEWAY_TIMEOUT,
                "no response within the deadline",
                routed.client_request.attempt_id,
            )
        return not_run_response(
            UNAVAILABLE,
            "no target available within the deadline",
            routed.client_request.attempt_id,
            DEFAULT_RETRY_AFTER_S,
        )


def _respond_by_s(routed: RoutedRequest) -> float:
    """Return the monotonic time by which waiting must have led to a response."""
    return min(routed.objective_s, routed.deadline_s)
