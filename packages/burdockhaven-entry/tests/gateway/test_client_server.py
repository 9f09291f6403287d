import asyncio
import socket

import pytest
from gateway_fixtures import (
    API_KEY,
    ATTEMPT,
    Gateway,
    Script,
    hang,
    respond,
    wait_until,
)

from burdockhaven_entry.gateway import client_server

TIMEOUT_S = 30.0
# Of an answer that fills the client's buffer many times over.
LARGE_BODY_BYTES = 200_000
SMALL_BUFFER_BYTES = 4_096
REQUEST = (
    f"POST /safe/x HTTP/1.1\r\nHost: one.example\r\n{ATTEMPT}: a\r\n"
    f"Authorization: Bearer {API_KEY}\r\nContent-Length: 0\r\n\r\n"
).encode()


@pytest.fixture
async def gateway():
    started = await Gateway.start(plain=[Script(respond(), hang)])
    yield started
    await started.stop()


class Client:
    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, gateway):
        return cls(*await asyncio.open_connection("127.0.0.1", gateway.port))

    async def status(self):
        head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), TIMEOUT_S)
        return int(head.split()[1])

    async def read_to_end(self):
        """Return the remaining bytes until the connection is closed."""
        try:
            return await asyncio.wait_for(self.reader.read(), TIMEOUT_S)
        except ConnectionResetError:
            return b""


async def only_connection(gateway):
    await wait_until(lambda: len(gateway.server.connections) == 1)
    return gateway.server.connections[0]


async def test_closed_idle_connection_accepts_no_further_request(gateway):
    client = await Client.connect(gateway)
    client.writer.write(REQUEST)
    assert await client.status() == 200
    await client.reader.readexactly(len(b"done"))
    gateway.server.close_idle()
    client.writer.write(REQUEST)
    assert await client.read_to_end() == b""
    assert len(gateway.received) == 1


async def test_busy_connection_is_not_closed_as_idle(gateway):
    client = await Client.connect(gateway)
    client.writer.write(REQUEST)
    assert await client.status() == 200
    client.writer.write(REQUEST)
    await wait_until(lambda: len(gateway.received) == 2)
    gateway.server.close_idle()
    assert gateway.server.is_busy()
    assert not client.reader.at_eof()


# Guards against a request that is read at the end of a drain, forwarded and cut off.
async def test_no_request_is_forwarded_after_the_drain(gateway):
    client = await Client.connect(gateway)
    client.writer.write(REQUEST)
    assert await client.status() == 200
    await client.reader.readexactly(len(b"done"))
    async with asyncio.timeout(TIMEOUT_S):
        await gateway.server.drain()
    assert gateway.server.connections == []
    client.writer.write(REQUEST)
    assert await client.read_to_end() == b""
    assert len(gateway.received) == 1


# Guards against a request that is cut off because its handler has not started yet.
@pytest.mark.parametrize("iterations", range(6))
async def test_connection_with_a_request_that_was_just_read_is_not_idle(
    gateway, iterations
):
    client = await Client.connect(gateway)
    connection = await only_connection(gateway)
    await wait_until(lambda: not connection.is_busy())
    connection.data_received(REQUEST)
    for _ in range(iterations):
        await asyncio.sleep(0)
    connection.close_if_idle()
    assert await client.status() == 200


# Guards against a client that sends its next request on a connection that is closed
# because the body of the last one was not read.
@pytest.mark.parametrize("body_part", [b"", b"begin"])
async def test_response_to_a_request_that_was_not_read_announces_the_close(
    gateway, body_part
):
    client = await Client.connect(gateway)
    head = REQUEST.replace(b"/safe/x", b"/unknown").replace(b"Length: 0", b"Length: 9")
    client.writer.write(head + body_part)
    response = await client.read_to_end()
    assert response.startswith(b"HTTP/1.1 404 ")
    assert b"\r\nconnection: close\r\n" in response.lower()


async def test_response_to_a_request_that_was_read_keeps_the_connection(gateway):
    client = await Client.connect(gateway)
    head = REQUEST.replace(b"/safe/x", b"/unknown").replace(b"Length: 0", b"Length: 9")
    client.writer.write(head + b"*" * 9)
    assert await client.status() == 404
    client.writer.write(REQUEST)
    assert len(await client.reader.readuntil(b"done")) > 0


async def test_drain_waits_for_a_pending_response(gateway):
    client = await Client.connect(gateway)
    client.writer.write(REQUEST)
    assert await client.status() == 200
    client.writer.write(REQUEST)
    await wait_until(lambda: len(gateway.received) == 2)
    drain = asyncio.create_task(gateway.server.drain())
    await asyncio.sleep(0)
    assert not drain.done()
    client.writer.close()
    async with asyncio.timeout(TIMEOUT_S):
        await drain


@pytest.mark.parametrize("part", [b"P", REQUEST[:30], REQUEST[:-1]])
async def test_slow_request_head_is_answered_408(gateway, part):
    client = await Client.connect(gateway)
    client.writer.write(part)
    connection = await only_connection(gateway)
    await wait_until(lambda: connection.head_started_s is not None)
    gateway.server.enforce_header_timeout(limit_s=60.0)
    assert not client.reader.at_eof()
    gateway.server.enforce_header_timeout(limit_s=-1.0)
    assert await client.status() == 408
    assert await client.read_to_end() == b""
    assert gateway.received == []


async def test_idle_connection_has_no_header_timeout(gateway):
    client = await Client.connect(gateway)
    client.writer.write(REQUEST)
    assert await client.status() == 200
    await only_connection(gateway)
    gateway.server.enforce_header_timeout(limit_s=-1.0)
    client.writer.write(REQUEST)
    await wait_until(lambda: len(gateway.received) == 2)


# Guards against LOST: a connection was closed with bytes unread in its socket, which
# resets it, and the kernel dropped the part of the answer that it had not sent yet.
async def test_answer_of_a_drain_is_whole_although_the_client_has_sent_more():
    body = b"x" * LARGE_BODY_BYTES
    started = await Gateway.start(plain=[Script(respond(body))])
    started.state.draining = True
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setblocking(False)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    await loop.sock_connect(client, ("127.0.0.1", started.port))
    await loop.sock_sendall(client, REQUEST)
    received = await loop.sock_recv(client, 1)
    # Lets the process write and close; the test also holds if it is slower.
    await asyncio.sleep(0.1)
    await loop.sock_sendall(client, REQUEST)
    async with asyncio.timeout(TIMEOUT_S):
        while data := await loop.sock_recv(client, SMALL_BUFFER_BYTES):
            received += data
    assert received.partition(b"\r\n\r\n")[2] == body
    client.close()
    await wait_until(lambda: not started.server.connections)
    await started.stop()


# Guards against a client that keeps its connection, and a descriptor, for good.
async def test_connection_that_the_client_does_not_close_is_closed(monkeypatch):
    monkeypatch.setattr(client_server, "LINGER_S", 0.05)
    started = await Gateway.start(plain=[Script(respond())])
    started.state.draining = True
    client = await Client.connect(started)
    client.writer.write(REQUEST)
    assert await client.status() == 200
    await wait_until(lambda: not started.server.connections)
    client.writer.close()
    await started.stop()
