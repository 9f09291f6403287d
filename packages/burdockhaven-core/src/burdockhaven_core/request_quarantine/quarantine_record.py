"""A quarantined content as it is kept outside the members."""

from collections.abc import Mapping

import msgspec

from burdockhaven_core.request_quarantine.content_key import MAX_KEY
from burdockhaven_core.scheduling.peer_messages import AccusedRequestNotice
from burdockhaven_core.value_ranges import Key, NotNegative


class QuarantineRecordError(ValueError):
    """The bytes do not hold a record."""


class _Record(msgspec.Struct):
    # Key of each end beneath the content, and its Unix time in milliseconds.
    ends: list[tuple[Key, NotNegative]]


def encode_record(ends: Mapping[int, float], now: float, unix_ms: int) -> bytes:
    """Encode ends at monotonic times in seconds; `unix_ms` is the time of day now."""
    return msgspec.json.encode(
        _Record(
            [
                (end, unix_ms - round((now - ended_s) * 1e3))
                for end, ended_s in ends.items()
            ]
        )
    )


def decode_record(content: int, data: bytes, unix_ms: int) -> AccusedRequestNotice:
    """Decode the ends beneath a content; raises `QuarantineRecordError`.

    Clocks of VMs differ, so that an end may lie in the future; it counts as one of now.
    """
    try:
        record = msgspec.json.decode(data, type=_Record)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise QuarantineRecordError(str(error)) from error
    if max((content, *(end for end, _ in record.ends))) > MAX_KEY or content < 0:
        raise QuarantineRecordError("a key exceeds 64 bits")
    ends = tuple((end, max(0, unix_ms - ended_ms)) for end, ended_ms in record.ends)
    return AccusedRequestNotice(content, ends)
