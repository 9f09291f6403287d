"""Messages to and from callers."""

from typing import Annotated

import msgspec

from burdockhaven_core.outcome import NotRun, Outcome, Redirect, Unknown

TokenIndex = Annotated[int, msgspec.Meta(ge=0)]


class RequestBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request."""

    # The assignment returned by the look-up.
    assignment: str
    # Idempotency key: the same key under the same assignment is the same request.
    key: str
    request_class: str = msgspec.field(name="class")
    prompt: str
    # Maximum length of the answer, in tokens.
    max_output_tokens: int = 256
    # Milliseconds for the complete answer; None means the deadline of the class.
    deadline_ms: int | None = None
    # Index of the first token to return when a request is repeated.
    offset: TokenIndex = 0


class ResumeBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a call that resumes an earlier request or reads its state."""

    assignment: str
    key: str
    request_class: str = msgspec.field(name="class")
    offset: TokenIndex = 0


class LookUpReply(msgspec.Struct, frozen=True):
    """The entry to use."""

    entry: str
    # Where to connect, as host:port.
    address: str
    # Must be presented with each request.
    assignment: str
    # Seconds for which this reply is valid.
    lasts_s: float


class OutcomeReply(msgspec.Struct, frozen=True):
    """Final outcome of a request that has no complete answer."""

    # "not_run", "unknown" or "elsewhere".
    outcome: str
    # Reason; empty for "elsewhere".
    reason: str = ""
    detail: str = ""
    # Seconds after which to retry; None if a retry would not help.
    retry_after_s: float | None = None
    # Name and address of the entry to use, for "elsewhere".
    entry: str | None = None
    address: str | None = None


class StartedEvent(msgspec.Struct, frozen=True):
    """First event of an answer."""

    # Id of the run, the same on every entry.
    request: str
    target: str


class ChunkEvent(msgspec.Struct, frozen=True):
    """Consecutive tokens of an answer."""

    request: str
    # Index of the first token in the answer.
    offset: int
    # Number of tokens.
    count: int
    text: str


class EndEvent(msgspec.Struct, frozen=True):
    """Last event of a complete answer."""

    request: str
    # Length of the answer, in tokens.
    length: int


class StatusReply(msgspec.Struct, frozen=True):
    """State of a request."""

    # "queued", "running", "whole", "not_run", "unknown" or "elsewhere".
    state: str
    # The final outcome, unless the answer is complete.
    outcome: OutcomeReply | None = None


def outcome_reply(outcome: Outcome) -> OutcomeReply:
    """Convert an outcome to the reply for callers."""
    match outcome:
        case NotRun(reason, detail, retry_after_s):
            return OutcomeReply("not_run", reason.value, detail, retry_after_s)
        case Unknown(reason, detail):
            return OutcomeReply("unknown", reason.value, detail)
        case Redirect(entry, address):
            return OutcomeReply("elsewhere", entry=entry, address=address)
