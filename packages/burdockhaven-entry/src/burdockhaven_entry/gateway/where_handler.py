"""Answers where a request would go now; only the broker in use can tell."""

from collections.abc import Mapping

import msgspec
from aiohttp import web
from result import Err, Ok, Result

from burdockhaven_core.explanation import explain_placement
from burdockhaven_core.scheduling.peer_messages import PlacementRequest
from burdockhaven_core.scheduling.routing import Account, RouteKind, RoutingTable
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.responses import (
    BAD_REQUEST,
    TEMPORARY_REDIRECT,
    UNAVAILABLE,
    error_response,
)
from burdockhaven_entry.platform import parse_prompt_parts, parse_whole_number

# Objective in milliseconds for the pause between events if the route states none.
DEFAULT_PAUSE_OBJECTIVE_MS = 1_000


def handle_where(state: GatewayState, request: web.BaseRequest) -> web.Response:
    """Explain the placement that the query describes, or name who can."""
    if state.table is None:
        return error_response(UNAVAILABLE, "no configuration received yet")
    now = state.clock()
    node = state.member_list.broker(now, state.heartbeat_head())
    if node != state.member_id.node:
        view = state.member_list.views.get(node)
        if view is None:
            return error_response(UNAVAILABLE, "no broker is known")
        address = view.heartbeat.control_address
        location = f"http://{address}{request.path_qs}"
        return web.Response(status=TEMPORARY_REDIRECT, headers={"Location": location})
    built = _placement_request(state, state.table, request.query)
    if isinstance(built, Err):
        return error_response(BAD_REQUEST, built.err_value)
    explanation = explain_placement(state.broker, built.ok_value, node, now)
    body = msgspec.json.encode(explanation)
    return web.Response(body=body, content_type="application/json")


def _placement_request(
    state: GatewayState, table: RoutingTable, query: Mapping[str, str]
) -> Result[PlacementRequest, str]:
    """Return the placement request that a client's request would lead to."""
    host, path = query.get("host", ""), query.get("path", "")
    route = table.find_route(host, path)
    if route is None:
        return Err(f"no route matches host {host!r} and path {path!r}")
    if route.kind is not RouteKind.STREAMING:
        return Err(
            f"route {route.name} has plain targets: each member picks one by its own "
            f"requests, no broker decides"
        )
    account = _find_account(table, query.get("account", ""))
    if isinstance(account, Err):
        return account
    counts = []
    for name in ("prompt_tokens", "output_tokens", "expected_tokens"):
        count = parse_whole_number(query.get(name, "0"))
        if count is None:
            return Err(f"{name} is not a whole number: {query[name]!r}")
        counts.append(count)
    found = account.ok_value
    prompt_tokens, output_tokens, expected_tokens = counts
    pause_s = route.pause_objective_s
    return Ok(
        PlacementRequest(
            sender=state.member_id,
            number=0,
            service=query.get("service") or route.shares[0].service,
            route=route.name,
            account="" if found is None else found.name,
            priority=table.priority_of(route, found),
            route_priority=route.priority,
            parts=parse_prompt_parts(query.get("parts", "")),
            objective_ms=int(route.objective_s * 1e3),
            client_timeout_ms=int(route.client_timeout_s * 1e3),
            deadline_ms=int(route.timeout_s * 1e3),
            pause_objective_ms=(
                int(pause_s * 1e3) if pause_s else DEFAULT_PAUSE_OBJECTIVE_MS
            ),
            zone=query.get("zone", state.settings.zone),
            software_version=query.get("version", ""),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            expected_tokens=expected_tokens,
        )
    )


def _find_account(table: RoutingTable, name: str) -> Result[Account | None, str]:
    if not name:
        return Ok(None)
    for account in (table.account_of_key or {}).values():
        if account.name == name:
            return Ok(account)
    return Err(f"no account is named {name!r}")
