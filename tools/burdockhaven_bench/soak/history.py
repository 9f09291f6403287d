"""What clients, targets and the store saw in one run; the only input of the oracle.

All times are seconds of one monotonic clock.
"""

import enum
import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from burdockhaven_standins.platform_targets import EngineCrash, RequestEnd


class Ending(enum.Enum):
    """How an attempt ended at its client."""

    # A whole response was read.
    COMPLETE = "complete"
    # The connection ended before the response was whole.
    CLOSED = "closed"
    # The client gave up waiting.
    ABANDONED = "abandoned"
    # The client left early, as planned.
    LEFT = "left"
    # The connection ended before the request was sent whole.
    UNSENT = "unsent"


class FaultKind(enum.Enum):
    """Faults and planned work."""

    STOP = "stop"
    HANGUP = "hangup"
    FREEZE = "freeze"
    KILL = "kill"
    CONFIGURE = "configure"
    STORE_DOWN = "store-down"
    STORE_SLOW = "store-slow"
    STORE_DROPS_RESPONSES = "store-drops-responses"
    TARGET_SILENT = "target-silent"
    TARGET_ABORT = "target-abort"
    TARGET_DRAIN = "target-drain"
    TARGET_LEAVE = "target-leave"
    TARGET_PAUSE = "target-pause"
    LINK_RESET = "link-reset"
    LINK_SILENT = "link-silent"
    LINK_DELAY = "link-delay"
    LINK_PIECES = "link-pieces"
    TAINTED_PART = "tainted-part"
    ENGINES_FULL = "engines-full"


PROCESS_DISRUPTIONS = frozenset({FaultKind.FREEZE, FaultKind.KILL})
STORE_DISRUPTIONS = frozenset(
    {FaultKind.STORE_DOWN, FaultKind.STORE_SLOW, FaultKind.STORE_DROPS_RESPONSES}
)
# Data in odd pieces is no disruption.
LINK_DISRUPTIONS = frozenset(
    {FaultKind.LINK_RESET, FaultKind.LINK_SILENT, FaultKind.LINK_DELAY}
)


@dataclass(frozen=True, slots=True)
class RouteFacts:
    """What a route allows."""

    # Whether a request may be executed more than once.
    is_idempotent: bool
    is_streaming: bool
    timeout_s: float
    # Maximum number of targets that may execute one attempt.
    max_attempts: int


@dataclass(frozen=True, slots=True)
class Event:
    """One event of a stream as the client received it."""

    number: int
    # Software version and id of the target that wrote it, and the attempt it names.
    version: str
    target: str
    attempt: str


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request of a client, sent once."""

    id: str
    # Number of the request, shared by all its attempts.
    request: int
    route: str
    api_key: str
    # Process that accepted the connection.
    process: str
    # Connection number, and position of the attempt on the connection from 0.
    connection: int
    position: int
    # Time at which the last byte was sent; None if that did not happen.
    sent_s: float | None
    ended_s: float
    ending: Ending
    # Seconds that the client named as its deadline; None for none.
    deadline_s: float | None = None
    # None without a response head.
    status: int | None = None
    head_s: float | None = None
    # Response headers, by lower-case name.
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    events: tuple[Event, ...] = ()
    # Number of the last event of a complete stream.
    expected_events: int = 0
    # Number of the last event that the client already has.
    last_event: int = 0
    # Attempt that brought the first event; empty if the stream is new.
    resumes: str = ""
    # Whether the connection was cut within the response to a request sent before it.
    is_behind_cut: bool = False
    # Bytes that arrived on the connection before this request was sent.
    unrequested_bytes: bytes = b""
    # Ids of the parts of the prompt, in order.
    parts: tuple[str, ...] = ()

    def header(self, name: str) -> str:
        """Return the value of a response header; empty if it is missing."""
        return dict(self.headers).get(name.lower(), "")


@dataclass(frozen=True, slots=True)
class Execution:
    """A request as a target saw it."""

    attempt: str
    target: str
    service: str
    account: str
    deadline_ms: float | None
    arrived_s: float
    # Infinite if it was still running at the end.
    ended_s: float
    end: RequestEnd | None
    # Pause in seconds that the rejection asked for; None if it asked for none.
    retry_after_s: float | None = None

    @property
    def has_run(self) -> bool:
        """Whether the target began to work on the request."""
        return self.end is not RequestEnd.REJECTED


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault or a piece of planned work that was applied."""

    kind: FaultKind
    # Process, target, part of prompts or store that it affects; for a configuration,
    # the version.
    subject: str
    started_s: float
    ended_s: float

    def overlaps(self, start_s: float, end_s: float) -> bool:
        """Whether it was active at any time between two times."""
        return self.started_s <= end_s and self.ended_s >= start_s


@dataclass(frozen=True, slots=True)
class Configuration:
    """A configuration that the store acknowledged."""

    version: int
    acknowledged_s: float
    api_keys: frozenset[str]
    # Service of each route.
    services: dict[str, str]


@dataclass(frozen=True, slots=True)
class Process:
    """One daemon process."""

    name: str
    started_s: float
    # Infinite if it ran until the end.
    ended_s: float
    # None while it runs.
    exit_code: int | None


@dataclass(frozen=True, slots=True)
class Target:
    """One start of a target, and its software version."""

    id: str
    service: str
    version: str
    started_s: float
    # Time at which the store acknowledged that it drains; infinite if it did not.
    draining_s: float = math.inf
    # Time at which it ended; infinite if it did not.
    ended_s: float = math.inf


@dataclass(frozen=True)
class History:
    """Everything that was seen in one run."""

    routes: dict[str, RouteFacts]
    attempts: tuple[Attempt, ...]
    executions: tuple[Execution, ...]
    faults: tuple[Fault, ...] = ()
    configurations: tuple[Configuration, ...] = ()
    processes: tuple[Process, ...] = ()
    targets: tuple[Target, ...] = ()
    # In order of time.
    crashes: tuple[EngineCrash, ...] = ()

    def executions_by_attempt(self) -> dict[str, list[Execution]]:
        """Group what targets saw by attempt, in order of arrival."""
        grouped: dict[str, list[Execution]] = defaultdict(list)
        for execution in sorted(self.executions, key=lambda e: e.arrived_s):
            grouped[execution.attempt].append(execution)
        return grouped

    def faults_of(self, *kinds: FaultKind, subject: str | None = None) -> list[Fault]:
        """Return the faults of these kinds, of one subject if it is given."""
        return [
            fault
            for fault in self.faults
            if fault.kind in kinds and subject in (None, fault.subject)
        ]

    def is_disrupted(
        self, kinds: Iterable[FaultKind], start_s: float, end_s: float
    ) -> bool:
        """Whether a fault of these kinds was active between two times."""
        faults = self.faults_of(*kinds)
        return any(fault.overlaps(start_s, end_s) for fault in faults)
