import asyncio
import dataclasses

import pytest
from gateway_fixtures import (
    Gateway,
    Script,
    encode_request,
    hang,
    respond,
    wait_until,
)

from burdockhaven_core.client_limits import Listener, MemoryBudget
from burdockhaven_entry.gateway.client_load import (
    RESPONSE_STALL_TIMEOUT_S,
    UNREAD_RESPONSE_WAIT_S,
    YieldReason,
)
from burdockhaven_entry.gateway.client_server import ClientServer
from burdockhaven_entry.gateway.control_handler import ControlHandler

TIMEOUT_S = 30.0
BODY_BYTES = 900
LARGE_ANSWER = b"z" * 8 * 2**20


@pytest.fixture
async def gateway():
    started = await Gateway.start(plain=[Script(respond())])
    yield started
    await started.stop()


@pytest.fixture
async def hanging():
    started = await Gateway.start(plain=[Script(hang)])
    yield started
    await started.stop()


@pytest.fixture
async def answering_much():
    started = await Gateway.start(plain=[Script(respond(LARGE_ANSWER))])
    yield started
    await started.stop()


def set_capacity(gateway, capacity):
    gateway.state.client_load.slots[Listener.FRONT].capacity = capacity


async def connect(gateway):
    before = len(gateway.server.connections)
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
    await wait_until(lambda: len(gateway.server.connections) >= min(before + 1, 1))
    return reader, writer


async def read_head(reader):
    return await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_S)


async def is_closed(reader):
    """Wait until the connection is closed; whether no data came before."""
    try:
        return await asyncio.wait_for(reader.read(), TIMEOUT_S) == b""
    except ConnectionResetError:
        return True


def unfinished_request(path="/safe/x"):
    request = encode_request(path, "a")
    length = b"Content-Length: %d" % BODY_BYTES
    return request.replace(b"Content-Length: 0", length) + b"x" * (BODY_BYTES - 1)


# Guards against a crowd of connections that shuts out those that come next.
@pytest.mark.parametrize("data", [b"", b"POST /safe"])
async def test_longest_waiting_connection_makes_room_for_a_new_one(gateway, data):
    set_capacity(gateway, 2)
    first, first_writer = await connect(gateway)
    first_writer.write(data)
    _, second_writer = await connect(gateway)
    await wait_until(lambda: len(gateway.server.connections) == 2)
    third, third_writer = await connect(gateway)
    assert await is_closed(first)
    third_writer.write(encode_request("/safe/x", "a"))
    assert b" 200 " in await read_head(third)
    second_writer.close()
    third_writer.close()
    await wait_until(lambda: not gateway.server.connections)
    load = gateway.state.client_load
    assert load.slots[Listener.FRONT].open == 0
    assert load.memory.total == 0


# Guards against a crowd at one address that takes the connections of another one.
async def test_full_listener_leaves_the_others_alone(gateway):
    load = gateway.state.client_load
    handler = ControlHandler(gateway.state, store=None)
    loop = asyncio.get_running_loop()
    servers = [
        ClientServer(handler.handle, load, listener)
        for listener in (Listener.DIRECTORY, Listener.READINESS)
    ]
    listening = [await loop.create_server(s, "127.0.0.1", 0) for s in servers]
    ports = [opened.sockets[0].getsockname()[1] for opened in listening]
    load.slots[Listener.DIRECTORY].capacity = 2
    crowd = [await asyncio.open_connection("127.0.0.1", ports[0]) for _ in range(9)]
    await wait_until(lambda: load.slots[Listener.DIRECTORY].open == 2)
    assert load.yielded == {YieldReason.CONNECTIONS: 7}
    for port in ports:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: a\r\n\r\n")
        assert b" 200 " in await read_head(reader)
        writer.close()
    assert load.slots[Listener.READINESS].capacity > 0
    for _, writer in crowd:
        writer.close()
    for opened, server in zip(listening, servers, strict=True):
        opened.close()
        await server.shutdown(0.1)


async def test_connection_is_refused_while_all_requests_are_under_way(hanging):
    set_capacity(hanging, 1)
    _, writer = await connect(hanging)
    writer.write(encode_request("/safe/x", "a"))
    await wait_until(lambda: hanging.received)
    second, _ = await connect(hanging)
    assert await is_closed(second)
    assert len(hanging.server.connections) == 1
    writer.close()


# Guards against a final refusal of what is only too much now.
@pytest.mark.parametrize("path", ["/safe/x", "/stream/x"])
async def test_incomplete_body_that_yields_is_refused_as_not_run(gateway, path):
    load = gateway.state.client_load
    reader, writer = await connect(gateway)
    writer.write(unfinished_request(path))
    await wait_until(lambda: load.memory.holdings_bytes >= BODY_BYTES - 1)
    load.memory.budget = dataclasses.replace(
        MemoryBudget.from_memory(0), total=1, relieved=0
    )
    load.relieve(asyncio.get_running_loop().time() + 1.0)
    head = await read_head(reader)
    assert b" 503 " in head
    assert b"\r\nretry-after: " in head.lower()
    await is_closed(reader)
    assert load.yielded[YieldReason.MEMORY] == 1
    assert gateway.received == []
    await wait_until(lambda: load.memory.total == 0)


async def test_body_without_progress_is_refused_as_not_run(gateway):
    load = gateway.state.client_load
    reader, writer = await connect(gateway)
    writer.write(unfinished_request())
    await wait_until(lambda: load.memory.holdings_bytes >= BODY_BYTES - 1)
    now = asyncio.get_running_loop().time()
    load.end_stalled(5.0, now + 4.0)
    assert not load.yielded
    load.end_stalled(5.0, now + 6.0)
    assert b" 503 " in await read_head(reader)


# Guards against a response that ends early and looks complete.
async def test_response_that_is_not_read_is_reset(answering_much):
    gateway = answering_much
    load = gateway.state.client_load
    reader, writer = await connect(gateway)
    writer.transport.pause_reading()
    writer.write(encode_request("/safe/x", "a"))
    await wait_until(lambda: load.memory.holdings_bytes > len(LARGE_ANSWER))
    now = asyncio.get_running_loop().time()
    load.end_stalled(5.0, now + RESPONSE_STALL_TIMEOUT_S - 1.0)
    assert not load.yielded
    load.end_stalled(5.0, now + RESPONSE_STALL_TIMEOUT_S + 1.0)
    await wait_until(lambda: not gateway.server.connections)
    await wait_until(lambda: load.memory.total == 0)
    writer.transport.resume_reading()
    with pytest.raises(ConnectionResetError):
        await asyncio.wait_for(reader.read(), TIMEOUT_S)


async def test_response_that_is_read_slowly_is_complete(answering_much):
    load = answering_much.state.client_load
    reader, writer = await connect(answering_much)
    writer.transport.pause_reading()
    writer.write(encode_request("/safe/x", "a"))
    await wait_until(lambda: load.memory.holdings_bytes > len(LARGE_ANSWER))
    writer.transport.resume_reading()
    await read_head(reader)
    assert await reader.readexactly(len(LARGE_ANSWER)) == LARGE_ANSWER
    await wait_until(lambda: not load.memory.holdings)
    writer.close()


async def test_requests_sent_ahead_yield_without_the_one_under_way(hanging):
    load = hanging.state.client_load
    _, writer = await connect(hanging)
    writer.write(encode_request("/safe/x", "a") * 3)
    await wait_until(lambda: load.memory.holdings_bytes)
    load.memory.budget = dataclasses.replace(
        MemoryBudget.from_memory(0), total=1, relieved=0
    )
    load.relieve(asyncio.get_running_loop().time() + 1.0)
    assert load.memory.holdings_bytes == 0
    assert len(hanging.server.connections) == 1
    writer.close()
    await wait_until(lambda: not hanging.frontend.pending)


# Guards against requests to one slow service that take all connections.
async def test_service_with_its_share_under_way_gets_no_further_request(hanging):
    load = hanging.state.client_load
    load.services.capacity = 4
    writers = []
    for _ in range(3):
        _, writer = await connect(hanging)
        writer.write(encode_request("/safe/x", "a"))
        writers.append(writer)
    await wait_until(lambda: len(hanging.received) == 3)
    reader, writer = await connect(hanging)
    writer.write(encode_request("/safe/x", "b"))
    head = await read_head(reader)
    assert b" 503 " in head
    assert b"\r\nretry-after: " in head.lower()
    assert len(hanging.received) == 3
    for opened in (*writers, writer):
        opened.close()
    await wait_until(lambda: load.services.total == 0)
    assert load.memory.requests_bytes == 0


# Guards against an answer that is lost although its client reads it: a connection with
# a response under way gave way to a new one.
async def test_client_that_reads_its_response_does_not_give_way(answering_much):
    load = answering_much.state.client_load
    set_capacity(answering_much, 2)
    reader, writer = await connect(answering_much)
    writer.write(encode_request("/safe/x", "a"))
    await read_head(reader)
    idle, idle_writer = await connect(answering_much)
    await wait_until(lambda: load.slots[Listener.FRONT].open == 2)
    _, new_writer = await connect(answering_much)
    assert await is_closed(idle)
    body = await asyncio.wait_for(reader.readexactly(len(LARGE_ANSWER)), TIMEOUT_S)
    assert body == LARGE_ANSWER
    for opened in (writer, idle_writer, new_writer):
        opened.close()


# Guards against a crowd that reads nothing and shuts out those that come next.
async def test_client_that_does_not_read_its_response_gives_way(answering_much):
    load = answering_much.state.client_load
    set_capacity(answering_much, 1)
    reader, writer = await connect(answering_much)
    writer.write(encode_request("/safe/x", "a"))
    await wait_until(lambda: load.memory.holdings)
    (holding,) = load.memory.holdings
    load.end_stalled(TIMEOUT_S, holding.progressed_s + UNREAD_RESPONSE_WAIT_S + 1.0)
    _, new_writer = await connect(answering_much)
    await wait_until(lambda: load.yielded[YieldReason.CONNECTIONS] == 1)
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await asyncio.wait_for(reader.readexactly(2 * len(LARGE_ANSWER)), TIMEOUT_S)
    writer.close()
    new_writer.close()


# Guards against an upload that is refused for a new connection, although others make no
# progress.
async def test_upload_that_goes_on_gives_way_after_silent_connections(gateway):
    table = gateway.state.table
    limits = dataclasses.replace(table.limits, max_body_bytes=4 * 2**20)
    gateway.state.table = dataclasses.replace(table, limits=limits)
    slots = gateway.state.client_load.slots[Listener.FRONT]
    set_capacity(gateway, 2)
    reader, writer = await connect(gateway)
    size = 2 * 2**20
    writer.write(encode_request("/safe/x", "a", length=size) + b"x" * 100)
    await wait_until(lambda: slots.open == 1 and len(slots.awaiting) == 1)
    idle, idle_writer = await connect(gateway)
    await wait_until(lambda: len(slots.awaiting) == 2)
    upload = next(iter(slots.awaiting))
    writer.write(b"x" * (size // 2))
    await wait_until(lambda: next(iter(slots.awaiting)) is not upload)
    _, new_writer = await connect(gateway)
    assert await is_closed(idle)
    writer.write(b"x" * (size - size // 2 - 100))
    assert b" 200 " in await read_head(reader)
    for opened in (writer, idle_writer, new_writer):
        opened.close()


# Guards against a request under way that gives way because its body was long.
async def test_request_with_a_long_body_does_not_give_way(hanging):
    table = hanging.state.table
    limits = dataclasses.replace(table.limits, max_body_bytes=4 * 2**20)
    hanging.state.table = dataclasses.replace(table, limits=limits)
    slots = hanging.state.client_load.slots[Listener.FRONT]
    reader, writer = await connect(hanging)
    size = 2 * 2**20
    writer.write(encode_request("/patient/x", "a", length=size) + b"x" * size)
    await wait_until(lambda: hanging.frontend.pending)
    assert not slots.awaiting
    writer.close()
