"""HTTP/1.1 client on bare connections, which records how each attempt ended."""

import asyncio
import itertools
import time
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from burdockhaven_bench.soak.history import Attempt, Ending, Event
from burdockhaven_entry.gateway.event_splitter import EventSplitter, StreamEvent
from burdockhaven_standins.platform_site import HOST
from burdockhaven_standins.platform_targets import (
    ATTEMPT,
    DEADLINE,
    LAST_EVENT_ID,
    PROMPT_PREFIX,
    TOKEN_COUNTS,
)

RESUMES = "Resumes"
BODY = b"0123456789"
# Part of the body that is sent first if a request is sent in halves.
FIRST_HALF_BYTES = 4
# Seconds without any byte of a response after which clients give up: eight times the
# pause objective of the streaming routes.
GAP_TIMEOUT_S = 2.4
# Seconds by which they notice that late, so that a daemon that gives up at the same
# time is seen to close the connection.
GAP_LAG_S = 0.05
# Seconds beyond the timeout of its route for which a client waits for a whole response.
TIMEOUT_MARGIN_S = 1.0
CONNECT_TIMEOUT_S = 1.0
# Seconds between two checks for the close of a connection.
CLOSE_POLL_INTERVAL_S = 0.01

_connection_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """One attempt that is to be sent."""

    attempt: str
    request: int
    route: str
    path: str
    api_key: str
    # Timeout of the route in seconds.
    timeout_s: float
    # None if the client names no deadline.
    deadline_s: float | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_events: int = 0
    last_event: int = 0
    resumes: str = ""
    # Seconds between the two halves of the request; None if it is sent at once.
    half_pause_s: float | None = None
    # Seconds after which the client leaves; None if it stays.
    leave_after_s: float | None = None
    # Id and token count of each part of the prompt, in order.
    parts: tuple[tuple[str, int], ...] = ()

    def head(self) -> bytes:
        """Encode the request line and the headers."""
        lines = [
            f"POST {self.path} HTTP/1.1",
            f"Host: {HOST}",
            f"{ATTEMPT}: {self.attempt}",
            f"Authorization: Bearer {self.api_key}",
            f"Content-Length: {len(BODY)}",
        ]
        if self.expected_events:
            lines.append(f"{TOKEN_COUNTS}: {self.prompt_tokens},{self.output_tokens}")
        if self.parts:
            parts = ",".join(f"{part}:{tokens}" for part, tokens in self.parts)
            lines.append(f"{PROMPT_PREFIX}: {parts}")
        if self.deadline_s is not None:
            lines.append(f"{DEADLINE}: {self.deadline_s * 1e3:.0f}")
        if self.resumes:
            lines += [
                f"{LAST_EVENT_ID}: {self.last_event}",
                f"{RESUMES}: {self.resumes}",
            ]
        return "\r\n".join([*lines, "", ""]).encode()


@dataclass(slots=True)
class ResponseReading:
    """The part of a response that has been read."""

    status: int | None = None
    # Time at which the head was read.
    head_s: float | None = None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    events: list[Event] = field(default_factory=list)

    @property
    def announces_close(self) -> bool:
        """Whether the connection ends with this response."""
        return self.headers.get("connection", "").lower() == "close"


@dataclass(slots=True)
class ClientConnection:
    """A connection to the front of a daemon process."""

    process: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    number: int = field(default_factory=lambda: next(_connection_numbers))
    sent_requests: int = 0
    is_usable: bool = True

    @classmethod
    async def open(cls, process: str, address: str) -> "ClientConnection | None":
        """Connect; None if that fails."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return None
        return cls(process, reader, writer)

    def close(self) -> None:
        """Close the connection."""
        self.is_usable = False
        self.writer.close()

    async def idle(self, duration_s: float) -> bytes:
        """Keep the connection idle; returns bytes that arrive meanwhile."""
        try:
            async with asyncio.timeout(duration_s):
                unrequested = await self.reader.read(1024)
        except TimeoutError:
            return b""
        except OSError:
            unrequested = b""
        self.close()
        return unrequested

    async def exchange(
        self, requests: list[OutgoingRequest], unrequested: bytes = b""
    ) -> list[Attempt]:
        """Send requests back to back and read the responses in order."""
        sent = [await self._send(request) for request in requests]
        attempts: list[Attempt] = []
        for request, (position, sent_s) in zip(requests, sent, strict=True):
            reading = ResponseReading()
            previous = attempts[-1] if attempts else None
            if sent_s is None:
                ending = Ending.UNSENT
            elif previous is not None and not self.is_usable:
                ending = _ending_behind(previous)
            else:
                ending = await self._read(request, reading)
            if ending is not Ending.COMPLETE or reading.announces_close:
                self.close()
            attempts.append(
                Attempt(
                    id=request.attempt,
                    request=request.request,
                    route=request.route,
                    api_key=request.api_key,
                    process=self.process,
                    connection=self.number,
                    position=position,
                    sent_s=sent_s,
                    ended_s=time.monotonic(),
                    ending=ending,
                    deadline_s=request.deadline_s,
                    status=reading.status,
                    head_s=reading.head_s,
                    headers=tuple(reading.headers.items()),
                    body=reading.body,
                    events=tuple(reading.events),
                    expected_events=request.expected_events,
                    last_event=request.last_event,
                    resumes=request.resumes,
                    is_behind_cut=previous is not None
                    and previous.ending is Ending.CLOSED,
                    unrequested_bytes=b"" if attempts else unrequested,
                    parts=tuple(part for part, _ in request.parts),
                )
            )
        return attempts

    async def _send(self, request: OutgoingRequest) -> tuple[int, float | None]:
        """Send a request; returns its position and when its last byte was sent."""
        position = self.sent_requests
        self.sent_requests += 1
        try:
            if request.half_pause_s is None:
                self.writer.write(request.head() + BODY)
            else:
                self.writer.write(request.head() + BODY[:FIRST_HALF_BYTES])
                await self.writer.drain()
                await self._pause_while_open(request.half_pause_s)
                if self.reader.at_eof() or self.writer.is_closing():
                    return position, None
                self.writer.write(BODY[FIRST_HALF_BYTES:])
            sent_s = time.monotonic()
            await self.writer.drain()
        except OSError:
            return position, None
        return position, sent_s

    async def _pause_while_open(self, duration_s: float) -> None:
        """Pause within a request; end early if the connection closes."""
        end_s = time.monotonic() + duration_s
        while not (self.reader.at_eof() or self.writer.is_closing()):
            left_s = end_s - time.monotonic()
            if left_s <= 0.0:
                return
            await asyncio.sleep(min(CLOSE_POLL_INTERVAL_S, left_s))

    async def _read(self, request: OutgoingRequest, reading: ResponseReading) -> Ending:
        """Read a response up to its end, a timeout or the moment the client leaves."""
        limit_s = request.timeout_s + TIMEOUT_MARGIN_S
        leave_s = request.leave_after_s
        try:
            async with asyncio.timeout(limit_s if leave_s is None else leave_s):
                await self._read_whole(reading)
        except TimeoutError:
            return Ending.ABANDONED if leave_s is None else Ending.LEFT
        except _GapError:
            return Ending.ABANDONED
        except (OSError, EOFError):
            return Ending.CLOSED
        return Ending.COMPLETE

    async def _read_whole(self, reading: ResponseReading) -> None:
        head = await self._read_until(b"\r\n\r\n")
        status_line, *lines = head.decode("latin-1").strip().split("\r\n")
        reading.head_s = time.monotonic()
        reading.status = int(status_line.split(" ", 2)[1])
        fields = (line.partition(":") for line in lines)
        reading.headers = {n.strip().lower(): value.strip() for n, _, value in fields}
        if reading.headers.get("transfer-encoding", "") == "chunked":
            await self._read_chunks(reading)
        else:
            length = int(reading.headers.get("content-length", "0"))
            reading.body = await self._with_gap_timeout(self.reader.readexactly(length))

    async def _read_chunks(self, reading: ResponseReading) -> None:
        splitter = EventSplitter()
        while size := int(await self._read_until(b"\r\n"), 16):
            chunk = self.reader.readexactly(size + 2)
            data = (await self._with_gap_timeout(chunk))[:size]
            reading.events += map(_decode_event, splitter.feed(data))
        reading.body = bytes(splitter.buffer)
        await self._read_until(b"\r\n")

    async def _read_until(self, separator: bytes) -> bytes:
        return await self._with_gap_timeout(self.reader.readuntil(separator))

    async def _with_gap_timeout(self, reading: Coroutine[Any, Any, bytes]) -> bytes:
        try:
            async with asyncio.timeout(GAP_TIMEOUT_S + GAP_LAG_S) as gap:
                return await reading
        except TimeoutError:
            if gap.expired():
                raise _GapError from None
            raise


def _ending_behind(previous: Attempt) -> Ending:
    """Return how a request ends whose connection ended with the response before it."""
    has_client_left = previous.ending in (Ending.LEFT, Ending.ABANDONED)
    return Ending.LEFT if has_client_left else Ending.CLOSED


class _GapError(Exception):
    """Nothing arrived for `GAP_TIMEOUT_S`."""


def _decode_event(event: StreamEvent) -> Event:
    """Decode an event of the stand-in engine; unreadable ones get number 0."""
    fields = event.data.decode("latin-1").partition("data: ")[2].split()
    if event.id is None or not event.id.isdigit() or len(fields) != 4:
        return Event(0, "", "", "")
    _, version, target, attempt = fields
    return Event(int(event.id), version, target, attempt)
