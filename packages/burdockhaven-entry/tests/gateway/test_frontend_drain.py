"""Requests around the start and the end of a drain, on raw client connections."""

import asyncio

import pytest
from gateway_fixtures import (
    Gateway,
    Script,
    encode_request,
    hang,
    respond,
    respond_when_released,
    stream_when_released,
    wait_until,
)

from burdockhaven_core.scheduling.drain_schedule import DrainSchedule

TIMEOUT_S = 10.0
GRACE_S = 8.0
# Seconds after SIGTERM; a request that is sent later and forwarded may not be cut.
LATEST_REQUEST_S = 3.0
LAST_CHUNK = b"\r\n0\r\n\r\n"


@pytest.fixture
def released():
    return asyncio.Event()


@pytest.fixture
async def gateway(released):
    started = await Gateway.start(
        plain=[Script(respond_when_released(released), respond())],
        engines=[Script(stream_when_released(released))],
    )
    yield started
    await started.stop()


async def connect(gateway):
    return await asyncio.open_connection("127.0.0.1", gateway.port)


async def read_until(reader, end):
    return await asyncio.wait_for(reader.readuntil(end), TIMEOUT_S)


async def read_to_end(reader):
    """Return the remaining bytes until the connection is closed."""
    return await asyncio.wait_for(reader.read(), TIMEOUT_S)


def start_drain(gateway, *, since_s):
    """Put the gateway into a drain that was requested some time ago."""
    requested_s = gateway.state.clock() - since_s
    gateway.state.draining = True
    gateway.frontend.drain = DrainSchedule.from_grace(requested_s, GRACE_S)


def close_announcements(data):
    """Return, for each response head, whether it announces the close."""
    heads = [part.partition(b"\r\n\r\n")[0] for part in data.split(b"HTTP/1.1 ")[1:]]
    return [b"\r\nconnection: close" in head.lower() for head in heads]


# Guards against LOST: the next request on a connection whose stream began before the
# drain was forwarded, at any time of the drain, and cut at its end.
async def test_stream_that_ends_during_a_drain_closes_its_connection(gateway, released):
    reader, writer = await connect(gateway)
    writer.write(encode_request("/stream/x", "a"))
    await read_until(reader, b"id: 1\n")
    gateway.state.draining = True
    released.set()
    await read_until(reader, LAST_CHUNK)
    writer.write(encode_request("/safe/x", "b"))
    assert await read_to_end(reader) == b""
    assert len(gateway.received) == 1


# Guards against LOST: as above, for a stream that begins during the drain.
async def test_stream_that_begins_during_a_drain_announces_the_close(gateway, released):
    gateway.state.draining = True
    released.set()
    reader, writer = await connect(gateway)
    writer.write(encode_request("/stream/x", "a"))
    data = await read_to_end(reader)
    assert data.endswith(LAST_CHUNK)
    assert close_announcements(data) == [True]


# Guards against LOST: requests that were read behind another one were dropped without
# an answer when its response closed the connection.
@pytest.mark.parametrize("path", ["/safe/x", "/stream/x"])
@pytest.mark.parametrize("further", [1, 3])
async def test_pipelined_requests_are_answered_during_a_drain(
    gateway, released, path, further
):
    reader, writer = await connect(gateway)
    writer.write(encode_request(path, "a"))
    await wait_until(lambda: len(gateway.received) == 1)
    for number in range(further):
        writer.write(encode_request("/safe/x", f"b{number}"))
    await writer.drain()
    connection = gateway.server.connections[0]
    await wait_until(lambda: connection.unparsed.count(b"\r\n\r\n") == further)
    gateway.state.draining = True
    released.set()
    data = await read_to_end(reader)
    assert data.count(b"HTTP/1.1 200 ") == 1 + further
    assert close_announcements(data) == [False] * further + [True]


# Guards against LOST: requests that were complete late in a drain were forwarded and
# cut. Those behind a stream on the same connection are read before, and answered late.
@pytest.mark.parametrize("further", [1, 3])
async def test_requests_handled_late_in_a_drain_are_refused_as_not_run(
    gateway, released, further
):
    reader, writer = await connect(gateway)
    writer.write(encode_request("/stream/x", "a"))
    await read_until(reader, b"id: 1\n")
    for number in range(further):
        writer.write(encode_request("/safe/x", f"b{number}"))
    connection = gateway.server.connections[0]
    await wait_until(lambda: connection.unparsed.count(b"\r\n\r\n") == further)
    start_drain(gateway, since_s=LATEST_REQUEST_S)
    released.set()
    await read_until(reader, LAST_CHUNK)
    data = await read_to_end(reader)
    assert data.count(b"HTTP/1.1 503 ") == further
    assert data.count(b"Retry-After: ") == further
    assert close_announcements(data) == [False] * (further - 1) + [True]
    assert len(gateway.received) == 1


async def test_request_that_is_certain_to_end_in_time_is_served_late_in_a_drain(
    gateway, released
):
    start_drain(gateway, since_s=LATEST_REQUEST_S)
    released.set()
    reader, writer = await connect(gateway)
    writer.write(encode_request("/quick/x", "a"))
    assert (await read_to_end(reader)).startswith(b"HTTP/1.1 200 ")


# Guards against LOST: requests that waited at a target when the process ended got no
# answer.
@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x", "/once/x"])
async def test_requests_without_a_response_are_answered_before_the_end(path):
    gateway = await Gateway.start(plain=[Script(hang)], engines=[Script(hang)])
    reader, writer = await connect(gateway)
    writer.write(encode_request(path, "a"))
    await wait_until(lambda: len(gateway.received) == 1)
    start_drain(gateway, since_s=LATEST_REQUEST_S)
    gateway.frontend.answer_pending()
    data = await read_to_end(reader)
    assert data.startswith(b"HTTP/1.1 504 ")
    assert close_announcements(data) == [True]
    assert not gateway.frontend.pending
    await gateway.stop()


async def test_stream_that_has_begun_goes_on_to_the_end(gateway, released):
    reader, writer = await connect(gateway)
    writer.write(encode_request("/stream/x", "a"))
    await read_until(reader, b"id: 1\n")
    start_drain(gateway, since_s=LATEST_REQUEST_S)
    gateway.frontend.answer_pending()
    released.set()
    assert (await read_to_end(reader)).endswith(LAST_CHUNK)
