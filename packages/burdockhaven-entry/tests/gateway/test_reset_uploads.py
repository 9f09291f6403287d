"""Responses without a length that are reset while the request is still being sent."""

import asyncio
import dataclasses

import pytest
from gateway_fixtures import (
    WAIT_TIMEOUT_S,
    EarlyResponse,
    Gateway,
    Script,
    respond,
    response_head,
    routing_table,
    send_reset,
    stream_events,
)

from burdockhaven_entry.gateway import target_client

# More than the kernel buffers, so that most of it is unsent when the target resets.
UPLOAD = bytes(24 * 2**20)
PART = b"the first part"
EVENTS = b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
STREAM_HEAD = response_head("Content-Type: text/event-stream\r\n")
# Ends the body of a complete response to the client, which is sent in chunks.
LAST_CHUNK = b"0\r\n\r\n"


@pytest.fixture
async def start(monkeypatch):
    # A busy machine may let a connection take longer, which is not the matter here.
    monkeypatch.setattr(target_client, "CONNECT_TIMEOUT_S", WAIT_TIMEOUT_S)
    started = []

    async def make(**options):
        table = routing_table()
        limits = dataclasses.replace(table.limits, max_body_bytes=len(UPLOAD))
        table = dataclasses.replace(table, limits=limits)
        started.append(await Gateway.start(table=table, **options))
        return started[-1]

    yield make
    for gateway in started:
        await gateway.stop()


async def reset_at_once(reader, writer):
    send_reset(writer)


async def reset_later(reader, writer):
    await asyncio.sleep(0.05)
    send_reset(writer)


async def reset_within_upload(reader, writer):
    await reader.readexactly(2**20)
    send_reset(writer)


async def close_with_unread_upload(reader, writer):
    # The kernel resets a connection that is closed with received bytes unread.
    await asyncio.sleep(0.05)
    writer.close()


async def end_and_reset(reader, writer):
    writer.write_eof()
    await asyncio.sleep(0.05)
    send_reset(writer)


ENDS = [
    reset_at_once,
    reset_later,
    reset_within_upload,
    close_with_unread_upload,
    end_and_reset,
]
HTTP_1_0 = (b"HTTP/1.1", b"HTTP/1.0")
PLAIN = {
    "part of a body": response_head() + PART,
    "no body": response_head(),
    "HTTP/1.0": response_head().replace(*HTTP_1_0) + PART,
    "announced end": response_head("Connection: close\r\n") + PART,
}
STREAMS = {
    "whole events": STREAM_HEAD + EVENTS,
    "part of an event": STREAM_HEAD + EVENTS[:-1],
    "HTTP/1.0": STREAM_HEAD.replace(*HTTP_1_0) + EVENTS,
}


def respond_early(data, end):
    async def behave(request, reader, writer):
        writer.write(data.replace(b"ID", b"a1"))
        await end(reader, writer)
        return False

    return EarlyResponse(behave)


# Guards against a part of a body that the client gets as the whole one.
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("data", PLAIN.values(), ids=PLAIN)
@pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept connection"])
async def test_plain_response_that_is_reset_is_not_complete(start, data, end, is_kept):
    before = [respond(b"before")] if is_kept else []
    gateway = await start(plain=[Script(*before, respond_early(data, end))])
    path = "/safe/x" if is_kept else "/unsafe/x"
    for _ in before:
        assert (await gateway.call(path)).body == b"before"
    received = await gateway.call_raw(path, UPLOAD)
    assert received.startswith(b"HTTP/1.1 502 ")
    assert PART not in received
    assert gateway.targets[0].connections == 1


# Guards against a stream that ends like a complete one within its events.
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("data", STREAMS.values(), ids=STREAMS)
@pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept connection"])
async def test_stream_that_is_reset_does_not_end(start, data, end, is_kept):
    before = [stream_events(1, 1)] if is_kept else []
    gateway = await start(engines=[Script(*before, respond_early(data, end))])
    path = "/stream/" if is_kept else "/once/"
    for _ in before:
        assert (await gateway.call(path)).status == 200
    received = await gateway.call_raw(path, UPLOAD)
    is_begun = received.startswith(b"HTTP/1.1 200 ")
    assert is_begun or received.startswith(b"HTTP/1.1 502 ")
    assert not (is_begun and received.endswith(LAST_CHUNK))


async def close_after_upload(reader, writer):
    await reader.readexactly(len(UPLOAD))
    writer.close()


async def end_before_upload(reader, writer):
    writer.write_eof()
    await close_after_upload(reader, writer)


# Guards against a check that refuses each response that begins before its request ends.
@pytest.mark.parametrize("end", [close_after_upload, end_before_upload])
async def test_early_response_that_ends_in_order_is_complete(start, end):
    whole = response_head() + PART
    events = STREAM_HEAD + EVENTS
    gateway = await start(
        plain=[Script(respond_early(whole, end))],
        engines=[Script(respond_early(events, end))],
    )
    received = await gateway.call_raw("/unsafe/x", UPLOAD)
    assert received.startswith(b"HTTP/1.1 200 OK\r\n")
    assert received.endswith(b"\r\n\r\n" + PART)
    received = await gateway.call_raw("/once/", UPLOAD)
    assert received.startswith(b"HTTP/1.1 200 OK\r\n")
    assert received.endswith(b"data: 2\n\n\r\n" + LAST_CHUNK)
