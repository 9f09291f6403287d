"""The final answers to a request, other than a whole answer of its target."""

import enum
from dataclasses import dataclass

from burdockhaven_core.identity import EntryName


class NotRunReason(enum.Enum):
    """Why a request was not run and never will be under its identity."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_ACCOUNT = "unknown_account"
    UNKNOWN_CLASS = "unknown_class"
    TOO_LARGE = "too_large"
    BAD_ASSIGNMENT = "bad_assignment"
    ASSIGNMENT_EXPIRED = "assignment_expired"
    OVERLOAD = "overload"
    # The deadline passed while the request was queued.
    EXPIRED = "expired"
    # No target could finish in time, not even with nothing else to do.
    INFEASIBLE = "infeasible"
    # The account can reach no target of the group that accepts work.
    NO_TARGET = "no_target"
    # The entry is stopping or not ready; another one can take the request.
    UNAVAILABLE = "unavailable"
    # The caller went away while the request was queued.
    CANCELLED = "cancelled"
    # The target refused the request before starting it.
    REFUSED_BY_TARGET = "refused_by_target"


class UnknownReason(enum.Enum):
    """Why nobody can say whether a request ran."""

    # The target or the connection to it failed after the dispatch.
    TARGET_LOST = "target_lost"
    # The entry process that held the request is gone.
    ENTRY_LOST = "entry_lost"
    # The record of the request is no longer kept.
    RECORD_EXPIRED = "record_expired"
    # The target sent something that is not a whole answer.
    BROKEN_ANSWER = "broken_answer"
    # No request of this identity has arrived; one that is under way may still run.
    NOT_SEEN = "not_seen"
    # The caller went away after the dispatch and the run was cancelled.
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was not run and will not run under this identity."""

    reason: NotRunReason
    # What was wrong, in words for the caller.
    detail: str = ""
    # Seconds after which a new request may fare better; None if none will.
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request was dispatched, or may have been, and its outcome is lost."""

    reason: UnknownReason
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Redirect:
    """Another entry process holds the request; the caller is to ask there."""

    entry: EntryName
    # Caller address of that entry, such as 127.0.0.1:8101.
    address: str


Outcome = NotRun | Unknown | Redirect
