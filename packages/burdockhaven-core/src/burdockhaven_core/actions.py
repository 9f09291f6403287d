"""What an entry wants done: the outputs of `Entry.step`."""

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
    """Keep the body of a new request until it is dispatched or dropped."""

    handle: int
    run_id: RunId


@dataclass(frozen=True, slots=True)
class DiscardBody:
    """Forget the body of a request: it will never be dispatched."""

    run_id: RunId


@dataclass(frozen=True, slots=True)
class StartRun:
    """Send the request to the target, once."""

    run_id: RunId
    target: TargetSpec
    # Whether the request needs a connection that has not been used before.
    fresh_connection: bool
    # When the answer is wanted whole, in monotonic seconds.
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Answer:
    """Give the caller this final answer, at once."""

    handle: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class AttachCaller:
    """Let the caller read a run that this entry already holds, from its start."""

    handle: int
    run_id: RunId


@dataclass(frozen=True, slots=True)
class AnswerLookUp:
    """Tell the caller which entry to use, and for how long."""

    handle: int
    entry: EntryName
    # Where to connect, as host:port.
    address: str
    # The signed assignment that requests present.
    token: str
    # Seconds for which the caller may keep this answer.
    lifetime_s: float


@dataclass(frozen=True, slots=True)
class RecoverRun:
    """Look for a run of a lost entry at the targets; read it but start nothing."""

    handle: int
    run_id: RunId
    targets: tuple[TargetSpec, ...]


@dataclass(frozen=True, slots=True)
class CancelRun:
    """Tell the target to stop the run; nobody wants its answer."""

    run_id: RunId
    target: TargetSpec


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send the message to the member; it may be lost."""

    to: MemberId
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class SendToAddress:
    """Send the message to whatever entry listens at the address, if one does."""

    # A peer address from the VM list, as host:port.
    address: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class RecordRequest:
    """Add one finished request to the metrics."""

    account: AccountName
    class_name: ClassName
    tier: int
    # "whole", or the value of the reason that the caller was given.
    result: str
    # Whether the whole answer arrived before the deadline.
    in_time: bool
    queued_s: float
    # Seconds from arrival to the first token; None if there was none.
    first_token_s: float | None
    total_s: float
    # Prompt tokens that were processed for nothing.
    wasted_prompt_tokens: int
    prompt_tokens: int
    # Seconds that the run held a slot of its target.
    service_s: float


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Log a numbered event; docs/EVENTS.md is the catalogue."""

    number: int
    # Values for the event's message, by name.
    fields: dict[str, str | int | float]


@dataclass(frozen=True, slots=True)
class Stopped:
    """Everything in progress is finished; the process may exit."""


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
