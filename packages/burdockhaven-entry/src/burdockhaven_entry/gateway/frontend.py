"""HTTP frontend for clients: reads, routes and authenticates requests.

Every request that passes is handed to the forwarder for its kind of route; every other
request is answered here, before any target sees it.
"""

import asyncio
import zlib
from dataclasses import dataclass, field

from aiohttp import web

from burdockhaven_core.client_limits import request_cost
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.request_quarantine import content_key
from burdockhaven_core.scheduling.drain_schedule import DrainSchedule
from burdockhaven_core.scheduling.routing import Account, Route, RouteKind, RoutingTable
from burdockhaven_entry.gateway.client_server import (
    close_after_response,
    has_response_begun,
)
from burdockhaven_entry.gateway.gated_connection import (
    BodyDiscardedError,
    MalformedBodyError,
)
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.plain_forwarding import PlainForwarder
from burdockhaven_entry.gateway.request_body import BodyTooLongError, read_body
from burdockhaven_entry.gateway.request_log import (
    CLIENT_DISCONNECTED,
    log_answered,
    log_refused,
)
from burdockhaven_entry.gateway.responses import (
    BAD_REQUEST,
    BODY_TOO_LARGE,
    DEFAULT_RETRY_AFTER_S,
    HEADERS_TOO_LARGE,
    METHOD_NOT_ALLOWED,
    NOT_FOUND,
    REQUEST_TIMEOUT,
    STOPPING_RETRY_AFTER_S,
    UNAUTHORIZED,
    UNAVAILABLE,
    error_response,
    not_run_response,
)
from burdockhaven_entry.gateway.routed_request import RequestTrace, RoutedRequest
from burdockhaven_entry.gateway.stream_forwarding import StreamForwarder
from burdockhaven_entry.log_events import log
from burdockhaven_entry.platform import (
    ClientRequest,
    MalformedRequestError,
    read_client_request,
)

# Methods that are forwarded. Others are unknown or change the meaning of the connection
# itself.
FORWARDED_METHODS = frozenset(
    {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)
# Bytes of a header line in addition to its name and value.
HEADER_LINE_OVERHEAD_BYTES = 4


class RequestRefusedError(Exception):
    """The request is refused; carries the response and the request's id."""

    def __init__(self, response: web.Response, attempt_id: str = "") -> None:
        super().__init__(response.status)
        self.response = response
        # Empty if the request headers were not parsed.
        self.attempt_id = attempt_id


@dataclass(slots=True)
class Frontend:
    """Handles the requests of clients."""

    state: GatewayState
    plain: PlainForwarder
    streams: StreamForwarder
    # None until the process is asked to stop.
    drain: DrainSchedule | None = None
    # Requests that a forwarder handles.
    pending: set[RoutedRequest] = field(default_factory=set)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request of a client."""
        try:
            routed = await self._read_request(request)
        except RequestRefusedError as refused:
            response: web.StreamResponse = refused.response
            self.state.metrics.turned_away[response.status] += 1
            log_refused(
                request,
                refused.attempt_id,
                response.status,
                self.state.version,
                self.state.configuration_age_s(),
            )
        else:
            response = await self._forward(routed)
        if self.state.draining:
            close_after_response(request, response)
        return response

    def answer_pending(self) -> None:
        """Answer all requests whose responses have not begun, as at their deadlines."""
        now = asyncio.get_running_loop().time()
        for routed in self.pending:
            limit = routed.time_limit
            if not has_response_begun(routed.request) and not limit.expired():
                limit.reschedule(now)

    async def _forward(self, routed: RoutedRequest) -> web.StreamResponse:
        self.state.retry_budget.record_request(routed.service, self.state.clock())
        status = CLIENT_DISCONNECTED
        self.pending.add(routed)
        try:
            if routed.route.kind is RouteKind.STREAMING:
                response = await self.streams.forward(routed)
            else:
                response = await self.plain.forward(routed)
            status = response.status
            return response
        except ConnectionError:
            # The client has left.
            raise
        except Exception as error:
            step = f"request {routed.client_request.attempt_id}"
            log(EventNumber.INTERNAL_ERROR, step=step, error=repr(error))
            raise
        finally:
            self.pending.discard(routed)
            self.state.client_load.release_request(routed.service, routed.cost)
            now = self.state.clock()
            self.state.metrics.record_request(routed, status, now)
            log_answered(routed, status, now)

    async def _read_request(self, request: web.BaseRequest) -> RoutedRequest:
        arrived_s = self.state.clock()
        table = self.state.table
        if table is None:
            detail = "no configuration received yet"
            raise RequestRefusedError(
                not_run_response(UNAVAILABLE, detail, "", DEFAULT_RETRY_AFTER_S)
            )
        head_bytes = _check_head(request, table)
        client_request = self._parse_headers(request)
        limit_s = _time_limit_s(
            self._find_route(table, request, client_request), client_request
        )
        body = await self._read_body_before_deadline(
            request, table, client_request, limit_s
        )
        # A newer version may have arrived while the body was read.
        table = self.state.table or table
        route = self._find_route(table, request, client_request)
        account = self._authenticate(table, route, client_request)
        limit_s = _time_limit_s(route, client_request)
        self._refuse_late_in_drain(client_request, arrived_s + limit_s)
        prefix = repr((route.name, client_request.parts)).encode()
        digest = zlib.crc32(body, zlib.crc32(prefix))
        cost = request_cost(head_bytes, len(request.raw_headers), len(body))
        service = route.pick_service(self.state.rng)
        if not self.state.client_load.admit_request(service, cost):
            raise self._no_room(client_request.attempt_id)
        return RoutedRequest(
            request=request,
            client_request=client_request,
            body=body,
            route=route,
            account=account,
            service=service,
            priority=table.priority_of(route, account),
            arrived_s=arrived_s,
            deadline_s=arrived_s + limit_s,
            time_limit=asyncio.timeout(arrived_s + limit_s - self.state.clock()),
            digest=digest,
            content=content_key(
                request.method,
                request.host,
                request.raw_path,
                "" if account is None else account.name,
                body,
            ),
            version=table.version,
            cost=cost,
            trace=RequestTrace(),
        )

    def _no_room(self, attempt_id: str) -> RequestRefusedError:
        """Return the refusal of a request that the process has no room for now."""
        response = not_run_response(
            UNAVAILABLE,
            "no room for the request now",
            attempt_id,
            DEFAULT_RETRY_AFTER_S,
        )
        return RequestRefusedError(response, attempt_id)

    def _refuse_late_in_drain(
        self, client_request: ClientRequest, deadline_s: float
    ) -> None:
        drain = self.drain
        if drain is None or drain.accepts(deadline_s, self.state.clock()):
            return
        attempt_id = client_request.attempt_id
        response = not_run_response(
            UNAVAILABLE, "the process is stopping", attempt_id, STOPPING_RETRY_AFTER_S
        )
        raise RequestRefusedError(response, attempt_id)

    def _parse_headers(self, request: web.BaseRequest) -> ClientRequest:
        try:
            return read_client_request(request.headers)
        except MalformedRequestError as error:
            raise RequestRefusedError(
                error_response(BAD_REQUEST, str(error))
            ) from error

    async def _read_body_before_deadline(
        self,
        request: web.BaseRequest,
        table: RoutingTable,
        client_request: ClientRequest,
        limit_s: float,
    ) -> bytes:
        try:
            async with asyncio.timeout(limit_s):
                return await self._read_body(request, table)
        except BodyDiscardedError:
            raise self._no_room(client_request.attempt_id) from None
        except MalformedBodyError:
            response = error_response(BAD_REQUEST, "malformed request body")
            response.force_close()
            raise RequestRefusedError(response, client_request.attempt_id) from None
        except TimeoutError:
            detail = "request body not received within the timeout"
            response = not_run_response(
                REQUEST_TIMEOUT,
                detail,
                client_request.attempt_id,
                DEFAULT_RETRY_AFTER_S,
            )
            response.force_close()
            raise RequestRefusedError(response, client_request.attempt_id) from None

    async def _read_body(self, request: web.BaseRequest, table: RoutingTable) -> bytes:
        length = request.content_length
        limit = table.limits.max_body_bytes
        if length is not None and length > limit:
            raise RequestRefusedError(_body_too_large(limit))
        if not request.can_read_body:
            return b""
        try:
            return await read_body(request, limit)
        except BodyTooLongError:
            raise RequestRefusedError(_body_too_large(limit)) from None

    def _find_route(
        self,
        table: RoutingTable,
        request: web.BaseRequest,
        client_request: ClientRequest,
    ) -> Route:
        path = request.raw_path.partition("?")[0]
        route = table.find_route(request.host, path)
        if route is None:
            raise self._refusal_by_table(
                NOT_FOUND, "no route for this host and path", client_request.attempt_id
            )
        return route

    def _authenticate(
        self, table: RoutingTable, route: Route, client_request: ClientRequest
    ) -> Account | None:
        keys = table.account_of_key
        if keys is None:
            return None
        account = (
            keys.get(client_request.api_key)
            if client_request.api_key is not None
            else None
        )
        if account is None and not route.public:
            raise self._refusal_by_table(
                UNAUTHORIZED, "unknown API key", client_request.attempt_id
            )
        return account

    def _refusal_by_table(
        self, status: int, detail: str, attempt_id: str
    ) -> RequestRefusedError:
        """Return the refusal of what the configuration in force does not allow.

        It is final only by the newest version: clients don't try again after it.
        """
        if self.state.may_be_superseded():
            response = not_run_response(
                UNAVAILABLE,
                f"{detail} in a configuration that may be superseded",
                attempt_id,
                DEFAULT_RETRY_AFTER_S,
            )
        else:
            response = error_response(status, detail, attempt_id)
        return RequestRefusedError(response, attempt_id)


def _check_head(request: web.BaseRequest, table: RoutingTable) -> int:
    """Return the bytes of the header fields; refuse them if there are too many."""
    if request.method not in FORWARDED_METHODS:
        raise RequestRefusedError(
            error_response(METHOD_NOT_ALLOWED, "method not allowed")
        )
    limit = table.limits.max_header_bytes
    head_bytes = sum(
        len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES
        for name, value in request.raw_headers
    )
    if head_bytes > limit:
        detail = f"request headers larger than {limit} bytes"
        raise RequestRefusedError(error_response(HEADERS_TOO_LARGE, detail))
    return head_bytes


def _time_limit_s(route: Route, client_request: ClientRequest) -> float:
    if client_request.deadline_ms is None:
        return route.timeout_s
    return min(route.timeout_s, client_request.deadline_ms / 1e3)


def _body_too_large(limit: int) -> web.Response:
    response = error_response(BODY_TOO_LARGE, f"request body larger than {limit} bytes")
    response.force_close()
    return response
