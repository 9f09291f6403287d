"""Answers that this process gives itself."""

from aiohttp import web

from burdockhaven_entry.platform import refusal_headers

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

# Seconds after which clients may come back while nothing better is known.
DEFAULT_RETRY_AFTER_S = 0.5


def error_response(
    status: int, detail: str, attempt_id: str = "", retry_after_s: float | None = None
) -> web.Response:
    """A short answer that says what happened."""
    return web.Response(
        status=status,
        text=detail + "\n",
        headers=refusal_headers(attempt_id, retry_after_s),
    )


def not_run_response(
    status: int, detail: str, attempt_id: str, retry_after_s: float
) -> web.Response:
    """The request has not run and will not; the client may come back."""
    return error_response(status, detail, attempt_id, retry_after_s)
