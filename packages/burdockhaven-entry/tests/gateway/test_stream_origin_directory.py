"""Origins of streams among several members, in virtual time over a lossy network."""

import asyncio
import dataclasses
import random
from collections import Counter

import pytest
from gateway_fixtures import settings
from result import Err, Ok
from scheduling_samples import ENGINES, heartbeat, route, table, target

from burdockhaven_bench.restore import VirtualTimeLoop
from burdockhaven_core.key_value_failure import FailureKind, KeyValueFailure
from burdockhaven_core.scheduling.member_list import (
    FULL_MESH_MAX_MEMBERS,
    MEMBER_TIMEOUT_S,
)
from burdockhaven_core.scheduling.peer_messages import (
    OriginReply,
    StreamOrigin,
    VersionObservation,
)
from burdockhaven_core.scheduling.routing import ServiceShare
from burdockhaven_core.scheduling.target_registry import OUTAGE_GRACE_S
from burdockhaven_core.scheduling.version_records import (
    RecordReading,
    VersionRecord,
)
from burdockhaven_entry.gateway.gateway_daemon import (
    HEARTBEAT_INTERVAL_S,
    ORIGIN_DELAY_S,
)
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.origin_source import OriginSource
from burdockhaven_entry.gateway.stream_origin_directory import (
    MAX_ATTEMPTS,
    REPLY_TIMEOUT_S,
    ROUNDING_MARGIN_S,
    VERSION_CHECK_INTERVAL_S,
    StreamOriginDirectory,
)
from burdockhaven_entry.platform import ClientRequest

V1 = StreamOrigin(ENGINES, "v1")
V2 = StreamOrigin(ENGINES, "v2")
# One-way delay of a datagram.
DELAY_S = 0.001
# Twice the timeout of the sample route.
WINDOW_S = 30.0
PAST_WINDOW_S = WINDOW_S + 1
START_S = 100.0
MEMBERS = 9


def client_request(attempt, resumes=None):
    return ClientRequest(
        attempt_id=attempt,
        deadline_ms=15_000,
        api_key=None,
        prompt_tokens=100,
        max_output_tokens=20,
        parts=(),
        last_event_id=None if resumes is None else "3",
        resumed_attempt_id=resumes,
        expected_output_tokens=None,
    )


class Member:
    """The directory of one member, on a `Network`."""

    def __init__(self, network, node, zone, incarnation):
        self.network = network
        self.node = node
        self.is_up = True
        own = dataclasses.replace(
            settings(), node=node, zone=zone, first_start=network.is_first_start
        )
        self.state = GatewayState.from_settings(
            own, incarnation, incarnation, network.clock, random.Random(1)
        )
        self.state.apply_table(table(), b"")
        self.directory = StreamOriginDirectory(
            self.state,
            lambda to, message: network.send(self, to, message),
            lambda: network.call_later(ORIGIN_DELAY_S, self.flush),
            self.find_record,
            self.find_stored,
            self.store_origins,
        )

    async def find_record(self, service):
        self.network.record_reads += 1
        if self.network.is_store_away:
            return Err(KeyValueFailure(FailureKind.NOT_DONE, "read", "store", ""))
        if self.network.record is None:
            return Ok(None)
        await asyncio.sleep(DELAY_S)
        return Ok(RecordReading(self.network.record, self.network.is_record_valid))

    async def find_stored(self, key):
        if self.network.is_store_away:
            return Err(KeyValueFailure(FailureKind.NOT_DONE, "read", "store", ""))
        origin, until_s = self.network.stored.get(key, (None, 0.0))
        if self.network.clock() > until_s:
            return Ok(None)
        await asyncio.sleep(DELAY_S)
        return Ok(origin)

    def store_origins(self, streams):
        until_s = self.network.clock() + 2 * WINDOW_S
        self.network.stored |= {key: (streams[key], until_s) for key in streams}

    def flush(self):
        if self.is_up:
            self.directory.flush()

    def sync(self, *versions):
        """Read these targets from the store."""
        for number, version in enumerate(versions):
            name = f"i-{number}"
            self.state.registry.put(target(name, software_version=version))
        self.state.in_sync = True
        self.state.publish_targets()

    def begin(self, attempt, origin=V1, resumes=None):
        self.directory.record(client_request(attempt, resumes), origin)

    async def find(self, resumes, served_route=None, patience_s=0.0):
        found = await self.ask(resumes, served_route, patience_s)
        return found.origin, found.source

    async def ask(self, resumes, served_route=None, patience_s=0.0):
        """Find an origin for a client that waits this long for it to be certain."""
        return await self.directory.find(
            client_request("later", resumes),
            served_route or route(),
            ENGINES,
            self.state.clock() + patience_s,
        )


class Network:
    """Members that exchange datagrams; some are lost, held back or cut off."""

    def __init__(self, count=MEMBERS, loss=0.0, seed=1, is_first_start=False):
        self.is_first_start = is_first_start
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.loss = loss
        self.frozen = set()
        self.cut = set()
        self.sent = Counter()
        # Record of the service in the store; None if there is none.
        self.record = None
        self.is_record_valid = True
        self.is_store_away = False
        # Origins that brokers have written to the store, and until when they last.
        self.stored = {}
        self.record_reads = 0
        # The last message of each type.
        self.last_sent = {}
        self.members = {}
        for number in range(count):
            self.start(f"entry-{number}", "abc"[number % 3], number + 1)
        self.connect()
        self.heartbeats = self.loop.create_task(self.exchange_heartbeats())

    async def exchange_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            self.connect()

    def clock(self):
        return START_S + self.loop.time()

    def call_later(self, delay_s, callback):
        self.loop.call_later(delay_s, callback)

    def start(self, node, zone, incarnation):
        self.members[node] = Member(self, node, zone, incarnation)
        return self.members[node]

    def __getitem__(self, number):
        return self.members[f"entry-{number}"]

    def connect(self):
        """Exchange a heartbeat between all members that can reach each other."""
        now = self.clock()
        for member in self.members.values():
            for other in self.members.values():
                are_up = member.is_up and other.is_up
                is_cut = (member.node in self.cut) != (other.node in self.cut)
                if other is not member and are_up and not is_cut:
                    beat = heartbeat(
                        other.node,
                        other.state.member_id.incarnation,
                        started_ms=other.state.started_ms,
                        zone=other.state.settings.zone,
                    )
                    member.state.member_list.record_heartbeat(beat, now)
            member.state.member_list.update_hubs(member.state.heartbeat(), now)

    def kill(self, *numbers):
        for number in numbers:
            self[number].is_up = False

    def restart(self, number):
        zone = self[number].state.settings.zone
        member = self.start(f"entry-{number}", zone, 1_000 + number)
        self.connect()
        return member

    def send(self, sender, to, message):
        self.sent[type(message).__name__] += 1
        self.last_sent[type(message).__name__] = message
        if not sender.is_up or self.rng.random() < self.loss:
            return
        if (sender.node in self.cut) != (to in self.cut):
            return
        self.call_later(DELAY_S, lambda: self.deliver(to, message))

    def deliver(self, to, message):
        member = self.members[to]
        if to in self.frozen:
            self.call_later(REPLY_TIMEOUT_S, lambda: self.deliver(to, message))
        elif member.is_up:
            member.directory.on_message(message)


def play(scenario, **options):
    """Run a scenario in virtual time; a coroutine function of a network."""

    async def main():
        return await scenario(Network(**options))

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main())


def backup_nodes(member):
    return [backup.node for backup in member.directory.backups]


async def settle():
    await asyncio.sleep(ORIGIN_DELAY_S + 2 * DELAY_S)


# Guards against ORDER: nobody knows the version of a stream whose member has failed.
@pytest.mark.parametrize("count", [2, 4, MEMBERS, FULL_MESH_MAX_MEMBERS + 5])
@pytest.mark.parametrize("is_killed", [False, True])
def test_origin_is_known_at_every_other_member(count, is_killed):
    async def scenario(network):
        network[1].begin("a1", V2)
        await settle()
        if is_killed:
            network.kill(1)
        for number in (n for n in range(count) if n != 1):
            origin, source = await network[number].find("a1")
            assert origin == V2
            assert source in (OriginSource.OWN, OriginSource.MEMBER)

    play(scenario, count=count)


# Guards against ORDER: all members of a zone fail together and with them all copies.
@pytest.mark.parametrize("zone", [0, 1, 2])
def test_origins_survive_the_end_of_a_zone(zone):
    async def scenario(network):
        for number in range(MEMBERS):
            network[number].begin(f"a{number}")
        await settle()
        network.kill(*range(zone, MEMBERS, 3))
        for number in range(MEMBERS):
            origin, _ = await network[(zone + 1) % 3].find(f"a{number}")
            assert origin == V1

    play(scenario)


# Guards against LOST: too few streams go on after 60 % of the members were killed.
@pytest.mark.parametrize("seed", range(8))
def test_most_streams_go_on_after_the_end_of_most_members(seed):
    async def scenario(network):
        streams = [f"a{number}" for number in range(200)]
        for attempt in streams:
            network[network.rng.randrange(MEMBERS)].begin(attempt)
        await settle()
        killed = network.rng.sample(range(MEMBERS), 5)
        network.kill(*killed)
        alive = next(n for n in range(MEMBERS) if n not in killed)
        found = [(await network[alive].find(attempt))[0] for attempt in streams]
        assert set(found) <= {V1, None}
        assert found.count(V1) > len(streams) / 2

    play(scenario, seed=seed)


# Guards against ORDER and LOST: records or questions are lost on the way.
@pytest.mark.parametrize("seed", range(4))
def test_origins_survive_lost_datagrams(seed):
    async def scenario(network):
        streams = [f"a{number}" for number in range(100)]
        for attempt in streams:
            network[1].begin(attempt)
            await settle()
        network.kill(1)
        found = [(await network[2].find(attempt))[0] for attempt in streams]
        assert set(found) <= {V1, None}
        assert found.count(V1) >= 95

    play(scenario, loss=0.1, seed=seed)


def test_frozen_backups_do_not_hide_an_origin():
    async def scenario(network):
        network[1].begin("a1")
        await settle()
        network.kill(1)
        asker = next(
            member
            for member in network.members.values()
            if member.is_up and member.node not in backup_nodes(network[1])
        )
        network.frozen |= set(backup_nodes(network[1])[:2])
        assert await asker.find("a1") == (V1, OriginSource.MEMBER)

    play(scenario)


def test_member_that_is_cut_off_does_not_guess():
    async def scenario(network):
        network[1].begin("a1")
        await settle()
        for member in network.members.values():
            member.sync("v1", "v2")
        asker = next(
            member
            for member in network.members.values()
            if member is not network[1] and member.node not in backup_nodes(network[1])
        )
        network.cut.add(asker.node)
        began_s = network.clock()
        assert await asker.find("a1") == (None, OriginSource.UNKNOWN)
        waited_s = network.clock() - began_s
        assert waited_s == pytest.approx(MAX_ATTEMPTS * REPLY_TIMEOUT_S)
        network.cut.clear()
        assert await asker.find("a1") == (V1, OriginSource.MEMBER)

    play(scenario)


# Guards against ORDER: members that have just started take the versions that they see
# for all there were, and against LOST: none of their streams goes on for a long time.
def test_after_the_end_of_all_members_a_sole_version_is_certain_once_settled():
    async def scenario(network):
        network[1].begin("a1")
        await settle()
        network.kill(*range(MEMBERS))
        members = [network.restart(number) for number in range(MEMBERS)]
        for member in members:
            member.sync("v1")
        assert await members[0].find("a1") == (None, OriginSource.UNKNOWN)
        await asyncio.sleep(OUTAGE_GRACE_S)
        assert await members[0].find("a1") == (V1, OriginSource.SOLE_VERSION)
        # One of them has seen another version, which has gone since.
        members[7].sync("v1", "v2")
        members[7].state.registry.remove("i-1", network.clock())
        members[7].state.publish_targets()
        assert await members[0].find("a1") == (None, OriginSource.UNKNOWN)

    play(scenario)


def restart_all(network, *versions):
    network.kill(*range(MEMBERS))
    members = [network.restart(number) for number in range(MEMBERS)]
    for member in members:
        member.sync(*versions)
    return members


# Guards against LOST: streams resumed just after a start of all members are refused.
@pytest.mark.parametrize("elapsed_s", [0.1, 0.7, 2.0])
def test_resumed_stream_waits_until_the_sole_version_is_certain(elapsed_s):
    async def scenario(network):
        members = restart_all(network, "v1")
        began_s = network.clock()
        await asyncio.sleep(elapsed_s)
        patience_s = OUTAGE_GRACE_S - elapsed_s + 2 * ROUNDING_MARGIN_S
        found = await members[0].find("a1", patience_s=patience_s)
        assert found == (V1, OriginSource.SOLE_VERSION)
        assert network.clock() - began_s >= OUTAGE_GRACE_S

    play(scenario)


# Guards against a stream that is held although its version can't be certain in time.
@pytest.mark.parametrize("elapsed_s", [0.1, 0.7, 2.0])
def test_resumed_stream_does_not_wait_in_vain(elapsed_s):
    async def scenario(network):
        members = restart_all(network, "v1")
        await asyncio.sleep(elapsed_s)
        asked_s = network.clock()
        left_s = OUTAGE_GRACE_S - elapsed_s
        found = await members[0].ask("a1", patience_s=left_s - 0.1)
        assert found.origin is None
        assert network.clock() - asked_s < 2 * REPLY_TIMEOUT_S
        assert found.retry_after_s >= left_s - 2 * REPLY_TIMEOUT_S
        await asyncio.sleep(found.retry_after_s)
        assert await members[0].find("a1") == (V1, OriginSource.SOLE_VERSION)

    play(scenario)


# Guards against ORDER: another version that shows up during the wait is overlooked.
@pytest.mark.parametrize("seen_at", [0, 5])
@pytest.mark.parametrize("has_left", [False, True])
def test_version_that_shows_up_during_the_wait_ends_it(seen_at, has_left):
    async def scenario(network):
        members = restart_all(network, "v1")
        await asyncio.sleep(0.1)
        asked_s = network.clock()
        asking = asyncio.create_task(members[0].find("a1", patience_s=10.0))
        await asyncio.sleep(0.5)
        members[seen_at].sync("v1", "v2")
        if has_left:
            members[seen_at].state.registry.remove("i-1", network.clock())
            members[seen_at].state.publish_targets()
        shown_s = network.clock()
        assert await asking == (None, OriginSource.UNKNOWN)
        if seen_at == 0:
            assert network.clock() - shown_s <= VERSION_CHECK_INTERVAL_S
        assert network.clock() - asked_s < OUTAGE_GRACE_S + 2 * REPLY_TIMEOUT_S

    play(scenario)


# Guards against ORDER: an outage of the store during the wait is overlooked.
@pytest.mark.parametrize("returns_after_s", [None, 0.5])
def test_outage_of_the_store_during_the_wait_begins_it_anew(returns_after_s):
    async def scenario(network):
        member = network[0]
        member.sync("v1")
        await asyncio.sleep(0.1)
        patience_s = 2 * OUTAGE_GRACE_S
        asking = asyncio.create_task(member.find("a1", patience_s=patience_s))
        await asyncio.sleep(1.0)
        member.state.in_sync = False
        member.state.publish_targets()
        if returns_after_s is None:
            assert await asking == (None, OriginSource.UNKNOWN)
            return
        await asyncio.sleep(returns_after_s)
        member.sync("v1")
        returned_s = network.clock()
        assert await asking == (V1, OriginSource.SOLE_VERSION)
        assert network.clock() - returned_s >= OUTAGE_GRACE_S

    play(scenario, count=1)


# Guards against a stream that is held while nothing makes its version certain.
@pytest.mark.parametrize("versions", [(), ("v1", "v2")])
@pytest.mark.parametrize("is_in_sync", [False, True])
def test_resumed_stream_waits_only_for_a_sole_version(versions, is_in_sync):
    async def scenario(network):
        member = network[0]
        member.sync(*versions)
        await asyncio.sleep(0.1)
        member.state.in_sync = is_in_sync
        member.state.publish_targets()
        asked_s = network.clock()
        found = await member.find("a1", patience_s=10.0)
        assert found == (None, OriginSource.UNKNOWN)
        assert network.clock() == asked_s

    play(scenario, count=1)


# Guards against ORDER: after the wait a member decides without one that doesn't reply.
def test_wait_goes_on_while_a_member_does_not_reply():
    async def scenario(network):
        members = restart_all(network, "v1")
        await asyncio.sleep(OUTAGE_GRACE_S - 0.1)
        network.kill(4)
        killed_s = network.clock()
        found = await members[0].find("a1", patience_s=OUTAGE_GRACE_S)
        assert found == (V1, OriginSource.SOLE_VERSION)
        assert network.clock() - killed_s >= MEMBER_TIMEOUT_S

    play(scenario)


# Guards against ORDER and LOST: the record of a stream arrives while its client waits.
def test_record_that_arrives_during_the_wait_counts():
    async def scenario(network):
        members = restart_all(network, "v1")
        await asyncio.sleep(0.1)
        asking = asyncio.create_task(members[0].find("a1", patience_s=10.0))
        await asyncio.sleep(0.5)
        members[0].begin("a1", V2)
        assert await asking == (V2, OriginSource.OWN)

    play(scenario)


# Guards against a flood of questions when the wait of many streams ends at once.
def test_streams_that_wait_ask_once_together():
    async def scenario(network):
        members = restart_all(network, "v1")
        await asyncio.sleep(0.1)
        streams = [
            asyncio.create_task(members[0].find(f"a{number}", patience_s=10.0))
            for number in range(100)
        ]
        await asyncio.sleep(1.0)
        before = network.sent["FindOrigin"]
        assert set(await asyncio.gather(*streams)) == {(V1, OriginSource.SOLE_VERSION)}
        assert network.sent["FindOrigin"] - before <= MAX_ATTEMPTS * MEMBERS

    play(scenario)


# Guards against LOST: streams resumed just after a start of all members are held back.
def test_recorded_sole_version_is_certain_at_once():
    async def scenario(network):
        network.record = VersionRecord(1, frozenset({"v1"}), is_complete=True)
        members = restart_all(network, "v1")
        asked_s = network.clock()
        assert await members[0].find("a1") == (V1, OriginSource.SOLE_VERSION)
        assert network.clock() - asked_s < 2 * REPLY_TIMEOUT_S

    play(scenario)


# Guards against ORDER: the last engine of a version ends together with all members.
@pytest.mark.parametrize("retiring", [(), ("v2",)])
@pytest.mark.parametrize("patience_s", [0.0, OUTAGE_GRACE_S - 0.5])
def test_version_that_ended_with_all_members_is_known_from_the_record(
    retiring, patience_s
):
    async def scenario(network):
        network.record = VersionRecord(
            1, frozenset({"v1", "v2"}), frozenset(retiring), is_complete=True
        )
        members = restart_all(network, "v1")
        found = await members[0].find("a1", patience_s=patience_s)
        assert found == (None, OriginSource.UNKNOWN)
        await asyncio.sleep(2 * OUTAGE_GRACE_S)
        found = await members[0].find("a1", patience_s=patience_s)
        # Of a version that has long gone nothing is left to continue.
        sole = (V1, OriginSource.SOLE_VERSION)
        assert found == (sole if retiring else (None, OriginSource.UNKNOWN))

    play(scenario)


# Guards against ORDER: a member knows of a version that the record doesn't name.
@pytest.mark.parametrize("seen_at", [0, 5])
def test_record_of_one_version_does_not_outweigh_another_one_seen(seen_at):
    async def scenario(network):
        network.record = VersionRecord(1, frozenset({"v1"}), is_complete=True)
        members = restart_all(network, "v1")
        members[seen_at].sync("v1", "v2")
        found = await members[0].find("a1", patience_s=10.0)
        assert found == (None, OriginSource.UNKNOWN)
        assert network.record_reads == 0

    play(scenario)


# Guards against ORDER: the only version present is taken for the recorded one.
def test_record_of_another_version_than_the_present_one_refuses():
    async def scenario(network):
        network.record = VersionRecord(1, frozenset({"v2"}), is_complete=True)
        members = restart_all(network, "v1")
        assert (await members[0].find("a1", patience_s=10.0))[0] is None

    play(scenario)


# Guards against LOST: a member alone, or before it has read the targets, has no say.
@pytest.mark.parametrize("versions", [(), ("v1",)])
def test_record_is_certain_for_a_member_alone(versions):
    async def scenario(network):
        network.record = VersionRecord(1, frozenset({"v1"}), is_complete=True)
        network[0].sync(*versions)
        assert (await network[0].find("a1"))[0] == V1

    play(scenario, count=1)


# Guards against a call to the store for each resumed stream.
def test_record_is_not_read_for_a_stream_whose_origin_is_known():
    async def scenario(network):
        network[1].begin("a1", V2)
        await settle()
        assert (await network[2].find("a1"))[0] == V2
        assert network.record_reads == 0

    play(scenario)


# Guards against ORDER: a member that has just started decides without the others.
def test_recent_view_alone_is_not_enough_while_a_member_does_not_reply():
    async def scenario(network):
        for member in network.members.values():
            member.sync("v1")
        await asyncio.sleep(OUTAGE_GRACE_S + 1)
        network.kill(4)
        assert await network[0].find("a1") == (None, OriginSource.UNKNOWN)
        await asyncio.sleep(MEMBER_TIMEOUT_S)
        assert await network[0].find("a1") == (V1, OriginSource.SOLE_VERSION)

    play(scenario)


@pytest.mark.parametrize("versions", [("v1",), ("v1", "v2")])
def test_at_the_first_start_of_the_system_no_earlier_version_exists(versions):
    async def scenario(network):
        for member in network.members.values():
            member.sync(*versions)
        expected = V1 if versions == ("v1",) else None
        assert (await network[0].find("a1"))[0] == expected
        network[0].state.in_sync = False
        network[0].state.publish_targets()
        assert network[0].state.version_history.complete_for_s(network.clock()) == 0.0

    play(scenario, is_first_start=True)


def test_restarted_member_learns_the_origin_of_its_own_streams():
    async def scenario(network):
        network[1].begin("a1")
        await settle()
        network.kill(1)
        assert await network.restart(1).find("a1") == (V1, OriginSource.MEMBER)

    play(scenario)


# Guards against ORDER: the first member and the backups are gone when a client comes
# back for the third time; it still names its first attempt.
def test_origin_follows_a_chain_of_attempts():
    async def scenario(network):
        network[1].begin("a1", V2)
        await settle()
        for number, attempt in ((2, "a2"), (5, "a3"), (8, "a4")):
            origin, _ = await network[number].find("a1")
            network[number].begin(attempt, origin, resumes="a1")
            await settle()
        network.kill(
            1,
            2,
            5,
            *(int(node.removeprefix("entry-")) for node in backup_nodes(network[1])),
        )
        assert (await network[8].find("a1"))[0] == V2
        network.kill(8)
        alive = next(m for m in network.members.values() if m.is_up)
        assert (await alive.find("a1"))[0] == V2
        assert (await alive.find("a4"))[0] == V2

    play(scenario)


# Guards against ORDER and LOST: the backups have started again, or others have taken
# their place, before the member itself is killed.
@pytest.mark.parametrize("is_restarted", [True, False])
def test_new_backups_get_the_origins_of_streams_that_have_begun(is_restarted):
    async def scenario(network):
        owner = network[1]
        streams = [f"a{number}" for number in range(250)]
        for attempt in streams:
            owner.begin(attempt)
        await settle()
        before = backup_nodes(owner)
        for number in [int(node.removeprefix("entry-")) for node in before]:
            network.kill(number)
            if is_restarted:
                network.restart(number)
        await asyncio.sleep(MEMBER_TIMEOUT_S + 2 * HEARTBEAT_INTERVAL_S)
        owner.begin("one more")
        await settle()
        assert (backup_nodes(owner) == before) == is_restarted
        network.kill(1)
        asker = next(member for member in network.members.values() if member.is_up)
        for attempt in streams:
            assert (await asker.find(attempt))[0] == V1

    play(scenario)


# Guards against memory without a bound, and against a wrong answer of a full directory.
def test_full_directory_forgets_and_does_not_guess():
    async def scenario(network):
        member = network[0]
        member.sync("v1", "v2")
        member.state.stream_origins.max_entries = 100
        for number in range(1_000):
            member.begin(f"a{number}", V2)
        origins = member.state.stream_origins
        assert len(origins) <= 100
        assert origins.discarded_early > 0
        assert await member.find("a999") == (V2, OriginSource.OWN)
        assert await member.find("a1") == (None, OriginSource.UNKNOWN)

    play(scenario, count=1)


def test_origin_is_kept_for_the_window_and_not_for_good():
    async def scenario(network):
        network[0].sync("v1", "v2")
        network[0].begin("a1")
        await asyncio.sleep(WINDOW_S - 1)
        assert await network[0].find("a1") == (V1, OriginSource.OWN)
        await asyncio.sleep(2 * WINDOW_S)
        assert await network[0].find("a1") == (None, OriginSource.UNKNOWN)

    play(scenario, count=1)


@pytest.mark.parametrize(
    ("earlier", "later", "wait_s", "expected"),
    [
        # One version, seen for long enough.
        (("v1",), ("v1",), OUTAGE_GRACE_S + 1, "v1"),
        (("v1",), ("v1",), OUTAGE_GRACE_S - 1, None),
        # Two versions, now or within the window.
        (("v1", "v2"), ("v1", "v2"), PAST_WINDOW_S, None),
        (("v1", "v2"), ("v1", "v1"), WINDOW_S - 1, None),
        (("v1", "v2"), ("v1", "v1"), PAST_WINDOW_S, "v1"),
    ],
)
@pytest.mark.parametrize("resumes", [None, "unknown"])
def test_unknown_stream_continues_only_at_a_sole_version(
    earlier, later, wait_s, expected, resumes
):
    async def scenario(network):
        member = network[0]
        member.sync(*earlier)
        for entry, version in zip(("i-0", "i-1"), later, strict=False):
            if version not in earlier:
                continue
            later_start = target(entry, started_ms=2, software_version=version)
            member.state.registry.put(later_start)
        member.state.publish_targets()
        await asyncio.sleep(wait_s)
        origin, _ = await member.find(resumes)
        assert origin == (StreamOrigin(ENGINES, expected) if expected else None)

    play(scenario, count=1)


# Guards against ORDER: a member knows of one version only, because its view is stale.
def test_versions_that_other_members_know_are_counted():
    async def scenario(network):
        for member in network.members.values():
            member.sync("v1")
        await asyncio.sleep(PAST_WINDOW_S)
        assert (await network[0].find("unknown"))[0] == V1
        network[5].sync("v1", "v2")
        assert (await network[0].find("unknown"))[0] is None

    play(scenario)


# Guards against ORDER: a version is overlooked whose targets no member has read yet.
@pytest.mark.parametrize("knows", ["carrier", "backup"])
def test_versions_that_began_known_streams_are_counted(knows):
    async def scenario(network):
        for member in network.members.values():
            member.sync("v1")
        await asyncio.sleep(PAST_WINDOW_S)
        network[1].begin("a1", V2)
        await settle()
        carrier, backups = network[1], backup_nodes(network[1])
        if knows == "backup":
            network.kill(1)
            await asyncio.sleep(MEMBER_TIMEOUT_S + HEARTBEAT_INTERVAL_S)
            carrier = network.members[backups[0]]
        for asker in (carrier, network[2]):
            assert (await asker.find(None))[0] is None
        await asyncio.sleep(PAST_WINDOW_S)
        assert (await network[2].find(None))[0] == V1

    play(scenario)


def test_sole_version_is_not_certain_after_an_outage_of_the_store():
    async def scenario(network):
        member = network[0]
        member.sync("v1")
        await asyncio.sleep(PAST_WINDOW_S)
        assert (await member.find("unknown"))[0] == V1
        member.state.in_sync = False
        member.state.publish_targets()
        assert (await member.find("unknown"))[0] is None
        member.sync("v1")
        await asyncio.sleep(OUTAGE_GRACE_S - 1)
        assert (await member.find("unknown"))[0] is None
        await asyncio.sleep(2)
        assert (await member.find("unknown"))[0] == V1

    play(scenario, count=1)


def test_member_that_has_just_started_trusts_members_that_have_seen_all():
    async def scenario(network):
        for member in network.members.values():
            member.sync("v1")
        await asyncio.sleep(PAST_WINDOW_S)
        started = network.restart(3)
        assert await started.find("unknown") == (V1, OriginSource.SOLE_VERSION)

    play(scenario)


# Guards against ORDER: a reply to an earlier start of a member is taken for one to the
# question that it asks now.
def test_late_reply_to_an_earlier_start_is_ignored():
    async def scenario(network):
        network.frozen |= {f"entry-{number}" for number in range(1, MEMBERS)}
        assert (await network[0].find("a1"))[0] is None
        question = network.last_sent["FindOrigin"]
        late = OriginReply("entry-1", question.number, V2, VersionObservation((), 0.0))
        network.kill(0)
        started = network.restart(0)
        asking = asyncio.create_task(started.find("a2"))
        await asyncio.sleep(DELAY_S)
        started.directory.on_message(late)
        assert await asking == (None, OriginSource.UNKNOWN)

    play(scenario)


@pytest.mark.parametrize(
    ("services", "expected"), [((ENGINES, "other"), "other"), ((ENGINES,), ENGINES)]
)
def test_stream_continues_at_the_service_that_began_it_if_the_route_has_it(
    services, expected
):
    async def scenario(network):
        network[0].begin("a1", StreamOrigin("other", "v1"))
        shares = tuple(ServiceShare(service, 1.0) for service in services)
        origin, _ = await network[0].find("a1", route(shares=shares))
        assert origin == StreamOrigin(expected, "v1")

    play(scenario, count=1)


# Guards against questions that wait for replies although nobody is left to reply.
def test_a_member_alone_decides_at_once():
    async def scenario(network):
        began_s = network.clock()
        assert await network[0].find("a1") == (None, OriginSource.UNKNOWN)
        assert network.clock() == began_s

    play(scenario, count=1)


# Guards against a load of messages that grows with the members for each new stream.
@pytest.mark.parametrize("count", [MEMBERS, 60])
def test_messages_for_new_streams_do_not_grow_with_the_members(count):
    async def scenario(network):
        for number in range(50):
            network[1].begin(f"a{number}")
        await settle()
        assert network.sent == {"RecordOrigins": 3}

    play(scenario, count=count)


async def begin_at_two_versions(network):
    """Begin a stream at each of two versions, while members know of both."""
    for member in network.members.values():
        member.sync("v1", "v2")
    network[1].begin("old")
    network[2].begin("new", V2)
    await settle()
    await settle()


# Guards against LOST: after a kill of all members no stream goes on if its service has
# several software versions; and against ORDER: one goes on at the other version.
@pytest.mark.parametrize("count", [3, MEMBERS, FULL_MESH_MAX_MEMBERS + 5])
@pytest.mark.parametrize("present", [("v1", "v2"), ("v2",)])
def test_streams_of_two_versions_go_on_after_a_kill_of_all_members(count, present):
    async def scenario(network):
        await begin_at_two_versions(network)
        network.record = VersionRecord(1, frozenset({"v1", "v2"}), is_complete=True)
        network.kill(*range(count))
        members = [network.restart(number) for number in range(count)]
        for member in members:
            member.sync(*present)
        for member in members:
            assert await member.find("old") == (V1, OriginSource.STORE)
            assert await member.find("new") == (V2, OriginSource.STORE)
            assert await member.find("other") == (None, OriginSource.UNKNOWN)

    play(scenario, count=count)


# Guards against LOST: streams that run when the second version appears are not stored.
def test_streams_that_began_before_the_second_version_are_stored():
    async def scenario(network):
        for member in network.members.values():
            member.sync("v1")
        network[1].begin("before")
        await settle()
        assert not network.stored
        for member in network.members.values():
            member.sync("v1", "v2")
        network[1].begin("after")
        await settle()
        await settle()
        assert {origin for origin, _ in network.stored.values()} == {V1}
        assert len(network.stored) == 2

    play(scenario)


# Guards against calls to the store on days without a release.
def test_nothing_is_stored_while_there_is_one_version():
    async def scenario(network):
        for member in network.members.values():
            member.sync("v1")
        network[1].begin("a1")
        await settle()
        await settle()
        assert not network.stored

    play(scenario)


# Guards against ORDER: the servers of the old version have just left, and a read of the
# store that fails is taken for "no other version was recorded".
@pytest.mark.parametrize("patience_s", [0.0, 2 * OUTAGE_GRACE_S])
def test_failed_read_of_the_store_does_not_let_the_present_version_decide(patience_s):
    async def scenario(network):
        await begin_at_two_versions(network)
        network.record = VersionRecord(1, frozenset({"v1", "v2"}), is_complete=True)
        network.is_store_away = True
        members = restart_all(network, "v2")
        await asyncio.sleep(2 * OUTAGE_GRACE_S)
        unknown = (None, OriginSource.UNKNOWN)
        assert await members[0].find("old", patience_s=patience_s) == unknown
        network.is_store_away = False
        assert await members[0].find("old") == (V1, OriginSource.STORE)

    play(scenario)


# Guards against LOST: a stream is refused though the store returns while it waits.
def test_failed_read_of_the_store_is_repeated_while_the_client_waits():
    async def scenario(network):
        await begin_at_two_versions(network)
        network.is_store_away = True
        members = restart_all(network, "v1", "v2")
        network.call_later(1.0, lambda: setattr(network, "is_store_away", False))
        found = await members[0].find("old", patience_s=5.0)
        assert found == (V1, OriginSource.STORE)

    play(scenario)


# Guards against ORDER: the store is restored from a copy, its record is of an earlier
# era, and the servers of the old version have left.
def test_record_that_is_not_valid_still_tells_of_another_version():
    async def scenario(network):
        network.record = VersionRecord(1, frozenset({"v1", "v2"}), is_complete=True)
        network.is_record_valid = False
        members = restart_all(network, "v2")
        await asyncio.sleep(2 * OUTAGE_GRACE_S)
        found = await members[0].find("old", patience_s=OUTAGE_GRACE_S)
        assert found == (None, OriginSource.UNKNOWN)

    play(scenario)
