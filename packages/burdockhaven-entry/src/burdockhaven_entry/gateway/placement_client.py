"""Client of the brokers: requests placements and reports the progress of runs.

Every member runs a broker; the member list gives the order in which they are tried, the
longest-running member first, so that the start of a member does not change the broker
in use. A member that replies to no request is suspected and skipped for `SUSPICION_S`;
one that replies late is waited for (`reply_times.py`). If no other member is available,
the broker of this process is used.
"""

import asyncio
import dataclasses
import math
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.scheduling.broker import AddressedReply, Broker
from burdockhaven_core.scheduling.crash_attribution import BEGIN_SETTLE_S
from burdockhaven_core.scheduling.member_list import MemberList
from burdockhaven_core.scheduling.peer_messages import (
    BrokenPrompt,
    CancelPlacement,
    Heartbeat,
    MemberId,
    PausedTarget,
    PeerMessage,
    PlacementReply,
    PlacementRequest,
    RunEnd,
    RunProgress,
    RunReport,
    RunState,
    RunUpdate,
    Verdict,
)
from burdockhaven_core.scheduling.reply_times import ReplyTimes
from burdockhaven_entry.log_events import log

# Consecutive requests without a reply after which a member is suspected.
MAX_UNANSWERED_ATTEMPTS = 2
# Seconds for which a suspected member is skipped.
SUSPICION_S = 1.5
# Parts of one prompt that are reported if its engine ends, and the length of their
# names; a broker that placed the request knows all of them.
MAX_REPORTED_PARTS = 32
MAX_REPORTED_NAMES_BYTES = 512
# Seconds without a reply after which a queued request is sent again, in case the reply
# was lost.
QUEUED_RESEND_S = 0.2


@dataclass(frozen=True, slots=True)
class PlacementRequirements:
    """What a request needs of a target, with absolute times.

    The message sent to a broker, `PlacementRequest`, has relative times, because
    monotonic clocks of two processes can't be compared.
    """

    service: str
    route: str
    account: str
    priority: int
    route_priority: int
    prompt_tokens: int
    output_tokens: int
    parts: tuple[tuple[str, int], ...]
    # Monotonic time in seconds after which the first event is late.
    objective_s: float
    # Monotonic time at which the client disconnects if it has received no event.
    client_timeout_s: float
    # Monotonic time at which the request is abandoned.
    deadline_s: float
    pause_objective_s: float
    excluded: tuple[str, ...] = ()
    is_retry: bool = False
    # Identifies the content of the request; equal for all attempts of a client.
    digest: int = 0
    # Expected length of the response in tokens; 0 if the client gives no estimate.
    expected_tokens: int = 0
    # Software version of the targets that may be used; empty for any.
    software_version: str = ""
    # Whether an engine has gone on to answer the prompt after its first event.
    has_begun: bool = False
    # Whether the client resumes a stream, of which it has events.
    is_resumption: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """Permission to send the request once to a target."""

    number: int
    target: str
    # host:port of the target.
    address: str = ""
    # Predicted seconds until the first event.
    predicted_s: float = 0.0
    # Software version of the target as far as the broker knows; empty if it does not.
    software_version: str = ""


@dataclass(frozen=True, slots=True)
class PlacementRefused:
    """The request must not be sent."""

    over_quota: bool
    # Seconds after which the client may retry.
    retry_after_s: float
    # Whether no target has the software version that the request needs.
    is_version_gone: bool = False
    # Prompt part beneath which engines end; empty unless refused for it.
    quarantined_part: str = ""
    # Whether the request needs more memory than any target has.
    is_too_large: bool = False

    @property
    def is_final(self) -> bool:
        """Whether the request would be refused again."""
        return self.is_version_gone or bool(self.quarantined_part) or self.is_too_large


@dataclass(slots=True)
class LocalRun:
    """A run started by this process, as reported to brokers."""

    number: int
    target: str
    prompt_tokens: int
    sent_s: float
    # Names of the prompt's parts without the last.
    parts: tuple[str, ...] = ()
    first_event_seen: bool = False
    # Monotonic time of the first event in seconds; infinite before it.
    first_event_s: float = math.inf


@dataclass(slots=True)
class _PendingPlacement:
    """A placement request that awaits its reply."""

    requirements: PlacementRequirements
    reply: asyncio.Future[PlacementReply]
    broker: str
    # Monotonic time of the first send that the broker has not replied to; None if it
    # has, and the request is in its queue.
    sent_s: float | None

    def is_undecided(self) -> bool:
        """Whether no broker has granted or refused the request yet."""
        return not self.reply.done() or self.reply.result().verdict is Verdict.QUEUED


@dataclass(slots=True)
class _Attempts:
    """The sends of one placement request to one broker."""

    # Node of the broker; empty before the first.
    broker: str = ""
    # Monotonic time in seconds of the first send that is counted.
    first_sent_s: float = 0.0
    # Sends without a reply.
    unanswered: int = 0
    # Whether the broker has queued the request.
    is_queued: bool = False


SendMessage = Callable[[str, PeerMessage], None]


@dataclass(slots=True)
class PlacementClient:
    """Requests placements for this process and tracks its runs in flight."""

    member_id: MemberId
    member_list: MemberList
    broker: Broker
    own_heartbeat: Callable[[], Heartbeat]
    # Sends a message to the member on the given node.
    send: SendMessage
    # Returns monotonic seconds.
    clock: Callable[[], float]
    # Called when there are run updates to flush, and when the local broker queues a
    # request.
    on_pending_updates: Callable[[], None] = lambda: None
    on_queued: Callable[[], None] = lambda: None
    # Availability zone of this process; empty if unknown.
    zone: str = ""
    # Returns the targets of a service that are paused for this process.
    paused_targets: Callable[[str], tuple[PausedTarget, ...]] = lambda service: ()
    pending: dict[int, _PendingPlacement] = field(default_factory=dict)
    # Replies of this process to its own requests, which end the wait for a broker.
    own_refusals: dict[int, PlacementReply] = field(default_factory=dict)
    runs: dict[int, LocalRun] = field(default_factory=dict)
    pending_updates: list[RunUpdate] = field(default_factory=list)
    # Prompts whose engines have ended, to be sent with the updates.
    broken_prompts: list[BrokenPrompt] = field(default_factory=list)
    last_number: int = 0
    # Node of the broker that got the last report; empty before the first.
    reported_to: str = ""
    reply_times: ReplyTimes = field(default_factory=ReplyTimes)

    async def place(
        self, requirements: PlacementRequirements
    ) -> Placement | PlacementRefused:
        """Request a target; waits while the request is in the broker's queue."""
        self.last_number += 1
        number = self.last_number
        try:
            reply = await self._await_decision(number, requirements)
        except asyncio.CancelledError:
            self._cancel_pending(number)
            raise
        finally:
            self.pending.pop(number, None)
            self.own_refusals.pop(number, None)
        if reply.verdict is Verdict.GRANTED:
            self.runs[number] = LocalRun(
                number,
                reply.target,
                requirements.prompt_tokens,
                self.clock(),
                tuple(part for part, _ in requirements.parts[:-1]),
            )
            return Placement(
                number,
                reply.target,
                reply.address,
                reply.predicted_ms / 1e3,
                reply.software_version,
            )
        return PlacementRefused(
            reply.verdict is Verdict.OVER_QUOTA,
            reply.retry_after_ms / 1e3,
            reply.verdict is Verdict.VERSION_GONE,
            reply.quarantined_part,
            reply.is_too_large,
        )

    def refuse_waiting(
        self, is_refused: Callable[[PlacementRequirements], bool], retry_after_s: float
    ) -> None:
        """Refuse the requests of this process that wait for a broker's decision."""
        for number, pending in list(self.pending.items()):
            if not pending.is_undecided() or not is_refused(pending.requirements):
                continue
            self._send_cancellation(pending.broker, number)
            self.own_refusals[number] = PlacementReply(
                number, Verdict.OVERLOADED, retry_after_ms=int(retry_after_s * 1e3)
            )
            if not pending.reply.done():
                pending.reply.set_result(self.own_refusals[number])

    def record_first_event(
        self, number: int, machine_slowdown: float | None = None
    ) -> None:
        """Record that the first event of a run has arrived.

        `machine_slowdown` is what the target reported of its machine.
        """
        run = self.runs.get(number)
        if run is not None and not run.first_event_seen:
            run.first_event_seen = True
            run.first_event_s = self.clock()
            first_ms = int((run.first_event_s - run.sent_s) * 1e3)
            percent = round((machine_slowdown or 0.0) * 100)
            self._add_update(RunUpdate(number, None, first_ms, machine_percent=percent))

    def record_end(
        self,
        number: int,
        end: RunEnd,
        typical_pause_s: float = 0.0,
        longest_pause_s: float = 0.0,
        has_disconnected: bool = False,
    ) -> None:
        """Record how a run ended, and the pauses between its events.

        `has_disconnected` tells that the engine ended the connection within a response.
        """
        run = self.runs.pop(number, None)
        if run is not None:
            pauses = (int(pause * 1e4) for pause in (typical_pause_s, longest_pause_s))
            self._add_update(RunUpdate(number, end, 0, *pauses))
            has_settled = self.clock() - run.first_event_s >= BEGIN_SETTLE_S
            if has_disconnected and run.parts and not has_settled:
                self.broken_prompts.append(_broken_prompt(run))
                # The broker has to know of it before the request is placed again.
                self.flush_progress()

    def submit(self, request: PlacementRequest, now: float) -> PlacementReply:
        """Submit a request, of this or another member, to the local broker."""
        reply = self.broker.submit(request, now)
        if reply.verdict is Verdict.QUEUED:
            self.on_queued()
        return reply

    def flush_progress(self) -> None:
        """Send the pending run updates to the broker in one message."""
        if not self.pending_updates:
            return
        message = RunProgress(
            self.member_id, tuple(self.pending_updates), tuple(self.broken_prompts)
        )
        self.pending_updates.clear()
        self.broken_prompts.clear()
        node = self.follow_broker()
        if node == self.member_id.node:
            self.broker.apply_progress(message, self.clock())
            self.grant_queued()
        else:
            self.send(node, message)

    def send_report(self) -> None:
        """Report all runs to the broker, to make up for lost messages."""
        self._report_to(self.broker_node())

    def follow_broker(self) -> str:
        """Return the node of the broker to use, which has a report of the runs.

        A broker that takes over would grant their slots again until the next report.
        """
        node = self.broker_node()
        if node != self.reported_to:
            self._log_broker_change(node)
            self._report_to(node)
        return node

    def _log_broker_change(self, node: str) -> None:
        view = self.member_list.views.get(node)
        broker = self.own_heartbeat() if view is None else view.heartbeat
        log(
            EventNumber.BROKER_CHANGED,
            peer=node,
            previous=self.reported_to,
            processor_percent=broker.processor_percent,
            strong_percent=round(self.member_list.strong_percent),
            in_sync=broker.in_sync,
        )

    def _report_to(self, node: str) -> None:
        self.reported_to = node
        now = self.clock()
        message = RunReport(
            sender=self.member_id,
            runs=tuple(
                RunState(
                    run.number,
                    run.target,
                    run.prompt_tokens,
                    int((now - run.sent_s) * 1e3),
                    run.first_event_seen,
                )
                for run in self.runs.values()
            ),
            waiting=tuple(self.pending),
        )
        if node == self.member_id.node:
            self.broker.apply_report(message, now)
        else:
            self.send(node, message)

    def grant_queued(self) -> None:
        """Grant the local broker's queued requests for which a target has room."""
        for addressed in self.broker.grant_queued(self.clock()):
            self.deliver(addressed)

    def refuse_infeasible(self) -> None:
        """Refuse the queued requests of the local broker that can't start in time."""
        for addressed in self.broker.refuse_infeasible(self.clock()):
            self.deliver(addressed)

    def deliver(self, addressed: AddressedReply) -> None:
        """Deliver a reply of the local broker to the requesting member."""
        if addressed.recipient.node == self.member_id.node:
            self.on_reply(addressed.reply, self.member_id.node)
        else:
            reply = msgspec.structs.replace(addressed.reply, broker=self.member_id.node)
            self.send(addressed.recipient.node, reply)

    def on_reply(self, reply: PlacementReply, node: str) -> None:
        """Handle a reply of the broker on the given node."""
        pending = self.pending.get(reply.number)
        is_awaited = pending is not None and not pending.reply.done()
        if is_awaited and pending is not None:
            if pending.sent_s is not None and node == pending.broker:
                self.reply_times.record(node, pending.sent_s, self.clock())
            pending.reply.set_result(reply)
        elif reply.verdict is Verdict.GRANTED and reply.number not in self.runs:
            # The request was abandoned or granted by another broker; without this, the
            # slot would stay reserved.
            self._send_cancellation(node, reply.number)

    def broker_node(self) -> str:
        """Return the node of the broker to use."""
        return self.member_list.broker(self.clock(), self.own_heartbeat())

    async def _await_decision(
        self, number: int, requirements: PlacementRequirements
    ) -> PlacementReply:
        """Return the final reply of a broker; retries until there is one."""
        attempts = _Attempts()
        while True:
            node = self.follow_broker()
            if node != attempts.broker:
                if attempts.is_queued:
                    self._send_cancellation(attempts.broker, number)
                attempts = _Attempts(node, self.clock())
            reply = await self._send_and_wait(number, requirements, attempts)
            if reply is None and attempts.is_queued:
                # Sent again in the next iteration, in case the reply was lost.
                attempts = _Attempts(node, self.clock())
            elif reply is None:
                self._count_unanswered(attempts)
            elif reply.verdict is Verdict.QUEUED:
                attempts.is_queued = True
            else:
                return reply

    def _count_unanswered(self, attempts: "_Attempts") -> None:
        """Suspect the broker after several, unless it replies to other requests."""
        attempts.unanswered += 1
        if attempts.unanswered < MAX_UNANSWERED_ATTEMPTS:
            return
        node = attempts.broker
        if not self.reply_times.has_replied_since(node, attempts.first_sent_s):
            self._mark_suspect(node)
        attempts.unanswered, attempts.first_sent_s = 0, self.clock()

    async def _send_and_wait(
        self, number: int, requirements: PlacementRequirements, attempts: "_Attempts"
    ) -> PlacementReply | None:
        """Send the request unless it is queued; None if no reply arrives in time."""
        if number in self.own_refusals:
            return self.own_refusals[number]
        node, is_queued = attempts.broker, attempts.is_queued
        future: asyncio.Future[PlacementReply] = (
            asyncio.get_running_loop().create_future()
        )
        sent_s = None if is_queued else attempts.first_sent_s
        self.pending[number] = _PendingPlacement(requirements, future, node, sent_s)
        if not is_queued:
            self._send_request(number, requirements, node)
        wait_s = QUEUED_RESEND_S
        if not is_queued:
            wait_s = self.reply_times.wait_s(node, attempts.unanswered)
        await asyncio.wait({future}, timeout=wait_s)
        return future.result() if future.done() else None

    def _send_request(
        self, number: int, requirements: PlacementRequirements, node: str
    ) -> None:
        now = self.clock()
        request = PlacementRequest(
            sender=self.member_id,
            number=number,
            service=requirements.service,
            route=requirements.route,
            account=requirements.account,
            priority=requirements.priority,
            route_priority=requirements.route_priority,
            prompt_tokens=requirements.prompt_tokens,
            output_tokens=requirements.output_tokens,
            parts=requirements.parts,
            objective_ms=int((requirements.objective_s - now) * 1e3),
            client_timeout_ms=int((requirements.client_timeout_s - now) * 1e3),
            deadline_ms=int((requirements.deadline_s - now) * 1e3),
            pause_objective_ms=int(requirements.pause_objective_s * 1e3),
            excluded=requirements.excluded,
            is_retry=requirements.is_retry,
            digest=requirements.digest,
            expected_tokens=requirements.expected_tokens,
            zone=self.zone,
            software_version=requirements.software_version,
            paused=self.paused_targets(requirements.service),
            has_begun=requirements.has_begun,
            is_resumption=requirements.is_resumption,
        )
        if node == self.member_id.node:
            self.on_reply(self.submit(request, now), node)
        else:
            self.send(node, request)

    def _add_update(self, update: RunUpdate) -> None:
        self.pending_updates.append(update)
        if len(self.pending_updates) == 1:
            self.on_pending_updates()

    def _mark_suspect(self, node: str) -> None:
        view = self.member_list.views.get(node)
        if view is None:
            return
        now = self.clock()
        if view.suspect_until_s <= now:
            log(
                EventNumber.BROKER_SUSPECTED,
                peer=node,
                attempts=MAX_UNANSWERED_ATTEMPTS,
                timeout_ms=round(
                    self.reply_times.wait_s(node, MAX_UNANSWERED_ATTEMPTS - 1) * 1e3
                ),
                skipped_s=SUSPICION_S,
            )
        view.suspect_until_s = now + SUSPICION_S

    def _cancel_pending(self, number: int) -> None:
        pending = self.pending.get(number)
        if pending is not None:
            self._send_cancellation(pending.broker, number)

    def _send_cancellation(self, node: str, number: int) -> None:
        if node == self.member_id.node:
            self.broker.cancel_placement(self.member_id, number, self.clock())
        else:
            self.send(node, CancelPlacement(self.member_id, number))


def _broken_prompt(run: LocalRun) -> BrokenPrompt:
    """Describe a run whose engine has ended; long prompts are cut short."""
    reported: list[str] = []
    left_bytes = MAX_REPORTED_NAMES_BYTES
    for part in run.parts[:MAX_REPORTED_PARTS]:
        left_bytes -= len(part.encode())
        if left_bytes < 0:
            break
        reported.append(part)
    return BrokenPrompt(run.target, tuple(reported), run.number)


def retry_excluding(
    requirements: PlacementRequirements, target: str
) -> PlacementRequirements:
    """Return the requirements for a retry that avoids a target that has failed."""
    return dataclasses.replace(
        requirements, excluded=(*requirements.excluded, target), is_retry=True
    )
