import json

import pytest

from burdockhaven_entry.platform import TargetEntryError, read_target_entry

ENTRY = {
    "service": "s",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 4,
    "born": 1700000000000,
}


def read(**changes):
    return read_target_entry("i-1", json.dumps(ENTRY | changes).encode())


def test_entry_is_decoded():
    entry = read(state="draining")
    assert (entry.id, entry.service, entry.slots) == ("i-1", "s", 12)
    assert entry.draining
    assert (entry.started_ms, entry.sequence) == (1700000000000, 4)
    assert entry.software_version == "v1"


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b'{"other":' + b"[" * 100_000,
        json.dumps(ENTRY | {"state": "resting"}).encode(),
        json.dumps(ENTRY | {"slots": "many"}).encode(),
        json.dumps(ENTRY | {"address": "nowhere"}).encode(),
        json.dumps(ENTRY | {"version": 1}).encode(),
        json.dumps({k: v for k, v in ENTRY.items() if k != "service"}).encode(),
        json.dumps({k: v for k, v in ENTRY.items() if k != "version"}).encode(),
    ],
)
def test_invalid_entry_is_an_error(data):
    with pytest.raises(TargetEntryError):
        read_target_entry("i-1", data)
