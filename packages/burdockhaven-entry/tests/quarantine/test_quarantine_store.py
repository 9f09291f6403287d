"""Records of quarantined request contents, in virtual time."""

import asyncio
import json

import pytest
from quarantine_fixtures import CALL_S, CONTENT, EPOCH_MS, Member, play, restart
from scheduling_samples import heartbeat

from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.request_quarantine import QUARANTINE_ENDS
from burdockhaven_core.request_quarantine.accused_request import (
    FORGET_QUARANTINED_S,
    QUARANTINE_S,
)
from burdockhaven_core.scheduling.member_list import MEMBER_TIMEOUT_S
from burdockhaven_core.scheduling.peer_messages import encode_message
from burdockhaven_entry.platform import QUARANTINE_PREFIX
from burdockhaven_entry.quarantine import quarantine_store
from burdockhaven_entry.quarantine.quarantine_store import (
    CHECK_INTERVAL_S,
    MAX_BACKOFF_S,
    READ_INTERVAL_S,
)


# Guards against BUDGET: after a start of all members a request that was quarantined
# ends three targets more.
@pytest.mark.parametrize("clock_ms", [0, 5_000, -5_000])
def test_quarantine_outlasts_the_end_of_all_members(clock_ms):
    async def scenario(store):
        first = Member(store)
        await first.end_targets()
        first.task.cancel()
        assert not (await restart(store, clock_ms=clock_ms)).admits()
        await asyncio.sleep(QUARANTINE_S + 5.0)
        assert (await restart(store)).admits()

    play(scenario)


# Guards against BUDGET: a member that hears nobody sends on what all others refuse.
def test_member_that_is_cut_off_learns_from_the_records():
    async def scenario(store):
        first, second = Member(store), await restart(store, is_broker=False)
        for number in (2, 3):
            views = second.state.member_list
            views.record_heartbeat(heartbeat(f"b-{number}", number), 100.0)
        await asyncio.sleep(MEMBER_TIMEOUT_S)
        await first.end_targets()
        await asyncio.sleep(2 * CHECK_INTERVAL_S)
        assert not second.admits()

    play(scenario)


def test_unproven_evidence_is_not_written():
    async def scenario(store):
        await Member(store).end_targets(QUARANTINE_ENDS - 1)
        assert store.values == {}

    play(scenario)


# Guards against a record without the last end, which began while it was written.
def test_end_during_a_write_is_written_too():
    async def scenario(store):
        first = Member(store)
        await asyncio.sleep(0.1)
        for number in range(QUARANTINE_ENDS + 1):
            now = first.state.clock()
            first.quarantine.record_end(CONTENT, f"target-{number}", 1, now)
            first.records.has_changes.set()
            await asyncio.sleep(CALL_S / 2)
        await asyncio.sleep(2 * CALL_S)
        first.task.cancel()
        await asyncio.sleep(QUARANTINE_S + 1.0)
        assert not (await restart(store)).admits()

    play(scenario)


def test_record_of_an_acquitted_content_is_removed():
    async def scenario(store):
        first = Member(store)
        await first.end_targets()
        assert list(store.values) == [QUARANTINE_PREFIX + f"{CONTENT:016x}"]
        await asyncio.sleep(QUARANTINE_S)
        await first.answer()
        assert store.values == {}

    play(scenario)


# Guards against records that nobody removes, as their writer has ended.
def test_next_broker_removes_what_the_last_one_has_written():
    async def scenario(store):
        first, second = Member(store), Member(store, 2, is_broker=False)
        await second.end_targets()
        assert store.values == {}
        await first.end_targets()
        assert store.values
        first.task.cancel()
        second.is_broker = True
        await second.answer()
        assert store.values == {}

    play(scenario)


def test_record_of_a_forgotten_content_is_removed():
    async def scenario(store):
        first = Member(store)
        await first.end_targets()
        first.task.cancel()
        await asyncio.sleep(QUARANTINE_S + FORGET_QUARANTINED_S + 1.0)
        later = await restart(store)
        assert later.admits()
        await asyncio.sleep(CHECK_INTERVAL_S + 0.1)
        assert store.values == {}

    play(scenario)


def test_calls_that_fail_are_repeated():
    async def scenario(store):
        first = Member(store)
        await asyncio.sleep(0.1)
        store.is_away = True
        await first.end_targets()
        later = await restart(store, is_broker=False)
        assert (later.admits(), store.values) == (True, {})
        store.is_away = False
        await asyncio.sleep(2 * MAX_BACKOFF_S)
        assert store.values
        assert not (await restart(store)).admits()

    play(scenario)


# Guards against one unreadable record that hides the others.
@pytest.mark.parametrize("key", [f"{1:016x}", "text"])
def test_unreadable_record_is_ignored(key):
    async def scenario(store):
        first = Member(store)
        store.values[QUARANTINE_PREFIX + key] = b'{"ends":[[1]]}'
        await first.end_targets()
        assert not (await restart(store)).admits()

    play(scenario)


# Guards against LOST: heartbeats carry these numbers, and a process whose heartbeats
# can't be encoded ended at SIGTERM without a drain.
@pytest.mark.parametrize(
    ("key", "ends"),
    [
        (f"{1 << 64:x}", [[1, EPOCH_MS]]),
        ("-1", [[1, EPOCH_MS]]),
        (f"{1:016x}", [[1 << 64, EPOCH_MS]]),
        (f"{1:016x}", [[-1, EPOCH_MS]]),
        (f"{1:016x}", [[1, -(10**30)]]),
    ],
)
def test_record_with_a_number_that_no_heartbeat_carries_is_ignored(key, ends):
    async def scenario(store):
        data = json.dumps({"ends": ends}).encode()
        store.values[QUARANTINE_PREFIX + key] = data
        member = await restart(store)
        assert member.quarantine.accused == {}
        assert encode_message(member.state.heartbeat())

    play(scenario)


# Guards against BUDGET: all members are killed right after the store has returned from
# a copy of before the records.
def test_records_are_written_again_as_soon_as_the_store_was_restored():
    async def scenario(store):
        member = Member(store)
        await member.end_targets()
        await member.end_engine("e1", "all", "bad")
        await asyncio.sleep(CHECK_INTERVAL_S)
        before = set(store.values)
        store.restore({}, member)
        await asyncio.sleep(0.1)
        assert (len(before), set(store.values)) == (2, before)

    play(scenario)


# Guards against records that come back with a copy and that nobody knows: each start of
# all would refuse what was answered long ago.
def test_removed_records_that_a_restore_brings_back_are_removed_again():
    async def scenario(store):
        member = Member(store)
        await member.end_targets()
        await member.end_engine("e1", "all", "bad")
        await asyncio.sleep(QUARANTINE_S)
        copy = dict(store.values)
        await member.answer()
        member.crashes.record_begun(["bad"], member.state.clock())
        await asyncio.sleep(CHECK_INTERVAL_S)
        assert (len(copy), store.values) == (2, {})
        store.restore(copy, member)
        await asyncio.sleep(0.1)
        assert (store.values, member.crashes.accused) == ({}, {})
        assert member.admits()

    play(scenario)


# Guards against records that nobody removes: a write without an answer took effect.
def test_record_whose_write_was_not_answered_is_removed():
    async def scenario(store):
        member = Member(store)
        await asyncio.sleep(0.1)
        store.loses_answers = True
        await member.end_targets()
        assert store.values
        await member.answer()
        store.loses_answers = False
        await asyncio.sleep(2 * MAX_BACKOFF_S)
        assert store.values == {}

    play(scenario)


# The same, seconds later, so that the next broker has read the records before it.
def test_record_that_appears_late_is_removed():
    async def scenario(store):
        first, second = Member(store), Member(store, 2)
        await first.end_targets()
        late = dict(store.values)
        await asyncio.sleep(QUARANTINE_S)
        await second.answer()
        await first.answer()
        first.task.cancel()
        assert store.values == {}
        store.values = late
        await asyncio.sleep(READ_INTERVAL_S + CHECK_INTERVAL_S)
        assert (store.values, second.admits()) == ({}, True)

    play(scenario)


# Guards against a log that repeats one unreadable record each minute.
def test_unreadable_record_is_logged_once(monkeypatch):
    logged = []
    monkeypatch.setattr(
        quarantine_store, "log", lambda number, **fields: logged.append(number)
    )

    async def scenario(store):
        store.values[QUARANTINE_PREFIX + "text"] = b""
        Member(store)
        await asyncio.sleep(3 * READ_INTERVAL_S)

    play(scenario)
    assert logged == [EventNumber.QUARANTINE_UNREADABLE]
