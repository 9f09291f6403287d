"""Client connection that refuses what is no response and bounds what is beside one.

aiohttp parses heads leniently, so that each is checked before it is parsed; see
`burdockhaven_core.response_validation`. aiohttp bounds the lines of a head, but neither
interim responses nor chunk extensions, leading zeros and trailers within a body.
"""

import asyncio
from collections.abc import Collection
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpVersion11
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader
from result import Err

from burdockhaven_core.response_validation import (
    FIRST_FINAL_STATUS,
    HeadLines,
    ResponseFault,
    Violation,
    find_head_violation,
)

# Maximum number of bytes in a row that complete no head and bring nothing of a body.
# The largest head that the library accepts, 128 lines of 8,190 bytes, is smaller.
MAX_BYTES_WITHOUT_CONTENT = 1_100_000


class InvalidResponseError(aiohttp.ClientError):
    """The received bytes are not a valid response; the request may have run."""

    def __init__(self, violation: Violation) -> None:
        super().__init__(str(violation))
        self.violation = violation


class BoundedConnection(ResponseHandler):
    """A client connection that closes itself if the server sends no valid response.

    It also records whether it was closed with an error: the library treats a reset as
    the regular end of a response without a length.
    """

    closed_with_error = False
    # Names of headers that a response may not carry with different values.
    single_value_headers: Collection[str] = ()
    # Whether a request was sent whose response has no complete head yet.
    is_awaiting_head = False
    # Checks the lines of that head, and of interim ones before it.
    head_lines: HeadLines
    # Bytes received since the last head or byte of a body.
    bytes_without_content = 0
    # Why the connection closed itself; None if it did not.
    refusal: InvalidResponseError | None = None

    def set_response_params(self, **params: object) -> None:
        """Begin to wait for the response to a request."""
        self.is_awaiting_head = True
        self.head_lines = HeadLines()
        self.bytes_without_content = 0
        super().set_response_params(**params)  # type: ignore[arg-type]

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Pass on a head, or close the connection if no request awaits it."""
        message, _ = data
        if not self.is_awaiting_head:
            if self.transport is not None:
                self.transport.close()
            return
        violation = find_head_violation(
            message.code,
            message.version >= HttpVersion11,
            message.headers,
            self.single_value_headers,
        )
        if violation is not None:
            self._refuse(violation)
            return
        if message.code >= FIRST_FINAL_STATUS:
            self.is_awaiting_head = False
            self.bytes_without_content = 0
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if they are no response."""
        body = self._payload
        body_bytes = 0 if body is None else body.total_bytes
        self.bytes_without_content += len(data)
        if self.is_awaiting_head and data:
            self._parse_heads(data)
        else:
            self._parse_body(data)
        if body is not None and body.total_bytes > body_bytes:
            self.bytes_without_content = 0
        if self.bytes_without_content > MAX_BYTES_WITHOUT_CONTENT:
            excerpt = f"{self.bytes_without_content} bytes"
            self._refuse(Violation(ResponseFault.NO_CONTENT, excerpt))

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record the error, if any."""
        self.closed_with_error = exc is not None
        super().connection_lost(exc)
        if self.refusal is not None:
            # The library has replaced it by an error for the end of the connection.
            self.set_exception(self.refusal)

    def _parse_heads(self, data: bytes) -> None:
        """Parse the valid lines of heads, and the body behind the final one."""
        while data and self.is_awaiting_head and self.exception() is None:
            result = self.head_lines.add(data)
            if isinstance(result, Err):
                self._refuse(result.err_value)
                return
            checked = result.ok_value
            if checked.lines:
                super().data_received(checked.lines)
            data = checked.rest
        if data and self.exception() is None:
            self._parse_body(data)

    def _parse_body(self, data: bytes) -> None:
        super().data_received(data)
        body, error = self._payload, self.exception()
        if error is None or self.refusal is not None or body is None or body.is_eof():
            return
        # The library reports an error in a body only to those who await a head.
        self._refuse(Violation.from_text(ResponseFault.BODY, str(error)))

    def _refuse(self, violation: Violation) -> None:
        """Close the connection; whoever waits for the response gets the reason."""
        error = self.refusal = InvalidResponseError(violation)
        body, transport = self._payload, self.transport
        self.set_exception(error)
        if body is not None and not body.is_eof():
            body.set_exception(error)
        if transport is not None:
            transport.abort()


def close_idle_connections(connector: aiohttp.BaseConnector) -> int:
    """Close the pooled connections that no request uses; returns their number."""
    # The library has no public way to close these alone. It discards closed ones when
    # it next looks for a connection.
    idle = [
        protocol
        for connections in connector._conns.values()
        for protocol, _ in connections
    ]
    for protocol in idle:
        protocol.close()
    return len(idle)


def create_connector(
    single_value_headers: Collection[str] = (), **options: Any
) -> aiohttp.TCPConnector:
    """Create a connector of such connections; requires a running event loop.

    Responses may not carry one of `single_value_headers` with different values.
    """
    loop = asyncio.get_running_loop()

    def create_connection() -> BoundedConnection:
        connection = BoundedConnection(loop)
        connection.single_value_headers = single_value_headers
        return connection

    connector = aiohttp.TCPConnector(**options)
    # The library has no public way to set its connection class.
    connector._factory = create_connection  # type: ignore[assignment]
    return connector
