"""The order in which requests wait for an engine."""

from dataclasses import dataclass

from burdockhaven_core.scheduling.peer_messages import PlacementRequest
from burdockhaven_core.scheduling.route_costs import RouteCosts

# What each rank of a route counts against the one before it; the ranks of the users'
# routes differ in worth by about as much.
PRIORITY_FACTOR = 4.0
# What a request counts whose first event is late; late answers are worth a third.
LATE_FACTOR = 3.0
# The same for a client that was refused before: before late newcomers, which may still
# come back, and behind those that can be on time.
RETRY_FACTOR = 1.7
# Seconds before the objective at which a request counts as late.
LATE_MARGIN_S = 0.2
# Seconds from the send to the first event that are assumed at least.
MIN_RUN_S = 0.25


@dataclass(frozen=True, slots=True)
class QueueClass:
    """Requests that have one place in the order."""

    service: str
    route: str
    # Rank of the account, or of the route where the account has none.
    priority: int
    route_priority: int
    # 1 for what can be on time.
    late_factor: float

    def sort_key(self, costs: RouteCosts) -> tuple[int, float]:
        """Sorts the classes of a service; the lowest goes first.

        The account's rank comes first. Within it the weight falls with the route's rank
        and once the first event is late, and short requests go before long ones of like
        weight: they delay the others little (the c-mu rule). Costs are averages of the
        route, so that large requests do not wait for small ones of their kind.
        """
        weight = PRIORITY_FACTOR**self.route_priority * self.late_factor
        return (self.priority, costs.average_s(self.route) * weight)


@dataclass(slots=True)
class QueuedRequest:
    """A request in the queue; times are monotonic seconds."""

    request: PlacementRequest
    arrived_s: float
    # When the first event is late, and when the request is given up.
    objective_s: float
    deadline_s: float
    # When it has to be sent at the latest.
    send_by_s: float
    # Whether its client was refused before, or the request is sent again.
    is_retry: bool

    @classmethod
    def from_request(
        cls, request: PlacementRequest, was_refused: bool, now: float
    ) -> "QueuedRequest":
        """A question that arrives now."""
        deadline_s = now + request.deadline_ms / 1e3
        client_leaves_s = now + request.client_timeout_ms / 1e3
        return cls(
            request=request,
            arrived_s=now,
            objective_s=now + request.objective_ms / 1e3,
            deadline_s=deadline_s,
            send_by_s=min(deadline_s, client_leaves_s) - MIN_RUN_S,
            is_retry=request.is_retry or was_refused,
        )

    def queue_class(self, now: float) -> QueueClass:
        """Where it stands now."""
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
        """Sorts the queue: by class, returners first, then by arrival."""
        class_key = self.queue_class(now).sort_key(costs)
        return (class_key, not self.is_retry, self.arrived_s)
