"""Orders the queue of requests that wait for an engine."""

from dataclasses import dataclass

from burdockhaven_core.scheduling.peer_messages import PlacementRequest
from burdockhaven_core.scheduling.route_costs import RouteCosts

# Ratio of the weights of two adjacent route priorities; users value their requests in
# about this ratio. A greater weight sorts a request further back.
PRIORITY_FACTOR = 4.0
# Weight factor of a request whose first event is late; users value a late response at a
# third of one on time.
LATE_FACTOR = 3.0
# Weight factor of a late retry: it goes ahead of late new requests, whose clients may
# still retry, and behind requests that can be on time.
RETRY_FACTOR = 1.7
# Seconds before its latency objective at which a request counts as late.
LATE_MARGIN_S = 0.2
# Shortest time in seconds that a run is assumed to need for its first event.
MIN_RUN_S = 0.25


@dataclass(frozen=True, slots=True)
class QueueClass:
    """Requests with the same rank in the queue."""

    service: str
    route: str
    # Priority of the account, or of the route if the account has none.
    priority: int
    route_priority: int
    # 1 for requests that can be on time.
    late_factor: float

    def sort_key(self, costs: RouteCosts) -> tuple[int, float]:
        """Return the sort key among the classes of a service; the lowest goes first.

        The account's priority decides first. Among equal priorities, classes are sorted
        by cost divided by value (the c-mu rule): the value falls with the route's
        priority and once the first event is late, and cheap requests go first at equal
        value because they delay the others little. The cost is the average of the
        route, so that large requests don't wait for small ones of the same route.
        """
        weight = PRIORITY_FACTOR**self.route_priority * self.late_factor
        return (self.priority, costs.average_s(self.route) * weight)


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

    @classmethod
    def from_request(
        cls, request: PlacementRequest, was_refused: bool, now: float
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
        )

    def queue_class(self, now: float) -> QueueClass:
        """Return the current class, which changes when the request becomes late."""
        factor = 1.0
        if self.objective_s - now < LATE_MARGIN_S:
            factor = RETRY_FACTOR if self.is_retry else LATE_FACTOR
        request = self.request
        return QueueClass(
            request.service,
            request.route,
            request.priority,
            request.route_priority,
            factor,
        )

    def sort_key(
        self, costs: RouteCosts, now: float
    ) -> tuple[tuple[int, float], bool, float]:
        """Return the sort key in the queue: class, retries first, then arrival."""
        class_key = self.queue_class(now).sort_key(costs)
        return (class_key, not self.is_retry, self.arrived_s)
