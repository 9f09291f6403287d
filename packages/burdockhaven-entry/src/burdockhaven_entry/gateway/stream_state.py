"""State of one streamed response across the runs that produce it."""

import dataclasses
import enum
from dataclasses import dataclass, field

from aiohttp import web

from burdockhaven_core.scheduling.crash_attribution import BEGIN_SETTLE_S
from burdockhaven_entry.gateway.event_splitter import StreamEvent
from burdockhaven_entry.gateway.opened_run import OpenedRun
from burdockhaven_entry.gateway.placement_client import (
    PlacementRequirements,
    retry_excluding,
)
from burdockhaven_entry.gateway.routed_request import RoutedRequest
from burdockhaven_entry.platform import parse_whole_number

# Minimum number of pauses from which the speed of an engine is estimated.
MIN_PAUSE_SAMPLES = 3
# Maximum number of runs of a stream for each target that its route allows.
MAX_RUNS_PER_TARGET = 2
# Seconds between two looks for another engine, doubled after each that did not accept
# the request.
REPLACEMENT_RETRY_INTERVAL_S = 0.2
# Seconds before its client disconnects at which a request without a head is answered.
ANSWER_MARGIN_S = 0.3


class RunResult(enum.Enum):
    """Result of one placement of a stream."""

    # The run gave the complete response, or a final error response of the target.
    DONE = 1
    # The target did not run the request; another target may be tried.
    NOT_RUN = 2
    # The run may have started and did not complete.
    BROKEN = 3
    # Nothing was sent, because this process knows that the target leaves.
    NOT_SENT = 4
    # The run was silent until its client was about to leave, and no other engine
    # accepted the request.
    GIVEN_UP = 5


@dataclass(slots=True)
class StreamState:
    """State of one streamed response."""

    routed: RoutedRequest
    requirements: PlacementRequirements
    # Id of the last event that the client has; None before the first.
    last_event_id: str | None
    # Number of attempts that a target may have run, and the targets that may have.
    possible_runs: int = 0
    ran_at: set[str] = field(default_factory=set)
    # The response to the client; None until its head is sent.
    response: web.StreamResponse | None = None
    # The last error response of a target; forwarded if no other run succeeds.
    last_failure: web.Response | None = None
    # Monotonic time in seconds at which an event was last passed to the client; None
    # before the first.
    delivered_s: float | None = None
    # When the present run last produced an event, 0 before its first, and the pauses
    # between its events, in seconds.
    last_event_s: float = 0.0
    pauses_s: list[float] = field(default_factory=list)
    # Whether a target may be running the request or may have run it.
    may_have_run: bool = False
    # Whether the next run is charged to the retry budget already.
    is_retry_acquired: bool = False
    # Sends that targets rejected since the request was committed.
    rejections: int = 0
    # Whether another engine may have run the request beside a silent one.
    was_replaced: bool = False
    # The run beside a silent one whose engine has not accepted or refused it yet.
    asked: OpenedRun | None = None
    # The run at another engine that replaces a silent one; None if the next run needs a
    # placement.
    replacement: OpenedRun | None = None
    # Runs beside a silent one that engines did not accept, and the monotonic time in
    # seconds from which another engine is looked for.
    refused_replacements: int = 0
    search_from_s: float = 0.0
    # When the present run had its first event, 0 before it, and whether any run has
    # gone on after its first event.
    run_began_s: float = 0.0
    has_gone_on: bool = False
    # Whether the software version of the stream is fixed, by its first event.
    is_origin_recorded: bool = False

    @property
    def give_up_s(self) -> float:
        """Monotonic time at which the client disconnects unless an event arrives.

        Without a head, the client still gets an answer then, so it is given up earlier.
        """
        waiting_since_s = self.delivered_s or self.routed.arrived_s
        give_up_s = waiting_since_s + self.routed.route.client_timeout_s
        if self.response is None:
            give_up_s -= ANSWER_MARGIN_S
        return min(self.routed.deadline_s, give_up_s)

    @property
    def is_committed(self) -> bool:
        """Whether the client can no longer be told that the request has not run.

        Its head was sent, or another engine got it while a run was silent.
        """
        return self.response is not None or self.was_replaced

    @property
    def can_run_again(self) -> bool:
        """Whether the route allows another run.

        It limits the number of targets. A stream may return to a sound one whose run
        was ended.
        """
        route = self.routed.route
        if self.was_replaced:
            max_runs = MAX_RUNS_PER_TARGET * route.max_attempts
        else:
            max_runs = route.max_attempts
        return route.idempotent and self.possible_runs < max_runs

    @property
    def may_be_replaced(self) -> bool:
        """Whether another run is allowed once that of a silent engine has ended."""
        max_runs = MAX_RUNS_PER_TARGET * self.routed.route.max_attempts
        return self.possible_runs + 1 < max_runs

    @property
    def has_used_up_targets(self) -> bool:
        """Whether the request may only return to targets that may have run it."""
        return len(self.ran_at) >= self.routed.route.max_attempts

    def current_requirements(self) -> PlacementRequirements:
        """Return what the next run needs of an engine.

        The client of a begun stream waits for its next event, not for its first one.
        Without the digest, a refusal does not count as one of the client.
        """
        requirements = self.requirements
        if self.is_committed:
            requirements = dataclasses.replace(requirements, digest=0)
        if self.delivered_s is not None:
            requirements = dataclasses.replace(
                requirements,
                has_begun=self.has_gone_on,
                objective_s=self.give_up_s,
                client_timeout_s=self.give_up_s,
            )
        return requirements

    def exclude(self, target_id: str) -> None:
        """Avoid a target in the next placements."""
        self.requirements = retry_excluding(self.requirements, target_id)

    def readmit(self, open_ids: set[str]) -> None:
        """Choose the targets that the next placement avoids, given the open ones.

        A request that has used up its targets returns to one of them. Once a committed
        request has been to all open targets, it avoids only the last: a silent engine
        may go on, and a full one may have room again.
        """
        excluded = set(self.requirements.excluded)
        if self.has_used_up_targets:
            excluded = open_ids - self.ran_at
        elif not (self.is_committed and open_ids <= excluded):
            return
        else:
            excluded = set()
        last = self.requirements.excluded[-1:]
        if not open_ids - excluded - set(last):
            last = ()
        self.requirements = dataclasses.replace(
            self.requirements, excluded=(*sorted(excluded - set(last)), *last)
        )

    def record_possible_run(self, target_id: str) -> None:
        """Record that a target may have run the request, and did not complete it."""
        self.possible_runs += 1
        self.routed.trace.failed_runs += 1
        self.ran_at.add(target_id)

    def record_abandoned_run(self, target_id: str) -> None:
        """Record that a run beside a silent one was ended without being used."""
        self.possible_runs += 1
        self.ran_at.add(target_id)
        self.was_replaced = True

    def record_refused_replacement(self, now: float) -> None:
        """Record that an engine did not accept the request beside a silent run."""
        self.refused_replacements += 1
        self.was_replaced |= self.possible_runs > 0
        pause_s = REPLACEMENT_RETRY_INTERVAL_S * 2**self.refused_replacements
        self.search_from_s = now + pause_s

    def begin_run(self) -> None:
        """Record that the request is sent to an engine."""
        self.may_have_run = True
        self.is_retry_acquired = False
        self.last_event_s = self.run_began_s = 0.0
        self.pauses_s.clear()

    def record_event(self, event: StreamEvent, now: float) -> bool:
        """Record an event of the present run; returns whether the client lacks it."""
        trace = self.routed.trace
        if trace.first_event_s is None:
            trace.first_event_s = now - self.routed.arrived_s
        trace.events += 1
        if self.last_event_s:
            pause_s = now - self.last_event_s
            self.pauses_s.append(pause_s)
            trace.longest_pause_s = max(trace.longest_pause_s, pause_s)
        self.last_event_s = now
        self.run_began_s = self.run_began_s or now
        self.has_gone_on |= now - self.run_began_s >= BEGIN_SETTLE_S
        if event.id is not None:
            if _is_duplicate(event.id, self.last_event_id):
                return False
            self.last_event_id = event.id
        self.delivered_s = now
        return True

    def typical_pause_s(self) -> float:
        """Return the lower quartile of the run's pauses; 0 if there are too few.

        Longer pauses include time in which the engine processes the prompt of another
        run.
        """
        if len(self.pauses_s) < MIN_PAUSE_SAMPLES:
            return 0.0
        return sorted(self.pauses_s)[len(self.pauses_s) // 4]

    def longest_pause_s(self) -> float:
        """Return the longest pause of the run; 0 if there is none."""
        return max(self.pauses_s, default=0.0)


def _is_duplicate(event_id: str, last_event_id: str | None) -> bool:
    """Whether an earlier run already sent the event to the client."""
    number = parse_whole_number(event_id)
    last_number = parse_whole_number(last_event_id or "")
    return number is not None and last_number is not None and number <= last_number
