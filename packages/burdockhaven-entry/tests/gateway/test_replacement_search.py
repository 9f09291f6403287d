import asyncio
import dataclasses
import math

import aiohttp
import aiohttp.streams
import pytest
from gateway_fixtures import (
    REJECTED,
    WAIT_TIMEOUT_S,
    Gateway,
    Script,
    hang,
    reset_connection,
    respond,
    routing_table,
    stream_events,
    wait_until,
    write_chunk,
)
from test_stream_forwarding import (
    SILENCES,
    numbered_events,
    set_idle_engines_ejected,
    silent_before,
)

from burdockhaven_core.scheduling.drain_schedule import DrainSchedule
from burdockhaven_core.scheduling.routing import RoutingTable
from burdockhaven_entry.gateway import opened_run
from burdockhaven_entry.gateway.placement_client import Placement, PlacementClient
from burdockhaven_entry.gateway.replacement_search import ReplacementSearch


@pytest.fixture
async def start():
    started = []

    async def make(**options):
        started.append(await Gateway.start(**options))
        return started[-1]

    yield make
    for gateway in started:
        await gateway.stop()


def with_stream_route(table=None, **changes):
    table = table or routing_table()
    routes = tuple(
        dataclasses.replace(r, **changes) if r.prefix == "/stream/" else r
        for r in table.routes
    )
    return RoutingTable.from_parts(
        table.version, routes, table.services, table.account_of_key, table.limits
    )


async def poll_queue(gateway):
    """Grant and refuse queued requests, as the daemon's queue poller does."""
    placement_client = gateway.frontend.streams.placement_client
    while True:
        await asyncio.sleep(0.02)
        placement_client.grant_queued()
        placement_client.refuse_infeasible()


# Guards against an engine that stays reserved, because its grant crosses the end of
# the silent run.
async def test_search_can_be_stopped_after_its_run_has_ended():
    given_back = []
    is_found = asyncio.Event()

    async def find():
        is_found.set()
        return Placement(1, "i-1")

    async with asyncio.timeout(None) as run_timeout:
        search = ReplacementSearch(run_timeout, find, given_back.append)
        search.restart(0.0)
        await is_found.wait()
    search.discard()
    assert len(given_back) == 1


# Guards against LOST: a complete stream is cut, because another engine is granted in
# the iteration of the event loop in which it ends.
async def test_stream_that_ends_while_another_engine_is_granted_is_complete(
    start, monkeypatch
):
    eof_seen = False
    real_feed_eof = aiohttp.streams.StreamReader.feed_eof
    real_place = PlacementClient.place
    ends = False

    def feed_eof(self):
        nonlocal eof_seen
        eof_seen = eof_seen or ends
        real_feed_eof(self)

    async def place(self, requirements):
        placement = await real_place(self, requirements)
        if requirements.is_retry:
            while True:
                if eof_seen:
                    break
                await asyncio.sleep(0)
        return placement

    monkeypatch.setattr(aiohttp.streams.StreamReader, "feed_eof", feed_eof)
    monkeypatch.setattr(PlacementClient, "place", place)

    async def behave(request, reader, writer):
        nonlocal ends
        await stream_events(1, 2, end=False)(request, reader, writer)
        await asyncio.sleep(1.3)
        ends = True
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    gateway = await start(engines=[Script(behave), Script(behave)])
    response = await gateway.call("/stream/x")
    assert (response.status, response.body) == (200, numbered_events(1, 2))
    assert gateway.frontend.streams.placement_client.runs == {}


# Guards against LOST: a configuration lowers the quota of an account, so that no
# engine may replace the silent one of its stream.
async def test_silent_stream_goes_on_after_its_quota_was_lowered(start):
    async def behave(request, reader, writer):
        gateway.state.apply_table(routing_table(version=2, rate_per_s=1.0), b"")
        gateway.state.publish_targets()
        return await silent_before(3, 4)(request, reader, writer)

    gateway = await start(engines=[Script(behave), Script(behave)])
    response = await gateway.call("/stream/x")
    assert (response.status, response.body) == (200, numbered_events(1, 4))
    assert len(gateway.received) == 1


async def test_disconnect_during_a_search_leaves_nothing_behind(start):
    async def behave(request, reader, writer):
        set_idle_engines_ejected(gateway, math.inf)
        return await hang(request, reader, writer)

    gateway = await start(engines=[Script(behave), Script(behave)])
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(1.4):
            await gateway.call("/stream/x")
    await asyncio.sleep(0.1)
    broker = gateway.state.broker
    assert not broker.queue
    assert not broker.runs.granted
    assert gateway.frontend.streams.placement_client.runs == {}
    assert gateway.frontend.streams.placement_client.pending == {}


async def test_deadline_during_a_search_leaves_nothing_behind(start):
    async def behave(request, reader, writer):
        set_idle_engines_ejected(gateway, math.inf)
        return await hang(request, reader, writer)

    gateway = await start(engines=[Script(behave), Script(behave)])
    headers = {"X-Burdockhaven-Deadline-Ms": "1200"}
    assert (await gateway.call("/stream/x", headers=headers)).status == 504
    await asyncio.sleep(0.1)
    assert not gateway.state.broker.queue
    assert not gateway.state.broker.runs.granted
    assert gateway.frontend.streams.placement_client.runs == {}


# Guards against two engines that work on one stream: the platform allows 400 ms from
# the arrival of the request; a response of the second tells that it has begun.
@pytest.mark.parametrize(("has_head", "limit_s"), [(False, 0.4), (True, 0.1)])
async def test_silent_run_has_ended_when_its_replacement_begins(
    start, has_head, limit_s
):
    async def second(request, reader, writer):
        if has_head:
            await stream_events(1, 0, end=False)(request, reader, writer)
        await asyncio.sleep(limit_s)
        closed.append(sum(t.closed.is_set() for t in gateway.targets))
        if not has_head:
            return await stream_events(1, 2)(request, reader, writer)
        write_chunk(writer, numbered_events(1, 2))
        writer.write(b"0\r\n\r\n")
        return True

    closed = []
    script = Script(hang, second)
    gateway = await start(engines=[script, script])
    assert (await gateway.call("/stream/x")).body == numbered_events(1, 2)
    assert closed == [1]


# Guards against LOST: a full engine queues a request for a moment before it rejects it.
async def test_silent_stream_is_whole_if_the_other_engine_rejects_it_late(start):
    async def reject_late(request, reader, writer):
        await asyncio.sleep(0.2)
        return await REJECTED(request, reader, writer)

    script = Script(silent_before(3, 4), reject_late)
    gateway = await start(engines=[script, script])
    response = await gateway.call("/stream/x")
    assert (response.status, response.body) == (200, numbered_events(1, 4))


# Guards against an engine that stays reserved, and a 502 although one was granted,
# when the replacement of a silent run comes late.
async def test_unused_replacement_is_given_back(start):
    script = Script(*[REJECTED] * 4, hang, stream_events(1, 2))
    gateway = await start(
        engines=[script] * 6, table=with_stream_route(client_timeout_s=0.3)
    )
    assert (await gateway.call("/stream/x")).body == numbered_events(1, 2)
    assert gateway.frontend.streams.placement_client.runs == {}


# Guards against LOST: a request whose silent run was ended gets its 502 only after its
# client has left.
async def test_replaced_request_without_a_head_is_answered_while_its_client_waits(
    start,
):
    script = Script(hang, REJECTED)
    gateway = await start(engines=[script, script])
    async with asyncio.timeout(2.4):
        assert (await gateway.call("/stream/x")).status == 502


# Guards against retries that are refused because silent engines have used up their
# budget.
async def test_search_without_a_result_does_not_use_up_the_retry_budget(start):
    async def behave(request, reader, writer):
        set_idle_engines_ejected(gateway, math.inf)
        return await silent_before(3, 4)(request, reader, writer)

    gateway = await start(engines=[Script(behave), Script(behave)])
    assert (await gateway.call("/stream/x")).body == numbered_events(1, 4)
    assert len(gateway.received) == 1
    now = gateway.state.clock()
    used = {s: w.sum(now) for s, w in gateway.state.retry_budget.retries.items()}
    assert sum(used.values()) == 0


# Guards against the same, seen by a client: its stream is cut after silences of
# others.
async def test_broken_stream_resumes_after_silences_of_others(start, monkeypatch):
    async def silent(request, reader, writer):
        set_idle_engines_ejected(gateway, math.inf)
        return await silent_before(3, 4)(request, reader, writer)

    script = Script(*[silent] * 4, stream_events(1, 3, end=False, reset=True))
    script.behaviours.append(stream_events(4, 6))
    gateway = await start(engines=[script, script])
    rule = dataclasses.replace(gateway.state.retry_budget.rule, ratio=0.0, slack=5.0)
    gateway.state.retry_budget.rule = rule
    for _ in range(4):
        set_idle_engines_ejected(gateway, 0.0)
        assert (await gateway.call("/stream/x")).status == 200
    assert len(gateway.received) == 4
    set_idle_engines_ejected(gateway, 0.0)
    assert (await gateway.call("/stream/x")).body == numbered_events(1, 6)


# Guards against a stream that uses up the retry budget at engines that reject it.
async def test_one_stream_does_not_use_up_the_retry_budget_with_rejections(start):
    script = Script(silent_before(3, 4, 20.0), REJECTED)
    gateway = await start(engines=[script, script])
    headers = {"X-Burdockhaven-Deadline-Ms": "9000"}
    with pytest.raises(aiohttp.ClientPayloadError):
        await gateway.call("/stream/x", headers=headers)
    assert len(gateway.received) <= 1 + 5


# Guards against LOST: a begun stream is refused by the only engine that is left,
# because it was excluded while there were others.
async def test_stream_returns_to_its_engine_once_it_is_the_only_one(start):
    def remove_other_engines():
        registry = gateway.state.registry
        for name in list(registry.entries):
            if name.startswith("engines") and name != first:
                registry.remove(name, gateway.state.clock())
        gateway.state.publish_targets()

    async def break_off(request, reader, writer):
        nonlocal first
        first = request.headers["X-Burdockhaven-Expect-Instance"]
        set_idle_engines_ejected(gateway, math.inf)
        asyncio.get_running_loop().call_later(0.4, remove_other_engines)
        return await stream_events(1, 2, end=False, reset=True)(request, reader, writer)

    first = ""
    script = Script(break_off, stream_events(3, 4))
    gateway = await start(engines=[script, script])
    poller = asyncio.create_task(poll_queue(gateway))
    try:
        response = await gateway.call("/stream/x")
    finally:
        poller.cancel()
    assert (response.status, response.body) == (200, numbered_events(1, 4))


# Guards against capacity that vanishes: an engine that was silent for a moment got one
# request at a time.
async def test_silence_does_not_reduce_the_capacity_of_an_engine(start):
    script = Script(silent_before(3, 4), stream_events(3, 4))
    gateway = await start(engines=[script, script])
    assert (await gateway.call("/stream/x")).body == numbered_events(1, 4)
    await asyncio.sleep(0.05)
    engines = gateway.state.broker.runs.engines
    free = [e.free_slots() for n, e in engines.items() if n.startswith("engines")]
    assert free == [4, 4]


# Guards against a run that is ended for a silence of its client.
async def test_run_is_not_replaced_while_its_client_does_not_read(start):
    data = b"x" * 1_000_000

    async def large(request, reader, writer):
        await stream_events(1, 1, end=False)(request, reader, writer)
        for number in range(2, 42):
            event = b"id: %d\ndata: %s\n\n" % (number, data)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    gateway = await start(engines=[Script(large), Script(large)])
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
    writer.write(
        b"POST /stream/x HTTP/1.1\r\nHost: one.example\r\n"
        b"X-Burdockhaven-Attempt-Id: a1\r\nAuthorization: Bearer key-acme\r\n"
        b"X-Burdockhaven-Token-Counts: 100,20\r\nContent-Length: 0\r\n\r\n"
    )
    await asyncio.sleep(2.0)
    sends = len(gateway.received)
    writer.transport.abort()
    assert sends == 1


# Guards against LOST: a stream is cut because the engine that replaced its silent one
# breaks off, although the first is sound.
async def test_stream_returns_to_silent_engine_after_its_replacement_resets(start):
    script = Script(silent_before(3, 4), reset_connection, stream_events(3, 4))
    gateway = await start(engines=[script, script])
    response = await gateway.call("/stream/x")
    assert (response.status, response.body) == (200, numbered_events(1, 4))


# Guards against LOST: the run of a sound, silent engine is ended for an engine that is
# full, so that the stream is cut although the first engine goes on.
@pytest.mark.parametrize("silence", SILENCES)
async def test_silent_stream_is_whole_if_the_engine_granted_instead_rejects_it(
    start, silence
):
    script = Script(SILENCES[silence], REJECTED)
    gateway = await start(engines=[script, script])
    response = await gateway.call("/stream/x")
    assert (response.status, response.body) == (200, numbered_events(1, 4))


# Guards against the same where the engine that is granted instead is gone or fails.
@pytest.mark.parametrize(
    "failure",
    [
        reset_connection,
        respond(b"no", "500 Internal Server Error"),
        respond(b"no", "200 OK", signature=""),
    ],
    ids=["reset", "error", "unsigned"],
)
async def test_silent_stream_is_whole_if_the_engine_granted_instead_fails(
    start, failure
):
    script = Script(silent_before(3, 4), failure)
    gateway = await start(engines=[script, script])
    response = await gateway.call("/stream/x")
    assert (response.status, response.body) == (200, numbered_events(1, 4))


# Guards against LOST around SIGTERM: all streams of a stopping member whose engines are
# silent for a moment are cut, because no engine has room for them.
async def test_silent_streams_of_a_stopping_member_are_whole_while_engines_are_full(
    start,
):
    script = Script(*[silent_before(3, 4)] * 4, REJECTED)
    gateway = await start(engines=[script, script])
    streams = [asyncio.create_task(gateway.call("/stream/x")) for _ in range(4)]
    await wait_until(lambda: len(gateway.received) == 4)
    gateway.state.draining = True
    gateway.frontend.drain = DrainSchedule.from_grace(gateway.state.clock(), 8.0)
    responses = await asyncio.gather(*streams, return_exceptions=True)
    assert [getattr(response, "body", response) for response in responses] == [
        numbered_events(1, 4)
    ] * 4


# Guards against two engines that work on one stream, and against places that stay
# taken, when a silent engine goes on or its client leaves before another has accepted.
@pytest.mark.parametrize("leaves", [False, True])
async def test_run_opened_beside_a_silent_one_ends_with_the_silence(
    start, monkeypatch, leaves
):
    monkeypatch.setattr(opened_run, "ACCEPTANCE_DELAY_S", 30.0)
    gateway = await start(engines=[Script(silent_before(3, 4)), Script(hang)])
    set_idle_engines_ejected(gateway, math.inf)
    gateway.state.broker.runs.engines["engines-0"].ejected_until_s = 0.0
    call = asyncio.create_task(gateway.call("/stream/x"))
    await wait_until(lambda: len(gateway.targets[0].received) == 1)
    set_idle_engines_ejected(gateway, 0.0)
    await wait_until(lambda: len(gateway.targets[1].received) == 1)
    if leaves:
        call.cancel()
    else:
        assert (await call).body == numbered_events(1, 4)
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        await gateway.targets[1].closed.wait()
    placement_client = gateway.frontend.streams.placement_client
    await wait_until(lambda: not placement_client.runs)
    placement_client.flush_progress()
    assert not gateway.state.broker.runs.granted
