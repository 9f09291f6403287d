"""One request of a client as it passes through the gateway."""

from dataclasses import dataclass, field

from aiohttp import web

from burdockhaven_core.scheduling.routing import Account, Route
from burdockhaven_entry.gateway.target_client import OutgoingRequest
from burdockhaven_entry.platform import ClientRequest, target_headers


@dataclass(slots=True)
class RequestTrace:
    """What happened to one request, for its log line."""

    # The target of the last send; empty if there was none.
    target: str = ""
    sends: int = 0
    # Seconds in a broker's queue, over all placements.
    queued_s: float = 0.0
    # Seconds from the arrival to the first event; None if none came.
    first_event_s: float | None = None
    # Events passed on, and the longest pause between two of them in seconds.
    events: int = 0
    longest_pause_s: float = 0.0
    # Failed sends and refusals, each with its step and peer.
    failures: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request that was read, routed and allowed."""

    request: web.BaseRequest
    client_request: ClientRequest
    body: bytes
    route: Route
    # None where requests need no key.
    account: Account | None
    service: str
    # Monotonic seconds of the arrival and of the final answer at the latest.
    arrived_s: float
    deadline_s: float
    # Names what is asked, whichever try of the client it is.
    digest: int
    # Version of the configuration that routed it.
    version: int
    trace: RequestTrace

    @property
    def priority(self) -> int:
        """0 is the most urgent; the account's rank goes before the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def objective_s(self) -> float:
        """Monotonic time until which the answer, or its first event, is on time."""
        return self.arrived_s + self.route.objective_s

    def outgoing_request(
        self,
        target_id: str,
        now: float,
        last_event_id: str | None,
        may_reuse_connection: bool,
    ) -> OutgoingRequest:
        """The request as it goes to a target now."""
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
