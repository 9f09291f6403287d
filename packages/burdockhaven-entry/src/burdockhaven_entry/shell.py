"""Imperative shell: passes events to the entry's decisions and executes their actions.

The core (`burdockhaven_core.entry`) makes the decisions and performs no I/O. The shell
performs the I/O and owns its state: the answers of runs, the callers that wait for
them, and the background tasks.
"""

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
    CallerDisconnected,
    Event,
    LookUpArrived,
    RequestArrived,
    ResumeArrived,
    RunCompleted,
    RunLost,
    RunProgressed,
)
from burdockhaven_core.identity import AccountName, ClassName, MemberId, RunId
from burdockhaven_core.messages import PeerMessage
from burdockhaven_core.outcome import Outcome, Unknown, UnknownReason
from burdockhaven_entry.answer_buffer import AnswerBuffer, AnswerBufferStore
from burdockhaven_entry.log_events import log_core_event
from burdockhaven_entry.metrics import Metrics
from burdockhaven_entry.run_client import RunClient, RunRequest

# Sends a message to a peer address; never blocks.
Send = Callable[[str, PeerMessage], None]


@dataclass(frozen=True, slots=True)
class RunBody:
    """The part of a request that is passed on to the target."""

    request_class: ClassName
    prompt: str
    max_output_tokens: int


@dataclass(frozen=True, slots=True)
class Exchange:
    """One call of a caller, from its arrival until its response is delivered."""

    # Identifies the exchange in the core's events and actions.
    handle: int
    result: asyncio.Future[AnswerBuffer | actions.AnswerLookUp | Outcome]
    # Index of the first token of the answer that the caller wants.
    offset: int = 0


class Shell:
    """Connects the entry's decisions to callers, targets and peers."""

    def __init__(
        self, entry: Entry, metrics: Metrics, clock: Callable[[], float]
    ) -> None:
        self.entry = entry
        self.metrics = metrics
        self.clock = clock
        self.run_client = RunClient(self.handle_event, clock)
        self.buffers = AnswerBufferStore()
        # Replaced once the peer transport is open.
        self.send: Send = lambda address, message: None
        self.stopped = asyncio.Event()
        # Set while no caller waits for or reads an answer.
        self.no_open_exchanges = asyncio.Event()
        self.no_open_exchanges.set()
        self.exchanges: dict[int, Exchange] = {}
        # Bodies of queued requests, and of requests the core has not accepted yet.
        self.bodies: dict[RunId, RunBody] = {}
        self.submitted_bodies: dict[int, RunBody] = {}
        # Handles of the callers of runs that have produced no token yet.
        self.waiting_handles: dict[RunId, set[int]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._events: deque[Event] = deque()
        self._is_processing = False
        self._last_handle = 0

    def handle_event(self, event: Event) -> None:
        """Process an event after those that are pending.

        Events that arrive while one is processed are queued, because an action may
        itself raise an event.
        """
        self._events.append(event)
        if self._is_processing:
            return
        self._is_processing = True
        try:
            while self._events:
                self._process(self._events.popleft())
        finally:
            self._is_processing = False

    def look_up(self, account: AccountName) -> Exchange:
        """Look up the entry that a caller is to use."""
        exchange = self._open_exchange()
        self.handle_event(LookUpArrived(exchange.handle, account))
        return exchange

    def submit(self, event: RequestArrived, body: RunBody, offset: int = 0) -> Exchange:
        """Submit a request; the handle of the event is replaced by a new one."""
        exchange = self._open_exchange(offset)
        self.submitted_bodies[exchange.handle] = body
        self.handle_event(_with_handle(event, exchange.handle))
        self.submitted_bodies.pop(exchange.handle, None)
        return exchange

    def resume(self, event: ResumeArrived, offset: int = 0) -> Exchange:
        """Attach to an earlier request; the handle is replaced by a new one."""
        exchange = self._open_exchange(offset)
        self.handle_event(
            ResumeArrived(
                exchange.handle,
                event.token,
                event.key,
                event.account,
                event.class_name,
            )
        )
        return exchange

    def close_exchange(self, handle: int) -> None:
        """Remove a caller, whether or not its answer was delivered."""
        if self.exchanges.pop(handle, None) is not None:
            self.handle_event(CallerDisconnected(handle))
        if not self.exchanges:
            self.no_open_exchanges.set()

    async def close(self) -> None:
        """Cancel all tasks and close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.run_client.close()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a background task, which is cancelled when the shell is closed."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _open_exchange(self, offset: int = 0) -> Exchange:
        self._last_handle += 1
        future = asyncio.get_running_loop().create_future()
        exchange = Exchange(self._last_handle, future, offset)
        self.exchanges[exchange.handle] = exchange
        self.no_open_exchanges.clear()
        return exchange

    def _process(self, event: Event) -> None:
        for action in self.entry.step(event, self.clock()):
            self._execute(action)
        if isinstance(event, RunProgressed):
            self._deliver_buffer(event.run_id)
        elif isinstance(event, RunCompleted):
            self._deliver_buffer(event.run_id)
            self.buffers.mark_completed(event.run_id)
        elif isinstance(event, RunLost):
            self.bodies.pop(event.run_id, None)
            self.waiting_handles.pop(event.run_id, None)
            self.buffers.mark_completed(event.run_id)

    def _execute(self, action: Action) -> None:
        match action:
            case actions.StoreBody(handle, run_id):
                self.bodies[run_id] = self.submitted_bodies[handle]
                self.waiting_handles[run_id] = {handle}
            case actions.DiscardBody(run_id):
                self.bodies.pop(run_id, None)
                self.waiting_handles.pop(run_id, None)
                self.buffers.discard(run_id)
            case actions.StartRun():
                self._start_run(action)
            case actions.Answer(handle, outcome):
                self._deliver_outcome(handle, outcome)
            case actions.AttachCaller(handle, run_id):
                self._attach_caller(handle, run_id)
            case actions.AnswerLookUp(handle):
                self._resolve(handle, action)
            case actions.RecoverRun():
                self.spawn(self._recover_run(action))
            case actions.CancelRun(run_id, target):
                self.spawn(self.run_client.cancel(run_id, target))
            case actions.SendMessage(to, message):
                self._send_to_member(to, message)
            case actions.SendToAddress(address, message):
                self.send(address, message)
            case actions.RecordRequest():
                self.metrics.record_request(action)
            case actions.LogEvent():
                log_core_event(action)
            case actions.Stopped():
                self.stopped.set()

    def _send_to_member(self, to: MemberId, message: PeerMessage) -> None:
        membership = self.entry.state.membership
        address = membership.peer_addresses(self.clock()).get(to)
        if address is not None:
            self.send(address, message)

    def _start_run(self, action: actions.StartRun) -> None:
        body = self.bodies[action.run_id]
        state = self.entry.state
        group_name = state.group_by_run[action.run_id]
        kind = state.targets.kinds[group_name]
        request = RunRequest(
            run_id=action.run_id,
            target=action.target,
            request_class=body.request_class,
            model=group_name,
            prompt=body.prompt,
            max_output_tokens=body.max_output_tokens,
            deadline_s=action.deadline_s,
        )
        buffer = self.buffers.open(action.run_id, action.target.name)
        if kind is GroupKind.MODEL:
            self.spawn(self.run_client.run_model(request, buffer))
        else:
            self.spawn(self.run_client.run_service(request, buffer))

    def _deliver_buffer(self, run_id: RunId) -> None:
        """Discard the body of a run and deliver its buffer to the waiting callers."""
        self.bodies.pop(run_id, None)
        for handle in self.waiting_handles.pop(run_id, ()):
            self._resolve(handle, self.buffers.get(run_id))

    def _attach_caller(self, handle: int, run_id: RunId) -> None:
        waiting_handles = self.waiting_handles.get(run_id)
        if waiting_handles is None:
            self._resolve(handle, self.buffers.get(run_id))
        else:
            waiting_handles.add(handle)

    def _deliver_outcome(self, handle: int, outcome: Outcome) -> None:
        exchange = self.exchanges.get(handle)
        if exchange is None:
            return
        if not exchange.result.done():
            exchange.result.set_result(outcome)
            return
        buffer = exchange.result.result()
        if isinstance(buffer, AnswerBuffer) and isinstance(outcome, Unknown):
            buffer.fail(outcome)

    def _resolve(
        self, handle: int, result: AnswerBuffer | actions.AnswerLookUp
    ) -> None:
        exchange = self.exchanges.get(handle)
        if exchange is not None and not exchange.result.done():
            exchange.result.set_result(result)

    async def _recover_run(self, action: actions.RecoverRun) -> None:
        exchange = self.exchanges.get(action.handle)
        if exchange is None:
            return
        buffer = AnswerBuffer(action.run_id, action.targets[0].name, exchange.offset)
        recovery = asyncio.create_task(
            self.run_client.recover(action.run_id, action.targets, buffer)
        )
        first_chunk = asyncio.create_task(buffer.started.wait())
        await asyncio.wait({recovery, first_chunk}, return_when=asyncio.FIRST_COMPLETED)
        first_chunk.cancel()
        if buffer.started.is_set():
            self._resolve(action.handle, buffer)
        if not await recovery:
            buffer.fail(
                Unknown(UnknownReason.TARGET_LOST, "the connection to the target broke")
            )
            detail = (
                "the entry that started the run is lost, and no target holds the run"
            )
            self._deliver_outcome(
                action.handle, Unknown(UnknownReason.ENTRY_LOST, detail)
            )


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
