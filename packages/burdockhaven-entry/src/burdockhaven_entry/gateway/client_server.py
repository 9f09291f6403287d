"""Client connections: header timeout, and closing idle connections during a drain.

Both extend the connection class of the HTTP library, whose `close` leaves the transport
of an idle connection open.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from burdockhaven_entry.gateway.gated_connection import GatedConnection, Phase
from burdockhaven_entry.gateway.stop_steps import attempt

# Keep-alive timeout of client connections in seconds; longer than that of any client.
CLIENT_KEEPALIVE_S = 120.0
# Maximum size of one header line in bytes; the limit in the configuration is lower.
MAX_HEADER_LINE_BYTES = 32_768
# Maximum number of header fields: as many as the shortest lines that fit the limit on
# heads in the configuration, which bounds their bytes.
MAX_HEADER_FIELDS = MAX_HEADER_LINE_BYTES // len(b"a:\r\n")
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


class ClientConnection(GatedConnection):
    """A client connection that records when an incomplete request head started."""

    # Event loop time in seconds; None while no head is incomplete.
    head_started_s: float | None = None

    def data_received(self, data: bytes) -> None:
        """Process received bytes."""
        super().data_received(data)
        self._update_head_start()

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
        response, is_disconnected = await super().finish_response(
            request, resp, start_time
        )
        self._update_head_start()
        if not (is_disconnected or response.keep_alive):
            await self._linger()
        return response, is_disconnected

    async def _linger(self) -> None:
        """Close for writing, and discard what is received until the client closes.

        A socket that is closed with unread bytes is reset, and the kernel drops the
        part of the response that it has not sent yet.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self.close()
        transport.write_eof()
        transport.resume_reading()
        # The client's close cancels the wait, with the handler.
        await asyncio.sleep(LINGER_S)

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


class ClientServer(web.Server):
    """Server for one address; a disconnect of the client cancels its handler."""

    def __init__(self, handler: Callable[[Any], Any]) -> None:
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

    def __call__(self) -> RequestHandler:
        """Create the protocol of a newly accepted connection."""
        loop = asyncio.get_running_loop()
        return ClientConnection(self, loop=loop, **self.options)

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
