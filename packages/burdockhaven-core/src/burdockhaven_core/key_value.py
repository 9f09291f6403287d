"""Calls to the platform's key-value service and their answers, as data.

Decisions that need the service are written as generators that yield commands and are
sent answers (`KeyValueSteps`). The daemon runs them over its link, the tests over a
stand-in in memory, and both run the same code.
"""

from collections.abc import Generator
from dataclasses import dataclass
from typing import TypeVar

from result import Result

from burdockhaven_core.key_value_failure import KeyValueFailure

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class KeyValue:
    """One key as the service holds it."""

    key: str
    value: bytes
    # Revision of the service at which the key was created.
    create_revision: int
    # Revision of the service at which the value was last written.
    mod_revision: int
    # The lease that the key goes with; 0 means none.
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Range:
    """Read one key, or the keys from `key` up to but without `end`."""

    key: str
    # None reads the one key only.
    end: str | None = None
    # The most keys to give; 0 means all.
    limit: int = 0

    @classmethod
    def from_prefix(cls, prefix: str) -> "Range":
        """Read all keys with the prefix, which ends in an ASCII character."""
        return cls(prefix, prefix[:-1] + chr(ord(prefix[-1]) + 1))


@dataclass(frozen=True, slots=True)
class ValueEquals:
    """True if the key holds just this value; None means that there is no such key."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class CreatedAt:
    """True if the key was created at this revision; 0 means that there is none."""

    key: str
    revision: int


Condition = ValueEquals | CreatedAt


@dataclass(frozen=True, slots=True)
class Put:
    """Write one key."""

    key: str
    value: bytes
    # The lease that the key goes with; 0 means none.
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Remove one key, if it is there."""

    key: str


@dataclass(frozen=True, slots=True)
class Transaction:
    """Do all writes in one step if all conditions hold, and none otherwise."""

    conditions: tuple[Condition, ...]
    writes: tuple[Put | Delete, ...]


@dataclass(frozen=True, slots=True)
class ReadMany:
    """Read several ranges at one revision, in one call."""

    ranges: tuple[Range, ...]


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Ask for a lease that lapses unless it is kept alive."""

    ttl_s: int


@dataclass(frozen=True, slots=True)
class KeepLeaseAlive:
    """Start the lease's time anew."""

    lease: int


@dataclass(frozen=True, slots=True)
class RevokeLease:
    """End the lease and remove its keys."""

    lease: int


Command = Range | ReadMany | Transaction | GrantLease | KeepLeaseAlive | RevokeLease


@dataclass(frozen=True, slots=True)
class RangeAnswer:
    """The keys of a `Range`, in order."""

    items: tuple[KeyValue, ...]
    # Revision of the service at which they were read.
    revision: int


@dataclass(frozen=True, slots=True)
class ReadManyAnswer:
    """The keys of each range of a `ReadMany`, in its order."""

    ranges: tuple[tuple[KeyValue, ...], ...]
    revision: int


@dataclass(frozen=True, slots=True)
class TransactionAnswer:
    """Whether the conditions held, and so the writes were made."""

    succeeded: bool
    # Revision of the service after the transaction.
    revision: int


@dataclass(frozen=True, slots=True)
class LeaseAnswer:
    """A lease after a grant, keepalive or revocation."""

    lease: int
    # Seconds until the lease lapses; 0 means that it is gone.
    ttl_s: int
    revision: int


Answer = RangeAnswer | ReadManyAnswer | TransactionAnswer | LeaseAnswer
CallResult = Result[Answer, KeyValueFailure]

# A decision that needs the key-value service: yields commands, is sent their results
# and returns what came of it.
KeyValueSteps = Generator[Command, CallResult, T]


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A key that changed while it was watched."""

    key: str
    # None when the key was removed.
    value: bytes | None
