"""The log of stream origins, in virtual time."""

import asyncio
import random

import pytest
from gateway_fixtures import settings
from result import Err, Ok

from burdockhaven_bench.restore import VirtualTimeLoop
from burdockhaven_core.key_value_failure import FailureKind, KeyValueFailure
from burdockhaven_core.scheduling.peer_messages import StreamOrigin
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.platform import (
    MAX_TRANSACTION_CHANGES,
    ORIGINS_PREFIX,
    ChangeBatch,
    StoreItem,
    StoreRevision,
)
from burdockhaven_entry.resumption import OriginLog
from burdockhaven_entry.resumption.origin_log import MAX_BACKOFF_S, WRITE_DELAY_S

V1 = StreamOrigin("engines", "v1")
V2 = StreamOrigin("engines", "v2")
CALL_S = 0.004


class Store:
    """Keys in memory; calls fail while it is away."""

    def __init__(self):
        self.values = {}
        self.is_away = False
        self.calls = 0

    async def call(self):
        self.calls += 1
        await asyncio.sleep(CALL_S)
        if self.is_away:
            return Err(KeyValueFailure(FailureKind.NOT_DONE, "step", "store", ""))
        return Ok(None)

    async def put(self, key, value, lease):
        result = await self.call()
        if result.is_ok():
            self.values[key] = value
        return result

    async def remove(self, keys):
        assert len(keys) <= MAX_TRANSACTION_CHANGES
        for key in keys:
            self.values.pop(key, None)
        return await self.call()

    async def read_prefix(self, prefix, may_be_stale=False):
        result = await self.call()
        items = tuple(StoreItem(key, value, 1) for key, value in self.values.items())
        return result.map(lambda _: ChangeBatch(items, StoreRevision(0, 1)))


def play(scenario):
    """Run a scenario in virtual time; a coroutine function of a store."""

    async def main():
        await scenario(Store())

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(main())


def start(store, incarnation=1):
    loop = asyncio.get_running_loop()
    state = GatewayState.from_settings(
        settings(), incarnation, incarnation, loop.time, random.Random(1)
    )
    origin_log = OriginLog(state, store, is_broker=lambda: True)
    origin_log.task = loop.create_task(origin_log.run())
    return origin_log


async def settle():
    await asyncio.sleep(WRITE_DELAY_S + 2 * CALL_S)


# Guards against ORDER and LOST: nobody knows the versions after a start of all members.
def test_later_process_finds_what_an_earlier_one_wrote():
    async def scenario(store):
        first = start(store)
        first.add({1: V1})
        await settle()
        first.add({2: V2})
        await settle()
        first.task.cancel()
        later = start(store, incarnation=2)
        assert await later.find(1) == Ok(V1)
        assert await later.find(2) == Ok(V2)
        assert await later.find(3) == Ok(None)

    play(scenario)


# Guards against origins that are lost while the store refuses writes.
def test_origins_are_written_once_the_store_is_back():
    async def scenario(store):
        store.is_away = True
        first = start(store)
        first.add({1: V1})
        await asyncio.sleep(3.0)
        store.is_away = False
        await asyncio.sleep(MAX_BACKOFF_S + 2 * WRITE_DELAY_S)
        assert await start(store, incarnation=2).find(1) == Ok(V1)

    play(scenario)


def test_failed_read_is_not_an_absent_origin():
    async def scenario(store):
        store.is_away = True
        assert (await start(store).find(1)).is_err()

    play(scenario)


# Guards against one unreadable batch that hides all others.
def test_unreadable_batch_costs_only_its_own_streams():
    async def scenario(store):
        first = start(store)
        first.add({1: V1})
        await settle()
        store.values[ORIGINS_PREFIX + "other"] = b"text"
        assert await start(store, incarnation=2).find(1) == Ok(V1)

    play(scenario)


# Guards against a call to the store for each stream that is resumed after a start.
def test_questions_share_a_read():
    async def scenario(store):
        origin_log = start(store)
        await asyncio.gather(*(origin_log.find(key) for key in range(50)))
        assert store.calls == 1

    play(scenario)


# Guards against keys that stay for ever, also those of processes that have ended.
@pytest.mark.parametrize("batches", [1, MAX_TRANSACTION_CHANGES + 3])
def test_batches_are_removed_after_the_resume_window(batches):
    async def scenario(store):
        first = start(store)
        for number in range(batches):
            first.add({number: V1})
            await settle()
        assert len(store.values) == batches
        first.task.cancel()
        later = start(store, incarnation=2)
        window_s = later.state.stream_origins.ttl_s
        await asyncio.sleep(1.5 * window_s)
        assert len(store.values) == batches
        await asyncio.sleep(3 * window_s)
        assert not store.values
        calls = store.calls
        await asyncio.sleep(10 * window_s)
        assert store.calls <= calls + 1

    play(scenario)
