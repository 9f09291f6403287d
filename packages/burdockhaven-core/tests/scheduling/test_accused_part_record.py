import json

import pytest

from burdockhaven_core.scheduling.accused_part import (
    FORGET_S,
    MAX_NAME,
    MAX_QUARANTINES,
    PartEvidence,
    quarantine_s,
)
from burdockhaven_core.scheduling.accused_part_record import (
    MIN_REMEMBERED_S,
    PartRecordError,
    decode_part_record,
    encode_part_record,
    part_record_name,
)

UNIX_MS = 1_800_000_000_000
EVIDENCE = PartEvidence("bad", 3, 95.0, 110.0, 2, (("beside", 1),))
RECORD = {
    "part": "bad",
    "ends": 3,
    "last_end_ms": UNIX_MS - 5_000,
    "quarantined_until_ms": UNIX_MS + 10_000,
    "quarantines": 2,
}


def decode(now=100.0, unix_ms=UNIX_MS, name="bad", **changes):
    data = json.dumps(RECORD | changes).encode()
    return decode_part_record(part_record_name(name), data, now, unix_ms)


@pytest.mark.parametrize("part", ["bad", "", "\0/\u20ac \U0001f600", "x" * MAX_NAME])
def test_evidence_is_the_same_at_a_later_start(part):
    evidence = PartEvidence(part, 3, 95.0, 110.0, 2, (("beside", 1),))
    data = encode_part_record(evidence, 100.0, UNIX_MS)
    # Another VM, whose monotonic clock began elsewhere, 4 s later.
    read = decode_part_record(part_record_name(part), data, 7.0, UNIX_MS + 4_000)
    assert read == PartEvidence(part, 3, -2.0, 13.0, 2, (("beside", 1),))


# Guards against BUDGET: a part without a quarantine would count from nothing.
def test_evidence_without_a_quarantine_is_recorded():
    evidence = PartEvidence("bad", 1, 95.0)
    data = encode_part_record(evidence, 100.0, UNIX_MS)
    assert decode_part_record(part_record_name("bad"), data, 100.0, UNIX_MS) == evidence


# Guards against a wrong clock that quarantines a part for ever, or frees it at once.
@pytest.mark.parametrize(
    ("clock_ms", "age_s", "left_s"),
    [
        (0, 5.0, 10.0),
        # The clock of the writer was ahead.
        (-4_000, 1.0, 14.0),
        (-(10**11), 0.0, quarantine_s(2)),
        # That of the reader is.
        (9_000, 14.0, 1.0),
        (10**11, FORGET_S - MIN_REMEMBERED_S, -(FORGET_S - MIN_REMEMBERED_S)),
    ],
)
def test_record_counts_within_bounds_whatever_the_clocks_say(clock_ms, age_s, left_s):
    read = decode(unix_ms=UNIX_MS + clock_ms)
    assert read.last_end_s == pytest.approx(100.0 - age_s)
    assert read.quarantined_until_s == pytest.approx(100.0 + left_s)


# Guards against values that are read well and break the handling of ends later.
@pytest.mark.parametrize(
    "changes",
    [
        {"part": "x" * (MAX_NAME + 1), "name": "x" * (MAX_NAME + 1)},
        {"part": 7},
        {"ends": 0},
        {"ends": -1},
        {"ends": 10**30},
        {"last_end_ms": -1},
        {"last_end_ms": 10**30},
        {"last_end_ms": 1e400},
        {"quarantined_until_ms": 1 << 63},
        {"quarantines": -1},
        {"quarantines": MAX_QUARANTINES + 1},
        {"beside": [["a", -1]]},
        {"beside": [["a", 1]] * 9},
        {"beside": [["x" * (MAX_NAME + 1), 1]]},
        # Its key would not be found when it is to be removed.
        {"name": "other"},
    ],
)
def test_record_that_cannot_be_kept_is_refused(changes):
    with pytest.raises(PartRecordError):
        decode(**changes)


@pytest.mark.parametrize("data", [b"", b"\xff", b"[]", b"{}", b"[" * 100_000])
def test_bytes_that_hold_no_record_are_refused(data):
    with pytest.raises(PartRecordError):
        decode_part_record(part_record_name("bad"), data, 100.0, UNIX_MS)


def test_number_of_quarantines_that_is_recorded_is_bounded():
    evidence = PartEvidence("bad", 3, 95.0, 110.0, 10_000)
    data = encode_part_record(evidence, 100.0, UNIX_MS)
    read = decode_part_record(part_record_name("bad"), data, 100.0, UNIX_MS)
    assert read.quarantines == MAX_QUARANTINES
