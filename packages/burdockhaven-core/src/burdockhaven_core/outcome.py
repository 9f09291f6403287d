"""Final outcomes of a request other than a completed answer."""

import enum
from dataclasses import dataclass

from burdockhaven_core.identity import EntryName


class NotRunReason(enum.Enum):
    """Why a request was not run and will never be run under its request id."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_ACCOUNT = "unknown_account"
    UNKNOWN_CLASS = "unknown_class"
    TOO_LARGE = "too_large"
    BAD_ASSIGNMENT = "bad_assignment"
    ASSIGNMENT_EXPIRED = "assignment_expired"
    OVERLOAD = "overload"
    # The request could no longer meet its deadline while it was queued.
    EXPIRED = "expired"
    # Even an idle target could not meet the deadline.
    INFEASIBLE = "infeasible"
    # No target of the group that the account may use accepts new requests.
    NO_TARGET = "no_target"
    # The entry is stopping or not ready; another entry can accept the request.
    UNAVAILABLE = "unavailable"
    # The caller disconnected while the request was queued.
    CANCELLED = "cancelled"
    # The target rejected the request before starting it.
    REJECTED_BY_TARGET = "refused_by_target"


class UnknownReason(enum.Enum):
    """Why it cannot be determined whether a request ran."""

    # The target or the connection to it failed after the dispatch.
    TARGET_LOST = "target_lost"
    # The entry process that owned the request is unreachable or has stopped.
    ENTRY_LOST = "entry_lost"
    # The record of the request is no longer retained.
    RECORD_EXPIRED = "record_expired"
    # The target sent an incomplete or malformed answer.
    BROKEN_ANSWER = "broken_answer"
    # No request with this id has arrived yet; one in transit may still run.
    NOT_SEEN = "not_seen"
    # The caller disconnected after the dispatch and the run was cancelled.
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was not run and will never be run under this request id."""

    reason: NotRunReason
    # Human-readable explanation for the caller.
    detail: str = ""
    # Seconds after which a new request may succeed; None if a retry is pointless.
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have been dispatched and its outcome cannot be determined."""

    reason: UnknownReason
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Redirect:
    """Another entry process owns the request; the caller has to contact it."""

    entry: EntryName
    # Caller address of that entry, for example 127.0.0.1:8101.
    address: str


Outcome = NotRun | Unknown | Redirect
