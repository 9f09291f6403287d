"""Reads a stream of server-sent events over a dedicated connection.

Each token arrives as an event of its own, tens of thousands per second over a thousand
connections. httpx takes about 100 microseconds of CPU time per event, so streams are
read with aiohttp, whose parser is compiled. The events are decoded by httpx-sse, whose
decoders accept lines from any HTTP client.
"""

import codecs
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import aiohttp
from httpx_sse._decoders import SSEDecoder, SSELineDecoder

from burdockhaven_entry.http_client import create_connector

# Called with the data of each event; returns True to stop reading.
OnEvent = Callable[[str], bool]

HTTP_OK = 200
# Size limit for a response that is not a stream, and for a single event.
MAX_BUFFERED_BYTES = 1024 * 1024
# Unread bytes beyond which backpressure slows the peer down.
READ_BUFFER_BYTES = 64 * 1024


class NotConnectedError(Exception):
    """Connecting failed, so no byte of the request was sent."""


class StreamBrokenError(Exception):
    """The connection broke or went silent before the end of the response."""


@dataclass(frozen=True, slots=True)
class StreamRequest:
    """An HTTP request for a stream."""

    method: str
    # Has an IP address as host, such as http://127.0.0.1:9101/v1/completions.
    url: str
    # JSON; empty for no body.
    body: bytes = b""
    # Additional headers.
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class StreamTimeouts:
    """Timeouts, in seconds."""

    # For connecting.
    connect_s: float
    # Between two reads of the response.
    read_s: float


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """Status and body of a response that has ended."""

    status: int
    # Body of a response with a status other than 200; otherwise empty.
    body: bytes


async def read_stream(
    request: StreamRequest, timeouts: StreamTimeouts, on_event: OnEvent
) -> StreamEnd:
    """Send the request on a new connection and pass the response's events on.

    Raises `NotConnectedError`, `StreamBrokenError`, or whatever `on_event` raises.
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
    # A session per request: no connection is shared, and no request is retried.
    async with (
        aiohttp.ClientSession(
            connector=create_connector(force_close=True, limit=0),
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
                f"more than {MAX_BUFFERED_BYTES} bytes in a body or event"
            )
    return bytes(body)


async def _forward_events(response: aiohttp.ClientResponse, on_event: OnEvent) -> None:
    events = _EventDecoder()
    async for data in response.content.iter_any():
        for event in events.decode(data):
            if on_event(event):
                return


class _EventDecoder:
    """Decodes the bytes of a stream into the data of its events."""

    def __init__(self) -> None:
        self.text = codecs.getincrementaldecoder("utf-8")()
        self.lines = SSELineDecoder()
        self.events = SSEDecoder()
        # Bytes since the last complete event.
        self.buffered_bytes = 0

    def decode(self, data: bytes) -> Iterator[str]:
        """Yield the data of each event that is now complete."""
        self.buffered_bytes += len(data)
        for line in self.lines.decode(self.text.decode(data)):
            event = self.events.decode(line)
            if event is not None:
                self.buffered_bytes = 0
                yield event.data
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            raise StreamBrokenError(
                f"more than {MAX_BUFFERED_BYTES} bytes in a body or event"
            )


def _headers(request: StreamRequest) -> list[tuple[str, str]]:
    headers = [("accept", "text/event-stream"), *request.headers]
    if request.body:
        headers.append(("content-type", "application/json"))
    return headers
