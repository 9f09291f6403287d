"""Reads one streamed answer over a connection of its own.

Tokens come in single events, tens of thousands a second over a thousand connections.
httpx takes about 100 microseconds of processor time for each, so here a callback gets
each event straight from the parser of httptools, with no task to wake in between.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import urlsplit

import httptools

# Gets the data of one event; True ends the reading.
OnEvent = Callable[[bytes], bool]

HTTP_OK = 200
PORT_BY_SCHEME = {"http": 80, "https": 443}
# The most bytes that are kept of an answer that is no stream, or of one event.
MAX_KEPT_BYTES = 1024 * 1024


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
    # Headers beside those that every request has.
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class StreamTimeouts:
    """How long to wait, in seconds."""

    # For the connection.
    connect_s: float
    # From one byte of the answer to the next.
    gap_s: float


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
    loop = asyncio.get_running_loop()
    parts = urlsplit(request.url)
    reader = _StreamReader(on_event, timeouts.gap_s, loop)
    try:
        async with asyncio.timeout(timeouts.connect_s):
            transport, _ = await loop.create_connection(
                lambda: reader,
                parts.hostname or "",
                parts.port or PORT_BY_SCHEME[parts.scheme],
                ssl=True if parts.scheme == "https" else None,
            )
    except (OSError, TimeoutError) as error:
        raise NotConnectedError(str(error) or type(error).__name__) from error
    try:
        transport.write(_encode(request, parts.netloc))
        return await reader.end
    finally:
        reader.stop()
        transport.abort()


def _encode(request: StreamRequest, host: str) -> bytes:
    path = request.url.partition(host)[2] or "/"
    lines = [
        f"{request.method} {path} HTTP/1.1",
        f"host: {host}",
        "accept: text/event-stream",
        "connection: close",
        "content-type: application/json",
        f"content-length: {len(request.body)}",
        *(f"{name}: {value}" for name, value in request.headers),
    ]
    return "\r\n".join([*lines, "", ""]).encode("ascii") + request.body


class _StreamReader(asyncio.Protocol):
    """Parses one answer as it arrives."""

    def __init__(
        self, on_event: OnEvent, gap_s: float, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.on_event = on_event
        self.gap_s = gap_s
        self.loop = loop
        self.parser = httptools.HttpResponseParser(self)
        # What has been read of the event or body that is not complete yet.
        self.rest = b""
        self.status = 0
        self.end: asyncio.Future[StreamEnd] = loop.create_future()
        self.heard_s = loop.time()
        self.watch = loop.call_later(gap_s, self._check_gap)

    def stop(self) -> None:
        """Reads nothing more."""
        self.watch.cancel()
        self.end.cancel()

    def data_received(self, data: bytes) -> None:
        """Called by the transport."""
        self.heard_s = self.loop.time()
        if self.end.done():
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(error.__context__ or StreamBrokenError(f"no HTTP: {error}"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the transport."""
        self._fail(StreamBrokenError(str(exc) if exc else "the peer closed it"))

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Called by the parser."""
        data = self.rest + body if self.rest else body
        if self.status == HTTP_OK:
            data = self._pass_events(data)
        if len(data) > MAX_KEPT_BYTES:
            raise StreamBrokenError(f"more than {MAX_KEPT_BYTES} bytes in one piece")
        self.rest = data

    def on_message_complete(self) -> None:
        """Called by the parser."""
        if not self.end.done():
            body = b"" if self.status == HTTP_OK else self.rest
            self.end.set_result(StreamEnd(self.status, body))

    def _pass_events(self, data: bytes) -> bytes:
        """Passes on the complete events; returns what is left."""
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        *events, rest = data.split(b"\n\n")
        for event in events:
            if self.end.done():
                break
            if self.on_event(_data_of(event)):
                self.end.set_result(StreamEnd(self.status, b""))
        return rest

    def _check_gap(self) -> None:
        left_s = self.heard_s + self.gap_s - self.loop.time()
        if left_s > 0:
            self.watch = self.loop.call_later(left_s, self._check_gap)
        else:
            self._fail(StreamBrokenError(f"silent for {self.gap_s} s"))

    def _fail(self, error: BaseException) -> None:
        if not self.end.done():
            self.end.set_exception(error)


def _data_of(event: bytes) -> bytes:
    """The data of one server-sent event."""
    if event.startswith(b"data: ") and b"\n" not in event:
        return event[6:]
    lines = [line[5:] for line in event.split(b"\n") if line.startswith(b"data:")]
    return b"\n".join(line.removeprefix(b" ") for line in lines)
