"""Evidence against a prompt part as it is kept outside the members."""

import hashlib
from typing import Annotated

import msgspec

from burdockhaven_core.scheduling.accused_part import (
    FORGET_S,
    MAX_BESIDE,
    MAX_NAME,
    MAX_QUARANTINES,
    PartEvidence,
    quarantine_s,
)
from burdockhaven_core.value_ranges import MAX_COUNT, Count, NotNegative

# Bytes of the digest that names a record: names of parts come from clients and may hold
# any character.
NAME_DIGEST_BYTES = 16
# Seconds for which evidence of any age is remembered after it was read: the clock of
# the VM that wrote it may have been wrong.
MIN_REMEMBERED_S = 60.0

_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME)]


class PartRecordError(ValueError):
    """The bytes do not hold a record."""


class _Record(msgspec.Struct):
    part: _Name
    ends: Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
    # Unix times in milliseconds.
    last_end_ms: NotNegative
    quarantined_until_ms: NotNegative
    quarantines: Annotated[int, msgspec.Meta(ge=0, le=MAX_QUARANTINES)]
    beside: Annotated[
        tuple[tuple[_Name, Count], ...], msgspec.Meta(max_length=MAX_BESIDE)
    ] = ()


_decoder = msgspec.json.Decoder(_Record)


def part_record_name(part: str) -> str:
    """Return the name of the record of a part."""
    return hashlib.blake2b(part.encode(), digest_size=NAME_DIGEST_BYTES).hexdigest()


def encode_part_record(evidence: PartEvidence, now: float, unix_ms: int) -> bytes:
    """Encode evidence; `unix_ms` is the time of day at the monotonic time `now`."""
    until_ms = 0
    if evidence.quarantines:
        until_ms = unix_ms + round((evidence.quarantined_until_s - now) * 1e3)
    return msgspec.json.encode(
        _Record(
            evidence.part,
            evidence.ends,
            max(0, unix_ms - round((now - evidence.last_end_s) * 1e3)),
            max(0, until_ms),
            min(evidence.quarantines, MAX_QUARANTINES),
            evidence.beside,
        )
    )


def decode_part_record(
    name: str, data: bytes, now: float, unix_ms: int
) -> PartEvidence:
    """Decode the evidence in the record of this name; raises `PartRecordError`.

    Clocks of VMs differ and step. So an end in the future counts as one of now, an end
    of long ago is remembered for a minute, and a quarantine is never longer than the
    one that was imposed.
    """
    try:
        record = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise PartRecordError(str(error)) from error
    if part_record_name(record.part) != name:
        raise PartRecordError(f"it is the record of another part, {record.part!r}")
    oldest_s = now - (FORGET_S - MIN_REMEMBERED_S)
    last_end_s = now + (record.last_end_ms - unix_ms) / 1e3
    quarantined_until_s = 0.0
    if record.quarantines:
        until_s = now + (record.quarantined_until_ms - unix_ms) / 1e3
        longest_s = quarantine_s(record.quarantines)
        quarantined_until_s = min(max(oldest_s, until_s), now + longest_s)
    return PartEvidence(
        record.part,
        record.ends,
        min(max(oldest_s, last_end_s), now),
        quarantined_until_s,
        record.quarantines,
        record.beside,
    )
