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
    ],
)
def test_invalid_entry_is_an_error(data):
    with pytest.raises(TargetEntryError):
        read_target_entry("i-1", data)


# Guards against a request that is sent to what another writer has registered.
@pytest.mark.parametrize("name", sorted(ENTRY.keys() - {"born"}))
def test_entry_without_a_field_is_an_error(name):
    data = json.dumps({k: v for k, v in ENTRY.items() if k != name}).encode()
    with pytest.raises(TargetEntryError):
        read_target_entry("i-1", data)


# Guards against a deployment without any target: the platform's examples of entries
# state no start.
def test_start_may_be_missing():
    data = json.dumps({k: v for k, v in ENTRY.items() if k != "born"}).encode()
    assert read_target_entry("i-1", data).started_ms == 0


# Guards against numbers that heartbeats can't carry, and against an address that raises
# an error wherever it is used.
@pytest.mark.parametrize(
    "changes",
    [
        {"born": 10**20},
        {"born": -1},
        {"born": 1.5},
        {"born": True},
        {"seq": 2**63},
        {"seq": -1},
        {"slots": 2**31},
        {"slots": -1},
        {"cold_left_ms": "long"},
        {"version": "v" * 2_000},
        {"service": "s" * 2_000},
        {"address": "10.128.0.9:99999"},
        {"address": "10.128.0.9:\N{SUPERSCRIPT TWO}"},
        {"address": "10.128.0.9:"},
        {"address": "a b:80"},
        {"address": "10.128.0.9/x:80"},
    ],
)
def test_entry_with_an_odd_value_is_an_error(changes):
    with pytest.raises(TargetEntryError):
        read(**changes)


# Guards against 502 for each request that is sent to what another writer has registered
# under an id that no header can name.
@pytest.mark.parametrize("target_id", ["", "a\nb", "a\rb", "a\0b", "a\x7fb", "\ud800"])
def test_id_that_no_header_can_hold_is_an_error(target_id):
    with pytest.raises(TargetEntryError):
        read_target_entry(target_id, json.dumps(ENTRY).encode())


@pytest.mark.parametrize("target_id", ["i-1", "a b", "\u20ac", "x" * 190])
def test_id_may_hold_any_printable_character(target_id):
    assert read_target_entry(target_id, json.dumps(ENTRY).encode()).id == target_id
