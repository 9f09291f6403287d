"""What callers send and get."""

from typing import Annotated

import msgspec

from burdockhaven_core.outcome import NotRun, Outcome, Redirect, Unknown

TokenIndex = Annotated[int, msgspec.Meta(ge=0)]


class RequestBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request."""

    # The assignment from the look-up.
    assignment: str
    # Chosen by the caller; the same key under the same assignment is the same request.
    key: str
    request_class: str = msgspec.field(name="class")
    prompt: str
    # The longest answer that is wanted, in tokens.
    max_output_tokens: int = 256
    # Milliseconds for the whole answer; None means the deadline of the class.
    deadline_ms: int | None = None
    # The token of the answer to start from, when a request is sent again.
    offset: TokenIndex = 0


class ResumeBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Asks for the answer of a request that was sent before."""

    assignment: str
    key: str
    request_class: str = msgspec.field(name="class")
    offset: TokenIndex = 0


class LookUpReply(msgspec.Struct, frozen=True):
    """Which entry to use."""

    entry: str
    # Where to connect, as host:port.
    address: str
    # To be presented with each request.
    assignment: str
    # Seconds for which this reply may be kept.
    lasts_s: float


class OutcomeReply(msgspec.Struct, frozen=True):
    """The final answer to a request that has no whole answer of a target."""

    # "not_run", "unknown" or "elsewhere".
    outcome: str
    # Why; empty for "elsewhere".
    reason: str = ""
    detail: str = ""
    # Seconds after which a new request may fare better; None if none will.
    retry_after_s: float | None = None
    # Name and address of the entry to ask, for "elsewhere".
    entry: str | None = None
    address: str | None = None


class StartedEvent(msgspec.Struct, frozen=True):
    """First event of an answer."""

    # Identity of the run, the same on every entry.
    request: str
    target: str


class ChunkEvent(msgspec.Struct, frozen=True):
    """A piece of an answer."""

    request: str
    # Index of the piece's first token in the answer.
    offset: int
    # Tokens in the piece.
    count: int
    text: str


class EndEvent(msgspec.Struct, frozen=True):
    """The answer is whole."""

    request: str
    # Tokens of the whole answer.
    length: int


class StatusReply(msgspec.Struct, frozen=True):
    """How far a request has come."""

    # "queued", "running", "whole", "not_run", "unknown" or "elsewhere".
    state: str
    # The final answer, if there is one other than a whole one.
    outcome: OutcomeReply | None = None


def outcome_reply(outcome: Outcome) -> OutcomeReply:
    """The outcome as callers get it."""
    match outcome:
        case NotRun(reason, detail, retry_after_s):
            return OutcomeReply("not_run", reason.value, detail, retry_after_s)
        case Unknown(reason, detail):
            return OutcomeReply("unknown", reason.value, detail)
        case Redirect(entry, address):
            return OutcomeReply("elsewhere", entry=entry, address=address)
