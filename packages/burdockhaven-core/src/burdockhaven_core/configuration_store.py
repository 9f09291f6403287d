"""Synchronisation of a member's configuration with the key-value service.

All functions are generators without I/O (`KeyValueSteps`): they yield commands of
`key_value` and are sent the results.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from burdockhaven_core.configuration import ChangeRecord, Configuration
from burdockhaven_core.configuration_check import Fault
from burdockhaven_core.configuration_parts import (
    EMPTY_INDEX,
    HISTORY_PREFIX,
    INDEX_KEY,
    Index,
    PartName,
    StoredIndex,
    compute_digest,
    decode_index,
    decode_parts,
    decode_record,
    encode_index,
    encode_parts,
    encode_record,
    history_key,
    make_index,
    part_key,
)
from burdockhaven_core.key_value import (
    Delete,
    KeyValueSteps,
    Put,
    Range,
    RangeAnswer,
    ReadMany,
    ReadManyAnswer,
    Transaction,
    TransactionAnswer,
    ValueEquals,
)
from burdockhaven_core.key_value_failure import KeyValueFailure

# Number of parts read in one call.
PARTS_PER_READ = 32
# Limits of one transaction, below those of the service.
MAX_BATCH_BYTES = 768 * 1024
MAX_BATCH_WRITES = 64
# Attempts to read a configuration while changes remove its parts during the read.
READ_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class Unreadable:
    """The service holds a value that could not be decoded."""

    fault: Fault


StoreFailure = KeyValueFailure | Unreadable


@dataclass(frozen=True, slots=True)
class Newer:
    """The service holds a newer configuration than the member."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class InSync:
    """Service and member have the same configuration."""


@dataclass(frozen=True, slots=True)
class WrittenBack:
    """The service held an older version, which the member's has replaced."""

    # The version that the service held before.
    found_version: int


@dataclass(frozen=True, slots=True)
class NotSynchronised:
    """The service could not be read or written; the caller should retry later."""

    failure: StoreFailure


Synchronisation = Newer | InSync | WrittenBack | NotSynchronised


def synchronise(local: Configuration) -> KeyValueSteps[Synchronisation]:
    """Bring service and member to the newer of their two configurations.

    A service that holds an older version than a member has lost accepted changes. The
    member then writes its configuration back, by compare-and-swap on the index found.
    """
    for _ in range(READ_ATTEMPTS):
        read = yield from read_index()
        if isinstance(read, Err):
            return NotSynchronised(read.err_value)
        stored = read.ok_value
        if stored.index.sort_key == local.sort_key:
            return InSync()
        if stored.index.sort_key < local.sort_key:
            written = yield from write_back(local, stored)
            if isinstance(written, Err):
                return NotSynchronised(written.err_value)
            if written.ok_value:
                return WrittenBack(stored.index.version)
            continue
        loaded = yield from load_configuration(stored.index, local)
        if isinstance(loaded, Err):
            return NotSynchronised(loaded.err_value)
        if loaded.ok_value is not None:
            return Newer(loaded.ok_value)
    return NotSynchronised(_unstable_index())


def read_index() -> KeyValueSteps[Result[StoredIndex, StoreFailure]]:
    """Read the index; returns the empty one if nothing has been published."""
    called = yield Range(INDEX_KEY)
    if isinstance(called, Err):
        return Err(called.err_value)
    answer = called.ok_value
    assert isinstance(answer, RangeAnswer)
    if not answer.items:
        return Ok(EMPTY_INDEX)
    decoded = decode_index(answer.items[0].value)
    if isinstance(decoded, Err):
        return Err(Unreadable(decoded.err_value))
    return Ok(decoded.ok_value)


def load_configuration(
    index: Index, local: Configuration
) -> KeyValueSteps[Result[Configuration | None, StoreFailure]]:
    """Load the configuration of the index; reads only parts that the member lacks.

    Returns None if a part was deleted because the index has changed in the meantime.
    """
    if index.sort_key == local.sort_key:
        return Ok(local)
    parts = _unchanged_parts(index, encode_parts(local))
    missing = [name for name in index.parts if name not in parts]
    for start in range(0, len(missing), PARTS_PER_READ):
        names = missing[start : start + PARTS_PER_READ]
        keys = tuple(Range(part_key(name, index.parts[name])) for name in names)
        called = yield ReadMany(keys)
        if isinstance(called, Err):
            return Err(called.err_value)
        answer = called.ok_value
        assert isinstance(answer, ReadManyAnswer)
        if not all(answer.ranges):
            return Ok(None)
        for name, (item, *_) in zip(names, answer.ranges, strict=True):
            parts[name] = item.value
    decoded = decode_parts(index, parts)
    if isinstance(decoded, Err):
        return Err(Unreadable(decoded.err_value))
    return Ok(decoded.ok_value)


def write_back(
    local: Configuration, stored: StoredIndex
) -> KeyValueSteps[Result[bool, StoreFailure]]:
    """Replace the stored version with the member's.

    Returns False if the stored index has changed in the meantime. Parts are written
    first, in batches, and the index last. Parts are deleted only by transactions that
    change the index, which the condition of the last transaction detects.
    """
    parts = encode_parts(local)
    index = make_index(local, parts)
    missing = tuple(
        Put(part_key(name, index.parts[name]), part)
        for name, part in sorted(parts.items())
        if stored.index.parts.get(name) != index.parts[name]
    )
    for batch in _batches(missing):
        staged = yield Transaction((), batch)
        if isinstance(staged, Err):
            return Err(staged.err_value)
    history = tuple(
        Put(history_key(record.version), encode_record(record))
        for record in local.recent
    )
    called = yield Transaction(
        (ValueEquals(INDEX_KEY, stored.raw),),
        (
            Put(INDEX_KEY, encode_index(index)),
            *history,
            *delete_superseded_parts(stored, index),
        ),
    )
    if isinstance(called, Err):
        return Err(called.err_value)
    answer = called.ok_value
    assert isinstance(answer, TransactionAnswer)
    return Ok(answer.succeeded)


def delete_superseded_parts(stored: StoredIndex, index: Index) -> tuple[Delete, ...]:
    """Return the deletions of parts that the new index no longer refers to."""
    return tuple(
        Delete(part_key(name, digest))
        for name, digest in sorted(stored.index.parts.items())
        if index.parts.get(name) != digest
    )


def read_history(
    first_version: int, last_version: int
) -> KeyValueSteps[Result[tuple[ChangeRecord, ...], StoreFailure]]:
    """Read the records of the changes that created the versions, oldest first.

    If `last_version` is less than `first_version`, all records from the first version
    on are read.
    """
    end = HISTORY_PREFIX + "~"
    if last_version >= first_version:
        end = history_key(last_version + 1)
    called = yield Range(history_key(first_version), end)
    if isinstance(called, Err):
        return Err(called.err_value)
    answer = called.ok_value
    assert isinstance(answer, RangeAnswer)
    records = [decode_record(item.value) for item in answer.items]
    for record in records:
        if isinstance(record, Err):
            return Err(Unreadable(record.err_value))
    return Ok(tuple(record.unwrap() for record in records))


def _unchanged_parts(
    index: Index, local: Mapping[PartName, bytes]
) -> dict[PartName, bytes]:
    return {
        name: part
        for name, part in local.items()
        if index.parts.get(name) == compute_digest(part)
    }


def _batches(writes: tuple[Put, ...]) -> Iterator[tuple[Put, ...]]:
    batch: list[Put] = []
    size = 0
    for write in writes:
        full = (
            size + len(write.value) > MAX_BATCH_BYTES or len(batch) == MAX_BATCH_WRITES
        )
        if batch and full:
            yield tuple(batch)
            batch, size = [], 0
        batch.append(write)
        size += len(write.value)
    if batch:
        yield tuple(batch)


def _unstable_index() -> Unreadable:
    return Unreadable(
        Fault(
            path=INDEX_KEY,
            seen="changes during each read",
            allowed="an index that does not change while its parts are read",
            remedy="try again",
        )
    )
