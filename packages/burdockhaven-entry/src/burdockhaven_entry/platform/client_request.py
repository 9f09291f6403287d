"""Headers of client requests: parses them and derives those sent to the target."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

from multidict import CIMultiDict, CIMultiDictProxy

from burdockhaven_core.value_ranges import MAX_COUNT
from burdockhaven_entry.platform.whole_number import parse_whole_number

ATTEMPT_ID = "X-Burdockhaven-Attempt-Id"
DEADLINE = "X-Burdockhaven-Deadline-Ms"
TOKEN_COUNTS = "X-Burdockhaven-Token-Counts"
PROMPT_PREFIX = "X-Burdockhaven-Prompt-Prefix"
LENGTH_HINT = "X-Burdockhaven-Length-Hint"
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "Resumes"
EXPECT_INSTANCE = "X-Burdockhaven-Expect-Instance"
TENANT = "X-Burdockhaven-Tenant"
AUTHORIZATION = "Authorization"
KEY_SCHEME = "bearer "
# Characters of the longest name of a prompt part that is kept as it is, and bytes of
# the digest that replaces a longer one.
MAX_PART_NAME = 64
PART_DIGEST_BYTES = 16

# Headers that apply to a single connection and are not forwarded.
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
# Headers that only the system may set; those sent by clients are dropped.
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
    """A request header is missing or malformed."""


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """Parsed headers of a client request."""

    # Id of this attempt; a client that retries a request sends a new id.
    attempt_id: str
    # Milliseconds that the client will wait; None if not given.
    deadline_ms: float | None
    # None without an API key.
    api_key: str | None
    # None if the client sends no token counts.
    prompt_tokens: int | None
    max_output_tokens: int | None
    # Parts of the prompt in order: the name and token count of each.
    parts: tuple[tuple[str, int], ...]
    # Id of the event after which the stream resumes; None to start from the beginning.
    last_event_id: str | None
    # Id of the client's attempt that brought the first event of the stream that this
    # one resumes; None if not given.
    resumed_attempt_id: str | None
    # The client's estimate of the output in tokens; None if not given.
    expected_output_tokens: int | None


def read_client_request(headers: CIMultiDictProxy[str]) -> ClientRequest:
    """Parse the headers of a request; raises `MalformedRequestError`."""
    attempt_id = headers.get(ATTEMPT_ID, "")
    if not attempt_id:
        raise MalformedRequestError(f"missing header {ATTEMPT_ID}")
    for name in (ATTEMPT_ID, RESUMES):
        if not _is_unicode(headers.get(name, "")):
            raise MalformedRequestError(f"header {name} is not UTF-8")
    counts = _parse_counts(headers, TOKEN_COUNTS)
    hints = _parse_counts(headers, LENGTH_HINT)
    if counts is not None and len(counts) != 2:
        raise MalformedRequestError(f"header {TOKEN_COUNTS} does not hold two numbers")
    return ClientRequest(
        attempt_id=attempt_id,
        deadline_ms=_parse_number(headers, DEADLINE),
        api_key=_api_key(headers),
        prompt_tokens=None if counts is None else counts[0],
        max_output_tokens=None if counts is None else counts[1],
        parts=parse_prompt_parts(headers.get(PROMPT_PREFIX, "")),
        last_event_id=headers.get(LAST_EVENT_ID),
        resumed_attempt_id=headers.get(RESUMES) or None,
        expected_output_tokens=None if hints is None else hints[0],
    )


def target_headers(
    received: CIMultiDictProxy[str],
    *,
    target_id: str,
    account: str | None,
    deadline_ms: int,
    last_event_id: str | None,
) -> CIMultiDict[str]:
    """Return the headers with which a request is sent to a target."""
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
        raise MalformedRequestError(f"header {name} does not hold a number") from error
    if min(numbers) < 0:
        raise MalformedRequestError(f"header {name} holds a negative number")
    return numbers


def _parse_counts(headers: Mapping[str, str], name: str) -> list[int] | None:
    """Parse counts of tokens, which messages to other members carry."""
    counts = _parse_numbers(headers, name)
    if counts is not None and max(counts) > MAX_COUNT:
        raise MalformedRequestError(f"header {name} holds more than {MAX_COUNT} tokens")
    return counts


def parse_prompt_parts(value: str) -> tuple[tuple[str, int], ...]:
    """Parse the parts of a prompt and their tokens; unreadable ones are skipped."""
    parts = []
    for piece in value.split(","):
        name, colon, tokens = piece.strip().partition(":")
        count = parse_whole_number(tokens)
        if not colon or count is None:
            continue
        parts.append((_short_name(name), count))
    return tuple(parts)


def _short_name(name: str) -> str:
    """Return the name of a part; a digest if it is long, since brokers keep names.

    Bytes that are not UTF-8 are kept as Latin-1: messages to brokers are Unicode.
    """
    if len(name) <= MAX_PART_NAME and _is_unicode(name):
        return name
    data = name.encode("utf-8", "surrogateescape")
    if len(data) <= MAX_PART_NAME:
        return data.decode("latin-1")
    return hashlib.blake2b(data, digest_size=PART_DIGEST_BYTES).hexdigest()


def _is_unicode(text: str) -> bool:
    """Whether a header value was valid UTF-8; other bytes become lone surrogates."""
    return text.isascii() or not any("\ud800" <= c <= "\udfff" for c in text)
