import asyncio

import pytest
from gateway_fixtures import (
    Gateway,
    Script,
    encode_request,
    hang,
    respond,
    respond_when_released,
    wait_until,
)

from burdockhaven_entry.gateway.gated_connection import (
    MAX_BYTES_WITHOUT_BODY,
    MAX_HEAD_BYTES,
    READ_AHEAD_BYTES,
)

TIMEOUT_S = 30.0
CHUNKED_HEAD = encode_request("/safe/x", "a").replace(
    b"Content-Length: 0", b"Transfer-Encoding: chunked"
)
BODY = b"one\r\n\r\ntwo\r\n0\r\n\r\n"


@pytest.fixture
def released():
    return asyncio.Event()


@pytest.fixture
async def gateway():
    started = await Gateway.start(plain=[Script(respond())])
    yield started
    await started.stop()


async def connect(gateway):
    return await asyncio.open_connection("127.0.0.1", gateway.port)


async def read_status(reader):
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_S)
    return int(head.split()[1])


async def read_to_end(reader):
    try:
        return await asyncio.wait_for(reader.read(), TIMEOUT_S)
    except ConnectionResetError:
        return b""


def chunks(body, size):
    parts = [body[start : start + size] for start in range(0, len(body), size)]
    lines = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts]
    return b"".join(lines) + b"0\r\n\r\n"


# Guards against requests behind a body that is cut at the wrong byte: one request would
# be read as part of another.
@pytest.mark.parametrize("piece_bytes", [1, 2, 3, 4, 5, 7, 1_000])
@pytest.mark.parametrize("is_chunked", [True, False])
async def test_requests_in_any_pieces_are_told_apart(gateway, piece_bytes, is_chunked):
    if is_chunked:
        first = CHUNKED_HEAD + chunks(BODY, 4)
    else:
        length = b"Content-Length: %d" % len(BODY)
        first = encode_request("/safe/x", "a").replace(b"Content-Length: 0", length)
        first += BODY
    data = first + encode_request("/safe/y", "b") + first
    reader, writer = await connect(gateway)
    for start in range(0, len(data), piece_bytes):
        writer.write(data[start : start + piece_bytes])
        await writer.drain()
        await asyncio.sleep(0)
    for _ in range(3):
        assert await read_status(reader) == 200
        await reader.readexactly(len(b"done"))
    assert [request.body for request in gateway.received] == [BODY, b"", BODY]


async def test_chunked_body_in_one_piece_with_the_next_request(gateway):
    reader, writer = await connect(gateway)
    writer.write((CHUNKED_HEAD + chunks(BODY, 1)) * 3)
    for _ in range(3):
        assert await read_status(reader) == 200
        await reader.readexactly(len(b"done"))
    assert [request.body for request in gateway.received] == [BODY] * 3


# Guards against memory that requests sent ahead fill.
async def test_requests_sent_ahead_wait_unparsed_and_bounded(released):
    behaviour = respond_when_released(released)
    gateway = await Gateway.start(plain=[Script(behaviour, respond())])
    reader, writer = await connect(gateway)
    request = encode_request("/safe/x", "a")
    count = 200 * READ_AHEAD_BYTES // len(request)
    writer.write(request * count)
    await wait_until(lambda: gateway.server.connections)
    (connection,) = gateway.server.connections
    await wait_until(lambda: connection._buffer_paused)
    assert len(connection._messages) == 0
    assert len(connection.unparsed) <= READ_AHEAD_BYTES + 65_536
    released.set()
    for _ in range(count):
        assert await read_status(reader) == 200
        await reader.readexactly(len(b"done"))
    writer.close()
    await gateway.stop()


# Guards against work that goes on for a client that has left (GONE).
async def test_disconnect_behind_requests_sent_ahead_is_noticed():
    gateway = await Gateway.start(plain=[Script(hang)])
    _, writer = await connect(gateway)
    writer.write(encode_request("/safe/x", "a") * 3)
    await wait_until(lambda: gateway.received)
    writer.close()
    await wait_until(lambda: not gateway.frontend.pending)
    await gateway.stop()


async def test_head_without_end_is_refused(gateway):
    reader, writer = await connect(gateway)
    writer.write(b"POST /safe/x HTTP/1.1\r\n" + b"a: b\r\n" * (MAX_HEAD_BYTES // 6))
    assert await read_status(reader) == 431
    assert await read_to_end(reader) == b""


@pytest.mark.parametrize(
    "rest",
    [
        b"x\r\n",
        b"5;" + b"x" * (2 * MAX_BYTES_WITHOUT_BODY),
        b"1\r\nx\r\n0\r\n" + b"a: b\r\n" * MAX_BYTES_WITHOUT_BODY,
    ],
)
async def test_body_that_is_malformed_or_brings_nothing_is_refused(gateway, rest):
    reader, writer = await connect(gateway)
    writer.write(CHUNKED_HEAD + rest)
    assert await read_status(reader) == 400
    await read_to_end(reader)
    assert gateway.received == []


# Guards against heads inside the limit on bytes that are refused for their fields.
async def test_head_of_many_fields_is_served(gateway):
    fields = "".join(f"a{number % 10}:1\r\n" for number in range(1_500))
    reader, writer = await connect(gateway)
    request = encode_request("/safe/x", "a")
    writer.write(request.replace(b"\r\n\r\n", b"\r\n" + fields.encode() + b"\r\n"))
    assert await read_status(reader) == 200
