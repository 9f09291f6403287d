"""Records of software versions of several members, in virtual time."""

import asyncio
import dataclasses
import random

import pytest
from gateway_fixtures import settings
from result import Err, Ok
from scheduling_samples import ENGINES, heartbeat, table, target

from burdockhaven_bench.restore import VirtualTimeLoop
from burdockhaven_core.key_value_failure import FailureKind, KeyValueFailure
from burdockhaven_core.scheduling.member_list import (
    FULL_MESH_MAX_MEMBERS,
    HUB_COUNT,
)
from burdockhaven_core.scheduling.version_records import decode_version_record
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.version_recorder import (
    MAX_BACKOFF_S,
    MIN_WINDOW_S,
    READ_TIMEOUT_S,
    UPDATE_SPREAD_S,
    VersionRecorder,
)
from burdockhaven_entry.platform import (
    VERSIONS_PREFIX,
    ChangeBatch,
    StoreItem,
    StoreRevision,
)

KEY = VERSIONS_PREFIX + ENGINES
CALL_S = 0.004
START_S = 100.0
# By then a change has been recorded by all members.
SETTLE_S = UPDATE_SPREAD_S + 1.0
# By then it has been after failed calls, too.
SETTLED_S = MAX_BACKOFF_S + SETTLE_S
# By then a version that has gone is removed.
REMOVED_S = 3 * MIN_WINDOW_S


class Store:
    """The store as seen by all members."""

    address = "store"

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.era = 1
        self.call_s = CALL_S
        self.refuses_reads = False
        self.refuses_writes = False
        self.drops_responses = False
        self.raises = False
        self.writes = 0
        self.reads = 0

    async def read_prefix(self, prefix):
        self.reads += 1
        await asyncio.sleep(self.call_s)
        if self.raises:
            raise ValueError("a fault of the client")
        if self.refuses_reads:
            return failure(FailureKind.NOT_DONE)
        revision = StoreRevision(self.era, self.revision)
        return Ok(ChangeBatch(tuple(self.items.values()), revision))

    async def write_if(self, key, value, revision):
        self.writes += 1
        await asyncio.sleep(self.call_s)
        if self.refuses_writes:
            return failure(FailureKind.NOT_DONE)
        current = self.items.get(key)
        if (0 if current is None else current.revision) != revision:
            return failure(FailureKind.CONDITION)
        self.revision += 1
        self.items[key] = StoreItem(key, value, self.revision)
        if self.drops_responses:
            return failure(FailureKind.AMBIGUOUS)
        return Ok(self.revision)

    @property
    def record(self):
        item = self.items.get(KEY)
        return None if item is None else decode_version_record(item.value)

    @property
    def versions(self):
        return set() if self.record is None else set(self.record.versions)


def failure(kind):
    return Err(KeyValueFailure(kind, "step", "store", ""))


class Member:
    """The recorder of one member."""

    def __init__(self, store, number, is_first_start):
        self.store = store
        self.loop = asyncio.get_running_loop()
        own = dataclasses.replace(
            settings(), node=f"entry-{number}", first_start=is_first_start
        )
        self.state = GatewayState.from_settings(
            own, number, number, self.clock, random.Random(number)
        )
        self.state.store_eras.observe(store.era, "store")
        self.recorder = VersionRecorder.create(self.state, store)
        self.state.apply_table(table(), b"")
        self.task = self.loop.create_task(self.recorder.run())

    def clock(self):
        return START_S + self.loop.time()

    def sync(self, *versions):
        """Read these targets from the store, and no others."""
        self.state.in_sync = True
        registry = self.state.registry
        entries = [target(f"i-{name}", software_version=name) for name in versions]
        registry.replace(entries, self.clock())
        self.state.publish_targets()

    def lose_store(self):
        self.state.in_sync = False
        self.state.publish_targets()

    @property
    def used(self):
        """Versions that the member's broker may grant."""
        entries = self.state.registry.entries
        return {entries[i].software_version for i in self.state.broker.runs.addresses}

    async def find(self):
        """Return the versions of a valid record; None if there is no such record."""
        reading = (await self.recorder.find(ENGINES)).unwrap_or(None)
        if reading is None or not reading.is_valid:
            return None
        return set(reading.record.versions)

    def kill(self):
        self.task.cancel()


class Cluster:
    """Members that know each other."""

    def __init__(self, count=3, is_first_start=True):
        self.store = Store()
        self.started = 0
        self.members = []
        self.start(count, is_first_start)

    def start(self, count, is_first_start=False):
        """Start members in place of those that run."""
        for member in self.members:
            member.kill()
        numbers = range(self.started + 1, self.started + count + 1)
        self.started += count
        self.members = [Member(self.store, n, is_first_start) for n in numbers]
        self.heartbeats = asyncio.get_running_loop().create_task(
            self._exchange_heartbeats(self.members)
        )

    async def _exchange_heartbeats(self, members):
        while members is self.members:
            for member in members:
                for other in members:
                    if other is not member:
                        beat = heartbeat(
                            other.state.member_id.node,
                            other.state.member_id.incarnation,
                            started_ms=other.state.started_ms,
                            ready=True,
                            in_sync=other.state.in_sync,
                        )
                        member.state.member_list.record_heartbeat(beat, member.clock())
                member_list = member.state.member_list
                member_list.update_hubs(member.state.heartbeat(), member.clock())
            await asyncio.sleep(0.15)

    def sync(self, *versions):
        for member in self.members:
            member.sync(*versions)

    def restore(self, items):
        self.store.items = dict(items)
        self.store.era += 1
        for member in self.members:
            member.state.store_eras.observe(self.store.era, "store")

    @property
    def used(self):
        return [member.used for member in self.members]


def play(scenario, **options):
    """Run a scenario in virtual time; a coroutine function of a cluster."""

    async def main():
        cluster = Cluster(**options)
        try:
            return await scenario(cluster)
        finally:
            for member in cluster.members:
                member.kill()
            cluster.members = []

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main())


# Guards against ORDER: a kill of all members loses which versions have served.
def test_record_outlasts_all_members():
    async def scenario(cluster):
        cluster.sync("v1", "v2")
        await asyncio.sleep(SETTLE_S)
        cluster.start(3)
        cluster.sync("v1")
        for member in cluster.members:
            assert await member.find() == {"v1", "v2"}

    play(scenario)


# Guards against ORDER: streams begin at a version that the store doesn't know yet.
@pytest.mark.parametrize("drops_responses", [False, True])
def test_new_version_is_used_once_it_is_recorded(drops_responses):
    async def scenario(cluster):
        cluster.sync("v1")
        await asyncio.sleep(SETTLE_S)
        cluster.store.refuses_writes = True
        cluster.sync("v1", "v2")
        await asyncio.sleep(10.0)
        assert cluster.store.versions == {"v1"}
        assert cluster.used == [{"v1"}] * 3
        cluster.store.refuses_writes = False
        cluster.store.drops_responses = drops_responses
        await asyncio.sleep(10.0)
        assert cluster.store.versions == {"v1", "v2"}
        assert cluster.used == [{"v1", "v2"}] * 3

    play(scenario)


# Guards against LOST: engines stay unused because the record can't be read or written.
@pytest.mark.parametrize("fault", ["refuses_reads", "refuses_writes"])
def test_versions_are_used_if_nothing_can_be_recorded_at_the_start(fault):
    async def scenario(cluster):
        setattr(cluster.store, fault, True)
        cluster.sync("v1", "v2")
        assert cluster.used == [{"v1", "v2"}] * 3
        await asyncio.sleep(SETTLE_S)
        assert cluster.used == [{"v1", "v2"}] * 3
        assert await cluster.members[0].find() is None

    play(scenario)


# Guards against ORDER: a record that lacks what served before it is taken for complete.
def test_record_is_of_use_after_a_window_unless_nothing_was_before():
    async def scenario(cluster):
        cluster.sync("v1")
        await asyncio.sleep(MIN_WINDOW_S - 1.0)
        assert await cluster.members[0].find() is None
        await asyncio.sleep(10.0)
        assert await cluster.members[0].find() == {"v1"}

    play(scenario, is_first_start=False)


def test_record_of_a_first_start_is_of_use_at_once():
    async def scenario(cluster):
        cluster.sync("v1")
        await asyncio.sleep(SETTLE_S)
        assert await cluster.members[0].find() == {"v1"}

    play(scenario)


# Guards against ORDER: an older copy of the store names fewer versions than served.
@pytest.mark.parametrize("had_record", [False, True])
@pytest.mark.parametrize("are_members_killed", [False, True])
def test_record_of_an_older_copy_is_not_trusted(had_record, are_members_killed):
    async def scenario(cluster):
        cluster.sync("v1")
        await asyncio.sleep(SETTLE_S)
        copy = cluster.store.items if had_record else {}
        cluster.sync("v1", "v2")
        await asyncio.sleep(SETTLE_S)
        assert cluster.store.versions == {"v1", "v2"}
        if are_members_killed:
            cluster.start(3)
        cluster.restore(copy)
        cluster.sync("v1")
        for _ in range(int(MIN_WINDOW_S) - 2):
            for member in cluster.members:
                assert await member.find() is None
            await asyncio.sleep(0.9)
        await asyncio.sleep(REMOVED_S)
        assert await cluster.members[0].find() == {"v1"}

    play(scenario)


# Guards against ORDER: a record is trusted in an era that the member hasn't noticed.
def test_record_of_an_unnoticed_era_is_not_trusted():
    async def scenario(cluster):
        cluster.sync("v1")
        await asyncio.sleep(SETTLE_S)
        cluster.store.era += 1
        assert await cluster.members[0].find() is None

    play(scenario)


# Guards against a service that stays at several versions for good after a release.
def test_version_that_has_gone_is_removed_after_two_windows():
    async def scenario(cluster):
        cluster.sync("v1", "v2")
        await asyncio.sleep(SETTLE_S)
        cluster.sync("v2")
        await asyncio.sleep(2 * MIN_WINDOW_S - 1.0)
        assert cluster.store.versions == {"v1", "v2"}
        await asyncio.sleep(REMOVED_S)
        assert cluster.store.versions == {"v2"}
        assert await cluster.members[0].find() == {"v2"}

    play(scenario)


# Guards against ORDER: a version returns while its record is being removed.
@pytest.mark.parametrize("back_after_s", [1.0, 29.0, 31.0, 45.0, 59.0, 61.0, 90.0])
def test_version_that_returns_is_recorded_while_it_is_used(back_after_s):
    async def scenario(cluster):
        cluster.sync("v1", "v2")
        await asyncio.sleep(SETTLE_S)
        cluster.sync("v2")
        await asyncio.sleep(back_after_s)
        # The others have not seen it yet.
        cluster.members[0].sync("v1", "v2")
        for _ in range(100):
            await asyncio.sleep(0.1)
            if "v1" in cluster.members[0].used:
                assert "v1" in cluster.store.versions
        assert "v1" in cluster.members[0].used
        cluster.sync("v1", "v2")
        await asyncio.sleep(REMOVED_S)
        assert cluster.store.versions == {"v1", "v2"}

    play(scenario)


# Guards against ORDER: members without access to the store remove what others use.
def test_version_is_not_removed_by_a_member_that_was_out_of_sync():
    async def scenario(cluster):
        cluster.sync("v1", "v2")
        await asyncio.sleep(SETTLE_S)
        cluster.sync("v2")
        for _ in range(10):
            await asyncio.sleep(MIN_WINDOW_S / 2)
            for member in cluster.members:
                member.lose_store()
                member.sync("v2")
        assert cluster.store.versions == {"v1", "v2"}

    play(scenario)


# Guards against priced calls beyond those at a change of the versions.
def test_calls_are_made_only_at_a_change():
    async def scenario(cluster):
        await asyncio.sleep(SETTLE_S)
        cluster.sync("v1")
        await asyncio.sleep(SETTLE_S)
        store = cluster.store
        # All were in sync at the same moment; those that failed have read again.
        writes, reads = store.writes, store.reads
        assert writes <= 3 and reads <= 6
        for _ in range(100):
            await asyncio.sleep(1.0)
            cluster.sync("v1")
        assert (store.writes, store.reads) == (writes, reads)
        cluster.sync("v1", "v2")
        await asyncio.sleep(SETTLE_S)
        assert (store.writes, store.reads) == (writes + 1, reads + 3)

    play(scenario)


# Guards against calls by every member of a large cluster at each release.
def test_only_hubs_update_the_records():
    async def scenario(cluster):
        await asyncio.sleep(SETTLE_S)
        cluster.sync("v1")
        await asyncio.sleep(SETTLED_S)
        for number in range(2, 7):
            reads = cluster.store.reads
            cluster.sync("v1", f"v{number}")
            await asyncio.sleep(15.0)
            assert cluster.store.versions == {
                "v1",
                *(f"v{n}" for n in range(2, number + 1)),
            }
            assert cluster.store.reads - reads <= HUB_COUNT
        # A member that becomes the broker reads them then.
        for member in cluster.members[:HUB_COUNT]:
            member.kill()
        del cluster.members[:HUB_COUNT]
        reads = cluster.store.reads
        await asyncio.sleep(15.0)
        assert 1 <= cluster.store.reads - reads <= HUB_COUNT

    play(scenario, count=FULL_MESH_MAX_MEMBERS + HUB_COUNT + 1)


# Guards against a call to the store for each stream that is resumed at the same time.
def test_questions_at_the_same_time_share_a_read():
    async def scenario(cluster):
        cluster.sync("v1")
        await asyncio.sleep(SETTLE_S)
        before = cluster.store.reads
        found = await asyncio.gather(*(cluster.members[0].find() for _ in range(50)))
        assert found == [{"v1"}] * 50
        assert cluster.store.reads == before + 1

    play(scenario)


# Guards against ORDER: a question is answered by a read that was sent before it.
def test_question_is_not_answered_by_an_earlier_read():
    async def scenario(cluster):
        cluster.sync("v1")
        await asyncio.sleep(SETTLE_S)
        cluster.store.call_s = READ_TIMEOUT_S / 2
        early = asyncio.create_task(cluster.members[0].find())
        await asyncio.sleep(READ_TIMEOUT_S / 4)
        before = cluster.store.reads
        late = asyncio.create_task(cluster.members[0].find())
        await asyncio.gather(early, late)
        assert cluster.store.reads == before + 1

    play(scenario)


def test_stream_does_not_wait_for_a_store_that_is_slow():
    async def scenario(cluster):
        cluster.sync("v1")
        await asyncio.sleep(SETTLE_S)
        cluster.store.call_s = 10.0
        began_s = cluster.members[0].clock()
        assert await cluster.members[0].find() is None
        waited_s = cluster.members[0].clock() - began_s
        assert waited_s == pytest.approx(READ_TIMEOUT_S)

    play(scenario)


# Guards against LOST: new versions stay unused after an internal error.
def test_recorder_goes_on_after_an_internal_error():
    async def scenario(cluster):
        cluster.sync("v1")
        await asyncio.sleep(SETTLE_S)
        cluster.store.raises = True
        cluster.sync("v1", "v2")
        await asyncio.sleep(SETTLED_S)
        cluster.store.raises = False
        await asyncio.sleep(SETTLED_S)
        assert cluster.used == [{"v1", "v2"}] * 3

    play(scenario)


# Guards against ORDER: bytes of another writer are taken for a record.
def test_unreadable_record_is_written_anew_and_not_trusted():
    async def scenario(cluster):
        cluster.store.items[KEY] = StoreItem(KEY, b"?", 1)
        cluster.sync("v1")
        await asyncio.sleep(SETTLE_S)
        assert await cluster.members[0].find() is None
        assert cluster.store.versions == {"v1"}

    play(scenario, is_first_start=False)


# Guards against ORDER: releases, rollbacks, outages and restores, in any order.
@pytest.mark.parametrize("seed", range(20))
def test_valid_record_names_every_version_in_use(seed):
    async def scenario(cluster):
        rng = random.Random(seed)
        present = {"v1"}
        cluster.sync(*present)
        await asyncio.sleep(SETTLE_S)
        for step in range(60):
            match rng.randrange(7):
                case 0:
                    present = present | {f"v{rng.randrange(1, 4)}"}
                case 1 if len(present) > 1:
                    present = present - {rng.choice(sorted(present))}
                case 2:
                    cluster.store.refuses_writes = rng.random() < 0.3
                case 3:
                    cluster.store.refuses_reads = rng.random() < 0.3
                case 4:
                    cluster.store.drops_responses = rng.random() < 0.3
                case 5:
                    rng.choice(cluster.members).lose_store()
                case 6 if step % 3 == 0:
                    cluster.restore(cluster.store.items if rng.random() < 0.5 else {})
            for member in cluster.members:
                await asyncio.sleep(rng.uniform(0.0, 3.0))
                member.sync(*present)
                check(cluster)
            for elapsed_s in range(rng.randrange(1, 40)):
                await asyncio.sleep(1.0)
                store = cluster.store
                is_reached = not (store.refuses_reads or store.refuses_writes)
                check(cluster, is_reached and elapsed_s > SETTLED_S)

    def check(cluster, is_settled=False):
        record = cluster.store.record
        if record is None or not record.is_valid(cluster.store.era):
            return
        for member in cluster.members:
            # Where none is left that the member knows to be recorded, others are used.
            known = {version for _, version in member.recorder.hold.recorded}
            if is_settled or member.used & known:
                assert member.used <= record.versions

    play(scenario)
