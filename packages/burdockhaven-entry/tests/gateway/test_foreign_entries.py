"""Values of other writers that are kept here and sent on in messages to members."""

import json
import random

import pytest
from fuzz_settings import FUZZING
from gateway_fixtures import PLAIN_SERVICE, settings
from hypothesis import example, given
from hypothesis import strategies as st

from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.scheduling.peer_messages import decode_message, encode_message
from burdockhaven_entry.gateway import store_event_handlers
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.store_event_handlers import StoreEventHandlers
from burdockhaven_entry.platform import (
    TARGETS_PREFIX,
    ChangeBatch,
    StoreItem,
    StoreRevision,
)

ERA = 1
ENTRY = {
    "service": PLAIN_SERVICE,
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "draining",
    "cold_left_ms": 0,
    "seq": 1,
    "born": 7,
}
ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.sampled_from([-(10**20), -1, 2**31, 2**53, 2**63 - 1, 2**63, 2**64, 10**20]),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(st.characters(codec=None), max_size=20),
    st.sampled_from(["v" * 100_000, "\ud800", "10.0.0.1:70000", ":", "1.2.3.4:-1"]),
    st.lists(st.integers(), max_size=2),
)


@pytest.fixture
def logged(monkeypatch):
    """Events that the handlers log."""
    events = []
    monkeypatch.setattr(
        store_event_handlers, "log", lambda number, **fields: events.append(number)
    )
    return events


def make_handlers():
    state = GatewayState.from_settings(
        settings(), 1, 1_000, lambda: 1.0, random.Random(1)
    )
    handlers = StoreEventHandlers(state)
    return state, handlers.for_all_prefixes()[1]


def item(value, revision=5, target="x-1"):
    return StoreItem(TARGETS_PREFIX + target, value, revision)


def encode(entry):
    """Encode as another writer would, which need not be valid UTF-8."""
    text = json.dumps(entry, ensure_ascii=False)
    return text.encode("utf-8", "surrogatepass")


def assert_is_sent(state):
    """Check that the heartbeat can be sent and says the same at its recipient."""
    heartbeat = state.heartbeat()
    assert decode_message(encode_message(heartbeat)) == heartbeat


# Guards against LOST: a process whose heartbeats can't be encoded ended at SIGTERM
# without a drain.
@FUZZING
@given(st.sampled_from(list(ENTRY)), ODD_VALUES)
@example("born", 10**20)
@example("seq", 2**63)
@example("version", "v" * 100_000)
def test_heartbeats_are_sent_whatever_an_entry_says(name, value):
    state, handlers = make_handlers()
    written = item(encode(ENTRY | {name: value}))
    handlers.on_snapshot(ChangeBatch((written,), StoreRevision(ERA, 5)))
    assert_is_sent(state)
    handlers.on_change(item(None, 6), ERA)
    assert_is_sent(state)


# Guards against a target that is known by a number which no message can carry.
@pytest.mark.parametrize("name", ["born", "seq", "slots"])
def test_heartbeats_are_sent_beside_an_entry_with_a_number_beyond_64_bits(name):
    state, handlers = make_handlers()
    handlers.on_change(item(encode(ENTRY | {name: 10**20})), ERA)
    assert state.registry.entries == {}
    assert_is_sent(state)


# Guards against a log that another writer fills.
def test_faulty_entry_is_logged_once_until_its_fault_changes(logged):
    _, handlers = make_handlers()
    for seq in range(3):
        handlers.on_change(item(encode(ENTRY | {"born": "x", "seq": seq})), ERA)
        batch = ChangeBatch((item(encode(ENTRY | {"born": "x"})),), StoreRevision(1, 9))
        handlers.on_snapshot(batch)
    assert logged == [EventNumber.TARGET_ENTRY_UNREADABLE]
    handlers.on_change(item(encode(ENTRY | {"slots": "x"})), ERA)
    handlers.on_change(item(encode(ENTRY)), ERA)
    handlers.on_change(item(encode(ENTRY | {"slots": "x"})), ERA)
    assert logged == [EventNumber.TARGET_ENTRY_UNREADABLE] * 3
