"""HTTP API for callers: look-up, request, resume and status."""

import asyncio
import hashlib
import math
from typing import Any

from litestar import Litestar, Request, Response, get, post
from litestar.datastructures import State
from litestar.exceptions import HTTPException
from litestar.openapi import OpenAPIConfig
from litestar.params import JSONBody
from litestar.response import Stream

from burdockhaven_core.actions import AnswerLookUp
from burdockhaven_core.events import RequestArrived, ResumeArrived
from burdockhaven_core.identity import AccountName, ClassName
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.outcome import (
    NotRun,
    NotRunReason,
    Outcome,
    Redirect,
    Unknown,
)
from burdockhaven_entry.answer_buffer import AnswerBuffer
from burdockhaven_entry.answer_stream import AnswerStream
from burdockhaven_entry.caller_wire import (
    LookUpReply,
    OutcomeReply,
    RequestBody,
    ResumeBody,
    StatusReply,
    outcome_reply,
)
from burdockhaven_entry.log_events import log
from burdockhaven_entry.shell import Exchange, RunBody, Shell

# Length of the start of a prompt that identifies its shared prefix, in characters.
PREFIX_CHARS = 2_048
PREFIX_DIGEST_BYTES = 8

STATUS_BY_REASON = {
    NotRunReason.BAD_REQUEST: 400,
    NotRunReason.BAD_ASSIGNMENT: 403,
    NotRunReason.ASSIGNMENT_EXPIRED: 409,
    NotRunReason.UNKNOWN_ACCOUNT: 401,
    NotRunReason.UNKNOWN_CLASS: 404,
    NotRunReason.TOO_LARGE: 413,
    NotRunReason.INFEASIBLE: 422,
}
STATUS_UNAVAILABLE = 503
STATUS_UNKNOWN = 504
STATUS_ELSEWHERE = 421
STATUS_UNAUTHORIZED = 401
STATUS_TOO_LARGE = 413


def caller_app(shell: Shell, max_body_bytes: int) -> Litestar:
    """Create the application for callers."""
    return Litestar(
        route_handlers=[look_up, send_request, resume_request, read_status],
        state=_state(shell),
        request_max_body_size=max_body_bytes,
        exception_handlers={HTTPException: _malformed_response},
        logging_config=None,
        openapi_config=OpenAPIConfig(title="burdockhaven for callers", version="1"),
    )


def _state(shell: Shell) -> State:
    return State({"shell": shell})


@get("/v1/lookup")
async def look_up(request: Request[Any, Any, Any]) -> Response[Any]:
    """Return the entry to use, for how long, and the assignment to present to it."""
    shell: Shell = request.app.state.shell
    account = _authenticate(request, shell)
    if account is None:
        return _unauthorized()
    exchange = shell.look_up(account)
    result = await exchange.result
    shell.close_exchange(exchange.handle)
    if isinstance(result, AnswerLookUp):
        return Response(
            LookUpReply(result.entry, result.address, result.token, result.lifetime_s)
        )
    return _outcome_response(_outcome_of(result))


@post("/v1/requests", status_code=200)
async def send_request(
    request: Request[Any, Any, Any], data: JSONBody[RequestBody]
) -> Response[Any] | Stream:
    """Run a request once; the answer is a stream of server-sent events."""
    shell: Shell = request.app.state.shell
    account = _authenticate(request, shell)
    if account is None:
        return _unauthorized()
    arrival = RequestArrived(
        handle=0,
        token=data.assignment,
        key=data.key,
        account=account,
        class_name=ClassName(data.request_class),
        prompt_tokens=len(data.prompt.split()),
        max_output_tokens=data.max_output_tokens,
        prefix=_prefix_digest(data.prompt),
        deadline_ms=data.deadline_ms,
    )
    body = RunBody(arrival.class_name, data.prompt, data.max_output_tokens)
    exchange = shell.submit(arrival, body, data.offset)
    return await _respond(request, shell, exchange)


@post("/v1/requests/resume", status_code=200)
async def resume_request(
    request: Request[Any, Any, Any], data: JSONBody[ResumeBody]
) -> Response[Any] | Stream:
    """Stream the answer to an earlier request, from a token on."""
    shell: Shell = request.app.state.shell
    account = _authenticate(request, shell)
    if account is None:
        return _unauthorized()
    exchange = shell.resume(_resume_event(account, data), data.offset)
    return await _respond(request, shell, exchange)


@post("/v1/requests/status", status_code=200)
async def read_status(
    request: Request[Any, Any, Any], data: JSONBody[ResumeBody]
) -> Response[Any]:
    """Return the state of a request."""
    shell: Shell = request.app.state.shell
    account = _authenticate(request, shell)
    if account is None:
        return _unauthorized()
    exchange = shell.resume(_resume_event(account, data))
    try:
        if not exchange.result.done():
            return Response(StatusReply("queued"))
        result = exchange.result.result()
    finally:
        shell.close_exchange(exchange.handle)
    if isinstance(result, AnswerBuffer) and result.failure is None:
        return Response(StatusReply("whole" if result.is_complete else "running"))
    reply = outcome_reply(_outcome_of(result))
    return Response(StatusReply(reply.outcome, reply))


def _resume_event(account: AccountName, data: ResumeBody) -> ResumeArrived:
    class_name = ClassName(data.request_class)
    return ResumeArrived(0, data.assignment, data.key, account, class_name)


async def _respond(
    request: Request[Any, Any, Any], shell: Shell, exchange: Exchange
) -> Response[Any] | Stream:
    """Return the stream once it has a token, or the final outcome without one."""
    try:
        result = await _result_or_disconnect(request, exchange)
    except BaseException:
        shell.close_exchange(exchange.handle)
        raise
    if isinstance(result, AnswerBuffer):
        return AnswerStream(shell, exchange, result)
    shell.close_exchange(exchange.handle)
    if result is None:
        return Response(None, status_code=STATUS_UNAVAILABLE)
    return _outcome_response(_outcome_of(result))


async def _result_or_disconnect(
    request: Request[Any, Any, Any], exchange: Exchange
) -> AnswerBuffer | AnswerLookUp | Outcome | None:
    """Wait for the result; None if the caller disconnected first."""
    disconnect = asyncio.create_task(_wait_for_disconnect(request))
    futures: list[asyncio.Future[Any]] = [disconnect, exchange.result]
    try:
        await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
    finally:
        disconnect.cancel()
    return exchange.result.result() if exchange.result.done() else None


async def _wait_for_disconnect(request: Request[Any, Any, Any]) -> None:
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return


def _authenticate(request: Request[Any, Any, Any], shell: Shell) -> AccountName | None:
    """Return the account of the caller's key; None if the key is missing or unknown."""
    scheme, _, key = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer":
        return None
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    return shell.entry.state.account_by_key_digest.get(digest)


def _prefix_digest(prompt: str) -> str:
    if not prompt:
        return ""
    head = prompt[:PREFIX_CHARS].encode()
    return hashlib.blake2b(head, digest_size=PREFIX_DIGEST_BYTES).hexdigest()


def _outcome_of(result: AnswerBuffer | AnswerLookUp | Outcome) -> Outcome:
    if isinstance(result, AnswerBuffer) and result.failure is not None:
        return result.failure
    if isinstance(result, NotRun | Unknown | Redirect):
        return result
    raise TypeError(f"{type(result).__name__} is not an outcome")


def _outcome_response(outcome: Outcome) -> Response[Any]:
    headers = {}
    if isinstance(outcome, NotRun):
        status = STATUS_BY_REASON.get(outcome.reason, STATUS_UNAVAILABLE)
        if outcome.retry_after_s is not None:
            headers["retry-after"] = str(math.ceil(outcome.retry_after_s))
    elif isinstance(outcome, Unknown):
        status = STATUS_UNKNOWN
    else:
        status = STATUS_ELSEWHERE
    return Response(outcome_reply(outcome), status_code=status, headers=headers)


def _unauthorized() -> Response[Any]:
    detail = "the Authorization header must be: Bearer, a space, a client account's key"
    reply = OutcomeReply("not_run", NotRunReason.UNKNOWN_ACCOUNT.value, detail)
    return Response(reply, status_code=STATUS_UNAUTHORIZED)


def _malformed_response(
    request: Request[Any, Any, Any], error: HTTPException
) -> Response[Any]:
    """Answer a malformed request: wrong types, oversized body, unknown path."""
    too_large = error.status_code == STATUS_TOO_LARGE
    reason = NotRunReason.TOO_LARGE if too_large else NotRunReason.BAD_REQUEST
    faults = "; ".join(str(extra) for extra in error.extra or ())
    detail = f"{error.detail} {faults}".strip()
    log(
        EventNumber.REQUEST_MALFORMED,
        path=request.url.path,
        status=error.status_code,
        detail=detail,
    )
    reply = OutcomeReply("not_run", reason.value, detail)
    return Response(reply, status_code=error.status_code)
