import asyncio
import contextlib

import pytest

from burdockhaven_entry.event_stream import (
    NotConnectedError,
    StreamBrokenError,
    StreamEnd,
    StreamRequest,
    StreamTimeouts,
    read_stream,
)

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
TIMEOUTS = StreamTimeouts(connect_s=5.0, read_s=5.0)


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


END = chunk(b"")


@contextlib.asynccontextmanager
async def serve_once(pieces, close=True):
    """Serve one request with the pieces, written one at a time."""
    requests = []

    async def answer(reader, writer):
        requests.append(await reader.readuntil(b"\r\n\r\n"))
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        if close:
            writer.close()
        else:
            await reader.read()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"http://{host}:{port}/path?offset=1", requests
    finally:
        server.close()


async def read(pieces, on_event=None, close=True, timeouts=TIMEOUTS):
    events = []
    async with serve_once(pieces, close) as (url, _):
        request = StreamRequest("GET", url)
        on_event = on_event or (lambda data: events.append(data))
        return await read_stream(request, timeouts, on_event), events


@pytest.mark.parametrize(
    ("pieces", "events"),
    [
        ([HEAD, chunk(b"data: a\n\n"), END], ["a"]),
        ([HEAD.replace(b" OK", b" "), chunk(b"data: a\n\n"), END], ["a"]),
        ([HEAD + chunk(b"data: a\n\ndata: b\n\n") + END], ["a", "b"]),
        ([HEAD, chunk(b"da"), chunk(b"ta: a\n"), chunk(b"\n"), END], ["a"]),
        ([HEAD, chunk(b"event: x\r\ndata: a\r\ndata:b\r\n\r\n"), END], ["a\nb"]),
        ([HEAD, chunk(b": nothing\n\n"), chunk(b"data: a\n\n"), END], ["a"]),
    ],
)
async def test_events_are_decoded_across_chunk_boundaries(pieces, events):
    assert await read(pieces) == (StreamEnd(200, b""), events)


async def test_the_request_carries_path_headers_and_body():
    async with serve_once([HEAD, END]) as (url, requests):
        request = StreamRequest("POST", url, b'{"a":1}', (("x", "y"),))
        await read_stream(request, TIMEOUTS, lambda data: False)
    assert requests[0].startswith(b"POST /path?offset=1 HTTP/1.1\r\n")
    assert b"x: y\r\n" in requests[0]
    assert b"content-length: 7\r\n" in requests[0].lower()


async def test_an_error_status_returns_its_body():
    head = b"HTTP/1.1 503 Busy\r\ncontent-length: 4\r\n\r\n"
    assert await read([head, b"no", b"pe"]) == (StreamEnd(503, b"nope"), [])


async def test_reading_stops_when_the_callback_returns_true():
    seen = []

    def on_event(data):
        seen.append(data)
        return data == "b"

    pieces = [HEAD, chunk(b"data: a\n\ndata: b\n\ndata: c\n\n")]
    end, _ = await read(pieces, on_event, close=False)
    assert (end, seen) == (StreamEnd(200, b""), ["a", "b"])


@pytest.mark.parametrize(
    "pieces",
    [[], [HEAD], [HEAD, chunk(b"data: a\n\n")], [b"nonsense\r\n\r\n"], [HEAD, b"zz"]],
)
async def test_a_truncated_or_invalid_response_is_a_broken_stream(pieces):
    with pytest.raises(StreamBrokenError):
        await read(pieces)


async def test_a_silent_peer_is_a_broken_stream():
    timeouts = StreamTimeouts(connect_s=5.0, read_s=0.05)
    with pytest.raises(StreamBrokenError, match="silent"):
        await read([HEAD], close=False, timeouts=timeouts)


async def test_an_oversized_event_is_rejected():
    with pytest.raises(StreamBrokenError, match="bytes in a body or event"):
        await read([HEAD, *[chunk(b"x" * 65_536)] * 17], close=False)


async def test_an_error_of_the_callback_propagates():
    def on_event(data):
        raise ValueError(data)

    with pytest.raises(ValueError, match="a"):
        await read([HEAD, chunk(b"data: a\n\n"), END], on_event)


async def test_a_refused_connection_is_not_connected():
    async with serve_once([]) as (url, _):
        pass
    with pytest.raises(NotConnectedError):
        await read_stream(StreamRequest("GET", url), TIMEOUTS, lambda data: False)
