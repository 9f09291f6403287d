"""Headers of target responses: parses them and filters them for the client."""

import sys
from dataclasses import dataclass

from multidict import CIMultiDict, CIMultiDictProxy

from burdockhaven_core.scheduling.target_observation import (
    Signal,
    TargetObservation,
    UnreadableSignal,
)
from burdockhaven_core.value_ranges import MAX_RATE_PER_S
from burdockhaven_entry.platform.client_request import ATTEMPT_ID, HOP_BY_HOP_HEADERS
from burdockhaven_entry.platform.whole_number import parse_whole_number

SIGNATURE = "X-Burdockhaven-Response-Signature"
NOT_EXECUTED = "X-Burdockhaven-Not-Executed"
INSTANCE_LOAD = "X-Burdockhaven-Instance-Load"
SERVER_LIMIT = "Server-Limit"
SERVER_LEAVING = "Server-Leaving"
RETRY_AFTER = "Retry-After"
EVENT_STREAM = "text/event-stream"
MISDIRECTED = 421
UNAVAILABLE = 503
# Headers that this module decodes.
DECODED_HEADERS = frozenset(
    name.lower()
    for name in (
        ATTEMPT_ID,
        SIGNATURE,
        NOT_EXECUTED,
        INSTANCE_LOAD,
        SERVER_LIMIT,
        SERVER_LEAVING,
        RETRY_AFTER,
        "Content-Type",
        "Content-Encoding",
    )
)
# Headers that concern the client only; they say nothing of the target.
PASSED_ON_HEADERS = frozenset(
    {
        "accept-ranges",
        "age",
        "allow",
        "cache-control",
        "content-disposition",
        "content-language",
        "content-location",
        "content-range",
        "date",
        "etag",
        "expires",
        "last-modified",
        "link",
        "location",
        "server",
        "set-cookie",
        "vary",
        "www-authenticate",
        "x-burdockhaven-instance-id",
        "x-burdockhaven-weight-versions",
    }
)
KNOWN_HEADERS = DECODED_HEADERS | PASSED_ON_HEADERS | HOP_BY_HOP_HEADERS
# Headers meant for this process only, not for the client.
INTERNAL_HEADERS = frozenset({"x-burdockhaven-instance-load"})


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load that a target reports with a response."""

    running: int
    waiting: int
    slots: int
    # Time of work on the target's machine relative to the usual one; None if the target
    # does not report it.
    machine_slowdown: float | None = None


@dataclass(frozen=True, slots=True)
class TargetResponseHead:
    """Parsed head of a target's response."""

    status: int
    # Id of the answered request; empty if the target does not send it.
    attempt_id: str
    # Whether the response carries the target's signature.
    is_signed: bool
    # Whether the target guarantees that the request has not run and will not.
    not_run: bool
    # Whether the body has a content encoding, which targets do not apply themselves.
    is_encoded: bool
    is_event_stream: bool
    # None if the target does not report it.
    load: TargetLoad | None
    # What the response says of the target itself.
    observation: TargetObservation
    # Names in lower case of the headers that are neither decoded nor known to concern
    # the client only.
    unknown_headers: tuple[str, ...]

    @property
    def is_success(self) -> bool:
        """Whether the status code is 2xx."""
        return 200 <= self.status < 300


def read_response_head(
    status: int, headers: CIMultiDictProxy[str]
) -> TargetResponseHead:
    """Parse the head of a target's response."""
    return TargetResponseHead(
        status=status,
        attempt_id=headers.get(ATTEMPT_ID, ""),
        is_signed=SIGNATURE in headers,
        not_run=NOT_EXECUTED in headers or status == MISDIRECTED,
        is_encoded=headers.get("Content-Encoding", "identity") != "identity",
        is_event_stream=headers.get("Content-Type", "").startswith(EVENT_STREAM),
        load=_parse_load(headers.get(INSTANCE_LOAD, "")),
        observation=_read_observation(status, headers),
        unknown_headers=tuple(
            {
                name.lower(): None
                for name in headers
                if name.lower() not in KNOWN_HEADERS
            }
        ),
    )


def client_headers(received: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return the headers of a response that are forwarded to the client."""
    connection_options = {
        name.strip().lower() for name in received.get("Connection", "").split(",")
    }
    sent: CIMultiDict[str] = CIMultiDict()
    for name, value in received.items():
        lowered = name.lower()
        if (
            lowered in HOP_BY_HOP_HEADERS
            or lowered in connection_options
            or lowered in INTERNAL_HEADERS
        ):
            continue
        sent.add(name, value)
    return sent


def refusal_headers(attempt_id: str, retry_after_s: float | None) -> dict[str, str]:
    """Return the headers of a response that this process produces itself."""
    headers = {ATTEMPT_ID: attempt_id} if attempt_id else {}
    if retry_after_s is not None:
        headers[RETRY_AFTER] = f"{retry_after_s:.2f}"
    return headers


def _read_observation(status: int, headers: CIMultiDictProxy[str]) -> TargetObservation:
    limit_text = headers.get(SERVER_LIMIT, "")
    limit_per_s = _parse_number(limit_text, MAX_RATE_PER_S)
    unreadable = []
    if limit_text and limit_per_s is None:
        unreadable.append(UnreadableSignal(Signal.LIMIT, limit_text))
    leaving_text = headers.get(SERVER_LEAVING, "")
    if leaving_text not in ("", "0", "1"):
        unreadable.append(UnreadableSignal(Signal.LEAVING, leaving_text))
    pause_text = headers.get(RETRY_AFTER, "") if status == UNAVAILABLE else ""
    pause_s = _parse_number(pause_text)
    if pause_text and pause_s is None:
        unreadable.append(UnreadableSignal(Signal.PAUSE, pause_text))
    return TargetObservation(
        limit_per_s=limit_per_s,
        is_leaving=leaving_text == "1",
        pause_s=pause_s,
        is_misdirected=status == MISDIRECTED,
        unreadable=tuple(unreadable),
    )


def _parse_number(value: str, most: float = sys.float_info.max) -> float | None:
    """Parse a number from 0 to `most`; None for anything else."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number <= most else None


def _parse_load(value: str) -> TargetLoad | None:
    # Some targets add the time of work on their machine in percent of the usual one.
    numbers = [parse_whole_number(part.strip()) for part in value.split(",")[:4]]
    if len(numbers) < 3:
        return None
    running, waiting, slots, *rest = numbers
    if running is None or waiting is None or slots is None:
        return None
    percent = rest[0] if rest else None
    return TargetLoad(running, waiting, slots, percent / 100 if percent else None)
