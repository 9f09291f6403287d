"""Reads one streamed answer over a connection of its own.

Tokens come in single events, tens of thousands a second over a thousand connections.
httpx takes about 100 microseconds of processor time for each, so streams go through
aiohttp, whose parser is compiled. The events are decoded by httpx-sse, whose decoders
take lines of any client.
"""

import codecs
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import aiohttp
from httpx_sse._decoders import SSEDecoder, SSELineDecoder

# Gets the data of one event; True ends the reading.
OnEvent = Callable[[str], bool]

HTTP_OK = 200
# The most bytes that are read of an answer that is no stream, or of one event.
MAX_BUFFERED_BYTES = 1024 * 1024
# Bytes that wait to be read before the peer is slowed down.
READ_BUFFER_BYTES = 64 * 1024


class NotConnectedError(Exception):
    """There was no connection, so no byte of the request left."""


class StreamBrokenError(Exception):
    """The connection broke off or went silent before the answer's end."""


@dataclass(frozen=True, slots=True)
class StreamRequest:
    """What to send."""

    method: str
    # With an IP number, such as http://127.0.0.1:9101/v1/completions.
    url: str
    # JSON; empty for none.
    body: bytes = b""
    # Headers beside the usual ones.
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class StreamTimeouts:
    """How long to wait, in seconds."""

    # For the connection.
    connect_s: float
    # From one byte of the answer to the next.
    read_s: float


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """How the answer ended."""

    status: int
    # Of an answer with another status than 200; events are not kept.
    body: bytes


async def read_stream(
    request: StreamRequest, timeouts: StreamTimeouts, on_event: OnEvent
) -> StreamEnd:
    """Send the request on a new connection and pass on the events of its answer.

    Raises `NotConnectedError` or `StreamBrokenError`, and whatever `on_event` raises.
    """
    try:
        return await _read(request, timeouts, on_event)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise NotConnectedError(str(error) or type(error).__name__) from error
    except aiohttp.SocketTimeoutError as error:
        raise StreamBrokenError(f"silent for {timeouts.read_s} s") from error
    except (aiohttp.ClientError, OSError, UnicodeDecodeError) as error:
        raise StreamBrokenError(str(error) or type(error).__name__) from error


async def _read(
    request: StreamRequest, timeouts: StreamTimeouts, on_event: OnEvent
) -> StreamEnd:
    # A session of its own: no connection is shared, and nothing is sent a second time.
    async with (
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=timeouts.connect_s, sock_read=timeouts.read_s
            ),
            read_bufsize=READ_BUFFER_BYTES,
        ) as session,
        session.request(
            request.method,
            request.url,
            data=request.body or None,
            headers=_headers(request),
            allow_redirects=False,
        ) as response,
    ):
        if response.status != HTTP_OK:
            return StreamEnd(response.status, await _read_body(response))
        await _forward_events(response, on_event)
        return StreamEnd(response.status, b"")


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for data in response.content.iter_any():
        body += data
        if len(body) > MAX_BUFFERED_BYTES:
            raise StreamBrokenError(
                f"more than {MAX_BUFFERED_BYTES} bytes in one piece"
            )
    return bytes(body)


async def _forward_events(response: aiohttp.ClientResponse, on_event: OnEvent) -> None:
    events = _EventDecoder()
    async for data in response.content.iter_any():
        for event in events.decode(data):
            if on_event(event):
                return


class _EventDecoder:
    """Turns the bytes of a stream into the data of its events."""

    def __init__(self) -> None:
        self.text = codecs.getincrementaldecoder("utf-8")()
        self.lines = SSELineDecoder()
        self.events = SSEDecoder()
        # Bytes since the last whole event.
        self.buffered_bytes = 0

    def decode(self, data: bytes) -> Iterator[str]:
        """The data of the events that are whole by now."""
        self.buffered_bytes += len(data)
        for line in self.lines.decode(self.text.decode(data)):
            event = self.events.decode(line)
            if event is not None:
                self.buffered_bytes = 0
                yield event.data
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            raise StreamBrokenError(
                f"more than {MAX_BUFFERED_BYTES} bytes in one piece"
            )


def _headers(request: StreamRequest) -> list[tuple[str, str]]:
    headers = [("accept", "text/event-stream"), *request.headers]
    if request.body:
        headers.append(("content-type", "application/json"))
    return headers
