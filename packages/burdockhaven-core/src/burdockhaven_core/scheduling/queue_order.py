"""Orders the queue of requests that wait for an engine."""

import dataclasses
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from burdockhaven_core.scheduling.peer_messages import PlacementRequest
from burdockhaven_core.scheduling.served_shares import (
    GUARANTEED_RATIO,
    RouteKey,
    Tier,
)

# Ratio of the weights of two adjacent route priorities; users value their requests in
# about this ratio. A greater weight sorts a request further back.
PRIORITY_FACTOR = 4.0
# Weight factor of a request whose first event is late; users value a late response at a
# third of one on time.
LATE_FACTOR = 3.0
# Weight factor of a late retry: it goes ahead of late new requests, whose clients may
# still retry, and behind requests that can be on time.
RETRY_FACTOR = 1.7
# Weight factor of a request whose account uses more than its part: it goes behind late
# requests of the others.
OVERDRAWN_FACTOR = 3.0
# Greatest weight of a request whose route is underserved: behind on-time requests of
# the first rank, ahead of late ones.
UNDERSERVED_WEIGHT = 1.5
# Seconds before its latency objective at which a request counts as late.
LATE_MARGIN_S = 0.2
# Shortest time in seconds that a run is assumed to need for its first event.
MIN_RUN_S = 0.25


@dataclass(frozen=True, slots=True)
class QueueClass:
    """Requests with the same rank in the queue."""

    service: str
    route: str
    # Priority between accounts.
    priority: int
    route_priority: int
    # 1 for requests that can be on time.
    late_factor: float
    # Whether the client was refused before, or a target has failed the request.
    is_retry: bool
    # Software version of the targets that may be used; empty for any.
    software_version: str = ""
    # Whether their accounts use more than their part of the engines.
    is_overdrawn: bool = False

    def is_same_line(self, other: "QueueClass") -> bool:
        """Whether the classes differ at most in the software version."""
        return self == dataclasses.replace(
            other, software_version=self.software_version
        )

    @property
    def route_key(self) -> RouteKey:
        """The route and the tier of the requests."""
        return (Tier(self.service, self.priority), self.route)

    @property
    def sort_key(self) -> tuple[int, float]:
        """The sort key by account priority and value; the lowest goes first.

        The value of a request falls with the priority of its route and once its first
        event is late. The measured cost of the routes has no part in it: it changes
        with the load, so that routes of nearly equal value would change places.
        """
        weight = PRIORITY_FACTOR**self.route_priority * self.late_factor
        if self.is_overdrawn:
            weight *= OVERDRAWN_FACTOR
        return (self.priority, weight)

    def rank(
        self, underserved: Mapping[RouteKey, float]
    ) -> tuple[int, bool, float, bool, bool]:
        """Return the rank in the queue, given the relative shares of some routes.

        Within the priority of their accounts, requests of underserved routes go ahead
        if they can be on time or come back after a refusal: of all others below the
        guaranteed share, else of those behind the first rank. At equal value, those
        that come back go first.
        """
        priority, weight = self.sort_key
        share = underserved.get(self.route_key)
        is_guaranteed = False
        can_be_helped = self.is_retry or self.late_factor == 1.0
        if share is not None and can_be_helped and not self.is_overdrawn:
            is_guaranteed = share < GUARANTEED_RATIO
            weight = min(weight, UNDERSERVED_WEIGHT)
        return (
            priority,
            not is_guaranteed,
            weight,
            self.is_overdrawn,
            not self.is_retry,
        )


@dataclass(slots=True)
class QueuedRequest:
    """A placement request in the queue; times are monotonic seconds."""

    request: PlacementRequest
    arrived_s: float
    # When the first event becomes late, and when the request is abandoned.
    objective_s: float
    deadline_s: float
    # Latest time at which the request can be sent.
    send_by_s: float
    # Whether the client was refused before, or a target has failed the request.
    is_retry: bool
    # Whether its account used more than its part of the engines when it arrived.
    is_overdrawn: bool = False
    # Until when each target is paused for the sender.
    paused_until_s: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_request(
        cls,
        request: PlacementRequest,
        was_refused: bool,
        now: float,
        *,
        is_overdrawn: bool = False,
    ) -> "QueuedRequest":
        """Create the queue entry of a request that arrives now."""
        deadline_s = now + request.deadline_ms / 1e3
        client_timeout_at_s = now + request.client_timeout_ms / 1e3
        return cls(
            request=request,
            arrived_s=now,
            objective_s=now + request.objective_ms / 1e3,
            deadline_s=deadline_s,
            send_by_s=min(deadline_s, client_timeout_at_s) - MIN_RUN_S,
            is_retry=request.is_retry or was_refused,
            is_overdrawn=is_overdrawn,
            paused_until_s=paused_until_s(request, now),
        )

    def unavailable(self, now: float) -> tuple[str, ...]:
        """Return the targets on which the request must not be placed now."""
        paused = (t for t, until_s in self.paused_until_s.items() if until_s > now)
        return (*self.request.excluded, *paused)

    def pause_left_s(self, targets: Iterable[str], now: float) -> float:
        """Return the seconds until one of the targets is usable; 0 without a pause."""
        left_s = (self.paused_until_s.get(target, now) - now for target in targets)
        return max(0.0, min(left_s, default=0.0))

    @property
    def late_at_s(self) -> float:
        """When the first event can no longer be expected on time."""
        return self.objective_s - LATE_MARGIN_S

    def queue_class(self, now: float) -> QueueClass:
        """Return the current class, which changes when the request becomes late.

        A resumed stream keeps the rank of one on time: its client has a part of the
        response already and waits for the next event, not for the first one.
        """
        factor = 1.0
        if self.late_at_s < now and not self.request.is_resumption:
            factor = RETRY_FACTOR if self.is_retry else LATE_FACTOR
        request = self.request
        return QueueClass(
            request.service,
            request.route,
            request.priority,
            request.route_priority,
            factor,
            self.is_retry,
            request.software_version,
            self.is_overdrawn,
        )


def paused_until_s(request: PlacementRequest, now: float) -> dict[str, float]:
    """Return until when each target is paused for the sender of a request."""
    return {paused.target: now + paused.left_ms / 1e3 for paused in request.paused}
