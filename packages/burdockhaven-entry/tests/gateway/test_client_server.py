import asyncio

import pytest
from gateway_fixtures import ATTEMPT, KEY, Gateway, Script, answer, hang

PATIENCE_S = 30.0
REQUEST = (
    f"POST /safe/x HTTP/1.1\r\nHost: one.example\r\n{ATTEMPT}: a\r\n"
    f"Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
).encode()


@pytest.fixture
async def gateway():
    started = await Gateway.start(plain=[Script(answer(), hang)])
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
        head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), PATIENCE_S)
        return int(head.split()[1])

    async def ended(self):
        """The rest of what the connection brings, to its end."""
        try:
            return await asyncio.wait_for(self.reader.read(), PATIENCE_S)
        except ConnectionResetError:
            return b""


async def until(condition):
    async with asyncio.timeout(PATIENCE_S):
        while True:
            if condition():
                return
            await asyncio.sleep(0.01)


async def the_connection(gateway):
    await until(lambda: len(gateway.server.connections) == 1)
    return gateway.server.connections[0]


async def test_an_idle_connection_that_is_ended_takes_no_further_request(gateway):
    client = await Client.connect(gateway)
    client.writer.write(REQUEST)
    assert await client.status() == 200
    await client.reader.readexactly(len(b"done"))
    gateway.server.end_idle()
    client.writer.write(REQUEST)
    assert await client.ended() == b""
    assert len(gateway.received) == 1


async def test_a_connection_that_owes_an_answer_is_not_ended(gateway):
    client = await Client.connect(gateway)
    client.writer.write(REQUEST)
    assert await client.status() == 200
    client.writer.write(REQUEST)
    await until(lambda: len(gateway.received) == 2)
    gateway.server.end_idle()
    assert gateway.server.in_use()
    assert not client.reader.at_eof()


@pytest.mark.parametrize("part", [b"P", REQUEST[:30], REQUEST[:-1]])
async def test_a_head_that_takes_too_long_is_answered_408(gateway, part):
    client = await Client.connect(gateway)
    client.writer.write(part)
    connection = await the_connection(gateway)
    await until(lambda: connection.head_begun_s is not None)
    gateway.server.end_slow(limit_s=60.0)
    assert not client.reader.at_eof()
    gateway.server.end_slow(limit_s=-1.0)
    assert await client.status() == 408
    assert await client.ended() == b""
    assert gateway.received == []


async def test_a_connection_without_a_request_is_not_slow(gateway):
    client = await Client.connect(gateway)
    client.writer.write(REQUEST)
    assert await client.status() == 200
    await the_connection(gateway)
    gateway.server.end_slow(limit_s=-1.0)
    client.writer.write(REQUEST)
    await until(lambda: len(gateway.received) == 2)
