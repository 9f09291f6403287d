"""Feeds events to the entry's decisions and carries out what they ask for."""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from burdockhaven_core import actions
from burdockhaven_core.actions import Action
from burdockhaven_core.configuration import GroupKind
from burdockhaven_core.entry import Entry
from burdockhaven_core.events import (
    CallerGone,
    Event,
    LookUpArrived,
    RequestArrived,
    ResumeArrived,
    RunFinished,
    RunLost,
    RunProgressed,
)
from burdockhaven_core.identity import AccountName, ClassName, MemberId, RunId
from burdockhaven_core.messages import PeerMessage
from burdockhaven_core.outcome import Outcome, Unknown, UnknownReason
from burdockhaven_entry.log_events import log_note
from burdockhaven_entry.metrics import Metrics
from burdockhaven_entry.relay import Relay, RelayStore
from burdockhaven_entry.target_link import RunOrder, TargetLink

Send = Callable[[str, PeerMessage], None]


@dataclass(frozen=True, slots=True)
class Body:
    """What a caller wants a target to get."""

    request_class: ClassName
    prompt: str
    max_output_tokens: int


@dataclass(frozen=True, slots=True)
class Exchange:
    """One caller that waits: for a relay to read, a look-up, or its final answer."""

    handle: int
    result: asyncio.Future[Relay | actions.AnswerLookUp | Outcome]
    # The token of the answer that the caller wants first.
    offset: int = 0


class Shell:
    """Everything between the entry's decisions and the outside."""

    def __init__(
        self, entry: Entry, metrics: Metrics, clock: Callable[[], float]
    ) -> None:
        self.entry = entry
        self.metrics = metrics
        self.clock = clock
        self.targets = TargetLink(self.handle, clock)
        self.relays = RelayStore()
        # Sends a message to the member that listens at an address.
        self.send: Send = lambda address, message: None
        self.stopped = asyncio.Event()
        # Set while no caller waits or reads.
        self.no_callers = asyncio.Event()
        self.no_callers.set()
        self.exchanges: dict[int, Exchange] = {}
        # Bodies of requests that are queued, and of those not taken in yet.
        self.bodies: dict[RunId, Body] = {}
        self.arriving: dict[int, Body] = {}
        # Callers of runs that have brought no token yet.
        self.waiting: dict[RunId, set[int]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._events: deque[Event] = deque()
        self._handling = False
        self._last_handle = 0

    def handle(self, event: Event) -> None:
        """Let the entry decide on an event, after those that came before."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._handling = False

    def look_up(self, account: AccountName) -> Exchange:
        """Ask which entry a caller is to use."""
        exchange = self._exchange()
        self.handle(LookUpArrived(exchange.handle, account))
        return exchange

    def submit(self, event: RequestArrived, body: Body, offset: int = 0) -> Exchange:
        """Take in a request; its handle is set here."""
        exchange = self._exchange(offset)
        self.arriving[exchange.handle] = body
        self.handle(_with_handle(event, exchange.handle))
        self.arriving.pop(exchange.handle, None)
        return exchange

    def resume(self, event: ResumeArrived, offset: int = 0) -> Exchange:
        """Join a request that was sent before; the handle is set here."""
        exchange = self._exchange(offset)
        self.handle(
            ResumeArrived(
                exchange.handle,
                event.token,
                event.key,
                event.account,
                event.class_name,
            )
        )
        return exchange

    def leave(self, handle: int) -> None:
        """Forget a caller, whether it has got its answer or not."""
        if self.exchanges.pop(handle, None) is not None:
            self.handle(CallerGone(handle))
        if not self.exchanges:
            self.no_callers.set()

    async def close(self) -> None:
        """End all tasks and connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.targets.close()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work beside the rest until it ends or the shell is closed."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _exchange(self, offset: int = 0) -> Exchange:
        self._last_handle += 1
        future = asyncio.get_running_loop().create_future()
        exchange = Exchange(self._last_handle, future, offset)
        self.exchanges[exchange.handle] = exchange
        self.no_callers.clear()
        return exchange

    def _step(self, event: Event) -> None:
        for action in self.entry.step(event, self.clock()):
            self._perform(action)
        if isinstance(event, RunProgressed):
            self._let_read(event.run_id)
        elif isinstance(event, RunFinished):
            self._let_read(event.run_id)
            self.relays.close(event.run_id)
        elif isinstance(event, RunLost):
            self.bodies.pop(event.run_id, None)
            self.waiting.pop(event.run_id, None)
            self.relays.close(event.run_id)

    def _perform(self, action: Action) -> None:
        match action:
            case actions.Keep(handle, run_id):
                self.bodies[run_id] = self.arriving[handle]
                self.waiting[run_id] = {handle}
            case actions.Drop(run_id):
                self.bodies.pop(run_id, None)
                self.waiting.pop(run_id, None)
                self.relays.drop(run_id)
            case actions.StartRun():
                self._start(action)
            case actions.Answer(handle, outcome):
                self._answer(handle, outcome)
            case actions.Attach(handle, run_id):
                self._attach(handle, run_id)
            case actions.AnswerLookUp(handle):
                self._resolve(handle, action)
            case actions.Recover():
                self.spawn(self._recover(action))
            case actions.CancelRun(run_id, target):
                self.spawn(self.targets.cancel(run_id, target))
            case actions.SendMessage(to, message):
                self._send(to, message)
            case actions.Greet(address, message):
                self.send(address, message)
            case actions.RecordRequest():
                self.metrics.record(action)
            case actions.Note():
                log_note(action)
            case actions.Stopped():
                self.stopped.set()

    def _send(self, to: MemberId, message: PeerMessage) -> None:
        membership = self.entry.state.membership
        address = membership.addresses(self.clock()).get(to)
        if address is not None:
            self.send(address, message)

    def _start(self, action: actions.StartRun) -> None:
        body = self.bodies[action.run_id]
        state = self.entry.state
        group_name = state.group_of[action.run_id]
        kind = state.targets.kinds[group_name]
        order = RunOrder(
            run_id=action.run_id,
            target=action.target,
            request_class=body.request_class,
            model=group_name,
            prompt=body.prompt,
            max_output_tokens=body.max_output_tokens,
            deadline_s=action.deadline_s,
        )
        relay = self.relays.open(action.run_id, action.target.name)
        if kind is GroupKind.MODEL:
            self.spawn(self.targets.run_model(order, relay))
        else:
            self.spawn(self.targets.run_service(order, relay))

    def _let_read(self, run_id: RunId) -> None:
        """Hand the relay of a run that brings tokens to the callers that wait."""
        self.bodies.pop(run_id, None)
        for handle in self.waiting.pop(run_id, ()):
            self._resolve(handle, self.relays.find(run_id))

    def _attach(self, handle: int, run_id: RunId) -> None:
        waiting = self.waiting.get(run_id)
        if waiting is None:
            self._resolve(handle, self.relays.find(run_id))
        else:
            waiting.add(handle)

    def _answer(self, handle: int, outcome: Outcome) -> None:
        exchange = self.exchanges.get(handle)
        if exchange is None:
            return
        if not exchange.result.done():
            exchange.result.set_result(outcome)
            return
        relay = exchange.result.result()
        if isinstance(relay, Relay) and isinstance(outcome, Unknown):
            relay.fail(outcome)

    def _resolve(self, handle: int, result: Relay | actions.AnswerLookUp) -> None:
        exchange = self.exchanges.get(handle)
        if exchange is not None and not exchange.result.done():
            exchange.result.set_result(result)

    async def _recover(self, action: actions.Recover) -> None:
        exchange = self.exchanges.get(action.handle)
        if exchange is None:
            return
        relay = Relay(action.run_id, action.targets[0].name, exchange.offset)
        reading = asyncio.create_task(
            self.targets.recover(action.run_id, action.targets, relay)
        )
        first = asyncio.create_task(relay.started.wait())
        await asyncio.wait({reading, first}, return_when=asyncio.FIRST_COMPLETED)
        first.cancel()
        if relay.started.is_set():
            self._resolve(action.handle, relay)
        if not await reading:
            relay.fail(Unknown(UnknownReason.TARGET_LOST, "the run broke off"))
            detail = "the entry is gone and no target holds the run"
            self._answer(action.handle, Unknown(UnknownReason.ENTRY_LOST, detail))


def _with_handle(event: RequestArrived, handle: int) -> RequestArrived:
    return RequestArrived(
        handle=handle,
        token=event.token,
        key=event.key,
        account=event.account,
        class_name=event.class_name,
        prompt_tokens=event.prompt_tokens,
        max_output_tokens=event.max_output_tokens,
        prefix=event.prefix,
        deadline_ms=event.deadline_ms,
    )
