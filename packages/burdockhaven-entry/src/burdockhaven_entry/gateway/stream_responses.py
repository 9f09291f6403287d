"""Final responses to streaming requests that no engine has completed."""

from aiohttp import web

from burdockhaven_entry.gateway.placement_client import PlacementRefused
from burdockhaven_entry.gateway.responses import (
    BAD_GATEWAY,
    DEFAULT_RETRY_AFTER_S,
    GATEWAY_TIMEOUT,
    QUARANTINED,
    TOO_MANY_REQUESTS,
    UNAVAILABLE,
    error_response,
    not_run_response,
)
from burdockhaven_entry.gateway.stream_continuation import refusal_detail
from burdockhaven_entry.gateway.stream_state import StreamState


def refusal_response(
    stream: StreamState, refused: PlacementRefused
) -> web.StreamResponse:
    """Return the response to a request whose last placement was refused."""
    if stream.response is not None or stream.possible_runs:
        return failure_response(stream)
    return not_run_response(
        TOO_MANY_REQUESTS if refused.over_quota else UNAVAILABLE,
        refusal_detail(refused),
        stream.routed.client_request.attempt_id,
        # A client that returns would be refused again.
        None
        if refused.quarantined_part or refused.is_too_large
        else refused.retry_after_s,
    )


def quarantine_response(stream: StreamState) -> web.StreamResponse:
    """Return the response to a request beneath whose like engines have ended."""
    if stream.response is not None or stream.possible_runs:
        return failure_response(stream)
    attempt_id = stream.routed.client_request.attempt_id
    # A client that returns would be refused again.
    return not_run_response(UNAVAILABLE, QUARANTINED, attempt_id, None)


def failure_response(stream: StreamState) -> web.StreamResponse:
    """Return the response to a request that is not sent again.

    A response whose head was sent is truncated.
    """
    attempt_id = stream.routed.client_request.attempt_id
    if stream.response is not None:
        return _truncate(stream, stream.response, "no engine continues it")
    if stream.last_failure is not None:
        return stream.last_failure
    if stream.possible_runs:
        return error_response(
            BAD_GATEWAY, "the engine failed; the request may have run", attempt_id
        )
    return not_run_response(
        UNAVAILABLE,
        "no engine accepted the request",
        attempt_id,
        DEFAULT_RETRY_AFTER_S,
    )


def timeout_response(stream: StreamState) -> web.StreamResponse:
    """Return the response to a request whose deadline is over."""
    attempt_id = stream.routed.client_request.attempt_id
    if stream.response is not None:
        return _truncate(stream, stream.response, "deadline")
    if stream.may_have_run:
        return error_response(
            GATEWAY_TIMEOUT, "no response within the deadline", attempt_id
        )
    return not_run_response(
        UNAVAILABLE,
        "no engine available within the deadline",
        attempt_id,
        DEFAULT_RETRY_AFTER_S,
    )


def _truncate(
    stream: StreamState, response: web.StreamResponse, reason: str
) -> web.StreamResponse:
    """Close the connection so that the client sees the response as truncated."""
    stream.routed.trace.truncated_by = reason
    transport = stream.routed.request.transport
    if transport is not None:
        transport.close()
    return response
