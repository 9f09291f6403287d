"""Actions returned by `Entry.step`, to be carried out by its caller."""

from dataclasses import dataclass

from burdockhaven_core.configuration import TargetSpec
from burdockhaven_core.identity import (
    AccountName,
    ClassName,
    EntryName,
    MemberId,
    RunId,
)
from burdockhaven_core.messages import PeerMessage
from burdockhaven_core.outcome import Outcome


@dataclass(frozen=True, slots=True)
class StoreBody:
    """Store the body of a new request until it is dispatched or discarded."""

    handle: int
    run_id: RunId


@dataclass(frozen=True, slots=True)
class DiscardBody:
    """Discard the body of a request that will not be dispatched."""

    run_id: RunId


@dataclass(frozen=True, slots=True)
class StartRun:
    """Send the request to the target exactly once, without retries."""

    run_id: RunId
    target: TargetSpec
    # Whether the request has to be sent on a new connection.
    fresh_connection: bool
    # Deadline for the complete answer, in monotonic seconds.
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Answer:
    """Give the caller this final answer."""

    handle: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class AttachCaller:
    """Let the caller read the answer of an existing run from its start."""

    handle: int
    run_id: RunId


@dataclass(frozen=True, slots=True)
class AnswerLookUp:
    """Give the caller an assignment to an entry."""

    handle: int
    entry: EntryName
    # Caller address of the entry, as host:port.
    address: str
    # Signed assignment to be presented with each request.
    token: str
    # Seconds for which the caller may use the assignment.
    lifetime_s: float


@dataclass(frozen=True, slots=True)
class RecoverRun:
    """Find a run of a lost entry at the targets and read it; never start a run."""

    handle: int
    run_id: RunId
    targets: tuple[TargetSpec, ...]


@dataclass(frozen=True, slots=True)
class CancelRun:
    """Cancel the run at its target: no caller waits for its answer."""

    run_id: RunId
    target: TargetSpec


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send the message to the member, without a delivery guarantee."""

    to: MemberId
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class SendToAddress:
    """Send the message to an address whose member id is not known yet."""

    # Peer address from the VM list, as host:port.
    address: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class RecordRequest:
    """Add one finished request to the metrics."""

    account: AccountName
    class_name: ClassName
    tier: int
    # "whole" for a completed answer, else the value of the reason for its outcome.
    result: str
    # Whether the complete answer arrived before the deadline.
    in_time: bool
    queued_s: float
    # Seconds from arrival to the first token; None if there was none.
    first_token_s: float | None
    total_s: float
    # Prompt tokens processed for a run without a complete answer.
    wasted_prompt_tokens: int
    prompt_tokens: int
    # Seconds from the dispatch of the run to its end.
    service_s: float


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Log a numbered event; docs/EVENTS.md lists them all."""

    number: int
    # Values of the event's fields, by name.
    fields: dict[str, str | int | float]


@dataclass(frozen=True, slots=True)
class Stopped:
    """Let the process exit: the drain has finished."""


Action = (
    StoreBody
    | DiscardBody
    | StartRun
    | Answer
    | AttachCaller
    | AnswerLookUp
    | RecoverRun
    | CancelRun
    | SendMessage
    | SendToAddress
    | RecordRequest
    | LogEvent
    | Stopped
)
