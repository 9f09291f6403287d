"""Callers: they look up an entry, keep the answer for a while, and try once."""

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from burdockhaven_bench.lengths import max_length
from burdockhaven_bench.workload import Arrival
from burdockhaven_core.actions import AnswerLookUp
from burdockhaven_core.events import CallerDisconnected, LookUpArrived, RequestArrived
from burdockhaven_core.identity import AccountName, EntryName, RunId
from burdockhaven_core.outcome import NotRun, Outcome, Unknown

if TYPE_CHECKING:
    from burdockhaven_bench.network import Network

# Seconds before its end at which an assignment is no longer used for new requests.
ASSIGNMENT_MARGIN_S = 0.5
# Callers give up at this multiple of their deadline.
CLIENT_TIMEOUT_FACTOR = 2.0
# Seconds until a caller whose entry cannot be reached looks up another one.
RECONNECT_DELAY_S = 0.05


@dataclass(slots=True)
class Request:
    """One request as its caller saw it."""

    arrival: Arrival
    # "whole", "pending", or the value of the reason that the caller was given.
    result: str = "pending"
    # Time of the final answer; None before it.
    ended_s: float | None = None
    # Arrival of the first token at the caller; None before it.
    first_token_s: float | None = None
    last_token_s: float = 0.0
    # Seconds between tokens with the number of tokens, by chunk.
    token_intervals: list[tuple[float, int]] = field(default_factory=list)
    # The entry that the request was sent to.
    entry: EntryName | None = None

    @property
    def deadline_s(self) -> float:
        """When the whole answer is due at the caller."""
        return self.arrival.at_s + self.arrival.load.spec.deadline_ms / 1000

    @property
    def in_time(self) -> bool:
        """Whether the whole answer arrived before the deadline."""
        completed = self.result == "whole" and self.ended_s is not None
        return completed and (self.ended_s or 0.0) <= self.deadline_s


CallerId = tuple[AccountName, int]


class Callers:
    """All callers of a site."""

    def __init__(self, network: "Network") -> None:
        self.network = network
        self.requests: list[Request] = []
        self.by_handle: dict[int, Request] = {}
        self.by_run: dict[RunId, Request] = {}
        # Assignment of each caller, with the time up to which it is used.
        self.assignments: dict[CallerId, tuple[AnswerLookUp, float]] = {}
        # Requests of each caller that wait for a look-up.
        self.awaiting_look_up: dict[CallerId, list[Request]] = {}
        self._caller_by_look_up: dict[int, CallerId] = {}
        self._handles = itertools.count(1)

    def send(self, arrival: Arrival) -> None:
        """Send one request, after a look-up if there is no assignment."""
        request = Request(arrival)
        self.requests.append(request)
        self._send(request)

    def on_run_assigned(self, handle: int, run_id: RunId) -> None:
        """Note which run serves a request."""
        self.by_run[run_id] = self.by_handle[handle]

    def on_progress(self, run_id: RunId, tokens: int) -> None:
        """Tokens passed the entry on their way to the caller."""
        request = self.by_run[run_id]
        at_s = self.network.scheduler.now + self.network.site.client_delay_s
        if request.first_token_s is None:
            request.first_token_s = at_s
        else:
            request.token_intervals.append(
                ((at_s - request.last_token_s) / tokens, tokens)
            )
        request.last_token_s = at_s

    def on_finished(self, run_id: RunId) -> None:
        """The end of the answer passed the entry on its way to the caller."""
        at_s = self.network.scheduler.now + self.network.site.client_delay_s
        self._settle(self.by_run[run_id], "whole", at_s)

    def on_answer(self, handle: int, answer: Outcome | AnswerLookUp) -> None:
        """Take in an answer other than a whole one."""
        now = self.network.scheduler.now
        if isinstance(answer, AnswerLookUp):
            caller = self._caller_by_look_up.pop(handle)
            expires_s = now + answer.lifetime_s - ASSIGNMENT_MARGIN_S
            self.assignments[caller] = (answer, expires_s)
            for request in self.awaiting_look_up.pop(caller, []):
                self._send(request)
            return
        if handle in self._caller_by_look_up:
            self._look_up(self._caller_by_look_up.pop(handle))
            return
        result = "elsewhere"
        if isinstance(answer, NotRun | Unknown):
            result = answer.reason.value
        self._settle(self.by_handle[handle], result, now)

    def on_entry_crash(self, name: EntryName) -> None:
        """Requests at a dead entry lose their connection; their outcome is unknown."""
        for request in self.by_handle.values():
            if request.entry == name and request.ended_s is None:
                self._settle(request, "connection_lost", self.network.scheduler.now)

    def _send(self, request: Request) -> None:
        arrival = request.arrival
        caller = (arrival.account, arrival.caller)
        assignment, expires_s = self.assignments.get(caller, (None, 0.0))
        node = None if assignment is None else self.network.find(assignment.entry)
        usable = expires_s > self.network.scheduler.now and node is not None
        if assignment is None or node is None or not usable or not node.alive:
            self.assignments.pop(caller, None)
            awaiting_look_up = self.awaiting_look_up.setdefault(caller, [])
            awaiting_look_up.append(request)
            if len(awaiting_look_up) == 1:
                self._look_up(caller)
            return
        handle = next(self._handles)
        self.by_handle[handle] = request
        request.entry = assignment.entry
        event = _request_arrived(handle, assignment.token, arrival)
        self.network.scheduler.after(
            self.network.site.client_delay_s, lambda: node.feed(event)
        )
        client_timeout_s = arrival.load.spec.deadline_ms / 1000 * CLIENT_TIMEOUT_FACTOR

        def time_out() -> None:
            if request.ended_s is None:
                self._settle(request, "caller_gone", self.network.scheduler.now)
                node.feed(CallerDisconnected(handle))

        self.network.scheduler.at(arrival.at_s + client_timeout_s, time_out)

    def _look_up(self, caller: CallerId) -> None:
        handle = next(self._handles)
        self._caller_by_look_up[handle] = caller
        node = self.network.rng.choice(self.network.living())
        event = LookUpArrived(handle, caller[0])
        self.network.scheduler.after(
            self.network.site.client_delay_s, lambda: node.feed(event)
        )

    def _settle(self, request: Request, result: str, at_s: float) -> None:
        if request.ended_s is None:
            request.result = result
            request.ended_s = at_s


def _request_arrived(handle: int, token: str, arrival: Arrival) -> RequestArrived:
    return RequestArrived(
        handle=handle,
        token=token,
        key=f"{arrival.number:016x}",
        account=arrival.account,
        class_name=arrival.load.spec.name,
        prompt_tokens=arrival.prompt_tokens,
        max_output_tokens=2 * max_length(arrival.load.output_tokens),
        prefix=arrival.prefix,
    )
