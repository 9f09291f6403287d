"""Client connections: time limits, account of what they hold, and the drain.

They extend the connection class of the HTTP library, whose `close` leaves the transport
of an idle connection open.
"""

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from burdockhaven_core.client_limits import (
    PROGRESS_BYTES,
    Holding,
    HoldingKind,
    Listener,
)
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_entry.gateway.client_load import ClientLoad
from burdockhaven_entry.gateway.gated_connection import (
    BodyDiscardedError,
    GatedConnection,
    Phase,
)
from burdockhaven_entry.gateway.stop_steps import attempt
from burdockhaven_entry.listening_sockets import RECEIVE_BUFFER_BYTES
from burdockhaven_entry.log_events import log

# Keep-alive timeout of client connections in seconds; longer than that of any client.
CLIENT_KEEPALIVE_S = 120.0
# Maximum size of one header line in bytes; the limit in the configuration is lower.
MAX_HEADER_LINE_BYTES = 32_768
# Maximum number of header fields: as many as the shortest lines that fit the limit on
# heads in the configuration, which bounds their bytes.
MAX_HEADER_FIELDS = MAX_HEADER_LINE_BYTES // len(b"a:\r\n")
# Bytes of a response that wait in the process until it counts as not read.
UNREAD_BYTES = 16_384
# Bytes that may wait for a client in the connection to the target of its stream.
STREAM_BUFFER_BYTES = 131_072
# Makes a socket reset its connection when it is closed: linger for 0 s.
LINGER_RESET = struct.pack("ii", 1, 0)
# Seconds between two checks for idle connections during a drain.
DRAIN_POLL_INTERVAL_S = 0.02
# Longest time in seconds for which a connection is read after its last response, until
# the client closes it.
LINGER_S = 1.0
REQUEST_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
HEAD_TOO_LONG_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)


class RefusedConnection(asyncio.Protocol):
    """A connection that is closed at once, because its listener has no room."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close the connection."""
        assert isinstance(transport, asyncio.Transport)
        transport.abort()


class ClientConnection(GatedConnection):
    """A client connection that accounts for what is held for its client."""

    def __init__(
        self, load: ClientLoad, listener: Listener, *args: Any, **options: Any
    ) -> None:
        super().__init__(*args, **options)
        self.load = load
        self.slots = load.slots[listener]
        # Event loop time in seconds since when a request head is incomplete; None while
        # none is.
        self.head_started_s: float | None = None
        # Whether the last response was sent, and the client is to close the connection.
        self.is_lingering = False
        # The transport until it is closed; the library drops its own reference before.
        self.client_transport: asyncio.Transport | None = None
        # What is held while the connection waits for its client; None for nothing.
        self.holding: Holding[Any] | None = None
        # Bytes of the request body that was received so far, and of these, when it last
        # counted as going on.
        self.collected_bytes = 0
        self.renewed_bytes = 0
        # Bytes of the response that is written, apart from what the transport keeps.
        self.response_bytes = STREAM_BUFFER_BYTES

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to read requests."""
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(high=UNREAD_BYTES)
        self.client_transport = transport
        self.slots.begin_wait(self)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self.client_transport = None
        self.load.close_connection(self.slots, self)
        if self.holding is not None:
            self.load.memory.release(self.holding)
            self.holding = None
        super().connection_lost(exc)

    def enter(self, phase: Phase) -> None:
        """Begin a phase."""
        super().enter(phase)
        if phase is Phase.RESPONSE:
            self.slots.end_wait(self)
        elif self.client_transport is not None:
            self.slots.begin_wait(self)

    def data_received(self, data: bytes) -> None:
        """Process received bytes."""
        super().data_received(data)
        self._update_head_start()
        if self.unparsed or self.holding is not None:
            self.update_holding()

    def pause_writing(self) -> None:
        """Account for a response that the client doesn't read."""
        super().pause_writing()
        self.update_holding()

    def resume_writing(self) -> None:
        """Go on after the client has read what was written."""
        super().resume_writing()
        if self.phase is Phase.RESPONSE:
            self.slots.end_wait(self)
        self.update_holding()

    def refuse_head(self) -> None:
        """Refuse a request head that is too long."""
        self._answer_and_close(HEAD_TOO_LONG_RESPONSE)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send the rest of a response; one that closes its connection lingers."""
        body = resp.body if isinstance(resp, web.Response) else None
        if isinstance(body, bytes):
            self.response_bytes = len(body)
        response, is_disconnected = await super().finish_response(
            request, resp, start_time
        )
        self.response_bytes = STREAM_BUFFER_BYTES
        self._update_head_start()
        if self.holding is not None:
            # Requests that were sent ahead wait anew, for the next response.
            self.load.memory.release(self.holding)
            self.holding = None
            self.update_holding()
        if not (is_disconnected or response.keep_alive):
            await self._linger()
        return response, is_disconnected

    async def _linger(self) -> None:
        """Close for writing, and discard what is received until the client closes.

        A socket that is closed with unread bytes is reset, and the kernel drops the
        part of the response that it has not sent yet.
        """
        transport = self.transport
        has_yielded = self.is_discarding
        if transport is None or transport.is_closing() or has_yielded:
            return
        self.is_lingering = True
        self._drop_read_ahead()
        self.slots.begin_wait(self)
        try:
            transport.write_eof()
        except OSError:
            # The client has reset the connection.
            return
        transport.resume_reading()
        # The client's close cancels the wait, with the handler.
        await asyncio.sleep(LINGER_S)

    def update_holding(self) -> None:
        """Account for what is held for the client now, unless it has left."""
        if self.client_transport is None:
            return
        now = self._loop.time()
        size = self._held_bytes()
        memory = self.load.memory
        if self.holding is None:
            if not size:
                return
            self.holding = memory.hold(self, self._holding_kind(), size, now)
        elif size:
            memory.resize(self.holding, self._holding_kind(), size, now)
        else:
            memory.release(self.holding)
            self.holding = None
        if memory.is_exceeded():
            self.load.relieve(now)

    def collect(self, body_bytes: int) -> None:
        """Account for the part of a request body that has been received."""
        self.collected_bytes = body_bytes
        self.update_holding()
        if not body_bytes:
            self.renewed_bytes = 0
        elif self.phase is Phase.BODY and (
            body_bytes - self.renewed_bytes >= PROGRESS_BYTES
        ):
            # An upload that goes on gives way after those that don't.
            self.renewed_bytes = body_bytes
            self.slots.begin_wait(self)

    def refresh_holding(self, now: float) -> None:
        """Account for the part of a response that was read meanwhile."""
        if self.holding is not None and self._held_bytes() != self.holding.size:
            self.update_holding()

    def set_awaiting(self, is_awaiting: bool) -> None:
        """Record whether the connection awaits its client, from now on if it does."""
        if not is_awaiting:
            self.slots.end_wait(self)
        elif self not in self.slots.awaiting:
            self.slots.begin_wait(self)

    def make_yield(self) -> None:
        """Free what is held for the client.

        An incomplete body is answered by its handler; a response that is not read is
        reset, so that it doesn't look complete. Requests that were sent ahead are
        dropped: the response to the one before them announces no further one.
        """
        if self.writing_paused:
            self.reset()
        elif self.is_lingering:
            self.force_close()
        elif self.phase is Phase.BODY:
            self._fail_body(BodyDiscardedError())
        elif self.phase is Phase.RESPONSE:
            self._drop_read_ahead()
        else:
            self.force_close()

    def reset(self) -> None:
        """Reset the connection, also if data wait to be sent."""
        transport = self.client_transport
        if transport is None:
            return
        client_socket = transport.get_extra_info("socket")
        try:
            client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        except OSError as error:
            log(
                EventNumber.INTERNAL_ERROR,
                step="reset a connection",
                error=repr(error),
            )
        transport.abort()

    def is_busy(self) -> bool:
        """Whether a request has been read and not answered yet.

        The library marks a request as in progress only when its handler starts, one
        iteration of the event loop after it was taken from the queue. Between requests,
        the connection waits for the next one.
        """
        waiter = self._waiter
        is_waiting = waiter is not None and not waiter.done()
        return bool(self._messages) or not is_waiting

    def close_if_idle(self) -> None:
        """Close the connection unless a response is pending.

        The library's `close` would leave the transport open without reading from it, so
        the client's next request would never be answered.
        """
        if not self.is_busy():
            self.force_close()

    def enforce_header_timeout(self, limit_s: float) -> None:
        """Respond with 408 if a request head has been incomplete beyond the limit."""
        started_s = self.head_started_s
        if started_s is None or self._loop.time() - started_s <= limit_s:
            return
        self.head_started_s = None
        if not self.is_busy():
            self._answer_and_close(REQUEST_TIMEOUT_RESPONSE)

    def _answer_and_close(self, response: bytes) -> None:
        if self.transport is not None:
            self.transport.write(response)
            self.force_close()

    def _update_head_start(self) -> None:
        if not (self.unparsed and self.phase is Phase.HEAD):
            self.head_started_s = None
        elif self.head_started_s is None:
            self.head_started_s = self._loop.time()

    def _drop_read_ahead(self) -> None:
        # What follows is read and ignored, so that a disconnect is noticed.
        self.is_discarding = True
        self.unparsed = bytearray()
        self.close()
        if self._buffer_paused:
            self._resume_reading_for_buffer()
        self.update_holding()

    def _held_bytes(self) -> int:
        size = len(self.unparsed) + self.collected_bytes
        if self._buffer_paused:
            size += RECEIVE_BUFFER_BYTES
        if self.writing_paused and self.client_transport is not None:
            size += self.response_bytes + self.client_transport.get_write_buffer_size()
        return size

    def _holding_kind(self) -> HoldingKind:
        if self.writing_paused:
            return HoldingKind.RESPONSE
        if self.phase is Phase.BODY:
            return HoldingKind.BODY
        if self.phase is Phase.RESPONSE:
            return HoldingKind.READ_AHEAD
        return HoldingKind.HEAD


class ClientServer(web.Server):
    """Server for one address; a disconnect of the client cancels its handler."""

    def __init__(
        self,
        handler: Callable[[Any], Any],
        load: ClientLoad,
        listener: Listener = Listener.FRONT,
    ) -> None:
        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            response: web.StreamResponse = await handler(request)
            if not request.content.is_eof():
                # The library closes a connection with an unread body in any case.
                response.force_close()
            return response

        self.options: dict[str, Any] = {
            "access_log": None,
            "keepalive_timeout": CLIENT_KEEPALIVE_S,
            "max_line_size": MAX_HEADER_LINE_BYTES,
            "max_field_size": MAX_HEADER_LINE_BYTES,
            "max_headers": MAX_HEADER_FIELDS,
            "lingering_time": 0.0,
            "auto_decompress": False,
        }
        super().__init__(handle, handler_cancellation=True, **self.options)
        self.load = load
        self.listener = listener

    # The library of the event loop accepts any protocol.
    def __call__(self) -> RequestHandler:
        """Create the protocol of a newly accepted connection."""
        if not self.load.open_connection(self.listener):
            return RefusedConnection()  # type: ignore[return-value]
        loop = asyncio.get_running_loop()
        return ClientConnection(
            self.load, self.listener, self, loop=loop, **self.options
        )

    async def drain(self) -> None:
        """Close each connection once it has no pending response; wait for the last.

        An idle connection may hold a request that has not been read yet. If it stayed
        open after the drain, that request would be forwarded and then cut off.
        """
        self.close_idle()
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        while self.connections:
            self.close_idle()
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def is_busy(self) -> bool:
        """Whether any connection has a pending response."""
        return any(connection.is_busy() for connection in self._client_connections())

    def close_idle(self) -> None:
        """Close all connections without a pending response.

        One that can't be closed does not hold up the others, or end a drain early.
        """
        for connection in self._client_connections():
            attempt("close idle connection", connection.close_if_idle)

    def enforce_header_timeout(self, limit_s: float) -> None:
        """Apply the header timeout to all connections."""
        for connection in self._client_connections():
            connection.enforce_header_timeout(limit_s)

    def _client_connections(self) -> list[ClientConnection]:
        return [c for c in self.connections if isinstance(c, ClientConnection)]


def close_after_response(
    request: web.BaseRequest, response: web.StreamResponse
) -> None:
    """Let a response close its connection unless a further request was read there.

    A response whose head is already sent closes the connection without announcing it.
    The library drops requests that were read behind a response that closes.
    """
    connection = request.protocol
    if not (isinstance(connection, ClientConnection) and connection.has_next_request()):
        response.force_close()


def has_response_begun(request: web.BaseRequest) -> bool:
    """Whether the head of the response was sent."""
    return request.writer.output_size > 0
