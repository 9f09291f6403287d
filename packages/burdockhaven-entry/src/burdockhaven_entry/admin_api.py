"""HTTP API for operators: changes of the configuration, and reports.

Every call except `/metrics` requires the operator token. A change carries the version
that the operator expects (optimistic concurrency control) and an operation id, which
makes it idempotent: if its answer was lost, it can be repeated at any entry.
"""

import datetime
import hmac
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from litestar import Litestar, Request, Response, Router, delete, get, put
from litestar.connection import ASGIConnection
from litestar.datastructures import State
from litestar.exceptions import HTTPException, NotAuthorizedException
from litestar.handlers import BaseRouteHandler, HTTPRouteHandler
from litestar.openapi import OpenAPIConfig
from litestar.params import FromPath
from result import Err, Ok, Result

from burdockhaven_core.admin_messages import (
    ChangeReply,
    ChangeResult,
    ConfigurationReply,
    ErrorReply,
    FloorsReply,
    HistoryReply,
    InForceReply,
    MembersReply,
    QueuesReply,
    TargetsReply,
)
from burdockhaven_core.configuration import Configuration
from burdockhaven_core.configuration_change import (
    Change,
    DeleteAccount,
    DeleteTemplate,
    Operation,
    PutAccount,
    PutTemplate,
    apply_operation,
    describe_change,
)
from burdockhaven_core.configuration_check import Fault
from burdockhaven_core.configuration_codec import decode_account, decode_template
from burdockhaven_core.identity import AccountName
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.publishing import (
    Accepted,
    Conflict,
    Invalid,
    NotDone,
    NotDoneReason,
    OutcomeUnknown,
    PublishOutcome,
)
from burdockhaven_entry.configuration_sync import ConfigurationSync
from burdockhaven_entry.log_events import log

AdminRequest = Request[Any, Any, Any]

STATUS_BY_RESULT = {
    ChangeResult.ACCEPTED: 200,
    ChangeResult.VALID: 200,
    ChangeResult.CONFLICT: 409,
    ChangeResult.INVALID: 422,
    ChangeResult.NOT_DONE: 503,
    ChangeResult.UNKNOWN: 504,
}
STATUS_UNAVAILABLE = 503
DEFAULT_HISTORY_LIMIT = 20
MAX_HISTORY_LIMIT = 1_000
# Maximum number of digits of a numeric parameter.
MAX_NUMBER_DIGITS = 15
STATUS_UNAUTHORIZED = 401
OPERATION_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{8,64}")
MAX_OPERATOR_CHARACTERS = 64
# Maximum size of a template or account, in bytes.
MAX_BODY_BYTES = 1 << 20
REASON_TEXT = {
    NotDoneReason.UNREACHABLE: "no usable answer from the key-value service",
    NotDoneReason.BEHIND: "the key-value service has an older version than the members",
    NotDoneReason.NOT_SETTLED: "this entry lacks recent heartbeats of some entries",
}


@dataclass(frozen=True, slots=True)
class AdminView:
    """Provides the reports of the API; each function reads the current state."""

    configuration: Callable[[], Configuration]
    report_configuration: Callable[[], ConfigurationReply]
    # Reports how many entries have the version in force.
    in_force: Callable[[int], InForceReply]
    members: Callable[[], MembersReply]
    targets: Callable[[], TargetsReply]
    floors: Callable[[], FloorsReply]
    queues: Callable[[], QueuesReply]


@dataclass(frozen=True, slots=True)
class _Context:
    """Dependencies shared by the handlers."""

    view: AdminView
    sync: ConfigurationSync
    token: bytes


@dataclass(frozen=True, slots=True)
class _ChangeParameters:
    """The query parameters of a change."""

    expected_version: int
    operation_id: str
    operator: str
    dry_run: bool


def admin_app(
    view: AdminView,
    sync: ConfigurationSync,
    operator_token: str,
    public_handlers: tuple[HTTPRouteHandler, ...] = (),
) -> Litestar:
    """Create the application for operators; public handlers require no token."""
    authorized = Router(
        path="/v1",
        guards=[_check_token],
        route_handlers=[
            put_template,
            delete_template,
            put_account,
            delete_account,
            read_operation,
            read_configuration,
            read_history,
            read_members,
            read_targets,
            read_floors,
            read_queues,
        ],
    )
    return Litestar(
        route_handlers=[authorized, *public_handlers],
        state=State({"context": _Context(view, sync, operator_token.encode())}),
        request_max_body_size=MAX_BODY_BYTES,
        exception_handlers={HTTPException: _error_response},
        logging_config=None,
        openapi_config=OpenAPIConfig(title="burdockhaven for operators", version="1"),
    )


@put("/templates/{name:str}")
async def put_template(request: AdminRequest, name: FromPath[str]) -> Response[Any]:
    """Add or replace a template."""
    decoded = decode_template(await request.body())
    if isinstance(decoded, Err):
        return _invalid_response(request, (decoded.err_value,))
    if decoded.ok_value.name != name:
        return _invalid_response(
            request, (_name_mismatch(decoded.ok_value.name, name),)
        )
    return await _publish_change(request, PutTemplate(decoded.ok_value))


@delete("/templates/{name:str}", status_code=200)
async def delete_template(request: AdminRequest, name: FromPath[str]) -> Response[Any]:
    """Remove a template that no account uses."""
    return await _publish_change(request, DeleteTemplate(name))


@put("/accounts/{name:str}")
async def put_account(request: AdminRequest, name: FromPath[str]) -> Response[Any]:
    """Add or replace the parameters of a client account."""
    decoded = decode_account(await request.body())
    if isinstance(decoded, Err):
        return _invalid_response(request, (decoded.err_value,))
    if decoded.ok_value.account != name:
        return _invalid_response(
            request, (_name_mismatch(decoded.ok_value.account, name),)
        )
    return await _publish_change(request, PutAccount(decoded.ok_value))


@delete("/accounts/{name:str}", status_code=200)
async def delete_account(request: AdminRequest, name: FromPath[str]) -> Response[Any]:
    """Remove the parameters of a client account."""
    return await _publish_change(request, DeleteAccount(AccountName(name)))


@get("/operations/{operation_id:str}")
async def read_operation(
    request: AdminRequest, operation_id: FromPath[str]
) -> Response[Any]:
    """Return the outcome of a change whose answer was lost."""
    context = _context(request)
    expected = _parse_number(request, "expected_version")
    if isinstance(expected, Err):
        return _invalid_response(request, (expected.err_value,))
    placeholder = DeleteTemplate("")
    operation = Operation(placeholder, expected.ok_value, operation_id)
    outcome = await context.sync.resolve(operation)
    return _respond(context.view, operation, outcome)


@get("/configuration", sync_to_thread=False)
def read_configuration(request: AdminRequest) -> Response[Any]:
    """Return the configuration in force, and on how many entries it is."""
    return Response(_context(request).view.report_configuration())


@get("/history")
async def read_history(request: AdminRequest) -> Response[Any]:
    """Return the latest accepted changes."""
    context = _context(request)
    limit = _parse_number(request, "limit", DEFAULT_HISTORY_LIMIT)
    if isinstance(limit, Err):
        return _invalid_response(request, (limit.err_value,))
    last = context.view.configuration().version
    first = max(1, last + 1 - min(limit.ok_value, MAX_HISTORY_LIMIT))
    read = await context.sync.history(first, last)
    if isinstance(read, Err):
        return Response(
            ErrorReply("unavailable", str(read.err_value)),
            status_code=STATUS_UNAVAILABLE,
        )
    return Response(HistoryReply(read.ok_value))


@get("/members", sync_to_thread=False)
def read_members(request: AdminRequest) -> Response[Any]:
    """Return the entries, with the version in force at each."""
    return Response(_context(request).view.members())


@get("/targets", sync_to_thread=False)
def read_targets(request: AdminRequest) -> Response[Any]:
    """Return the targets as this entry sees them."""
    return Response(_context(request).view.targets())


@get("/floors", sync_to_thread=False)
def read_floors(request: AdminRequest) -> Response[Any]:
    """Return the lowest tier that each group admits at this entry."""
    return Response(_context(request).view.floors())


@get("/queues", sync_to_thread=False)
def read_queues(request: AdminRequest) -> Response[Any]:
    """Return the number of requests queued at this entry."""
    return Response(_context(request).view.queues())


async def _publish_change(request: AdminRequest, change: Change) -> Response[Any]:
    context = _context(request)
    read = _parse_change_parameters(request)
    if isinstance(read, Err):
        return _invalid_response(request, read.err_value)
    parameters = read.ok_value
    operation = Operation(
        change=change,
        expected_version=parameters.expected_version,
        operation_id=parameters.operation_id,
        operator=parameters.operator,
        at=datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
    )
    if parameters.dry_run:
        return _respond_dry_run(context.view, operation)
    outcome = await context.sync.publish(operation)
    response = _respond(context.view, operation, outcome)
    log(
        EventNumber.OPERATOR_CHANGE,
        operation=operation.operation_id,
        operator=operation.operator,
        change=describe_change(change),
        outcome=response.content.result.value,
    )
    return response


def _respond_dry_run(view: AdminView, operation: Operation) -> Response[ChangeReply]:
    base = view.configuration()
    if base.version != operation.expected_version:
        winner = base.recent[-1] if base.recent else None
        return _respond(view, operation, Conflict(base.version, winner))
    applied = apply_operation(base, operation)
    if isinstance(applied, Err):
        return _respond(view, operation, Invalid(applied.err_value))
    reply = ChangeReply(ChangeResult.VALID, operation.operation_id, base.version)
    return _response(reply)


def _respond(
    view: AdminView, operation: Operation, outcome: PublishOutcome
) -> Response[ChangeReply]:
    name = operation.operation_id
    match outcome:
        case Accepted(version=version):
            rollout = view.in_force(version)
            reply = ChangeReply(ChangeResult.ACCEPTED, name, version, rollout)
        case Conflict(version=version, winner=winner):
            reply = ChangeReply(ChangeResult.CONFLICT, name, version, winner=winner)
        case Invalid(faults=faults):
            reply = ChangeReply(ChangeResult.INVALID, name, faults=faults)
        case NotDone(reason=reason, failure=failure):
            text = REASON_TEXT[reason]
            detail = text if failure is None else f"{text}: {failure}"
            reply = ChangeReply(ChangeResult.NOT_DONE, name, reason=detail)
        case OutcomeUnknown(failure=failure):
            detail = "no answer" if failure is None else str(failure)
            reply = ChangeReply(ChangeResult.UNKNOWN, name, reason=detail)
    return _response(reply)


def _response(reply: ChangeReply) -> Response[ChangeReply]:
    return Response(reply, status_code=STATUS_BY_RESULT[reply.result])


def _invalid_response(
    request: AdminRequest, faults: tuple[Fault, ...]
) -> Response[Any]:
    name = request.query_params.get("operation_id", "")
    return _response(ChangeReply(ChangeResult.INVALID, name, faults=faults))


def _parse_change_parameters(
    request: AdminRequest,
) -> Result[_ChangeParameters, tuple[Fault, ...]]:
    query = request.query_params
    faults = []
    expected = _parse_number(request, "expected_version")
    if isinstance(expected, Err):
        faults.append(expected.err_value)
    name = str(query.get("operation_id", ""))
    if OPERATION_ID_PATTERN.fullmatch(name) is None:
        allowed = "8 to 64 letters, digits, '.', '_' or '-'"
        remedy = "use a new random id for each change, and the same id for its retries"
        faults.append(Fault("operation_id", repr(name), allowed, remedy))
    dry_run = str(query.get("dry_run", "false"))
    if dry_run not in ("true", "false"):
        faults.append(
            Fault("dry_run", dry_run, "true or false", "use one of these values")
        )
    operator = str(query.get("operator", ""))
    if len(operator) > MAX_OPERATOR_CHARACTERS or not operator.isprintable():
        allowed = f"up to {MAX_OPERATOR_CHARACTERS} printable characters"
        faults.append(
            Fault(
                "operator", repr(operator), allowed, "use a shorter or printable name"
            )
        )
    if faults or isinstance(expected, Err):
        return Err(tuple(faults))
    return Ok(_ChangeParameters(expected.ok_value, name, operator, dry_run == "true"))


def _parse_number(
    request: AdminRequest, name: str, default: int | None = None
) -> Result[int, Fault]:
    text = str(request.query_params.get(name, "" if default is None else default))
    if text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS:
        return Ok(int(text))
    remedy = f"set ?{name}= to a number"
    return Err(Fault(name, repr(text), "a non-negative integer", remedy))


def _name_mismatch(seen: str, path_name: str) -> Fault:
    remedy = "use the same name in the path and in the body"
    return Fault("$.name", seen, path_name, remedy)


def _context(request: AdminRequest) -> _Context:
    context: _Context = request.app.state.context
    return context


def _check_token(
    connection: ASGIConnection[Any, Any, Any, Any], handler: BaseRouteHandler
) -> None:
    context: _Context = connection.app.state.context
    scheme, _, token = connection.headers.get("authorization", "").partition(" ")
    presented = token.strip().encode()
    if scheme.lower() == "bearer" and hmac.compare_digest(presented, context.token):
        return
    client = connection.client
    log(EventNumber.OPERATOR_REFUSED, peer=client.host if client else "?")
    raise NotAuthorizedException(
        "the Authorization header must be: Bearer, a space, the operator token"
    )


def _error_response(
    request: AdminRequest, error: HTTPException
) -> Response[ErrorReply]:
    kind = "unauthorized" if error.status_code == STATUS_UNAUTHORIZED else "bad_request"
    return Response(ErrorReply(kind, error.detail), status_code=error.status_code)
