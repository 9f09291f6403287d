import asyncio
import contextlib
import json
import random

import aiohttp
import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from gateway_fixtures import settings, wait_until
from scheduling_samples import heartbeat

from burdockhaven_core.scheduling.member_list import FULL_MESH_MAX_MEMBERS, HUB_COUNT
from burdockhaven_core.scheduling.peer_messages import RunReport
from burdockhaven_entry.gateway import membership as membership_module
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.membership import Membership
from burdockhaven_entry.gateway.placement_client import PlacementClient
from burdockhaven_entry.platform import StoreItem

MEMBERS = FULL_MESH_MAX_MEMBERS + 4


class RecordingEndpoint:
    """An endpoint that keeps the last heartbeat for each address."""

    def __init__(self):
        self.sent = {}
        # Messages to members by node, in order.
        self.sent_to_nodes = []

    def send_all(self, addresses, message):
        self.sent |= dict.fromkeys(addresses, message)


def make_membership():
    state = GatewayState.from_settings(
        settings(), 1, 1_000, lambda: 1.0, random.Random(1)
    )
    for number in range(MEMBERS):
        member = heartbeat(f"entry-{number + 2}", number + 2, started_ms=number)
        state.member_list.record_heartbeat(member, 1.0)
    state.member_list.update_hubs(state.heartbeat(), 1.0)
    endpoint = RecordingEndpoint()
    placement_client = PlacementClient(
        state.member_id,
        state.member_list,
        state.broker,
        state.heartbeat,
        send=lambda node, message: endpoint.sent_to_nodes.append((node, message)),
        clock=state.clock,
    )
    return Membership(
        state,
        endpoint,
        placement_client,
        None,
        lambda *_: None,
        lambda *_: None,
        lambda *_: None,
    )


# Guards against look-ups that name a member for seconds after its stop was requested.
def test_drain_is_announced_to_every_member_of_a_large_cluster():
    membership = make_membership()
    assert len(membership.state.member_list.hubs) == HUB_COUNT
    membership.state.draining = True
    membership.announce_drain()
    sent = membership.endpoint.sent
    assert len(sent) == MEMBERS
    assert all(message.draining for message in sent.values())


def receive_drain_of(membership, node):
    known = membership.state.member_list.views[node].heartbeat
    draining = msgspec.structs.replace(
        known, sequence=2, draining=True, config_version=0
    )
    membership.on_message(draining)


# Guards against a broker that takes over and grants the slots of runs unknown to it.
def test_runs_are_reported_to_the_next_broker_when_the_broker_drains():
    membership = make_membership()
    membership.placement_client.send_report()
    receive_drain_of(membership, "entry-9")
    receive_drain_of(membership, "entry-2")
    sent = membership.endpoint.sent_to_nodes
    assert [node for node, _ in sent] == ["entry-2", "entry-3"]
    assert all(isinstance(message, RunReport) for _, message in sent)


# Guards against a broker that takes over without the runs of the one that drains.
def test_draining_member_reports_its_runs_to_the_next_broker():
    membership = make_membership()
    membership.placement_client.reported_to = membership.state.member_id.node
    membership.state.draining = True
    membership.announce_drain()
    ((node, report),) = membership.endpoint.sent_to_nodes
    assert (node, type(report)) == ("entry-2", RunReport)


# Guards against a watch of the members that ends for good at an undecodable entry.
@pytest.mark.parametrize(
    "value", [b'{"x":' + b"[" * 100_000, b'{"peer_address":"\xff"}']
)
def test_undecodable_member_entry_is_ignored(value):
    membership = make_membership()
    valid = b'{"peer_address":"10.0.0.9:7600","control_address":"10.0.0.9:1"}'
    items = (StoreItem("m/1", value, 1), StoreItem("m/2", valid, 1))
    membership.probe_member_entries(items)
    assert set(membership.unidentified_addresses) == {"10.0.0.9:7600"}


# Guards against an entry that ends the reads of the members, or the datagrams to all.
@pytest.mark.parametrize(
    "address",
    [
        "10.0.0.8",
        "10.0.0.8:",
        "10.0.0.8:99999",
        "10.0.0.8:x",
        "a:7600",
        ":7600",
        "\n:1",
    ],
)
def test_member_entry_with_an_odd_address_is_not_probed(address):
    membership = make_membership()
    entry = {"peer_address": address, "control_address": "10.0.0.8:1"}
    item = StoreItem("m/1", json.dumps(entry).encode(), 1)
    membership.probe_member_entries((item,))
    assert membership.unidentified_addresses == {}


class ScriptedPeer:
    """A member whose response to a fetch repeats bytes until it is cut."""

    def __init__(self, repeated, count):
        self.repeated = repeated
        self.count = count
        self.sent = 0
        self.ended = asyncio.Event()

    async def respond(self, request):
        response = web.StreamResponse()
        await response.prepare(request)
        try:
            for _ in range(self.count):
                await response.write(self.repeated)
                self.sent += 1
        finally:
            self.ended.set()
        return response


@contextlib.asynccontextmanager
async def fetch_from(peer):
    """Let a member fetch a configuration from the peer; yields what it received."""
    app = web.Application()
    app.router.add_get("/{path:.*}", peer.respond)
    received = []
    tasks = []
    async with TestServer(app) as server, aiohttp.ClientSession() as session:
        membership = make_membership()
        membership.state.member_list.hubs = ()
        membership.session = session
        membership.spawn = lambda task: tasks.append(asyncio.create_task(task))
        membership.on_configuration = lambda data, node: received.append(data)
        membership.endpoint.on_error = lambda address, detail: received.append(detail)
        address = f"{server.host}:{server.port}"
        newer = heartbeat("entry-2", 2, config_version=9, control_address=address)
        membership.on_message(newer)
        await asyncio.gather(*tasks)
        await peer.ended.wait()
        assert not membership.is_fetching
        yield received


# Guards against a member that fills the memory of another one.
async def test_endless_configuration_of_a_peer_is_not_read(monkeypatch):
    # A slow machine may need longer for the bytes than for a configuration.
    monkeypatch.setattr(membership_module, "FETCH_TIMEOUT_S", 60.0)
    peer = ScriptedPeer(bytes(2**16), 2_000)
    async with fetch_from(peer) as received:
        (detail,) = received
        assert isinstance(detail, str), len(detail)
        assert "exceeds" in detail
        assert peer.sent < 2_000


async def test_large_configuration_of_a_peer_is_read_whole():
    async with fetch_from(ScriptedPeer(bytes(2**20), 2)) as received:
        assert received == [bytes(2**21)]


class SilentPeer:
    """A member that accepts a fetch and does not respond."""

    def __init__(self):
        self.asked = asyncio.Event()

    async def respond(self, request):
        self.asked.set()
        await asyncio.Event().wait()


@contextlib.asynccontextmanager
async def member_with_peers(*peers):
    """Start a member and peers that announce a version that the member lacks.

    Yields what the member received and a function by which a peer, given by its index,
    announces the version at a time.
    """
    received, tasks = [], []
    async with contextlib.AsyncExitStack() as stack:
        addresses = []
        for peer in peers:
            app = web.Application()
            app.router.add_get("/{path:.*}", peer.respond)
            server = await stack.enter_async_context(TestServer(app))
            addresses.append(f"{server.host}:{server.port}")
        membership = make_membership()
        membership.state.member_list.hubs = ()
        membership.session = await stack.enter_async_context(aiohttp.ClientSession())
        membership.spawn = lambda task: tasks.append(asyncio.create_task(task))
        membership.on_configuration = lambda data, node: received.append(data)
        membership.endpoint.on_error = lambda address, detail: None

        def announce(index, at_s):
            membership.state.clock = lambda: at_s
            address = addresses[index]
            node, incarnation = f"entry-{index + 2}", index + 2
            membership.on_message(
                heartbeat(node, incarnation, config_version=9, control_address=address)
            )

        yield received, announce
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


# Guards against an acknowledged version that stays unknown for seconds, because the
# members that announced it first stand still or can't be reached.
async def test_configuration_is_fetched_from_another_member_if_some_are_silent():
    peers = SilentPeer(), SilentPeer(), ScriptedPeer(b"new", 1)
    async with member_with_peers(*peers) as (received, announce):
        for index, at_s in enumerate((1.0, 1.4, 1.8)):
            announce(index, at_s)
        await wait_until(lambda: received == [b"new"])


# Guards against several transfers of a large configuration that share a narrow link.
async def test_configuration_is_fetched_once_while_a_member_responds():
    peers = ScriptedPeer(b"new", 1), ScriptedPeer(b"new", 1)
    async with member_with_peers(*peers) as (received, announce):
        announce(0, 1.0)
        announce(1, 1.1)
        await wait_until(lambda: received)
        assert (received, peers[1].sent) == ([b"new"], 0)


class SlowPeer:
    """A member whose response takes longer than the time limit without a byte."""

    async def respond(self, request):
        response = web.StreamResponse()
        await response.prepare(request)
        for _ in range(8):
            await response.write(b"x")
            await asyncio.sleep(membership_module.FETCH_TIMEOUT_S / 4)
        return response


# Guards against a large configuration that never arrives over a narrow link.
async def test_configuration_that_takes_long_is_read_whole(monkeypatch):
    # Long enough for a machine that is busy with other tests.
    monkeypatch.setattr(membership_module, "FETCH_TIMEOUT_S", 1.6)
    async with member_with_peers(SlowPeer()) as (received, announce):
        announce(0, 1.0)
        await wait_until(lambda: received == [b"x" * 8])
