"""What the quarantine records of one kind hold and where they are."""

import functools
from collections.abc import Callable, Hashable
from dataclasses import dataclass

from burdockhaven_core.request_quarantine import (
    RequestQuarantine,
    decode_record,
    encode_record,
    format_content,
)
from burdockhaven_core.scheduling.accused_part_record import (
    decode_part_record,
    encode_part_record,
    part_record_name,
)
from burdockhaven_core.scheduling.broker import Broker
from burdockhaven_entry.platform import QUARANTINE_PREFIX, QUARANTINED_PARTS_PREFIX

# Source of evidence that was read from a record, for the log.
STORE = "key-value service"


@dataclass(frozen=True, slots=True)
class Record:
    """Evidence that is to be in the key-value service."""

    # Equal for as long as there is no other evidence.
    evidence: Hashable
    # Returns the value of the record, given the monotonic time in seconds and the Unix
    # time in milliseconds.
    encode: Callable[[float, int], bytes]


@dataclass(frozen=True, slots=True)
class RecordKind:
    """The records of one kind of evidence."""

    # Prefix of their keys.
    prefix: str
    # Returns the records that are to exist at a monotonic time in seconds, by the rest
    # of their keys.
    collect: Callable[[float], dict[str, Record]]
    # Applies a record that was read: the rest of its key, its value and the times as in
    # `Record.encode`. Raises `ValueError` if it can't be read.
    apply: Callable[[str, bytes, float, int], None]
    # Whether there is evidence that may become worth a record as time passes.
    has_evidence: Callable[[], bool] = lambda: False
    # Called each time when all records have been read.
    on_read: Callable[[], None] = lambda: None


def content_records(quarantine: RequestQuarantine) -> RecordKind:
    """Return the records of request contents beneath which targets end."""

    def collect(now: float) -> dict[str, Record]:
        return {
            format_content(content): _content_record(dict(ends))
            for content, ends in quarantine.proven().items()
        }

    def apply(name: str, data: bytes, now: float, unix_ms: int) -> None:
        notice = decode_record(int(name, 16), data, unix_ms)
        quarantine.apply_notice(notice, STORE, now)

    return RecordKind(QUARANTINE_PREFIX, collect, apply)


def _content_record(ends: dict[int, float]) -> Record:
    return Record(frozenset(ends), functools.partial(encode_record, ends))


def part_records(broker: Broker) -> RecordKind:
    """Return the records of prompt parts beneath which engines end."""
    crashes = broker.crashes

    def collect(now: float) -> dict[str, Record]:
        return {
            part_record_name(evidence.part): Record(
                evidence, functools.partial(encode_part_record, evidence)
            )
            for evidence in crashes.recordable(now)
        }

    def apply(name: str, data: bytes, now: float, unix_ms: int) -> None:
        evidence = decode_part_record(name, data, now, unix_ms)
        crashes.restore(evidence, STORE, now)

    return RecordKind(
        QUARANTINED_PARTS_PREFIX,
        collect,
        apply,
        has_evidence=lambda: bool(crashes.accused),
        on_read=broker.records_wait.end,
    )
