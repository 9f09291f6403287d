import asyncio
import dataclasses
import math
import socket
import time

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
    numbered_events,
    set_idle_engines_ejected,
    silent_before,
)

from burdockhaven_core.scheduling.routing import RoutingTable
from burdockhaven_entry.gateway import opened_run, replacement_search, stream_state
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.opened_run import OpenedRun
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


# Guards against LOST: a stream is cut although another engine has accepted it, because
# the run at that engine is charged to the retry budget a second time.
async def test_replacement_is_charged_to_the_retry_budget_once(start):
    script = Script(silent_before(3, 4, 20.0), stream_events(3, 4))
    gateway = await start(engines=[script, script])
    budget = gateway.state.retry_budget
    budget.rule = dataclasses.replace(budget.rule, ratio=0.0, slack=1.25)
    response = await gateway.call("/stream/x")
    assert (response.status, response.body) == (200, numbered_events(1, 4))
    now = gateway.state.clock()
    assert sum(window.sum(now) for window in budget.retries.values()) == 1


# Guards against LOST: a stream whose head has arrived is cut shortly before its client
# would leave, because another engine had rejected it before.
async def test_stream_with_a_late_head_is_not_given_up_before_its_client_leaves(start):
    async def behave(request, reader, writer):
        await asyncio.sleep(1.6)
        await stream_events(1, 0, end=False)(request, reader, writer)
        await asyncio.sleep(0.65)
        write_chunk(writer, b"id: 1\ndata: 1\n\n")
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    script = Script(behave, REJECTED)
    gateway = await start(engines=[script, script])
    response = await gateway.call("/stream/x")
    assert (response.status, response.body) == (200, numbered_events(1, 1))


# Guards against LOST: the run of a sound, silent engine is ended for an engine to which
# no connection can be made.
async def test_silent_stream_is_whole_if_the_other_engine_is_unreachable(start):
    script = Script(silent_before(3, 4), REJECTED)
    gateway = await start(engines=[script, script])
    # A listener whose queue of connections is full ignores further ones.
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    host, port = listener.getsockname()
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex((host, port))
    try:
        call = asyncio.create_task(gateway.call("/stream/x"))
        await wait_until(lambda: gateway.received)
        entries = gateway.state.registry.entries
        for number, scripted in enumerate(gateway.targets):
            if not scripted.received:
                other = entries[f"engines-{number}"]
                entries[other.id] = dataclasses.replace(other, address=f"{host}:{port}")
        response = await call
    finally:
        for opened in (listener, *fillers):
            opened.close()
    assert (response.status, response.body) == (200, numbered_events(1, 4))


# Guards against an error in a background task when another engine accepts a request in
# the iterations of the event loop in which the silent run is given up.
async def test_search_that_succeeds_while_its_run_is_ending_raises_nothing():
    is_ending = asyncio.Event()
    given_back = []

    async def find():
        await is_ending.wait()
        return Placement(1, "i-1")

    with pytest.raises(TimeoutError):
        async with asyncio.timeout(None) as run_timeout:
            search = ReplacementSearch(run_timeout, find, given_back.append)
            search.restart(0.0)
            await wait_until(lambda: search.task)
            task = search.task
            search.end_run_at(asyncio.get_running_loop().time())
            try:
                await asyncio.sleep(WAIT_TIMEOUT_S)
            finally:
                is_ending.set()
                await asyncio.wait({task})
                search.stop()
    search.discard()
    assert task.exception() is None
    assert len(given_back) == 1


class ResponseStub:
    is_closed = False

    def close(self):
        self.is_closed = True


class ClientStub:
    """Opens a response when an event is set."""

    def __init__(self):
        self.response = ResponseStub()
        self.has_head = asyncio.Event()

    async def open(self, target, request, connected):
        await self.has_head.wait()
        return self.response


# Guards against an engine that works on, because its response arrived in the iteration
# of the event loop in which its run was ended.
async def test_response_that_arrives_as_its_run_ends_is_closed():
    client = ClientStub()
    opened = OpenedRun.begin(client, None, None, None)
    opened.opening.add_done_callback(lambda _: user.cancel())

    async def use():
        async with opened.response():
            await asyncio.sleep(WAIT_TIMEOUT_S)

    user = asyncio.create_task(use())
    await asyncio.sleep(0)
    client.has_head.set()
    with pytest.raises(asyncio.CancelledError):
        await user
    assert client.response.is_closed


# Guards against LOST: a stream that breaks after a silence is continued only when its
# client leaves, because of the engines that had rejected it during the silence.
async def test_rejections_during_a_silence_do_not_delay_the_next_run(start):
    async def behave(request, reader, writer):
        nonlocal broke_s
        await stream_events(1, 2, end=False)(request, reader, writer)
        for number in (3, 4):
            await asyncio.sleep(2.0)
            write_chunk(writer, b"id: %d\ndata: %d\n\n" % (number, number))
        broke_s = gateway.state.clock()
        await asyncio.sleep(0.05)
        return await reset_connection(request, reader, writer)

    async def full_at_first(request, reader, writer):
        is_full = gateway.state.clock() < broke_s + 0.2
        answer = REJECTED if is_full else stream_events(5, 6)
        return await answer(request, reader, writer)

    broke_s = math.inf
    script = Script(behave, full_at_first)
    gateway = await start(engines=[script, script])
    response = await gateway.call("/stream/x")
    assert (response.status, response.body) == (200, numbered_events(1, 6))
    assert gateway.state.clock() - broke_s < 1.2


# Guards against engines that end beneath a content which was quarantined while the
# request waited for another engine.
async def test_quarantined_content_is_not_sent_beside_a_silent_run(start, monkeypatch):
    real_place = PlacementClient.place

    async def place(self, requirements):
        placement = await real_place(self, requirements)
        if requirements.is_retry:
            monkeypatch.setattr(GatewayState, "admits_content", lambda *_: False)
        return placement

    monkeypatch.setattr(PlacementClient, "place", place)
    script = Script(silent_before(1, 4), hang)
    gateway = await start(engines=[script, script])
    assert (await gateway.call("/stream/x")).body == numbered_events(1, 4)
    assert len(gateway.received) == 1
    assert gateway.frontend.streams.placement_client.runs == {}


# Guards against LOST: the run of a sound, silent engine is ended for one that has
# rejected the request, because this process stood still and had not read the rejection.
async def test_rejection_that_is_read_after_a_stall_is_no_acceptance():
    client = ClientStub()

    async def open_with_rejection(target, request, connected):
        connected.set_result(None)
        await asyncio.sleep(0.01)
        # The event loop reads a response in several iterations.
        for _ in range(5):
            await asyncio.sleep(0)
        return client.response

    client.open = open_with_rejection
    opened = OpenedRun.begin(client, None, None, None)
    stall_s = 3 * opened_run.ACCEPTANCE_DELAY_S
    asyncio.get_running_loop().call_later(0.005, time.sleep, stall_s)
    assert await opened.wait_for_rejection() is client.response


# Guards against LOST: the silent run is ended for an engine that has accepted the
# request, although the route allows no further run.
async def test_silent_run_is_not_ended_for_one_beyond_the_limit_of_runs(
    start, monkeypatch
):
    monkeypatch.setattr(stream_state, "REPLACEMENT_RETRY_INTERVAL_S", 0.0)
    monkeypatch.setattr(replacement_search, "SEARCH_INTERVAL_S", 0.01)
    failed = respond(b"no", "500 Internal Server Error")
    script = Script(silent_before(3, 4, 2.0), *[failed] * 5, stream_events(3, 4))
    routes = tuple(
        dataclasses.replace(r, max_attempts=3) if r.prefix == "/stream/" else r
        for r in routing_table().routes
    )
    table = routing_table()
    table = RoutingTable.from_parts(
        1, routes, table.services, table.account_of_key, table.limits
    )
    gateway = await start(engines=[script, script], table=table)
    response = await gateway.call("/stream/x")
    assert (response.status, response.body) == (200, numbered_events(1, 4))


# Guards against a 503, which says that a request has not run, after an engine got it
# beside a silent one, which rejected it later.
async def test_request_sent_beside_a_silent_run_is_not_answered_as_not_run(
    start, monkeypatch
):
    async def reject_late(request, reader, writer):
        await asyncio.sleep(1.6)
        return await REJECTED(request, reader, writer)

    monkeypatch.setattr(opened_run, "ACCEPTANCE_DELAY_S", WAIT_TIMEOUT_S)
    gateway = await start(engines=[Script(reject_late), Script(hang)])
    set_idle_engines_ejected(gateway, math.inf)
    gateway.state.broker.runs.engines["engines-0"].ejected_until_s = 0.0
    headers = {"X-Burdockhaven-Deadline-Ms": "4000"}
    call = asyncio.create_task(gateway.call("/stream/x", headers=headers))
    await wait_until(lambda: gateway.targets[0].received)
    set_idle_engines_ejected(gateway, 0.0)
    await wait_until(lambda: gateway.targets[1].received)
    assert (await call).status in (502, 504)
