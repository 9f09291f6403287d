"""Records of prompt parts beneath which engines end, in virtual time."""

import asyncio
import json

import pytest
from quarantine_fixtures import CALL_S, EPOCH_MS, Member, play, restart

from burdockhaven_core.scheduling.accused_part import FORGET_S, QUARANTINE_S
from burdockhaven_core.scheduling.accused_part_record import part_record_name
from burdockhaven_core.scheduling.crash_attribution import QUARANTINE_ENDS
from burdockhaven_core.scheduling.peer_messages import encode_message
from burdockhaven_entry.platform import QUARANTINED_PARTS_PREFIX
from burdockhaven_entry.quarantine.quarantine_store import (
    CALL_BURST,
    CALLS_PER_S,
    CHECK_INTERVAL_S,
    EVIDENCE_CHECK_INTERVAL_S,
    MAX_BACKOFF_S,
    READ_INTERVAL_S,
)

KEY = QUARANTINED_PARTS_PREFIX + part_record_name("bad")


async def quarantine(member, part="bad", ends=QUARANTINE_ENDS):
    for number in range(ends):
        await member.end_engine(f"{part}-{number}", "all", part)


# Guards against BUDGET: after a start of all members, also one right behind the proof,
# a part that was quarantined ends two or three engines more.
@pytest.mark.parametrize("clock_ms", [0, 5_000, -5_000])
def test_quarantine_of_a_part_outlasts_the_end_of_all_members(clock_ms):
    async def scenario(store):
        first = Member(store)
        await quarantine(first)
        first.task.cancel()
        later = await restart(store, clock_ms=clock_ms)
        assert later.quarantined_parts() == ["bad"]
        await asyncio.sleep(QUARANTINE_S + 5.0)
        assert later.quarantined_parts() == []
        assert later.crashes.is_trial(["all", "bad"])

    play(scenario)


# Guards against BUDGET: members that are killed before anything is proven start from
# nothing each time.
def test_ends_before_a_quarantine_outlast_the_end_of_all_members():
    async def scenario(store):
        for number in range(QUARANTINE_ENDS):
            member = await restart(store)
            await member.end_engine(f"e{number}", "all", "bad")
            member.task.cancel()
        assert (await restart(store)).quarantined_parts() == ["bad"]

    play(scenario)


# The engines may be at fault until a run with other parts is answered.
def test_evidence_is_recorded_once_others_are_answered():
    async def scenario(store):
        member = Member(store)
        member.crashes.record_end("e1", ["all", "bad"], member.state.clock())
        member.notice_changes()
        await asyncio.sleep(CHECK_INTERVAL_S)
        assert store.values == {}
        member.crashes.record_begun(["all"], member.state.clock())
        await asyncio.sleep(2 * EVIDENCE_CHECK_INTERVAL_S)
        assert list(store.values) == [KEY]

    play(scenario)


def test_record_of_an_acquitted_part_is_removed():
    async def scenario(store):
        member = Member(store)
        await quarantine(member)
        await asyncio.sleep(QUARANTINE_S)
        member.crashes.record_begun(["bad"], member.state.clock())
        member.notice_changes()
        await asyncio.sleep(0.1)
        assert store.values == {}

    play(scenario)


# Guards against a part that stays refused after it was repaired and all were killed.
def test_repaired_part_is_free_after_one_trial_and_its_record_goes():
    async def scenario(store):
        first = Member(store)
        await quarantine(first)
        first.task.cancel()
        later = await restart(store)
        await asyncio.sleep(QUARANTINE_S)
        assert not later.crashes.must_wait(["all", "bad"], {}, later.state.clock())
        later.crashes.record_begun(["all", "bad"], later.state.clock())
        later.notice_changes()
        await asyncio.sleep(0.1)
        assert (later.quarantined_parts(), store.values) == ([], {})

    play(scenario)


def test_record_of_a_forgotten_part_is_removed():
    async def scenario(store):
        first = Member(store)
        await quarantine(first, ends=1)
        first.task.cancel()
        await restart(store)
        assert store.values
        await asyncio.sleep(FORGET_S + CHECK_INTERVAL_S)
        assert store.values == {}

    play(scenario)


# The store may be away when the part is proven, and when members start.
def test_calls_for_parts_are_repeated():
    async def scenario(store):
        first = Member(store)
        await asyncio.sleep(0.1)
        store.is_away = True
        await quarantine(first)
        later = await restart(store, is_broker=False)
        assert (later.quarantined_parts(), store.values) == ([], {})
        store.is_away = False
        await asyncio.sleep(2 * MAX_BACKOFF_S)
        assert list(store.values) == [KEY]
        assert (await restart(store)).quarantined_parts() == ["bad"]

    play(scenario)


# Two members that do not hear each other may both be brokers.
def test_brokers_with_different_evidence_keep_each_other():
    async def scenario(store):
        first, second = Member(store), Member(store, 2)
        await quarantine(first, "bad")
        await quarantine(second, "worse")
        later = await restart(store)
        assert sorted(later.quarantined_parts()) == ["bad", "worse"]

    play(scenario)


# Guards against a store that is worn out beside many ends of engines.
def test_changes_of_the_records_are_bounded():
    async def scenario(store):
        member = Member(store)
        seconds = 30
        for number in range(5 * seconds):
            parts = [f"s{number}-{n}" for n in range(20)]
            await member.end_engine(f"e{number}", *parts)
        assert store.changes <= CALL_BURST + CALLS_PER_S * seconds

    play(scenario)


# Guards against one unreadable record that hides the others, and against numbers that
# no heartbeat can carry.
@pytest.mark.parametrize(
    "changes",
    [{"part": "other"}, {"ends": 1 << 64}, {"quarantines": 10**9}, {"last_end_ms": -1}],
)
def test_unreadable_record_of_a_part_is_ignored(changes):
    async def scenario(store):
        record = {
            "part": "sound",
            "ends": 3,
            "last_end_ms": EPOCH_MS,
            "quarantined_until_ms": EPOCH_MS + 200_000,
            "quarantines": 1,
        }
        key = QUARANTINED_PARTS_PREFIX + part_record_name("sound")
        store.values[key] = json.dumps(record | changes).encode()
        await quarantine(Member(store))
        later = await restart(store)
        assert later.quarantined_parts() == ["bad"]
        assert encode_message(later.state.heartbeat())

    play(scenario)


# Guards against records that nobody removes: heartbeats name only some of the parts
# that a broker knows, and the next broker knew no others.
def test_next_broker_keeps_and_removes_what_it_was_not_told():
    async def scenario(store):
        first, second = Member(store), Member(store, 2, is_broker=False)
        await asyncio.sleep(0.1)
        await quarantine(first)
        first.task.cancel()
        second.is_broker = True
        await asyncio.sleep(2 * CHECK_INTERVAL_S)
        assert second.quarantined_parts() == ["bad"]
        await asyncio.sleep(QUARANTINE_S + FORGET_S)
        await asyncio.sleep(CHECK_INTERVAL_S)
        assert store.values == {}

    play(scenario)


# Guards against BUDGET: a part is answered from memory that was not read yet, because
# the store was away at the start and the next attempt to read was seconds off.
def test_prompts_wait_for_the_records_and_these_are_read_once_the_store_answers():
    async def scenario(store):
        await quarantine(Member(store))
        store.is_away = True
        later = await restart(store)
        await asyncio.sleep(4 * MAX_BACKOFF_S)
        wait = later.state.broker.records_wait
        assert wait.holds(later.state.clock())
        store.is_away = False
        later.records.retry_now()
        await asyncio.sleep(CALL_S)
        assert not wait.holds(later.state.clock())
        assert later.quarantined_parts() == ["bad"]

    play(scenario)


# Guards against BUDGET: of two brokers at once, the one that knew less wrote last, and
# the other one took its own record for the one in the store.
def test_record_that_another_broker_has_overwritten_is_written_again():
    async def scenario(store):
        first, second = Member(store), Member(store, 2)
        await asyncio.sleep(0.1)
        await quarantine(first)
        await quarantine(second, ends=1)
        second.task.cancel()
        assert (await restart(store, is_broker=False)).quarantined_parts() == []
        await asyncio.sleep(READ_INTERVAL_S)
        later = await restart(store, is_broker=False)
        assert later.crashes.accused["bad"].quarantines == 1

    play(scenario)
