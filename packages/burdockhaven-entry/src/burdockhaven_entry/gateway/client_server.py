"""The connections of clients: how long a head may take, and how they end at a stop."""

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

# Seconds for which idle connections of clients are kept; longer than any client's.
CLIENT_KEEPALIVE_S = 120.0
# Bytes of one header line that are read at all; the configuration's limit is lower.
MAX_HEADER_LINE_BYTES = 32_768
REQUEST_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


class ClientConnection(RequestHandler):
    """Remembers since when the head of a request has been incomplete."""

    # Monotonic seconds of the event loop; None while no head is incomplete.
    head_started_s: float | None = None

    def data_received(self, data: bytes) -> None:
        """Take in bytes of the client."""
        super().data_received(data)
        if self.is_busy():
            self.head_started_s = None
        elif data and self.head_started_s is None:
            self.head_started_s = self._loop.time()

    def is_busy(self) -> bool:
        """Whether a request was read and is not answered yet."""
        return bool(self._request_in_progress or self._messages)

    def close_if_idle(self) -> None:
        """End the connection unless it owes an answer.

        The library's `close` would leave the transport open and read no more from it:
        a client's next request would get no answer.
        """
        if not self.is_busy():
            self.force_close()

    def enforce_header_timeout(self, limit_s: float) -> None:
        """Answer 408 if the head of a request has taken longer than the limit."""
        started_s = self.head_started_s
        if started_s is None or self._loop.time() - started_s <= limit_s:
            return
        self.head_started_s = None
        if self.transport is not None and not self.is_busy():
            self.transport.write(REQUEST_TIMEOUT_RESPONSE)
            self.force_close()


class ClientServer(web.Server):
    """The connections of one address; a client that leaves cancels its handler."""

    def __init__(self, handler: Callable[[Any], Any]) -> None:
        self.options: dict[str, Any] = {
            "access_log": None,
            "keepalive_timeout": CLIENT_KEEPALIVE_S,
            "max_line_size": MAX_HEADER_LINE_BYTES,
            "max_field_size": MAX_HEADER_LINE_BYTES,
            "lingering_time": 0.0,
            "auto_decompress": False,
        }
        super().__init__(handler, handler_cancellation=True, **self.options)

    def __call__(self) -> RequestHandler:
        """A connection that was just accepted."""
        loop = asyncio.get_running_loop()
        return ClientConnection(self, loop=loop, **self.options)

    def is_busy(self) -> bool:
        """Whether any connection owes an answer."""
        return any(connection.is_busy() for connection in self._client_connections())

    def close_idle(self) -> None:
        """End all connections that owe no answer."""
        for connection in self._client_connections():
            connection.close_if_idle()

    def enforce_header_timeout(self, limit_s: float) -> None:
        """End the connections on which a head has taken longer than the limit."""
        for connection in self._client_connections():
            connection.enforce_header_timeout(limit_s)

    def _client_connections(self) -> list[ClientConnection]:
        return [c for c in self.connections if isinstance(c, ClientConnection)]
