"""Reply messages of the administration API, shared by daemon and command line."""

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
    """Result of a configuration change."""

    ACCEPTED = "accepted"
    # Dry run: the change is valid; nothing was changed.
    VALID = "valid"
    # Another change to the expected version was accepted first.
    CONFLICT = "conflict"
    # The request or the resulting configuration is invalid.
    INVALID = "invalid"
    # The change was not made and will not be made unless it is requested again.
    NOT_DONE = "not_done"
    # The change may have been made: query the operation again.
    UNKNOWN = "unknown"


class InForceReply(msgspec.Struct, frozen=True):
    """Rollout of a configuration version over the live entries."""

    version: int
    # Number of live entries that have this version or a newer one in force.
    on: int
    # Number of live entries.
    of: int


class ChangeReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Reply to a change, a dry run or a query for an operation."""

    result: ChangeResult
    operation_id: str
    # Version created by the change, else the latest accepted version; 0 if unknown.
    version: int = 0
    in_force: InForceReply | None = None
    # The change that was accepted instead, in case of a conflict.
    winner: ChangeRecord | None = None
    faults: tuple[Fault, ...] = ()
    # Why the change was not made, or why its outcome is unknown.
    reason: str = ""


class ErrorReply(msgspec.Struct, frozen=True):
    """Reply to a request that failed."""

    error: str
    detail: str


class ConfigurationReply(msgspec.Struct, frozen=True):
    """Configuration in force at the responding entry."""

    in_force: InForceReply
    templates: dict[str, Template]
    accounts: dict[AccountName, AccountParameters]


class MemberReport(msgspec.Struct, frozen=True):
    """State of one entry process."""

    entry: str
    incarnation: str
    zone: str
    caller_address: str
    peer_address: str
    # "ready", "starting", "draining" or "silent".
    state: str
    # Version of the configuration in force at the entry.
    config_version: int
    # Number of requests queued or in flight.
    load: int


class TargetReport(msgspec.Struct, frozen=True):
    """State of one target as measured by the responding entry."""

    target: str
    group: str
    zone: str
    address: str
    # "open", "paused" or "leaving".
    state: str
    # Requests of the responding entry in flight at the target.
    in_flight: int
    # Requests reported by the target itself; None without a report.
    running: int | None
    waiting: int | None
    # Measured time between tokens.
    token_interval_ms: float


class FloorReport(msgspec.Struct, frozen=True):
    """Lowest tier that a group admits at the responding entry."""

    group: str
    admits_from_tier: int


class QueueReport(msgspec.Struct, frozen=True):
    """Requests queued for a group at the responding entry."""

    group: str
    # Number of requests by tier, lowest first.
    queued: tuple[int, ...]


class HistoryReply(msgspec.Struct, frozen=True):
    """Accepted changes, oldest first."""

    changes: tuple[ChangeRecord, ...]


class MembersReply(msgspec.Struct, frozen=True):
    """All entries known to the responding entry."""

    members: tuple[MemberReport, ...]


class TargetsReply(msgspec.Struct, frozen=True):
    """All targets of the configuration."""

    targets: tuple[TargetReport, ...]


class FloorsReply(msgspec.Struct, frozen=True):
    """Lowest admitted tiers of all groups."""

    floors: tuple[FloorReport, ...]


class QueuesReply(msgspec.Struct, frozen=True):
    """Queue lengths of all groups."""

    queues: tuple[QueueReport, ...]
