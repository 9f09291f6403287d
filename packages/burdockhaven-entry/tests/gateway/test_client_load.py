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

from burdockhaven_core.client_limits import MemoryBudget
from burdockhaven_entry.gateway.client_load import (
    RESPONSE_STALL_TIMEOUT_S,
    YieldReason,
)

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
