"""Headers of servers' answers, and what of them goes on to the client."""

from dataclasses import dataclass

from multidict import CIMultiDict, CIMultiDictProxy

from burdockhaven_entry.platform.client_request import ATTEMPT_ID, HOP_BY_HOP_HEADERS

SIGNATURE = "X-Burdockhaven-Response-Signature"
NOT_EXECUTED = "X-Burdockhaven-Not-Executed"
INSTANCE_LOAD = "X-Burdockhaven-Instance-Load"
RETRY_AFTER = "Retry-After"
EVENT_STREAM = "text/event-stream"
MISDIRECTED = 421
# Only between this process and the server.
INTERNAL_HEADERS = frozenset({"x-burdockhaven-instance-load"})


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """What a server says of its work with an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class TargetResponseHead:
    """What the head of an answer says."""

    status: int
    # The request that is answered; empty if the server does not say.
    attempt_id: str
    # Whether the server vouches for the answer.
    is_signed: bool
    # Whether the request has not run and never will.
    not_run: bool
    # Whether the address belongs to another server now.
    is_misdirected: bool
    # Whether the body is coded, so that it is not the server's own.
    is_encoded: bool
    is_event_stream: bool
    # None if the server does not say.
    load: TargetLoad | None

    @property
    def succeeded(self) -> bool:
        """Whether the status is a success."""
        return 200 <= self.status < 300


def read_response_head(
    status: int, headers: CIMultiDictProxy[str]
) -> TargetResponseHead:
    """What the head of a server's answer says."""
    return TargetResponseHead(
        status=status,
        attempt_id=headers.get(ATTEMPT_ID, ""),
        is_signed=SIGNATURE in headers,
        not_run=NOT_EXECUTED in headers or status == MISDIRECTED,
        is_misdirected=status == MISDIRECTED,
        is_encoded=headers.get("Content-Encoding", "identity") != "identity",
        is_event_stream=headers.get("Content-Type", "").startswith(EVENT_STREAM),
        load=_parse_load(headers.get(INSTANCE_LOAD, "")),
    )


def client_headers(received: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """The headers of an answer that go on to the client."""
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
    """The headers of an answer that this process gives itself."""
    headers = {ATTEMPT_ID: attempt_id} if attempt_id else {}
    if retry_after_s is not None:
        headers[RETRY_AFTER] = f"{retry_after_s:.2f}"
    return headers


def _parse_load(value: str) -> TargetLoad | None:
    parts = value.split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return TargetLoad(running, waiting, slots)
