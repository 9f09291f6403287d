"""Forwards requests that get one answer: safe and unsafe ones."""

import asyncio
from dataclasses import dataclass, field

from aiohttp import web

from burdockhaven_core.scheduling.quotas import quota_cost
from burdockhaven_core.scheduling.target_registry import TargetEntry
from burdockhaven_entry.gateway.call import Call
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.placer import Placer
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

# A silent target is passed over after so many times its usual time to answer,
SILENCE_FACTOR = 6.0
# and after this part of the objective at least.
SILENCE_OBJECTIVE_PART = 0.5
# Sends of one request at most, whatever their outcome.
MAX_SENDS = 5


@dataclass(slots=True)
class _Tries:
    """What has been tried for one request."""

    excluded: set[str] = field(default_factory=set)
    # Targets on which the request may have run.
    ran: int = 0
    sends: int = 0
    # The last answer that is no success but a target's own.
    failure: web.Response | None = None


@dataclass(slots=True)
class PlainForwarding:
    """Forwards to plain services."""

    state: GatewayState
    targets: TargetClient
    placer: Placer

    async def forward(self, call: Call) -> web.StreamResponse:
        """The answer for the client, at the deadline at the latest."""
        refusal = self._over_quota(call)
        if refusal is not None:
            return refusal
        tries = _Tries()
        try:
            async with asyncio.timeout(call.deadline_s - self.state.clock()):
                return await self._try_all(call, tries)
        except TimeoutError:
            return self._timed_out(call, tries)

    def _over_quota(self, call: Call) -> web.Response | None:
        state, account = self.state, call.account
        if account is None:
            return None
        cost = quota_cost(account, call.said.prompt_tokens, call.said.max_output_tokens)
        now = state.clock()
        members = state.member_list.serving_count(now)
        # Half of the members may be unheard of; each keeps to twice an equal part.
        share = min(1.0, 2.0 / members)
        if account.name in self._exhausted(now) or not state.own_usage.admits(
            account, cost, now, share
        ):
            return not_run(
                TOO_MANY, "over the quota", call.said.attempt_id, RETRY_SOON_S
            )
        state.own_usage.charge(account.name, cost, now)
        return None

    def _exhausted(self, now: float) -> tuple[str, ...]:
        node = self.placer.broker_node()
        view = self.state.member_list.views.get(node)
        if view is not None:
            return view.heartbeat.exhausted_accounts
        return self.state.broker.exhausted_accounts(now)

    async def _try_all(self, call: Call, tries: _Tries) -> web.Response:
        while True:
            now = self.state.clock()
            entries = self.state.registry.open_targets(call.service)
            target = self.state.balancer.choose(entries, tries.excluded, now)
            if target is None or tries.sends >= MAX_SENDS:
                return self._give_up(call, tries)
            if tries.sends and not self._may_repeat(call, now):
                return self._give_up(call, tries)
            tries.sends += 1
            call.trace.sends += 1
            call.trace.target = target.id
            answer = await self._try_one(call, target, tries)
            if answer is not None:
                return answer
            tries.excluded.add(target.id)
            if tries.ran and not self._may_run_again(call, tries):
                return self._give_up(call, tries)

    async def _try_one(
        self, call: Call, target: TargetEntry, tries: _Tries
    ) -> web.Response | None:
        """One send; None if another target may be tried."""
        state = self.state
        record = state.balancer.state_of(target.id)
        sent_s = state.clock()
        request = call.outgoing(target.id, sent_s, None, call.route.idempotent)
        record.in_flight += 1
        try:
            async with (
                asyncio.timeout(self._patience_s(call, target, tries)),
                self.targets.send(target, request) as answer,
            ):
                return await self._take(call, target, answer, tries, sent_s)
        except TimeoutError:
            tries.ran += 1
            state.balancer.record_failure(target.id)
            call.trace.failures.append(f"{target.id}: silent")
        except SendError as error:
            self._note_error(target, error, tries)
            call.trace.failures.append(str(error))
        finally:
            record.in_flight -= 1
        return None

    async def _take(
        self,
        call: Call,
        target: TargetEntry,
        answer: OpenAnswer,
        tries: _Tries,
        sent_s: float,
    ) -> web.Response | None:
        state, head = self.state, answer.head
        now = state.clock()
        if head.load is not None:
            under_way = head.load.running + head.load.waiting
            state.balancer.record_load(target.id, under_way, now)
        if head.not_run:
            call.trace.failures.append(f"{target.id}: rejected, {head.status}")
            if head.other_target:
                state.registry.mark_leaving(target.id)
                state.targets_changed()
            await answer.read_body()
            return None
        body = await answer.read_body()
        if head.coded or not head.signed:
            tries.ran += 1
            state.balancer.record_failure(target.id)
            return None
        response = web.Response(
            status=head.status, body=body, headers=client_headers(answer.headers)
        )
        if head.succeeded or head.status < 500:
            state.balancer.record_success(target.id, now - sent_s)
            return response
        tries.ran += 1
        call.trace.failures.append(f"{target.id}: failed, {head.status}")
        tries.failure = response
        return None

    def _patience_s(
        self, call: Call, target: TargetEntry, tries: _Tries
    ) -> float | None:
        """Seconds for this try; None to wait until the deadline."""
        if not call.route.idempotent or tries.ran + 1 >= call.route.max_attempts:
            return None
        usual_s = self.state.balancer.state_of(target.id).latency_s
        return max(
            SILENCE_FACTOR * usual_s, SILENCE_OBJECTIVE_PART * call.route.objective_s
        )

    def _note_error(self, target: TargetEntry, error: SendError, tries: _Tries) -> None:
        if error.outcome is SendOutcome.NOT_SENT:
            self.state.balancer.eject(target.id, self.state.clock())
        elif error.outcome is SendOutcome.UNKNOWN:
            tries.ran += 1
            self.state.balancer.record_failure(target.id)

    def _may_run_again(self, call: Call, tries: _Tries) -> bool:
        return call.route.idempotent and tries.ran < call.route.max_attempts

    def _may_repeat(self, call: Call, now: float) -> bool:
        members = self.state.member_list.serving_count(now)
        return self.state.retry_budget.try_acquire(call.service, members, now)

    def _give_up(self, call: Call, tries: _Tries) -> web.Response:
        if tries.failure is not None:
            return tries.failure
        if tries.ran:
            return reply(BAD_GATEWAY, "the target did not answer", call.said.attempt_id)
        return not_run(
            UNAVAILABLE, "no target takes it", call.said.attempt_id, RETRY_SOON_S
        )

    def _timed_out(self, call: Call, tries: _Tries) -> web.Response:
        if tries.failure is not None:
            return tries.failure
        if tries.sends:
            return reply(TIMED_OUT, "no answer in time", call.said.attempt_id)
        return not_run(
            UNAVAILABLE, "no target in time", call.said.attempt_id, RETRY_SOON_S
        )
