"""Responses that this process produces itself, instead of forwarding a target's."""

import random

from aiohttp import web

from burdockhaven_core.scheduling.broker import PAUSE_END_SPREAD_S, RETRY_AFTER_MAX_S
from burdockhaven_entry.platform import refusal_headers

TEMPORARY_REDIRECT = 307
BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
REQUEST_TIMEOUT = 408
BODY_TOO_LARGE = 413
TOO_MANY_REQUESTS = 429
HEADERS_TOO_LARGE = 431
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

# Detail of the refusal of a request beneath whose like targets have ended.
QUARANTINED = "targets ended beneath this request; none gets it for now"

# Default for the Retry-After header in seconds, if there is no better estimate.
DEFAULT_RETRY_AFTER_S = 0.5
# Retry-After header in seconds while this process stops; other processes accept the
# request at once.
STOPPING_RETRY_AFTER_S = 0.1


def pause_retry_after_s(pause_left_s: float, rng: random.Random) -> float:
    """Return when clients may return after a pause of all targets; 0 without one.

    Spread, so that they don't return at once, and bounded, because other members may
    still use the targets.
    """
    if not pause_left_s:
        return 0.0
    spread_s = rng.uniform(0.0, PAUSE_END_SPREAD_S)
    return min(RETRY_AFTER_MAX_S, pause_left_s + spread_s)


def error_response(
    status: int, detail: str, attempt_id: str = "", retry_after_s: float | None = None
) -> web.Response:
    """Create an error response with a one-line explanation."""
    return web.Response(
        status=status,
        text=detail + "\n",
        headers=refusal_headers(attempt_id, retry_after_s),
    )


def not_run_response(
    status: int, detail: str, attempt_id: str, retry_after_s: float | None
) -> web.Response:
    """Create a response for a request that has not run.

    `retry_after_s` is None if it would be refused again.
    """
    return error_response(status, detail, attempt_id, retry_after_s)
