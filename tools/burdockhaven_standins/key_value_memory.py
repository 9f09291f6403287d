"""In-memory key-value service that executes the commands of the core, with faults."""

from collections import Counter
from dataclasses import dataclass, field
from typing import TypeVar

from result import Err, Ok

from burdockhaven_core.key_value import (
    Answer,
    CallResult,
    Command,
    Condition,
    CreatedAt,
    Delete,
    GrantLease,
    KeepLeaseAlive,
    KeyValue,
    KeyValueSteps,
    LeaseAnswer,
    Put,
    Range,
    RangeAnswer,
    ReadMany,
    ReadManyAnswer,
    RevokeLease,
    Transaction,
    TransactionAnswer,
    ValueEquals,
)
from burdockhaven_core.key_value_failure import FailureKind, KeyValueFailure

T = TypeVar("T")

PEER = "memory"


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The keys of the service at one revision."""

    revision: int
    items: dict[str, KeyValue]


@dataclass(slots=True)
class MemoryKeyValue:
    """State of the service.

    It has no clock: a lease expires only when `expire_lease` is called.
    """

    revision: int = 1
    items: dict[str, KeyValue] = field(default_factory=dict)
    leases: set[int] = field(default_factory=set)
    next_lease: int = 1
    # While set, calls fail without effect.
    down: bool = False
    # Calls by name of the command type.
    calls: Counter[str] = field(default_factory=Counter)

    def call(self, command: Command) -> CallResult:
        """Execute the command; fails without effect during an outage."""
        self.calls[type(command).__name__] += 1
        if self.down:
            return self.failure(FailureKind.NOT_DONE, command)
        return Ok(self.apply(command))

    def call_and_lose_response(self, command: Command) -> CallResult:
        """Execute the command, but report an ambiguous failure."""
        self.call(command)
        return self.failure(FailureKind.AMBIGUOUS, command)

    def run(self, steps: KeyValueSteps[T]) -> T:
        """Run the steps to completion, executing each command that they yield."""
        try:
            command = next(steps)
            while True:
                command = steps.send(self.call(command))
        except StopIteration as stop:
            value: T = stop.value
            return value

    def snapshot(self) -> Snapshot:
        """Return a copy of the current state."""
        return Snapshot(self.revision, dict(self.items))

    def restore(self, snapshot: Snapshot) -> None:
        """Return to an earlier state, as a service does that has lost data."""
        self.revision = snapshot.revision
        self.items = dict(snapshot.items)

    def expire_lease(self, lease: int) -> None:
        """Expire the lease and delete its keys."""
        self.leases.discard(lease)
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            del self.items[key]
        self.revision += 1

    def failure(self, kind: FailureKind, command: Command) -> Err[KeyValueFailure]:
        """Return the result of a call that failed in this way."""
        return Err(KeyValueFailure(kind, type(command).__name__, PEER, "fault"))

    def apply(self, command: Command) -> Answer:
        """Apply the command to the state and return its answer."""
        match command:
            case Range():
                return RangeAnswer(self._read(command), self.revision)
            case ReadMany():
                ranges = tuple(self._read(each) for each in command.ranges)
                return ReadManyAnswer(ranges, self.revision)
            case Transaction():
                return self._execute_transaction(command)
            case GrantLease():
                lease = self.next_lease
                self.next_lease += 1
                self.leases.add(lease)
                return LeaseAnswer(lease, command.ttl_s, self.revision)
            case KeepLeaseAlive():
                ttl_s = 1 if command.lease in self.leases else 0
                return LeaseAnswer(command.lease, ttl_s, self.revision)
            case RevokeLease():
                self.expire_lease(command.lease)
                return LeaseAnswer(command.lease, 0, self.revision)

    def _read(self, command: Range) -> tuple[KeyValue, ...]:
        if command.end is None:
            item = self.items.get(command.key)
            return (item,) if item is not None else ()
        keys = sorted(k for k in self.items if command.key <= k < command.end)
        return tuple(self.items[k] for k in keys[: command.limit or None])

    def _execute_transaction(self, command: Transaction) -> TransactionAnswer:
        if not all(self._is_satisfied(each) for each in command.conditions):
            return TransactionAnswer(False, self.revision)
        self.revision += 1
        for write in command.writes:
            match write:
                case Put():
                    self._put(write)
                case Delete():
                    self.items.pop(write.key, None)
        return TransactionAnswer(True, self.revision)

    def _put(self, write: Put) -> None:
        old = self.items.get(write.key)
        created = old.create_revision if old is not None else self.revision
        self.items[write.key] = KeyValue(
            write.key, write.value, created, self.revision, write.lease
        )

    def _is_satisfied(self, condition: Condition) -> bool:
        item = self.items.get(condition.key)
        match condition:
            case ValueEquals(value=value):
                return (item.value if item is not None else None) == value
            case CreatedAt(revision=revision):
                return (item.create_revision if item is not None else 0) == revision
