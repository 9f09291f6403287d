"""HTTP client for targets; classifies failures by whether the request may have run.

Forwarders retry by this classification (`SendOutcome`). Automatic retries of the HTTP
library are disabled, and requests that must not run twice use no pooled connection.
"""

import asyncio
import enum
import math
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from types import SimpleNamespace

import aiohttp
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.response_validation import ResponseFault, Violation
from burdockhaven_core.scheduling.target_registry import TargetEntry
from burdockhaven_entry.http_client import (
    BoundedConnection,
    InvalidResponseError,
    close_idle_connections,
    create_connector,
)
from burdockhaven_entry.log_events import log
from burdockhaven_entry.platform import (
    SINGLE_VALUE_HEADERS,
    TargetResponseHead,
    read_body_up_to,
    read_response_head,
)

# Timeout in seconds for a new connection. Connecting takes milliseconds, so a longer
# wait means that the target is unreachable or dead, or that a packet was lost, which
# the operating system sends again after 1 s only.
CONNECT_TIMEOUT_S = 0.3
# Seconds by which a connect timeout fires too late if this process stood still. The
# target may have accepted in the meantime, so the timeout says nothing about it.
OWN_STALL_S = 0.05
# Seconds for which an idle connection stays in the pool.
KEEPALIVE_S = 4.0
# Fractions of the connections that may be open from which on, by the sends under way,
# no request is sent to two targets at once, and no connection is kept idle.
HEDGE_FRACTION = 0.75
IDLE_FRACTION = 0.25
# Bytes of the largest body that is read whole, eight times the largest body of a
# request that the platform allows by default.
MAX_BODY_BYTES = 32 * 2**20
# Bytes of a response that are read ahead of a client that doesn't read them; the
# library pauses at twice as many.
READ_AHEAD_BYTES = 65_536
# Bytes and seconds up to which a body of no interest is read, so that its connection
# can be used again. Such bodies are short and arrive with their head.
MAX_DISCARDED_BYTES = 65_536
DISCARD_TIMEOUT_S = 0.1


class SendOutcome(enum.Enum):
    """Whether a request without a valid response may have run."""

    # The request was not sent.
    NOT_SENT = "not sent"
    # The target declared that it did not run the request.
    REJECTED = "rejected"
    # The request may have run.
    UNKNOWN = "unknown"


# Step in which a request is sent and the head of its response awaited.
SEND_STEP = "send"
# Step in which a head is matched with its request.
CHECK_STEP = "read head"
# Step in which the body of a response is read.
READ_STEP = "read answer"


class SendError(Exception):
    """A send got no valid, complete response; carries the failed step and target."""

    def __init__(
        self,
        outcome: SendOutcome,
        step: str,
        target: str,
        detail: str,
        is_refused: bool = False,
    ) -> None:
        super().__init__(f"{step} at {target}: {detail}")
        self.outcome = outcome
        self.step = step
        self.target = target
        self.detail = detail
        # Whether the target sent bytes that are not a valid response.
        self.is_refused = is_refused

    @property
    def is_disconnect(self) -> bool:
        """Whether the target ended the connection after the request was sent."""
        return self.step in (SEND_STEP, READ_STEP) and not self.is_refused


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request in the form in which it is sent to a target."""

    method: str
    # Path and query exactly as the client sent them.
    raw_path: str
    headers: CIMultiDict[str]
    body: bytes
    attempt_id: str
    # Whether a pooled connection may be used.
    may_reuse_connection: bool


@dataclass(slots=True)
class TargetResponse:
    """A response whose head has arrived."""

    target: str
    head: TargetResponseHead
    headers: CIMultiDictProxy[str]
    response: aiohttp.ClientResponse
    connection: BoundedConnection | None
    # Whether the body is delimited only by the close of the connection.
    is_close_delimited: bool
    # Called once, when the response is closed.
    on_close: Callable[[], None]
    # Converts the error of a body that can't be read.
    on_read_error: Callable[[aiohttp.ClientError], SendError]
    is_closed: bool = False

    def close(self) -> None:
        """Close the connection unless the body was read completely."""
        if self.is_closed:
            return
        self.is_closed = True
        self.on_close()
        if self.response.content.is_eof():
            self.response.release()
        else:
            self.response.close()

    async def read_body(self) -> bytes:
        """Return the body; raises `SendError` if it is truncated or too long."""
        try:
            body = await read_body_up_to(self.response, MAX_BODY_BYTES)
        except aiohttp.ClientError as error:
            raise self.on_read_error(error) from error
        if body is None:
            raise self.read_error(f"the body exceeds {MAX_BODY_BYTES} bytes")
        self.check_complete()
        return body

    async def discard_body(self) -> None:
        """Read a body of no interest, unless its connection is better closed."""
        with suppress(aiohttp.ClientError, TimeoutError):
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                await read_body_up_to(self.response, MAX_DISCARDED_BYTES)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raises `SendError` if it is truncated."""
        try:
            async for data in self.response.content.iter_any():
                yield data
        except aiohttp.ClientError as error:
            raise self.on_read_error(error) from error
        self.check_complete()

    def check_complete(self) -> None:
        """Raise `SendError` if the connection was reset within the body."""
        if not self.is_close_delimited:
            return
        if self.connection is None or self.connection.closed_with_error:
            raise self.read_error("connection reset before the end of the body")

    def read_error(self, detail: str) -> SendError:
        """Return the error of a body that can't be used; the request may have run."""
        return SendError(SendOutcome.UNKNOWN, READ_STEP, self.target, detail)


class TargetClient:
    """HTTP client with two sessions: one with a connection pool, one without."""

    def __init__(
        self,
        pooled: aiohttp.ClientSession,
        unpooled: aiohttp.ClientSession,
        max_connections: float,
        refused: Counter[ResponseFault],
    ) -> None:
        self.pooled = pooled
        self.unpooled = unpooled
        # Use the same connections, and report them to requests that wait for one.
        self.reporting = {
            session: _create_session(session.connector, _create_trace_config())
            for session in (pooled, unpooled)
        }
        # Connections that may be open, including idle ones.
        self.max_connections = max_connections
        # Responses that were not valid, by fault.
        self.refused = refused
        # Sends under way, each on a connection of its own.
        self.sending = 0

    @classmethod
    def create(
        cls,
        max_connections: float = math.inf,
        refused: Counter[ResponseFault] | None = None,
    ) -> "TargetClient":
        """Create a client without connections; requires a running event loop.

        Invalid responses are counted in `refused`, if given.
        """
        return cls(
            _create_session(
                create_connector(
                    SINGLE_VALUE_HEADERS, limit=0, keepalive_timeout=KEEPALIVE_S
                )
            ),
            _create_session(
                create_connector(SINGLE_VALUE_HEADERS, limit=0, force_close=True)
            ),
            max_connections,
            Counter() if refused is None else refused,
        )

    def has_room_for_hedge(self) -> bool:
        """Whether a request may be sent to a further target beside the one it is at."""
        return self.sending < HEDGE_FRACTION * self.max_connections

    def close_idle(self) -> int:
        """Close the idle connections, which may be silent; returns their number."""
        connector = self.pooled.connector
        return 0 if connector is None else close_idle_connections(connector)

    async def close(self) -> None:
        """Close all connections."""
        for session in self.reporting.values():
            await session.close()
        await self.pooled.close()
        await self.unpooled.close()

    @asynccontextmanager
    async def send(
        self, target: TargetEntry, request: OutgoingRequest
    ) -> AsyncIterator[TargetResponse]:
        """Send the request once; raises `SendError` if it gets no valid response."""
        response = await self.open(target, request)
        try:
            yield response
        finally:
            response.close()

    async def open(
        self,
        target: TargetEntry,
        request: OutgoingRequest,
        connected: asyncio.Future[None] | None = None,
    ) -> TargetResponse:
        """Send the request once and return its response, which the caller closes.

        `connected` is resolved once the request has a connection. Raises `SendError` if
        it gets no valid response.
        """
        session = self.pooled if request.may_reuse_connection else self.unpooled
        if connected is not None:
            session = self.reporting[session]
        if self.sending >= IDLE_FRACTION * self.max_connections:
            self.close_idle()
        self.sending += 1
        try:
            response = await self._send_request(session, target, request, connected)
        except BaseException:
            self._end_send()
            raise
        try:
            return self._check_head(target, request, response)
        except BaseException:
            response.close()
            self._end_send()
            raise

    def _end_send(self) -> None:
        self.sending -= 1

    async def _send_request(
        self,
        session: aiohttp.ClientSession,
        target: TargetEntry,
        request: OutgoingRequest,
        connected: asyncio.Future[None] | None,
    ) -> aiohttp.ClientResponse:
        try:
            return await _connect_and_send(session, target, request, connected)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise SendError(
                SendOutcome.NOT_SENT, "connect", target.id, repr(error)
            ) from error
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise self._response_error(SEND_STEP, target, request, error) from error

    def _check_head(
        self,
        target: TargetEntry,
        request: OutgoingRequest,
        response: aiohttp.ClientResponse,
    ) -> TargetResponse:
        error = response.content.exception()
        if isinstance(error, InvalidResponseError):
            # Refused with its body, so that nothing in its head counts.
            raise self._response_error(READ_STEP, target, request, error)
        head = read_response_head(response.status, response.headers)
        if head.attempt_id and head.attempt_id != request.attempt_id:
            violation = Violation.from_text(
                ResponseFault.OTHER_REQUEST, head.attempt_id
            )
            raise self._refuse(CHECK_STEP, target, request, violation)
        connection = response.connection
        protocol = connection.protocol if connection is not None else None
        has_explicit_length = (
            "Content-Length" in response.headers
            or "chunked" in response.headers.get("Transfer-Encoding", "").lower()
            or response.status in (204, 304)
            or request.method == "HEAD"
        )
        return TargetResponse(
            target=target.id,
            head=head,
            headers=response.headers,
            response=response,
            connection=(protocol if isinstance(protocol, BoundedConnection) else None),
            is_close_delimited=not has_explicit_length,
            on_close=self._end_send,
            on_read_error=lambda error: self._response_error(
                READ_STEP, target, request, error
            ),
        )

    def _response_error(
        self,
        step: str,
        target: TargetEntry,
        request: OutgoingRequest,
        error: Exception,
    ) -> SendError:
        """Return the error of a request that was sent, for one of the library."""
        if isinstance(error, InvalidResponseError):
            return self._refuse(step, target, request, error.violation)
        if isinstance(error, aiohttp.ClientResponseError):
            violation = Violation.from_text(ResponseFault.HEAD, error.message)
            return self._refuse(step, target, request, violation)
        return SendError(SendOutcome.UNKNOWN, step, target.id, repr(error))

    def _refuse(
        self,
        step: str,
        target: TargetEntry,
        request: OutgoingRequest,
        violation: Violation,
    ) -> SendError:
        """Log and count an invalid response; its request may have run."""
        self.refused[violation.fault] += 1
        log(
            EventNumber.RESPONSE_REFUSED,
            target=target.id,
            request=request.attempt_id,
            cause=violation.fault.value,
            excerpt=violation.excerpt,
        )
        return SendError(
            SendOutcome.UNKNOWN, step, target.id, str(violation), is_refused=True
        )


async def _connect_and_send(
    session: aiohttp.ClientSession,
    target: TargetEntry,
    request: OutgoingRequest,
    connected: asyncio.Future[None] | None,
) -> aiohttp.ClientResponse:
    """Send the request; connects once more after a timeout that fired late."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    try:
        return await _request(session, target, request, connected)
    except aiohttp.ConnectionTimeoutError:
        late_s = loop.time() - started_s - CONNECT_TIMEOUT_S
        if late_s < OWN_STALL_S:
            raise
    log(
        EventNumber.CONNECTION_TRIED_AGAIN,
        target=target.id,
        late_ms=round(late_s * 1e3),
    )
    return await _request(session, target, request, connected)


async def _request(
    session: aiohttp.ClientSession,
    target: TargetEntry,
    request: OutgoingRequest,
    connected: asyncio.Future[None] | None,
) -> aiohttp.ClientResponse:
    return await session.request(
        request.method,
        URL(f"http://{target.address}{request.raw_path}", encoded=True),
        headers=request.headers,
        data=request.body if request.body else None,
        allow_redirects=False,
        trace_request_ctx=connected,
    )


def _create_trace_config() -> aiohttp.TraceConfig:
    """Resolve the future of a request once it has a connection."""

    async def report(
        session: aiohttp.ClientSession, context: SimpleNamespace, params: object
    ) -> None:
        connected: asyncio.Future[None] = context.trace_request_ctx
        if not connected.done():
            connected.set_result(None)

    config = aiohttp.TraceConfig()
    config.on_connection_create_end.append(report)
    config.on_connection_reuseconn.append(report)
    return config


def _create_session(
    connector: aiohttp.BaseConnector | None, *trace_configs: aiohttp.TraceConfig
) -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=connector,
        connector_owner=not trace_configs,
        trace_configs=list(trace_configs),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        raise_for_status=False,
        read_bufsize=READ_AHEAD_BYTES,
    )
    # By default, the library retries a request if a pooled connection was closed.
    session._retry_connection = False
    return session
