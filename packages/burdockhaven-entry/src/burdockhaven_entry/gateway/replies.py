"""Answers that this process gives itself."""

from aiohttp import web

from burdockhaven_entry.platform import refusal_headers

BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
CLIENT_TOO_SLOW = 408
TOO_LARGE = 413
TOO_MANY = 429
HEAD_TOO_LARGE = 431
BAD_GATEWAY = 502
UNAVAILABLE = 503
TIMED_OUT = 504

# Seconds after which clients may come back while nothing better is known.
RETRY_SOON_S = 0.5


def reply(
    status: int, detail: str, attempt_id: str = "", retry_after_s: float | None = None
) -> web.Response:
    """A short answer that says what happened."""
    return web.Response(
        status=status,
        text=detail + "\n",
        headers=refusal_headers(attempt_id, retry_after_s),
    )


def not_run(
    status: int, detail: str, attempt_id: str, retry_after_s: float
) -> web.Response:
    """The request has not run and will not; the client may come back."""
    return reply(status, detail, attempt_id, retry_after_s)
