"""Headers of client requests, and of the same requests as they go to a server."""

from collections.abc import Mapping
from dataclasses import dataclass

from multidict import CIMultiDict, CIMultiDictProxy

ATTEMPT_ID = "X-Burdockhaven-Attempt-Id"
DEADLINE = "X-Burdockhaven-Deadline-Ms"
TOKEN_COUNTS = "X-Burdockhaven-Token-Counts"
PROMPT_PREFIX = "X-Burdockhaven-Prompt-Prefix"
LENGTH_HINT = "X-Burdockhaven-Length-Hint"
LAST_EVENT_ID = "Last-Event-Id"
EXPECT_INSTANCE = "X-Burdockhaven-Expect-Instance"
TENANT = "X-Burdockhaven-Tenant"
AUTHORIZATION = "Authorization"
KEY_SCHEME = "bearer "

# Concern one connection only.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    }
)
# Set by the system alone.
SYSTEM_HEADERS = frozenset(
    {
        "authorization",
        "x-burdockhaven-tenant",
        "x-burdockhaven-expect-instance",
        "x-burdockhaven-deadline-ms",
        "x-burdockhaven-hold",
        "x-burdockhaven-pin-ms",
        "x-burdockhaven-kv-backup",
        "kv-from",
        "kv-fetch",
        "last-event-id",
    }
)
DROPPED_HEADERS = HOP_BY_HOP_HEADERS | SYSTEM_HEADERS


class MalformedRequestError(ValueError):
    """A header of the client can't be read."""


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """What the headers of a request say."""

    # Names the request; each try of a client has its own.
    attempt_id: str
    # Milliseconds that the client will wait; None if it does not say.
    deadline_ms: float | None
    # None if there is no key.
    api_key: str | None
    # None if the client gives no counts.
    prompt_tokens: int | None
    max_output_tokens: int | None
    # Parts of the prompt and their tokens, in order.
    parts: tuple[tuple[str, int], ...]
    # The event after which the answer goes on; None for the start.
    last_event_id: str | None
    # The client's estimate of the output in tokens; None if it gives none.
    expected_output_tokens: int | None


def read_client_request(headers: CIMultiDictProxy[str]) -> ClientRequest:
    """The request that the headers describe; raises `MalformedRequestError`."""
    attempt_id = headers.get(ATTEMPT_ID, "")
    if not attempt_id:
        raise MalformedRequestError(f"no {ATTEMPT_ID}")
    counts = _parse_numbers(headers, TOKEN_COUNTS)
    if counts is not None and len(counts) != 2:
        raise MalformedRequestError(f"{TOKEN_COUNTS} is not two numbers")
    return ClientRequest(
        attempt_id=attempt_id,
        deadline_ms=_parse_number(headers, DEADLINE),
        api_key=_api_key(headers),
        prompt_tokens=None if counts is None else counts[0],
        max_output_tokens=None if counts is None else counts[1],
        parts=_parse_parts(headers.get(PROMPT_PREFIX, "")),
        last_event_id=headers.get(LAST_EVENT_ID),
        expected_output_tokens=_parse_number(headers, LENGTH_HINT),
    )


def target_headers(
    received: CIMultiDictProxy[str],
    *,
    target_id: str,
    account: str | None,
    deadline_ms: int,
    last_event_id: str | None,
) -> CIMultiDict[str]:
    """The headers with which a request goes to a server."""
    connection_options = {
        name.strip().lower() for name in received.get("Connection", "").split(",")
    }
    sent: CIMultiDict[str] = CIMultiDict()
    for name, value in received.items():
        lowered = name.lower()
        if lowered not in DROPPED_HEADERS and lowered not in connection_options:
            sent.add(name, value)
    sent[EXPECT_INSTANCE] = target_id
    sent[DEADLINE] = str(max(1, deadline_ms))
    if account is not None:
        sent[TENANT] = account
    if last_event_id is not None:
        sent[LAST_EVENT_ID] = last_event_id
    return sent


def _api_key(headers: Mapping[str, str]) -> str | None:
    value = headers.get(AUTHORIZATION, "")
    if not value.lower().startswith(KEY_SCHEME):
        return None
    return value[len(KEY_SCHEME) :].strip()


def _parse_number(headers: Mapping[str, str], name: str) -> int | None:
    numbers = _parse_numbers(headers, name)
    return None if numbers is None else numbers[0]


def _parse_numbers(headers: Mapping[str, str], name: str) -> list[int] | None:
    value = headers.get(name)
    if value is None:
        return None
    try:
        numbers = [int(float(part)) for part in value.split(",")]
    except (ValueError, OverflowError) as error:
        raise MalformedRequestError(f"{name} is not a number") from error
    if min(numbers) < 0:
        raise MalformedRequestError(f"{name} is negative")
    return numbers


def _parse_parts(value: str) -> tuple[tuple[str, int], ...]:
    parts = []
    for piece in value.split(","):
        name, colon, tokens = piece.strip().partition(":")
        if not colon or not tokens.isdigit():
            continue
        parts.append((name, int(tokens)))
    return tuple(parts)
