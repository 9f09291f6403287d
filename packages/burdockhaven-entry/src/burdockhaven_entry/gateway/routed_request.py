"""A client request on its way through the gateway, after routing."""

import asyncio
from dataclasses import dataclass, field

from aiohttp import web

from burdockhaven_core.request_quarantine import format_content
from burdockhaven_core.scheduling.routing import Account, Route
from burdockhaven_entry.gateway.origin_source import OriginSource
from burdockhaven_entry.gateway.target_client import OutgoingRequest
from burdockhaven_entry.platform import ClientRequest, target_headers


@dataclass(slots=True)
class RequestTrace:
    """Records what happened to one request, for its log event and the metrics."""

    # Target of the last send; empty if nothing was sent.
    target: str = ""
    # Software versions of the targets whose events were received, in order.
    software_versions: list[str] = field(default_factory=list)
    # How the origin of the resumed stream became known; None if none is resumed.
    origin: OriginSource | None = None
    # Seconds from the arrival until then.
    origin_s: float = 0.0
    sends: int = 0
    # Seconds from placement requests to their decisions, including time in a broker's
    # queue, summed over all placements; of a plain request, those without a target.
    queued_s: float = 0.0
    # Seconds from the arrival to the first event; None without an event.
    first_event_s: float | None = None
    # Number of events received, and the longest pause between two of them in seconds.
    events: int = 0
    longest_pause_s: float = 0.0
    # Failed and rejected sends, each with its step and target, and refused placements.
    failures: list[str] = field(default_factory=list)
    # Number of runs that ended without a whole response.
    failed_runs: int = 0
    # Why the response ended after its head and before its end; empty if it did not.
    truncated_by: str = ""

    def record_refusal(self, reason: str) -> None:
        """Record a refused placement, once if it is refused again and again."""
        failure = f"placement refused: {reason}"
        if self.failures[-1:] != [failure]:
            self.failures.append(failure)

    def record_quarantine(self, content: int) -> None:
        """Record that no target gets the request, because of its content."""
        self.failures.append(f"quarantined content {format_content(content)}")

    def add_software_version(self, software_version: str) -> None:
        """Record the software version of the target that sent an event."""
        if software_version not in self.software_versions:
            self.software_versions.append(software_version)


@dataclass(frozen=True, slots=True, eq=False)
class RoutedRequest:
    """A request that was read, routed and authenticated."""

    request: web.BaseRequest
    client_request: ClientRequest
    body: bytes
    route: Route
    # None if requests need no API key.
    account: Account | None
    service: str
    # Priority between accounts; 0 is the most urgent.
    priority: int
    # Monotonic times in seconds of the arrival and of the deadline for the response.
    arrived_s: float
    deadline_s: float
    # Expires at the deadline, or before the process stops; entered by the forwarder.
    time_limit: asyncio.Timeout
    # Identifies the content of the request; equal for all attempts of a client.
    digest: int
    # Key of method, host, path, account and body (`content_key`).
    content: int
    # Version of the configuration by which it was routed.
    version: int
    # Bytes of memory that are charged for it.
    cost: int
    trace: RequestTrace

    @property
    def objective_s(self) -> float:
        """Monotonic time by which the response or its first event should arrive."""
        return self.arrived_s + self.route.objective_s

    def outgoing_request(
        self,
        target_id: str,
        now: float,
        last_event_id: str | None,
        may_reuse_connection: bool,
    ) -> OutgoingRequest:
        """Build the request for a target, with the time left until the deadline."""
        headers = target_headers(
            self.request.headers,
            target_id=target_id,
            account=None if self.account is None else self.account.name,
            deadline_ms=int((self.deadline_s - now) * 1e3),
            last_event_id=last_event_id,
        )
        return OutgoingRequest(
            method=self.request.method,
            raw_path=self.request.raw_path,
            headers=headers,
            body=self.body,
            attempt_id=self.client_request.attempt_id,
            may_reuse_connection=may_reuse_connection,
        )
