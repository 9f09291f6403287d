"""Answers of the administration API, shared by the daemon and the command line."""

import enum

import msgspec

from burdockhaven_core.configuration import (
    AccountParameters,
    ChangeRecord,
    Template,
)
from burdockhaven_core.configuration_check import Fault
from burdockhaven_core.identity import AccountName


class ChangeResult(enum.Enum):
    """What became of a change."""

    ACCEPTED = "accepted"
    # A dry run found nothing wrong; nothing was changed.
    VALID = "valid"
    # Another change was made to the expected version.
    CONFLICT = "conflict"
    # The configuration would have faults, or the request itself has.
    INVALID = "invalid"
    # Not made, and not to be made unless it is asked for again.
    NOT_DONE = "not_done"
    # Made or not: ask for the operation again.
    UNKNOWN = "unknown"


class InForceReply(msgspec.Struct, frozen=True):
    """How far a version has spread."""

    version: int
    # Live entries that have this version or a newer one in force.
    on: int
    # Entries that are live.
    of: int


class ChangeReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer to a change, a dry run or a question for an operation."""

    result: ChangeResult
    operation_id: str
    # The version that the change made, or the one that is accepted now; 0 if not known.
    version: int = 0
    in_force: InForceReply | None = None
    # The change that won, in a conflict.
    winner: ChangeRecord | None = None
    faults: tuple[Fault, ...] = ()
    # Why nothing was done, or why the outcome is not known.
    reason: str = ""


class ErrorReply(msgspec.Struct, frozen=True):
    """Answer to a request that is not served."""

    error: str
    detail: str


class ConfigurationReply(msgspec.Struct, frozen=True):
    """The configuration in force at the entry that answers."""

    in_force: InForceReply
    templates: dict[str, Template]
    accounts: dict[AccountName, AccountParameters]


class MemberReport(msgspec.Struct, frozen=True):
    """One entry process."""

    entry: str
    incarnation: str
    zone: str
    caller_address: str
    peer_address: str
    # "ready", "starting", "draining" or "silent".
    state: str
    # Version of the configuration in force there.
    config_version: int
    # Requests queued or under way.
    load: int


class TargetReport(msgspec.Struct, frozen=True):
    """One target as the entry that answers sees it."""

    target: str
    group: str
    zone: str
    address: str
    # "open", "paused" or "leaving".
    state: str
    # Requests of this entry under way.
    in_flight: int
    # Requests that the target itself reported; None if it did not.
    running: int | None
    waiting: int | None
    # Milliseconds between tokens, as measured.
    token_interval_ms: float


class FloorReport(msgspec.Struct, frozen=True):
    """The lowest tier that a group admits at the entry that answers."""

    group: str
    admits_from_tier: int


class QueueReport(msgspec.Struct, frozen=True):
    """Requests that wait for a group at the entry that answers."""

    group: str
    # By tier, the lowest first.
    queued: tuple[int, ...]


class HistoryReply(msgspec.Struct, frozen=True):
    """Accepted changes, the oldest first."""

    changes: tuple[ChangeRecord, ...]


class MembersReply(msgspec.Struct, frozen=True):
    """All entries that the one that answers knows."""

    members: tuple[MemberReport, ...]


class TargetsReply(msgspec.Struct, frozen=True):
    """All targets of the configuration."""

    targets: tuple[TargetReport, ...]


class FloorsReply(msgspec.Struct, frozen=True):
    """The floors of all groups."""

    floors: tuple[FloorReport, ...]


class QueuesReply(msgspec.Struct, frozen=True):
    """The queues of all groups."""

    queues: tuple[QueueReport, ...]
