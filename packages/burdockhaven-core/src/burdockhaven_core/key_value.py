"""Commands to the platform's key-value service and their answers, as plain data.

Logic that needs the service is written without I/O, as generators that yield commands
and are sent the results (`KeyValueSteps`). The daemon drives them over its network
link, and the tests over an in-memory stand-in, so both execute the same code.
"""

from collections.abc import Generator
from dataclasses import dataclass
from typing import TypeVar

from result import Result

from burdockhaven_core.key_value_failure import KeyValueFailure

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class KeyValue:
    """One key with its value and revisions."""

    key: str
    value: bytes
    # Revision of the store at which the key was created.
    create_revision: int
    # Revision of the store at which the value was last written.
    mod_revision: int
    # The lease with which the key expires; 0 means none.
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Range:
    """Read one key, or the half-open range of keys from `key` to `end`."""

    key: str
    # Exclusive end of the range; None reads only `key`.
    end: str | None = None
    # Maximum number of keys returned; 0 means no limit.
    limit: int = 0

    @classmethod
    def from_prefix(cls, prefix: str) -> "Range":
        """Create a read of all keys with the prefix, which must end in ASCII."""
        return cls(prefix, prefix[:-1] + chr(ord(prefix[-1]) + 1))


@dataclass(frozen=True, slots=True)
class ValueEquals:
    """Condition that the key has exactly this value; None: that it does not exist."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class CreatedAt:
    """Condition that the key was created at this revision; 0: that it is absent."""

    key: str
    revision: int


Condition = ValueEquals | CreatedAt


@dataclass(frozen=True, slots=True)
class Put:
    """Write one key."""

    key: str
    value: bytes
    # The lease with which the key expires; 0 means none.
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Delete one key if it exists."""

    key: str


@dataclass(frozen=True, slots=True)
class Transaction:
    """Apply all writes atomically if all conditions hold, and none otherwise."""

    conditions: tuple[Condition, ...]
    writes: tuple[Put | Delete, ...]


@dataclass(frozen=True, slots=True)
class ReadMany:
    """Read several ranges at the same revision in one call."""

    ranges: tuple[Range, ...]


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Request a lease that expires unless it is kept alive."""

    ttl_s: int


@dataclass(frozen=True, slots=True)
class KeepLeaseAlive:
    """Renew the lease for its full lifetime."""

    lease: int


@dataclass(frozen=True, slots=True)
class RevokeLease:
    """Revoke the lease and delete its keys."""

    lease: int


Command = Range | ReadMany | Transaction | GrantLease | KeepLeaseAlive | RevokeLease


@dataclass(frozen=True, slots=True)
class RangeAnswer:
    """The keys of a `Range` in key order."""

    items: tuple[KeyValue, ...]
    # Revision of the store at which the keys were read.
    revision: int


@dataclass(frozen=True, slots=True)
class ReadManyAnswer:
    """The keys of each range of a `ReadMany`, in the order of the ranges."""

    ranges: tuple[tuple[KeyValue, ...], ...]
    revision: int


@dataclass(frozen=True, slots=True)
class TransactionAnswer:
    """Outcome of a transaction."""

    # Whether the conditions held and the writes were applied.
    succeeded: bool
    # Revision of the store after the transaction.
    revision: int


@dataclass(frozen=True, slots=True)
class LeaseAnswer:
    """State of a lease after a grant, keepalive or revocation."""

    lease: int
    # Seconds until the lease expires; 0 means that it no longer exists.
    ttl_s: int
    revision: int


Answer = RangeAnswer | ReadManyAnswer | TransactionAnswer | LeaseAnswer
CallResult = Result[Answer, KeyValueFailure]

# A procedure that uses the key-value service: yields commands, is sent their results
# and returns its outcome.
KeyValueSteps = Generator[Command, CallResult, T]


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """Change of a watched key."""

    key: str
    # None if the key was deleted.
    value: bytes | None
