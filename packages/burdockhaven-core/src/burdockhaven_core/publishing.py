"""Optimistic concurrency for operators' changes: one compare-and-swap per change.

Exactly one transaction decides the version that follows the base version; its condition
is that the index is still that of the base version. The transaction also writes a
record to the history, under the new version and with the identity of the operation.
A lost answer can therefore always be resolved: the record of the version after the
expected one names either this operation or the one that won. While there is no such
record, it is safe to send the same transaction again.
"""

import enum
from collections.abc import Callable
from dataclasses import dataclass

from result import Err

from burdockhaven_core.configuration import ChangeRecord, Configuration
from burdockhaven_core.configuration_change import Operation, apply_operation
from burdockhaven_core.configuration_check import Fault
from burdockhaven_core.configuration_parts import (
    INDEX_KEY,
    MAX_HISTORY_RECORDS,
    StoredIndex,
    encode_index,
    encode_parts,
    encode_record,
    history_key,
    make_index,
    part_key,
)
from burdockhaven_core.configuration_store import (
    StoreFailure,
    delete_superseded_parts,
    load_configuration,
    read_history,
    read_index,
)
from burdockhaven_core.key_value import (
    Delete,
    KeyValueSteps,
    Put,
    Transaction,
    TransactionAnswer,
    ValueEquals,
)
from burdockhaven_core.key_value_failure import FailureKind, KeyValueFailure

# Attempts to resolve a lost answer before the outcome is reported as unknown.
RESOLVE_ATTEMPTS = 4


class NotDoneReason(enum.Enum):
    """Why a change was not made; it takes effect only if the operator retries it."""

    # The key-value service was unreachable or gave no usable answer.
    UNREACHABLE = "unreachable"
    # The service holds an older version than a member; the newer one must be written
    # back first.
    BEHIND = "behind"
    # The highest known version is uncertain: a member that may have a newer version is
    # silent, or this member has not joined yet.
    NOT_SETTLED = "not_settled"


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is accepted, and the members will put it in force."""

    # The version that the change created.
    version: int
    # The configuration of that version; None if only the record of the change was read.
    configuration: Configuration | None


@dataclass(frozen=True, slots=True)
class Conflict:
    """The change is refused permanently: another change to its base was accepted."""

    # The newest accepted version.
    version: int
    # The change that won; None if its record has been deleted from the history.
    winner: ChangeRecord | None


@dataclass(frozen=True, slots=True)
class Invalid:
    """The change is refused permanently: the configuration would have faults."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class NotDone:
    """The change was not made; the operator may retry it."""

    reason: NotDoneReason
    # The failure that caused it, if any.
    failure: StoreFailure | None = None


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The change may have been made or may still take effect.

    The operator can safely retry it with the same operation id at any entry. The retry
    returns `Accepted` or `Conflict` once the key-value service is reachable.
    """

    operation_id: str
    failure: StoreFailure | None


PublishOutcome = Accepted | Conflict | Invalid | NotDone | OutcomeUnknown

# Returns the highest version in force at any member; None if a member in the view is
# silent or this member has not joined yet.
HighestKnownVersion = Callable[[], int | None]


def publish(
    operation: Operation,
    local: Configuration,
    highest_known_version: HighestKnownVersion,
) -> KeyValueSteps[PublishOutcome]:
    """Make the change if the newest accepted version is the expected one.

    `local` is this member's configuration. The highest known version is checked again
    before each write, because a change must not be based on a version to which the
    service was rolled back while members have a newer one.
    """
    read = yield from read_index()
    if isinstance(read, Err):
        return NotDone(NotDoneReason.UNREACHABLE, read.err_value)
    stored = read.ok_value
    stale = _staleness_reason(stored, highest_known_version)
    if stale is not None:
        return NotDone(stale)
    if stored.index.version < local.version:
        return NotDone(NotDoneReason.BEHIND)
    if stored.index.version != operation.expected_version:
        return (yield from _resolve_decided(operation, stored))
    loaded = yield from load_configuration(stored.index, local)
    if isinstance(loaded, Err):
        return NotDone(NotDoneReason.UNREACHABLE, loaded.err_value)
    if loaded.ok_value is None:
        return NotDone(NotDoneReason.BEHIND)
    applied = apply_operation(loaded.ok_value, operation)
    if isinstance(applied, Err):
        return Invalid(applied.err_value)
    stale = _staleness_reason(stored, highest_known_version)
    if stale is not None:
        return NotDone(stale)
    return (
        yield from _submit(operation, stored, applied.ok_value, highest_known_version)
    )


def resolve(operation: Operation) -> KeyValueSteps[PublishOutcome]:
    """Find the outcome of an operation whose answer was lost."""
    read = yield from read_index()
    if isinstance(read, Err):
        return OutcomeUnknown(operation.operation_id, read.err_value)
    stored = read.ok_value
    if stored.index.version <= operation.expected_version:
        return OutcomeUnknown(operation.operation_id, None)
    return (yield from _resolve_decided(operation, stored))


def _resolve_decided(
    operation: Operation, stored: StoredIndex
) -> KeyValueSteps[PublishOutcome]:
    """Find the outcome when the expected version is no longer the newest one."""
    index = stored.index
    decided_version = operation.expected_version + 1
    winner = next(
        (each for each in index.recent if each.version == decided_version), None
    )
    if winner is None and decided_version <= index.version:
        read = yield from read_history(decided_version, decided_version)
        if isinstance(read, Err):
            return OutcomeUnknown(operation.operation_id, read.err_value)
        winner = next(iter(read.ok_value), None)
    if winner is not None and winner.operation_id == operation.operation_id:
        return Accepted(decided_version, None)
    return Conflict(index.version, winner)


def _staleness_reason(
    stored: StoredIndex, highest_known_version: HighestKnownVersion
) -> NotDoneReason | None:
    highest = highest_known_version()
    if highest is None:
        return NotDoneReason.NOT_SETTLED
    return NotDoneReason.BEHIND if stored.index.version < highest else None


def _submit(
    operation: Operation,
    stored: StoredIndex,
    changed: Configuration,
    highest_known_version: HighestKnownVersion,
) -> KeyValueSteps[PublishOutcome]:
    transaction = _build_transaction(stored, changed)
    failure: StoreFailure | None = None
    for attempt in range(RESOLVE_ATTEMPTS):
        called = yield transaction
        if isinstance(called, Err):
            failure = called.err_value
            if attempt == 0 and _had_no_effect(called.err_value):
                return NotDone(NotDoneReason.UNREACHABLE, failure)
            if _staleness_reason(stored, highest_known_version) is not None:
                break
            continue
        answer = called.ok_value
        assert isinstance(answer, TransactionAnswer)
        if answer.succeeded:
            return Accepted(changed.version, changed)
        # Either an earlier attempt has taken effect or another operation has won.
        return (yield from _resolve_with_retries(operation, changed))
    return OutcomeUnknown(operation.operation_id, failure)


def _resolve_with_retries(
    operation: Operation, changed: Configuration
) -> KeyValueSteps[PublishOutcome]:
    failure: StoreFailure | None = None
    for _ in range(RESOLVE_ATTEMPTS):
        outcome = yield from resolve(operation)
        if not isinstance(outcome, OutcomeUnknown):
            if isinstance(outcome, Accepted):
                return Accepted(changed.version, changed)
            return outcome
        failure = outcome.failure
    return OutcomeUnknown(operation.operation_id, failure)


def _build_transaction(stored: StoredIndex, changed: Configuration) -> Transaction:
    parts = encode_parts(changed)
    index = make_index(changed, parts)
    record = changed.recent[-1]
    changed_parts = tuple(
        Put(part_key(name, index.parts[name]), part)
        for name, part in sorted(parts.items())
        if stored.index.parts.get(name) != index.parts[name]
    )
    return Transaction(
        (ValueEquals(INDEX_KEY, stored.raw),),
        (
            Put(INDEX_KEY, encode_index(index)),
            Put(history_key(record.version), encode_record(record)),
            *changed_parts,
            *delete_superseded_parts(stored, index),
            *_delete_outdated_history(record.version),
        ),
    )


def _delete_outdated_history(version: int) -> tuple[Delete, ...]:
    oldest = version - MAX_HISTORY_RECORDS
    return (Delete(history_key(oldest)),) if oldest > 0 else ()


def _had_no_effect(failure: KeyValueFailure) -> bool:
    return failure.kind is not FailureKind.AMBIGUOUS
