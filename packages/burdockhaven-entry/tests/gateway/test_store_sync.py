import asyncio
import random

import pytest
from result import Err, Ok

from burdockhaven_core.key_value_failure import FailureKind, KeyValueFailure
from burdockhaven_entry.gateway.store_sync import (
    AWAY_AFTER_S,
    Follower,
    StoreFeed,
    stay_registered,
)
from burdockhaven_entry.platform import (
    ChangeBatch,
    Item,
)

FAILED = Err(KeyValueFailure(FailureKind.AMBIGUOUS, "watch", "store", "reset"))
LOST = Err(KeyValueFailure(FailureKind.HISTORY_LOST, "watch", "store", "410"))
ONE = Item("a/1", b"1", 5)


class Script:
    """A store that answers as told, and a clock that each answer moves on."""

    def __init__(self, reads=(), watches=(), step_s=0.5):
        self.reads = list(reads)
        self.watches = list(watches)
        self.step_s = step_s
        self.now = 0.0
        self.watched_after = []
        self.done = asyncio.Event()

    async def read_prefix(self, prefix):
        return await self.answer(self.reads)

    async def watch(self, prefix, after, wait_s):
        self.watched_after.append(after)
        return await self.answer(self.watches)

    async def answer(self, answers):
        self.now += self.step_s
        if not answers:
            self.done.set()
            await asyncio.Event().wait()
        return answers.pop(0)


async def follow(script):
    seen = {"all": [], "changes": [], "returns": [], "failures": []}
    feed = StoreFeed(
        "a/",
        seen["all"].append,
        seen["changes"].append,
        seen["returns"].append,
        seen["failures"].append,
    )
    follower = Follower(script, feed, lambda: script.now, random.Random(1))
    task = asyncio.create_task(follower.run())
    await script.done.wait()
    task.cancel()
    return seen


def batch(revision, *items):
    return Ok(ChangeBatch(items, revision))


async def test_keys_are_read_once_and_then_watched_from_their_revision():
    script = Script([batch(5, ONE)], [batch(7, Item("a/2", None, 7))])
    seen = await follow(script)
    assert seen["all"] == [(ONE,)]
    assert seen["changes"] == [Item("a/2", None, 7)]
    assert script.watched_after == [5, 7]


async def test_a_single_failure_is_no_outage():
    """A reset connection counted as one, and removed targets were kept for a while."""
    script = Script([batch(5)], [FAILED, batch(6)], step_s=3.0)
    seen = await follow(script)
    assert seen["failures"] == []
    assert seen["returns"] == []
    assert script.watched_after == [5, 5, 6]


async def test_after_an_outage_the_keys_are_read_whole():
    script = Script([batch(5), batch(9)], [FAILED] * 3, step_s=AWAY_AFTER_S)
    seen = await follow(script)
    assert len(seen["failures"]) == 1
    assert len(seen["returns"]) == 1
    assert len(seen["all"]) == 2


async def test_lost_history_is_made_good_by_a_read():
    script = Script([batch(5), batch(90)], [LOST])
    seen = await follow(script)
    assert len(seen["all"]) == 2
    assert script.watched_after == [5, 90]
    assert seen["returns"] == []


class Leases:
    """A store that grants leases and forgets one."""

    def __init__(self):
        self.granted = 0
        self.kept = 0
        self.written = []

    async def grant_lease(self, ttl_s):
        self.granted += 1
        return Ok(self.granted)

    async def put(self, key, value, lease):
        self.written.append((key, lease))
        return Ok(None)

    async def keep_lease(self, lease):
        self.kept += 1
        if self.kept == 2:
            kind = FailureKind.LEASE_ENDED
            return Err(KeyValueFailure(kind, "keep lease", "store", "404"))
        if self.kept > 3:
            raise asyncio.CancelledError
        return Ok(None)


async def test_an_entry_is_written_again_when_its_lease_has_ended():
    store = Leases()

    async def sleep(seconds):
        return None

    with pytest.raises(asyncio.CancelledError):
        await stay_registered(store, "a/me", b"x", sleep)
    assert store.written == [("a/me", 1), ("a/me", 2)]
