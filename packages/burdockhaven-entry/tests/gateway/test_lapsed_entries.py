"""Pattern: the entry of a target lapses and returns while members are cut off.

Three members watch a store in memory and exchange heartbeats, in virtual time. A sound
target that returns has to be used again by all of them; one that is gone, or leaves by
its own word, by none.
"""

import asyncio
import dataclasses
import json
import random

import pytest
from gateway_fixtures import PLAIN_SERVICE, routing_table, settings
from result import Err, Ok

from burdockhaven_bench.restore import VirtualTimeLoop
from burdockhaven_core.key_value_failure import FailureKind, KeyValueFailure
from burdockhaven_core.scheduling.peer_messages import decode_message, encode_message
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.store_era import UNKNOWN_ERA
from burdockhaven_entry.gateway.store_event_handlers import (
    HUB_DISCOVERY_S,
    StoreEventHandlers,
)
from burdockhaven_entry.gateway.store_sync import PrefixWatcher
from burdockhaven_entry.platform import (
    TARGETS_PREFIX,
    ChangeBatch,
    StoreItem,
    StoreRevision,
)

CUT = Err(KeyValueFailure(FailureKind.NOT_DONE, "watch", "store", "cut off"))
CALL_S = 0.004
HEARTBEAT_S = 0.15
TARGET = "i-1"
KEY = TARGETS_PREFIX + TARGET


class MemoryStore:
    """The entries of targets, with revisions."""

    def __init__(self):
        self.era = 1
        self.revision = 100
        self.history = []
        self.items = {}
        self.sequence = 0

    def write(self, state="ready", born=7):
        self.sequence += 1
        value = {
            "service": PLAIN_SERVICE,
            "address": "10.0.0.1:80",
            "zone": "a",
            "version": "v1",
            "slots": 4,
            "state": state,
            "cold_left_ms": 0,
            "seq": self.sequence,
            "born": born,
        }
        self._record(json.dumps(value).encode())

    def remove(self):
        self._record(None)

    def restore(self, items, revision):
        """Return from a copy."""
        self.era += 1
        self.revision = revision
        self.items = dict(items)
        self.history = []

    def _record(self, value):
        self.revision += 1
        item = StoreItem(KEY, value, self.revision)
        self.history.append(item)
        self.items[KEY] = item
        if value is None:
            del self.items[KEY]


class MemberClient:
    """One member's client of the store, which may be cut off or slow to answer."""

    def __init__(self, store, state):
        self.store = store
        self.state = state
        self.is_cut = False
        self.delay_s = CALL_S

    async def read_prefix(self, prefix):
        await asyncio.sleep(self.delay_s)
        if self.is_cut:
            return CUT
        return Ok(ChangeBatch(tuple(self.store.items.values()), self._revision()))

    async def watch(self, prefix, after, wait_s):
        for _ in range(int(wait_s / CALL_S)):
            await asyncio.sleep(CALL_S)
            if self.is_cut:
                return CUT
            items = tuple(i for i in self.store.history if i.revision > after.number)
            if items or self.store.era != after.era:
                batch = ChangeBatch(items, self._revision())
                await asyncio.sleep(self.delay_s)
                return Ok(batch)
        return Ok(ChangeBatch((), self._revision()))

    def _revision(self):
        era = self.state.store_eras.record_response(self.store.era, "")
        return StoreRevision(era, self.store.revision)


class Members:
    """Members with their watches and heartbeats."""

    def __init__(self):
        self.clock = asyncio.get_running_loop().time
        self.store = MemoryStore()
        self.states, self.clients, self.tasks = [], [], []
        for _ in range(3):
            self.add()
        self.tasks.append(asyncio.create_task(self._tick()))

    def add(self):
        number = len(self.states) + 1
        state = GatewayState.from_settings(
            dataclasses.replace(settings(), node=f"entry-{number}"),
            number,
            number,
            self.clock,
            random.Random(number),
        )
        state.apply_table(routing_table(), b"")
        client = MemberClient(self.store, state)
        handlers = StoreEventHandlers(state).for_all_prefixes()[1]
        watcher = PrefixWatcher(
            client, handlers, state.store_eras, self.clock, random.Random(number)
        )
        self.states.append(state)
        self.clients.append(client)
        self.tasks.append(asyncio.create_task(watcher.run()))

    async def _tick(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for sender in self.states:
                heartbeat = decode_message(encode_message(sender.heartbeat()))
                for receiver in self.states:
                    if receiver is not sender and heartbeat.store_era != UNKNOWN_ERA:
                        receiver.store_eras.observe(heartbeat.store_era, "member")
                        receiver.record_announced_leaving(heartbeat, self.clock())
            for state in self.states:
                state.registry.expire(self.clock())

    def using(self):
        """Return the numbers of the members that send to the target."""
        return {
            number
            for number, state in enumerate(self.states)
            if state.usable_targets(PLAIN_SERVICE)
        }


async def lapse_beside_a_cut(members):
    """The third member misses the return, and goes on announcing the removal."""
    members.store.remove()
    await asyncio.sleep(0.1)
    members.clients[2].is_cut = True
    await asyncio.sleep(1.0)
    members.store.write()
    await asyncio.sleep(4.5)
    members.clients[2].is_cut = False
    await asyncio.sleep(5.0)
    return {0, 1, 2}


async def lapse_read_late(members):
    """One member reads of the return after a heartbeat that names the removal."""
    members.clients[2].delay_s = 0.5
    members.store.remove()
    await asyncio.sleep(0.6)
    members.store.write()
    await asyncio.sleep(3.0)
    return {0, 1, 2}


async def lapse_in_series(members):
    """Each member in turn misses one return."""
    for client in members.clients:
        members.store.remove()
        await asyncio.sleep(0.1)
        client.is_cut = True
        await asyncio.sleep(0.5)
        members.store.write()
        await asyncio.sleep(4.0)
        client.is_cut = False
        await asyncio.sleep(1.0)
    return {0, 1, 2}


async def return_heard_during_a_cut(members):
    """A member that is cut off learns of the removal and the return from others."""
    members.clients[2].is_cut = True
    await asyncio.sleep(1.0)
    members.store.remove()
    await asyncio.sleep(0.5)
    assert members.using() == set()
    members.store.write()
    await asyncio.sleep(0.5)
    return {0, 1, 2}


async def gone_during_a_cut(members):
    """Guards against rule DRAIN at a member that can't read of the removal."""
    members.clients[2].is_cut = True
    await asyncio.sleep(1.0)
    members.store.remove()
    await asyncio.sleep(0.5)
    return set()


async def draining_entry_lapses_and_returns(members):
    members.clients[2].is_cut = True
    await asyncio.sleep(1.0)
    members.store.write("draining")
    await asyncio.sleep(0.5)
    assert members.using() == set()
    members.store.remove()
    await asyncio.sleep(0.5)
    members.store.write("draining")
    await asyncio.sleep(0.5)
    members.clients[2].is_cut = False
    await asyncio.sleep(2.0)
    return set()


async def draining_entry_lapses_before_it_is_heard_of(members):
    members.clients[2].is_cut = True
    await asyncio.sleep(1.0)
    members.store.write("draining")
    members.store.remove()
    await asyncio.sleep(0.5)
    return set()


async def new_start_under_the_same_id(members):
    members.clients[2].is_cut = True
    await asyncio.sleep(1.0)
    members.store.write("draining")
    await asyncio.sleep(0.5)
    members.store.remove()
    await asyncio.sleep(0.5)
    members.store.write(born=9)
    await asyncio.sleep(0.5)
    assert members.using() == {0, 1}
    members.clients[2].is_cut = False
    await asyncio.sleep(2.0)
    return {0, 1, 2}


async def gone_but_in_an_older_copy(members):
    """A member that starts after a restore knows the copy only."""
    items, revision = dict(members.store.items), members.store.revision
    members.store.remove()
    await asyncio.sleep(0.5)
    members.store.restore(items, revision)
    await asyncio.sleep(1.0)
    members.add()
    await asyncio.sleep(0.5)
    return set()


async def written_again_after_a_restore(members):
    await gone_but_in_an_older_copy(members)
    members.store.write()
    await asyncio.sleep(0.5)
    return {0, 1, 2, 3}


DAYS = (
    lapse_beside_a_cut,
    lapse_read_late,
    lapse_in_series,
    return_heard_during_a_cut,
    gone_during_a_cut,
    draining_entry_lapses_and_returns,
    draining_entry_lapses_before_it_is_heard_of,
    new_start_under_the_same_id,
    gone_but_in_an_older_copy,
    written_again_after_a_restore,
)


# Guards against sound targets that are taken for leaving, for as long as they run, once
# their entries have lapsed while a member was cut off from the store.
@pytest.mark.parametrize("day", DAYS)
def test_members_use_the_targets_that_are_there(day):
    async def run():
        members = Members()
        members.store.write()
        await asyncio.sleep(HUB_DISCOVERY_S + 0.5)
        assert members.using() == {0, 1, 2}
        expected = await day(members)
        assert members.using() == expected
        for task in members.tasks:
            task.cancel()

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(run())
