"""Simulated callers, which cache their assignments and send each request once."""

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

# Seconds before its expiry at which an assignment is no longer used for new requests.
ASSIGNMENT_MARGIN_S = 0.5
# Client timeout, as a multiple of the request's deadline.
CLIENT_TIMEOUT_FACTOR = 2.0
# Seconds until a caller whose entry is unreachable looks up another entry.
RECONNECT_DELAY_S = 0.05


@dataclass(slots=True)
class Request:
    """One request as observed by its caller."""

    arrival: Arrival
    # "whole" for a complete answer, "pending", or why there was none: the reason that
    # the outcome gave, "elsewhere", "connection_lost" or "caller_gone".
    result: str = "pending"
    # Time at which the request ended; None while it is pending.
    ended_s: float | None = None
    # Time at which the first token reached the caller; None until then.
    first_token_s: float | None = None
    last_token_s: float = 0.0
    # For each chunk, the mean seconds per token and the number of tokens.
    token_intervals: list[tuple[float, int]] = field(default_factory=list)
    # The entry to which the request was sent.
    entry: EntryName | None = None

    @property
    def deadline_s(self) -> float:
        """Time by which the complete answer is due at the caller."""
        return self.arrival.at_s + self.arrival.load.spec.deadline_ms / 1000

    @property
    def in_time(self) -> bool:
        """Whether the complete answer arrived by the deadline."""
        completed = self.result == "whole" and self.ended_s is not None
        return completed and (self.ended_s or 0.0) <= self.deadline_s


CallerId = tuple[AccountName, int]


class Callers:
    """All callers of a site, with their assignments and requests."""

    def __init__(self, network: "Network") -> None:
        self.network = network
        self.requests: list[Request] = []
        self.by_handle: dict[int, Request] = {}
        self.by_run: dict[RunId, Request] = {}
        # Assignment of each caller, with the time until which the caller uses it.
        self.assignments: dict[CallerId, tuple[AnswerLookUp, float]] = {}
        # Requests of each caller that wait for the reply to a look-up.
        self.awaiting_look_up: dict[CallerId, list[Request]] = {}
        self._caller_by_look_up: dict[int, CallerId] = {}
        self._handles = itertools.count(1)

    def send(self, arrival: Arrival) -> None:
        """Send one request, after a look-up if the caller has no valid assignment."""
        request = Request(arrival)
        self.requests.append(request)
        self._send(request)

    def on_run_assigned(self, handle: int, run_id: RunId) -> None:
        """Record the run that serves a request."""
        self.by_run[run_id] = self.by_handle[handle]

    def on_progress(self, run_id: RunId, tokens: int) -> None:
        """Record tokens that the entry has relayed to the caller."""
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
        """Record the end of an answer that the entry has relayed to the caller."""
        at_s = self.network.scheduler.now + self.network.site.client_delay_s
        self._settle(self.by_run[run_id], "whole", at_s)

    def on_answer(self, handle: int, answer: Outcome | AnswerLookUp) -> None:
        """Handle the reply to a look-up, or an outcome without a complete answer."""
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
        """End the pending requests of a crashed entry; their outcome is unknown."""
        for request in self.by_handle.values():
            if request.entry == name and request.ended_s is None:
                self._settle(request, "connection_lost", self.network.scheduler.now)

    def _send(self, request: Request) -> None:
        arrival = request.arrival
        caller = (arrival.account, arrival.caller)
        assignment, expires_s = self.assignments.get(caller, (None, 0.0))
        node = (
            None if assignment is None else self.network.entry_named(assignment.entry)
        )
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
        node = self.network.rng.choice(self.network.live_entries())
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
