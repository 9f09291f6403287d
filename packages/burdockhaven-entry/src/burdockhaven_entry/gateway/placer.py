"""Asks a broker for the engine of a request, and tells it how the run goes.

The broker of the member that has run longest is asked first. A member that does not
answer is passed over for a while; the last resort is this process's own broker.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from burdockhaven_core.scheduling.broker import AddressedReply, Broker
from burdockhaven_core.scheduling.member_list import MemberList
from burdockhaven_core.scheduling.peer_messages import (
    CancelPlacement,
    Heartbeat,
    MemberId,
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

# Seconds for another member to answer a question; one way between zones takes about a
# millisecond, and a busy process some tens.
ASK_TIMEOUT_S = 0.06
# Questions in a row without an answer after which a member is passed over.
ASK_TRIES = 2
# Seconds for which it is passed over.
SUSPECT_S = 1.5
# Seconds after which a queued question is asked again, in case a reply was lost.
QUEUED_RECHECK_S = 0.2


@dataclass(frozen=True, slots=True)
class PlacementQuestion:
    """What a request needs."""

    service: str
    route: str
    account: str
    priority: int
    route_priority: int
    prompt_tokens: int
    output_tokens: int
    parts: tuple[tuple[str, int], ...]
    # Monotonic seconds at which the first event is late, the client leaves without one,
    # and the request is given up.
    objective_s: float
    patience_s: float
    deadline_s: float
    pause_objective_s: float
    excluded: tuple[str, ...] = ()
    is_retry: bool = False
    # Names what is asked for, the same at each try of a client.
    digest: int = 0
    # Tokens that the answer is expected to have; 0 if the client does not say.
    expected_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Placed:
    """The request may be sent, once."""

    number: int
    target: str
    # host:port of the target.
    address: str = ""
    # Seconds in which the first event is predicted.
    predicted_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is not to be sent."""

    over_quota: bool
    # Seconds after which the client may come back.
    retry_after_s: float


@dataclass(slots=True)
class OwnRun:
    """A run of this process, as it reports it to brokers."""

    number: int
    target: str
    prompt_tokens: int
    sent_s: float
    begun: bool = False


@dataclass(slots=True)
class _Pending:
    """A question that waits for its answer."""

    reply: asyncio.Future[PlacementReply]
    broker: str = ""


Send = Callable[[str, PeerMessage], None]


@dataclass(slots=True)
class Placer:
    """The questions and runs of this process."""

    member_id: MemberId
    member_list: MemberList
    broker: Broker
    own_hello: Callable[[], Heartbeat]
    # Sends a message to the node of that name.
    send: Send
    # Gives monotonic seconds.
    clock: Callable[[], float]
    pending: dict[int, _Pending] = field(default_factory=dict)
    runs: dict[int, OwnRun] = field(default_factory=dict)
    news: list[RunUpdate] = field(default_factory=list)
    last_number: int = 0

    async def place(self, question: PlacementQuestion) -> Placed | Refused:
        """An engine for the request; waits in the broker's queue for it."""
        self.last_number += 1
        number = self.last_number
        try:
            reply = await self._answer(number, question)
        except asyncio.CancelledError:
            self._withdraw(number)
            raise
        finally:
            self.pending.pop(number, None)
        if reply.verdict is Verdict.GRANTED:
            self.runs[number] = OwnRun(
                number, reply.target, question.prompt_tokens, self.clock()
            )
            return Placed(number, reply.target, reply.address, reply.predicted_ms / 1e3)
        return Refused(reply.verdict is Verdict.OVER_QUOTA, reply.retry_after_ms / 1e3)

    def begun(self, number: int) -> None:
        """The first event of a run has come."""
        run = self.runs.get(number)
        if run is not None and not run.begun:
            run.begun = True
            first_ms = int((self.clock() - run.sent_s) * 1e3)
            self.news.append(RunUpdate(number, None, first_ms))

    def ended(self, number: int, end: RunEnd, pause_s: float = 0.0) -> None:
        """A run has left its target."""
        if self.runs.pop(number, None) is not None:
            pause = min(65_535, int(pause_s * 1e4))
            self.news.append(RunUpdate(number, end, 0, pause))

    def flush_news(self) -> None:
        """Tell the broker what has happened to runs."""
        if not self.news:
            return
        message = RunProgress(self.member_id, tuple(self.news))
        self.news.clear()
        node = self.broker_node()
        if node == self.member_id.node:
            self.broker.apply_progress(message, self.clock())
            self.pump()
        else:
            self.send(node, message)

    def report(self) -> None:
        """Tell the broker all runs, so that it can correct what messages lost."""
        node = self.broker_node()
        now = self.clock()
        message = RunReport(
            sender=self.member_id,
            runs=tuple(
                RunState(
                    run.number,
                    run.target,
                    run.prompt_tokens,
                    int((now - run.sent_s) * 1e3),
                    run.begun,
                )
                for run in self.runs.values()
            ),
            waiting=tuple(self.pending),
        )
        if node == self.member_id.node:
            self.broker.apply_report(message, now)
        else:
            self.send(node, message)

    def pump(self) -> None:
        """Let the own broker grant what fits now."""
        for answered in self.broker.grant_queued(self.clock()):
            self.deliver(answered)

    def refuse_infeasible(self) -> None:
        """Let the own broker refuse what it will not serve in time."""
        for answered in self.broker.refuse_infeasible(self.clock()):
            self.deliver(answered)

    def deliver(self, answered: AddressedReply) -> None:
        """Bring a reply of the own broker to the member that asked."""
        if answered.recipient.node == self.member_id.node:
            self.on_reply(answered.reply, self.member_id.node)
        else:
            reply = msgspec.structs.replace(answered.reply, broker=self.member_id.node)
            self.send(answered.recipient.node, reply)

    def on_reply(self, reply: PlacementReply, node: str) -> None:
        """A broker has answered."""
        pending = self.pending.get(reply.number)
        wanted = pending is not None and not pending.reply.done()
        if wanted and pending is not None:
            pending.reply.set_result(reply)
        elif reply.verdict is Verdict.GRANTED and reply.number not in self.runs:
            # The question was given up or answered by another broker.
            self._send_withdraw(node, reply.number)

    def broker_node(self) -> str:
        """The member to ask now."""
        nodes = self.member_list.broker_order(self.clock(), self.own_hello())
        return nodes[0] if nodes else self.member_id.node

    async def _answer(self, number: int, question: PlacementQuestion) -> PlacementReply:
        """The final answer of a broker; asks again while none comes."""
        tries = 0
        # The broker that holds the question in its queue; empty while none is known to.
        queued_at = ""
        while True:
            node = self.broker_node()
            if queued_at and queued_at != node:
                self._send_withdraw(queued_at, number)
                queued_at = ""
            reply = await self._exchange(number, question, node, bool(queued_at))
            if reply is None and queued_at:
                # Asked again in the next round, in case a reply was lost.
                queued_at = ""
            elif reply is None:
                tries += 1
                if tries >= ASK_TRIES:
                    self._suspect(node)
                    tries = 0
            elif reply.verdict is Verdict.QUEUED:
                queued_at, tries = node, 0
            else:
                return reply

    async def _exchange(
        self, number: int, question: PlacementQuestion, node: str, queued: bool
    ) -> PlacementReply | None:
        """Ask, unless the question is queued, and wait; None if no answer came."""
        future: asyncio.Future[PlacementReply] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending[number] = _Pending(future, node)
        if not queued:
            self._ask(number, question, node)
        timeout_s = QUEUED_RECHECK_S if queued else ASK_TIMEOUT_S
        await asyncio.wait({future}, timeout=timeout_s)
        return future.result() if future.done() else None

    def _ask(self, number: int, question: PlacementQuestion, node: str) -> None:
        now = self.clock()
        ask = PlacementRequest(
            sender=self.member_id,
            number=number,
            service=question.service,
            route=question.route,
            account=question.account,
            priority=question.priority,
            route_priority=question.route_priority,
            prompt_tokens=question.prompt_tokens,
            output_tokens=question.output_tokens,
            parts=question.parts,
            objective_ms=int((question.objective_s - now) * 1e3),
            client_timeout_ms=int((question.patience_s - now) * 1e3),
            deadline_ms=int((question.deadline_s - now) * 1e3),
            pause_objective_ms=int(question.pause_objective_s * 1e3),
            excluded=question.excluded,
            is_retry=question.is_retry,
            digest=question.digest,
            expected_tokens=question.expected_tokens,
        )
        if node == self.member_id.node:
            self.on_reply(self.broker.submit(ask, now), node)
        else:
            self.send(node, ask)

    def _suspect(self, node: str) -> None:
        view = self.member_list.views.get(node)
        if view is not None:
            view.suspect_until_s = self.clock() + SUSPECT_S

    def _withdraw(self, number: int) -> None:
        pending = self.pending.get(number)
        if pending is not None:
            self._send_withdraw(pending.broker, number)

    def _send_withdraw(self, node: str, number: int) -> None:
        if node == self.member_id.node:
            self.broker.cancel_placement(self.member_id, number)
        else:
            self.send(node, CancelPlacement(self.member_id, number))


def with_excluded(question: PlacementQuestion, target: str) -> PlacementQuestion:
    """The question of a request that a target has failed."""
    return dataclasses.replace(
        question, excluded=(*question.excluded, target), is_retry=True
    )
