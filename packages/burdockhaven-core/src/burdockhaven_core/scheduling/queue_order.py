"""Orders the queue of requests that wait for an engine."""

from collections.abc import Mapping
from dataclasses import dataclass

from burdockhaven_core.scheduling.peer_messages import PlacementRequest
from burdockhaven_core.scheduling.served_shares import STARVING_RATIO, Tier

# Ratio of the weights of two adjacent route priorities; users value their requests in
# about this ratio. A greater weight sorts a request further back.
PRIORITY_FACTOR = 4.0
# Weight factor of a request whose first event is late; users value a late response at a
# third of one on time.
LATE_FACTOR = 3.0
# Weight factor of a late retry: it goes ahead of late new requests, whose clients may
# still retry, and behind requests that can be on time.
RETRY_FACTOR = 1.7
# Greatest weight of a request that can be on time while its route gets less than it is
# guaranteed: behind on-time requests of the first rank, ahead of late ones.
UNDERSERVED_WEIGHT = 1.5
# The same if its route is starving: ahead of all others.
STARVING_WEIGHT = 0.0
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

    @property
    def sort_key(self) -> tuple[int, float]:
        """The sort key among the classes of a service; the lowest goes first.

        The account's priority decides first, then the value of a request, which falls
        with the route's priority and once the first event is late. The measured cost
        of the routes has no part in it: it changes with the load, so that routes of
        nearly equal value would change places.
        """
        return (self.priority, PRIORITY_FACTOR**self.route_priority * self.late_factor)


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
        self, underserved: Mapping[tuple[Tier, str], float], now: float
    ) -> tuple[tuple[int, float], bool, float]:
        """Return the sort key in the queue: class, retries first, then arrival."""
        return (self.class_key(underserved, now), not self.is_retry, self.arrived_s)

    def class_key(
        self, underserved: Mapping[tuple[Tier, str], float], now: float
    ) -> tuple[int, float]:
        """Return the sort key of the class, given the underserved routes.

        Requests of these routes go ahead, within the priority of their accounts, if
        they can be on time or come back after a refusal.
        """
        queue_class = self.queue_class(now)
        priority, weight = queue_class.sort_key
        share = underserved.get((Tier.from_request(self.request), self.request.route))
        if share is not None and (self.is_retry or queue_class.late_factor == 1.0):
            is_starving = share < STARVING_RATIO
            weight = min(weight, STARVING_WEIGHT if is_starving else UNDERSERVED_WEIGHT)
        return (priority, weight)
