import asyncio
import random

import pytest
from result import Err, Ok

from burdockhaven_core.key_value_failure import FailureKind, KeyValueFailure
from burdockhaven_entry.gateway.store_sync import (
    OUTAGE_AFTER_S,
    PrefixHandlers,
    PrefixWatcher,
    maintain_registration,
)
from burdockhaven_entry.platform import (
    ChangeBatch,
    StoreItem,
)

FAILED = Err(KeyValueFailure(FailureKind.AMBIGUOUS, "watch", "store", "reset"))
HISTORY_LOST = Err(KeyValueFailure(FailureKind.HISTORY_LOST, "watch", "store", "410"))
ITEM = StoreItem("a/1", b"1", 5)


class ScriptedStore:
    """A store with scripted results, and a clock that each result advances."""

    def __init__(self, reads=(), watches=(), step_s=0.5):
        self.reads = list(reads)
        self.watches = list(watches)
        self.step_s = step_s
        self.now = 0.0
        self.watched_after = []
        self.done = asyncio.Event()

    async def read_prefix(self, prefix):
        return await self.next_result(self.reads)

    async def watch(self, prefix, after, wait_s):
        self.watched_after.append(after)
        return await self.next_result(self.watches)

    async def next_result(self, results):
        self.now += self.step_s
        if not results:
            self.done.set()
            await asyncio.Event().wait()
        return results.pop(0)


async def run_watcher(store):
    seen = {"all": [], "changes": [], "returns": [], "failures": []}
    handlers = PrefixHandlers(
        "a/",
        seen["all"].append,
        seen["changes"].append,
        seen["returns"].append,
        seen["failures"].append,
    )
    watcher = PrefixWatcher(store, handlers, lambda: store.now, random.Random(1))
    task = asyncio.create_task(watcher.run())
    await store.done.wait()
    task.cancel()
    return seen


def batch(revision, *items):
    return Ok(ChangeBatch(items, revision))


async def test_keys_are_read_once_and_then_watched_from_their_revision():
    store = ScriptedStore([batch(5, ITEM)], [batch(7, StoreItem("a/2", None, 7))])
    seen = await run_watcher(store)
    assert seen["all"] == [(ITEM,)]
    assert seen["changes"] == [StoreItem("a/2", None, 7)]
    assert store.watched_after == [5, 7]


async def test_single_failure_is_not_an_outage():
    """Guards against treating a reset connection as an outage.

    Targets removed at that time were then kept for the grace period.
    """
    store = ScriptedStore([batch(5)], [FAILED, batch(6)], step_s=3.0)
    seen = await run_watcher(store)
    assert seen["failures"] == []
    assert seen["returns"] == []
    assert store.watched_after == [5, 5, 6]


async def test_all_keys_are_read_again_after_an_outage():
    store = ScriptedStore([batch(5), batch(9)], [FAILED] * 3, step_s=OUTAGE_AFTER_S)
    seen = await run_watcher(store)
    assert len(seen["failures"]) == 1
    assert len(seen["returns"]) == 1
    assert len(seen["all"]) == 2


async def test_lost_history_triggers_a_full_read():
    store = ScriptedStore([batch(5), batch(90)], [HISTORY_LOST])
    seen = await run_watcher(store)
    assert len(seen["all"]) == 2
    assert store.watched_after == [5, 90]
    assert seen["returns"] == []


class LeaseStore:
    """A store that grants leases and reports the first one as ended."""

    def __init__(self):
        self.granted = 0
        self.renewed = 0
        self.written = []

    async def grant_lease(self, ttl_s):
        self.granted += 1
        return Ok(self.granted)

    async def put(self, key, value, lease):
        self.written.append((key, lease))
        return Ok(None)

    async def renew_lease(self, lease):
        self.renewed += 1
        if self.renewed == 2:
            kind = FailureKind.LEASE_ENDED
            return Err(KeyValueFailure(kind, "keep lease", "store", "404"))
        if self.renewed > 3:
            raise asyncio.CancelledError
        return Ok(None)


async def test_entry_is_written_again_after_its_lease_expired():
    store = LeaseStore()

    async def sleep(seconds):
        return None

    with pytest.raises(asyncio.CancelledError):
        await maintain_registration(store, "a/me", b"x", sleep)
    assert store.written == [("a/me", 1), ("a/me", 2)]
