"""Takes requests of clients: reads, routes and allows them, then forwards them."""

import asyncio
import zlib
from dataclasses import dataclass

from aiohttp import web

from burdockhaven_core.scheduling.routing import Account, Route, RouteKind, RoutingTable
from burdockhaven_entry.gateway.call import Call, Trace
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.plain_forwarding import PlainForwarding
from burdockhaven_entry.gateway.replies import (
    BAD_REQUEST,
    CLIENT_TOO_SLOW,
    HEAD_TOO_LARGE,
    METHOD_NOT_ALLOWED,
    NOT_FOUND,
    RETRY_SOON_S,
    TOO_LARGE,
    UNAUTHORIZED,
    UNAVAILABLE,
    not_run,
    reply,
)
from burdockhaven_entry.gateway.request_log import (
    CLIENT_LEFT,
    log_answered,
    log_refused,
)
from burdockhaven_entry.gateway.stream_forwarding import StreamForwarding
from burdockhaven_entry.platform import (
    ClientRequest,
    MalformedRequestError,
    read_client_request,
)

# Methods that are passed on; the others change the meaning of the connection itself, or
# are unknown.
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
# Bytes of a header line beside its name and value.
LINE_OVERHEAD = 4


class RefusedError(Exception):
    """The request is answered here; carries the answer and the request's identity."""

    def __init__(self, response: web.Response, attempt_id: str = "") -> None:
        super().__init__(response.status)
        self.response = response
        # Empty where the request's headers were not read.
        self.attempt_id = attempt_id


@dataclass(slots=True)
class Front:
    """The edge towards clients."""

    state: GatewayState
    plain: PlainForwarding
    streams: StreamForwarding

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request of a client."""
        try:
            call = await self._read(request)
        except RefusedError as refused:
            response: web.StreamResponse = refused.response
            self.state.metrics.turned_away[response.status] += 1
            log_refused(request, refused.attempt_id, response.status)
        else:
            response = await self._forward(call)
        if self.state.draining and not response.prepared:
            response.force_close()
        return response

    async def _forward(self, call: Call) -> web.StreamResponse:
        self.state.retry_budget.record_request(call.service, self.state.clock())
        status = CLIENT_LEFT
        try:
            if call.route.kind is RouteKind.STREAMING:
                response = await self.streams.forward(call)
            else:
                response = await self.plain.forward(call)
            status = response.status
            return response
        finally:
            now = self.state.clock()
            self.state.metrics.answered(call, status, now)
            log_answered(call, status, now)

    async def _read(self, request: web.BaseRequest) -> Call:
        arrived_s = self.state.clock()
        table = self.state.table
        if table is None:
            detail = "no configuration is known yet"
            raise RefusedError(not_run(UNAVAILABLE, detail, "", RETRY_SOON_S))
        _check_head(request, table)
        said = self._said(request)
        limit_s = _time_limit_s(self._route(table, request, said), said)
        body = await self._body_in_time(request, table, said, limit_s)
        # A newer version may have come while the body was read.
        table = self.state.table or table
        route = self._route(table, request, said)
        account = self._account(table, route, said)
        limit_s = _time_limit_s(route, said)
        digest = zlib.crc32(repr((route.name, said.parts)).encode() + body)
        return Call(
            request=request,
            said=said,
            body=body,
            route=route,
            account=account,
            service=route.pick_service(self.state.rng),
            arrived_s=arrived_s,
            deadline_s=arrived_s + limit_s,
            digest=digest,
            version=table.version,
            trace=Trace(),
        )

    def _said(self, request: web.BaseRequest) -> ClientRequest:
        try:
            return read_client_request(request.headers)
        except MalformedRequestError as error:
            raise RefusedError(reply(BAD_REQUEST, str(error))) from error

    async def _body_in_time(
        self,
        request: web.BaseRequest,
        table: RoutingTable,
        said: ClientRequest,
        limit_s: float,
    ) -> bytes:
        try:
            async with asyncio.timeout(limit_s):
                return await self._body(request, table)
        except TimeoutError:
            detail = "the body did not arrive in time"
            response = not_run(CLIENT_TOO_SLOW, detail, said.attempt_id, RETRY_SOON_S)
            response.force_close()
            raise RefusedError(response, said.attempt_id) from None

    async def _body(self, request: web.BaseRequest, table: RoutingTable) -> bytes:
        length = request.content_length
        limit = table.limits.max_body_bytes
        if length is not None and length > limit:
            raise RefusedError(_too_large(limit))
        if not request.can_read_body:
            return b""
        parts = []
        size = 0
        async for part in request.content.iter_any():
            size += len(part)
            if size > limit:
                raise RefusedError(_too_large(limit))
            parts.append(part)
        return b"".join(parts)

    def _route(
        self, table: RoutingTable, request: web.BaseRequest, said: ClientRequest
    ) -> Route:
        path = request.raw_path.partition("?")[0]
        route = table.find_route(request.host, path)
        if route is None:
            raise RefusedError(
                reply(NOT_FOUND, "no such route", said.attempt_id), said.attempt_id
            )
        return route

    def _account(
        self, table: RoutingTable, route: Route, said: ClientRequest
    ) -> Account | None:
        keys = table.account_of_key
        if keys is None:
            return None
        account = keys.get(said.api_key) if said.api_key is not None else None
        if account is None and not route.public:
            raise RefusedError(
                reply(UNAUTHORIZED, "unknown key", said.attempt_id), said.attempt_id
            )
        return account


def _check_head(request: web.BaseRequest, table: RoutingTable) -> None:
    if request.method not in METHODS:
        raise RefusedError(reply(METHOD_NOT_ALLOWED, "no such method"))
    limit = table.limits.max_header_bytes
    lines = request.raw_headers
    if sum(len(name) + len(value) + LINE_OVERHEAD for name, value in lines) > limit:
        detail = f"the headers are larger than {limit} bytes"
        raise RefusedError(reply(HEAD_TOO_LARGE, detail))


def _time_limit_s(route: Route, said: ClientRequest) -> float:
    if said.deadline_ms is None:
        return route.timeout_s
    return min(route.timeout_s, said.deadline_ms / 1e3)


def _too_large(limit: int) -> web.Response:
    response = reply(TOO_LARGE, f"the body is larger than {limit} bytes")
    response.force_close()
    return response
