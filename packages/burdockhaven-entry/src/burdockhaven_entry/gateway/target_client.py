"""Sends requests to targets and says what a failure allows to conclude."""

import asyncio
import enum
import functools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from burdockhaven_core.scheduling.target_registry import TargetEntry
from burdockhaven_entry.platform import TargetResponseHead, read_response_head

# Seconds for a new connection; links take milliseconds, so a longer wait means that the
# target is cut off or dead. A lost packet is sent again after 0.2 s.
CONNECT_TIMEOUT_S = 0.3
# Seconds for which an idle connection is kept.
KEEPALIVE_S = 4.0


class SendOutcome(enum.Enum):
    """What is known of a request whose send did not bring an answer."""

    # Nothing left this process.
    NOT_SENT = "not sent"
    # The target says that it did not run the request.
    REJECTED = "rejected"
    # The request may have run.
    UNKNOWN = "unknown"


class SendError(Exception):
    """A send that brought no answer; carries the step and the target."""

    def __init__(
        self, outcome: SendOutcome, step: str, target: str, detail: str
    ) -> None:
        super().__init__(f"{step} at {target}: {detail}")
        self.outcome = outcome
        self.step = step
        self.target = target
        self.detail = detail


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request as it goes to targets."""

    method: str
    # Path and query as the client sent them.
    raw_path: str
    headers: CIMultiDict[str]
    body: bytes
    attempt_id: str
    # Whether a connection that was used before may carry it.
    may_reuse_connection: bool


class _TrackedConnection(ResponseHandler):
    """Remembers how the connection ended.

    The library takes the reset of an answer without a length for its end.
    """

    closed_with_error = False

    def connection_lost(self, exc: BaseException | None) -> None:
        self.closed_with_error = exc is not None
        super().connection_lost(exc)


@dataclass(slots=True)
class TargetResponse:
    """An answer whose head has arrived."""

    target: str
    head: TargetResponseHead
    headers: CIMultiDictProxy[str]
    response: aiohttp.ClientResponse
    connection: _TrackedConnection | None
    # Whether only the end of the connection ends the body.
    is_close_delimited: bool

    async def read_body(self) -> bytes:
        """The whole body; raises `SendError` if it is not whole."""
        try:
            body = await self.response.read()
        except (aiohttp.ClientError, asyncio.IncompleteReadError) as error:
            raise self._read_error(repr(error)) from error
        self.check_complete()
        return body

    async def chunks(self) -> AsyncIterator[bytes]:
        """The body as it arrives; raises `SendError` if it breaks off."""
        try:
            async for data in self.response.content.iter_any():
                yield data
        except aiohttp.ClientError as error:
            raise self._read_error(repr(error)) from error
        self.check_complete()

    def check_complete(self) -> None:
        """Raise `SendError` if the end of the connection cut the body."""
        if not self.is_close_delimited:
            return
        if self.connection is None or self.connection.closed_with_error:
            raise self._read_error("the connection was reset before the end")

    def _read_error(self, detail: str) -> SendError:
        return SendError(SendOutcome.UNKNOWN, "read answer", self.target, detail)


class TargetClient:
    """The connections to all targets."""

    def __init__(
        self, pooled: aiohttp.ClientSession, unpooled: aiohttp.ClientSession
    ) -> None:
        self.pooled = pooled
        self.unpooled = unpooled

    @classmethod
    def create(cls) -> "TargetClient":
        """A client without connections; needs a running event loop."""
        return cls(
            _create_session(force_close=False), _create_session(force_close=True)
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.pooled.close()
        await self.unpooled.close()

    @asynccontextmanager
    async def send(
        self, target: TargetEntry, request: OutgoingRequest
    ) -> AsyncIterator[TargetResponse]:
        """Send the request once; raises `SendError` if no answer of its own comes."""
        session = self.pooled if request.may_reuse_connection else self.unpooled
        response = await self._send_request(session, target, request)
        try:
            yield self._check_head(target, request, response)
        finally:
            # Closes the connection unless the body was read to its end.
            if response.content.is_eof():
                response.release()
            else:
                response.close()

    async def _send_request(
        self,
        session: aiohttp.ClientSession,
        target: TargetEntry,
        request: OutgoingRequest,
    ) -> aiohttp.ClientResponse:
        url = URL(f"http://{target.address}{request.raw_path}", encoded=True)
        try:
            return await session.request(
                request.method,
                url,
                headers=request.headers,
                data=request.body if request.body else None,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise SendError(
                SendOutcome.NOT_SENT, "connect", target.id, repr(error)
            ) from error
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise SendError(
                SendOutcome.UNKNOWN, "send", target.id, repr(error)
            ) from error

    def _check_head(
        self,
        target: TargetEntry,
        request: OutgoingRequest,
        response: aiohttp.ClientResponse,
    ) -> TargetResponse:
        head = read_response_head(response.status, response.headers)
        if head.attempt_id and head.attempt_id != request.attempt_id:
            detail = f"the answer is for request {head.attempt_id}"
            raise SendError(SendOutcome.UNKNOWN, "read head", target.id, detail)
        connection = response.connection
        protocol = connection.protocol if connection is not None else None
        has_explicit_length = (
            "Content-Length" in response.headers
            or "chunked" in response.headers.get("Transfer-Encoding", "").lower()
            or response.status in (204, 304)
        )
        return TargetResponse(
            target=target.id,
            head=head,
            headers=response.headers,
            response=response,
            connection=(protocol if isinstance(protocol, _TrackedConnection) else None),
            is_close_delimited=not has_explicit_length,
        )


def _create_session(*, force_close: bool) -> aiohttp.ClientSession:
    loop = asyncio.get_running_loop()
    if force_close:
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
    else:
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S)
    # The library has no public place for the class of its connections.
    connector._factory = functools.partial(  # type: ignore[assignment]
        _TrackedConnection, loop=loop
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        raise_for_status=False,
    )
    # The library would send a request again by itself when a kept connection ends.
    session._retry_connection = False
    return session
