"""Two real daemons against stand-ins of the platform's store and targets."""

import asyncio
import contextlib
import json
import subprocess
import sys
from itertools import cycle

import pytest

from burdockhaven_bench.platform_harness import PlatformHarness
from burdockhaven_entry.platform import MEMBERS_PREFIX
from burdockhaven_standins.platform_site import HOST, configuration
from burdockhaven_standins.platform_targets import ATTEMPT, TOKEN_COUNTS, TargetFaults

pytestmark = pytest.mark.process
EVENTS = 4
# Header values of streams that last from a few events to about a second.
STREAM_TOKENS = ("200,40", "500,60", "500,90", "800,150")
# Seconds after SIGTERM; a request that is sent later and forwarded may not be cut.
LATEST_REQUEST_S = 3.0
# Requests beyond the slots of the engines.
WAITING = 6


@pytest.fixture
async def harness(tmp_path):
    harness = await PlatformHarness.start(tmp_path)
    yield harness
    await harness.stop()


async def start_two_daemons(harness):
    first, second = [await harness.start_daemon(node) for node in ("one", "two")]
    both = {first.front, second.front}
    await harness.wait_until_look_ups_name(both, "one", "two")
    return first, second


async def test_requests_publication_outage_and_graceful_stop(harness):
    first, second = await start_two_daemons(harness)
    both = (first.front, second.front)
    for address in both:
        plain = await harness.send_request(address, "/plain/x")
        assert (plain.status, plain.body) == (200, b"done")
        assert harness.site.runs_of(plain.request) == 1
        stream = await harness.send_request(address, "/stream/x")
        assert (stream.status, stream.body.count(b"data:")) == (200, EVENTS)
        assert (await harness.send_request(address, "/nowhere/")).status == 404

    # A new version comes into force at both daemons.
    harness.site.publish(2, ["k2"])

    async def is_new_key_accepted():
        statuses = [
            (await harness.send_request(a, "/plain/x", "k2")).status for a in both
        ]
        return statuses == [200, 200]

    await harness.wait_until(is_new_key_accepted)
    assert (await harness.send_request(first.front, "/plain/x", "k1")).status == 401

    # Requests are served during a store outage.
    harness.site.store.faults.down = True
    assert (await harness.send_request(first.front, "/plain/x", "k2")).status == 200
    harness.site.store.faults.down = False

    # A stopping daemon is no longer named by look-ups, the other daemon still serves,
    # and the exit code is 0.
    stopping = asyncio.create_task(harness.stop_daemon("one"))
    await harness.wait_until_look_ups_name({second.front}, "two")
    assert (await harness.send_request(second.front, "/plain/x", "k2")).status == 200
    assert await stopping == 0


async def test_aborted_stream_resumes_at_another_engine(harness):
    first, _ = await start_two_daemons(harness)
    faults = TargetFaults(abort_next_after_events=2)
    for engine in harness.site.engines:
        engine.record.faults = faults
    response = await harness.send_request(first.front, "/stream/x")
    ids = [line for line in response.body.split(b"\n") if line.startswith(b"id:")]
    assert ids == [b"id: %d" % number for number in range(1, EVENTS + 1)]
    assert harness.site.runs_of(response.request) == 2


async def test_plain_request_with_lost_response_runs_once(harness):
    first, _ = await start_two_daemons(harness)
    harness.site.services[0].record.faults = TargetFaults(abort_next_after_events=0)
    response = await harness.send_request(first.front, "/plain/x")
    assert response.status == 502
    assert harness.site.runs_of(response.request) == 1


async def test_draining_target_receives_no_new_requests(harness):
    first, _ = await start_two_daemons(harness)
    leaving, staying = (engine.record for engine in harness.site.engines)
    leaving.faults.draining = True
    harness.site.register()

    async def is_avoided():
        before = leaving.runs.total()
        statuses = [
            (await harness.send_request(first.front, "/stream/x")).status
            for _ in range(8)
        ]
        assert statuses == [200] * 8
        return leaving.runs.total() == before

    await harness.wait_until(is_avoided)
    assert staying.runs.total()


# Guards against rule DRAIN: the entry of the leaving engine says nothing of it.
async def test_engine_that_says_that_it_leaves_is_left_alone_by_all_daemons(harness):
    first, second = await start_two_daemons(harness)
    leaving, staying = (engine.record for engine in harness.site.engines)
    leaving.faults.leaving = True

    async def send_streams(address):
        before = leaving.arrivals
        for _ in range(8):
            assert (await harness.send_request(address, "/stream/x")).status == 200
        return leaving.arrivals - before

    async def is_told():
        await send_streams(first.front)
        return leaving.arrivals > 0

    await harness.wait_until(is_told)
    assert await send_streams(first.front) == 0

    async def is_avoided_by_the_other():
        return await send_streams(second.front) == 0

    await harness.wait_until(is_avoided_by_the_other)
    assert await send_streams(first.front) == 0
    assert staying.runs.total()


# Guards against rule BUDGET: an engine that asks for a pause gets the next requests.
async def test_engine_that_asks_for_a_pause_is_left_alone(harness):
    first, second = await start_two_daemons(harness)
    paused, staying = (engine.record for engine in harness.site.engines)
    paused.faults.pause_s = 30.0

    # More than the other engine takes at once.
    streams = 2 * staying.slots

    async def send_streams_at_once(address):
        before = paused.arrivals
        sends = [harness.send_request(address, "/stream/x") for _ in range(streams)]
        statuses = [response.status for response in await asyncio.gather(*sends)]
        assert statuses == [200] * streams
        return paused.arrivals - before

    for daemon in (first, second):
        assert await send_streams_at_once(daemon.front) > 0
        for _ in range(4):
            assert await send_streams_at_once(daemon.front) == 0
    assert staying.runs.total()


# Guards against rule DRAIN where the balancer of a process uses a leaving plain target.
async def test_plain_target_that_says_that_it_leaves_is_left_alone(harness):
    first, second = await start_two_daemons(harness)
    record = harness.site.services[0].record
    record.faults.leaving = True
    assert (await harness.send_request(first.front, "/plain/x")).status == 200

    async def is_avoided_by_the_other():
        return (await harness.send_request(second.front, "/plain/x")).status == 503

    await harness.wait_until(is_avoided_by_the_other)
    before = record.arrivals
    for daemon in (first, second):
        for _ in range(4):
            response = await harness.send_request(daemon.front, "/plain/x")
            assert response.status == 503
    assert record.arrivals == before


# Guards against rule BUDGET, and against a plain target that is lost after its pause.
async def test_plain_target_that_asks_for_a_pause_is_left_alone_until_its_end(harness):
    daemons = await start_two_daemons(harness)
    record = harness.site.services[0].record
    for daemon in daemons:
        record.faults.pause_s = 30.0 if daemon is daemons[0] else 0.5
        before = record.arrivals
        response = await harness.send_request(daemon.front, "/plain/x")
        assert (response.status, record.arrivals) == (503, before + 1)
    record.faults.pause_s = None

    async def has_returned():
        response = await harness.send_request(daemons[1].front, "/plain/x")
        return response.status == 200

    await harness.wait_until(has_returned)
    before = record.arrivals
    for _ in range(4):
        response = await harness.send_request(daemons[0].front, "/plain/x")
        assert response.status == 503
    assert record.arrivals == before


async def test_expired_target_entries_are_registered_again(harness):
    first, _ = await start_two_daemons(harness)
    harness.site.store.faults.down = True
    for record in harness.site.records():
        harness.site.store.remove(f"servers/{record.id}")
    assert (await harness.send_request(first.front, "/stream/x")).status == 200
    harness.site.store.faults.down = False
    harness.site.register()
    assert (await harness.send_request(first.front, "/stream/x")).status == 200


async def test_store_that_returns_from_an_older_copy_reverts_nothing(harness):
    first, second = await start_two_daemons(harness)
    both = (first.front, second.front)
    store = harness.site.store
    copy = store.take_copy()
    harness.site.publish(2, ["k2"])
    # Later revisions, which the restored store gives out again.
    for _ in range(20):
        harness.site.register()

    async def is_in_force(key):
        statuses = [
            (await harness.send_request(address, "/plain/x", key)).status
            for address in both
        ]
        return statuses == [200, 200]

    await harness.wait_until(lambda: is_in_force("k2"))
    statuses = []

    async def send_requests():
        while True:
            for path in ("/plain/x", "/stream/x"):
                for address in both:
                    response = await harness.send_request(address, path, "k2")
                    statuses.append(response.status)

    load = asyncio.create_task(send_requests())
    store.faults.down = True
    store.restore(copy)
    store.faults.down = False
    harness.site.register()

    async def are_members_registered_again():
        return [
            item.revision > copy.revision
            for key, item in store.items.items()
            if key.startswith(MEMBERS_PREFIX)
        ] == [True, True]

    await harness.wait_until(are_members_registered_again)
    # The revoked key of the copy stays revoked, and a change in the new era is seen
    # although its revision is one that the watches had passed.
    for address in both:
        assert (await harness.send_request(address, "/plain/x", "k1")).status == 401
    load.cancel()
    assert set(statuses) == {200}
    harness.site.publish(3, ["k3"])
    await harness.wait_until(lambda: is_in_force("k3"))


async def test_invalid_settings_abort_start_and_report_each_fault(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text("node: x\nip: y\n")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "burdockhaven_entry",
        "--platform",
        "--config",
        str(path),
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await process.communicate()
    assert process.returncode == 2
    assert b"listen: missing" in out
    assert b"platform: missing" in out


def test_platform_demo_completes():
    command = [sys.executable, "-u", "-m", "burdockhaven_bench.demo_platform"]
    run = subprocess.run(command, capture_output=True, text=True, timeout=120)
    assert run.returncode == 0, run.stdout + run.stderr
    assert "4 events, 2 runs" in run.stdout


class KeptConnection:
    """A client connection that is used until the daemon closes it."""

    def __init__(self, harness, reader, writer):
        self.harness = harness
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, harness, daemon):
        host, port = daemon.front.split(":")
        return cls(harness, *await asyncio.open_connection(host, int(port)))

    def send(self, path, tokens, body=b"x", length=1):
        request = f"kept-{next(self.harness.request_numbers)}"
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT}: {request}\r\n"
            f"Authorization: Bearer k1\r\n{TOKEN_COUNTS}: {tokens}\r\n"
            f"Content-Length: {length}\r\n\r\n"
        )
        self.writer.write(head.encode() + body)
        return request

    async def read_head(self):
        return (await self.reader.readuntil(b"\r\n\r\n")).lower()

    async def read_response(self):
        """Read a whole response; return its head."""
        head = await self.read_head()
        if b"chunked" in head:
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                await self.reader.readexactly(size + 2)
            await self.reader.readexactly(2)
        else:
            length = head.split(b"content-length: ")[1].split(b"\r\n")[0]
            await self.reader.readexactly(int(length))
        return head


def forwarded(harness, requests):
    return [request for request in requests if harness.site.runs_of(request)]


# Guards against LOST: streams were forwarded for as long as clients used connections
# that had carried a stream, and cut when the process ended.
async def test_no_forwarded_request_is_cut_on_connections_in_use_around_sigterm(
    harness,
):
    first, _ = await start_two_daemons(harness)
    unanswered = []

    async def use_until_closed(connection, tokens):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                request = connection.send("/stream/x", tokens)
                unanswered.append(request)
                await connection.read_response()
                unanswered.remove(request)

    connections = [await KeptConnection.open(harness, first) for _ in range(8)]
    clients = [
        asyncio.create_task(use_until_closed(connection, tokens))
        for connection, tokens in zip(connections, cycle(STREAM_TOKENS), strict=False)
    ]

    async def are_all_running():
        return len(forwarded(harness, unanswered)) == len(connections)

    await harness.wait_until(are_all_running)
    assert await harness.stop_daemon("one") == 0
    await asyncio.gather(*clients)
    assert forwarded(harness, unanswered) == []


# Guards against LOST: a request whose body ended late in the drain was forwarded and
# cut.
async def test_request_that_is_complete_late_after_sigterm_is_refused_as_not_run(
    harness,
):
    first, _ = await start_two_daemons(harness)
    connection = await KeptConnection.open(harness, first)
    request = connection.send("/stream/x", "4000,1500", b"x", length=2)
    stopping = asyncio.create_task(harness.stop_daemon("one"))
    await asyncio.sleep(LATEST_REQUEST_S)
    connection.writer.write(b"x")
    head = await connection.read_head()
    assert b" 503 " in head
    assert b"\r\nretry-after: " in head
    assert b"\r\nconnection: close\r\n" in head
    assert harness.site.runs_of(request) == 0
    assert await stopping == 0


async def stop_while_requests_wait_for_engines(harness, node):
    """Stop a daemon that holds more streams than there are slots.

    Returns the ids of the requests and the head of each response; an empty one is a
    connection that was closed without a response.
    """
    patient = json.loads(configuration(2, ["k1", "k2"]))
    for route in patient["routes"]:
        route["target_latency_ms"] = 5_000
    harness.site.store.put("op/config", json.dumps(patient).encode())
    daemon = harness.daemons[node]

    async def is_in_force():
        response = await harness.send_request(daemon.front, "/plain/x", "k2")
        return response.status == 200

    await harness.wait_until(is_in_force)
    slots = sum(engine.record.slots for engine in harness.site.engines)
    connections = [
        await KeptConnection.open(harness, daemon) for _ in range(slots + WAITING)
    ]
    requests = [c.send("/stream/x", "4000,3000") for c in connections]

    async def are_all_slots_taken():
        return len(forwarded(harness, requests)) >= slots

    await harness.wait_until(are_all_slots_taken)
    stopping = asyncio.create_task(harness.stop_daemon(node))

    async def read_head(connection):
        try:
            return await connection.read_head()
        except asyncio.IncompleteReadError as error:
            return error.partial

    heads = await asyncio.gather(*map(read_head, connections))
    assert await stopping == 0
    return dict(zip(requests, heads, strict=True))


async def start_broker_and_member(harness):
    """Start two daemons; the older one is the broker of both."""
    broker = await harness.start_daemon("broker")
    await harness.wait_until_look_ups_name({broker.front}, "broker")
    member = await harness.start_daemon("member")
    both = {broker.front, member.front}
    await harness.wait_until_look_ups_name(both, "broker", "member")


# Guards against LOST: requests that waited for an engine until the end of the drain got
# no answer.
async def test_requests_that_wait_for_an_engine_are_refused_during_a_drain(harness):
    await start_broker_and_member(harness)
    heads = await stop_while_requests_wait_for_engines(harness, "member")
    refused = [request for request, head in heads.items() if b" 503 " in head]
    assert b"" not in heads.values()
    assert len(refused) == WAITING
    assert forwarded(harness, refused) == []


# Guards against LOST: as above; the next broker grants some of the requests before it
# has learned of the runs, and they wait at the engines.
async def test_requests_that_wait_for_an_engine_are_answered_when_their_broker_stops(
    harness,
):
    await start_broker_and_member(harness)
    heads = await stop_while_requests_wait_for_engines(harness, "broker")
    assert b"" not in heads.values()


# Guards against engines that are overfilled by a member that does not know the others.
async def test_starting_member_does_not_use_engines_that_others_have_filled(harness):
    first = await harness.start_daemon("one")
    await harness.wait_until_look_ups_name({first.front}, "one")
    slots = sum(engine.record.slots for engine in harness.site.engines)
    headers = {TOKEN_COUNTS: "100,3000"}
    opening = [harness.open_stream(first.front, headers) for _ in range(slots)]
    responses = [response for _, response in await asyncio.gather(*opening)]
    assert {response.status for response in responses} == {200}
    second = await harness.start_daemon("two")
    received = await harness.wait_until(
        lambda: harness.send_request(second.front, "/stream/x")
    )
    assert received.status == 503
    assert harness.site.runs_of(received.request) == 0


# Guards against API keys that anyone can read: the directory, whose address clients are
# given, answered with the whole configuration.
async def test_api_keys_are_served_at_the_control_address_only(harness):
    first, _ = await start_two_daemons(harness)
    answers = {}
    for listener, address in first.listen.items():
        for path in ("/configuration", "/where", "/metrics", "/-/lookup", "/-/readyz"):
            async with harness.client.get(f"http://{address}{path}") as response:
                answers[listener, path] = await response.read()
    with_keys = {listener for listener, _ in answers if b"k1" in answers[listener, _]}
    assert with_keys == {"control"}
