"""Shares of the requests that are granted an engine, by route and account priority.

In overload, strict order by rank leaves nothing for the routes of the lowest rank.
Therefore each route is guaranteed a part of what the other routes of the same service
and account priority get, measured over a short window.
"""

from dataclasses import dataclass

from burdockhaven_core.scheduling.peer_messages import PlacementRequest
from burdockhaven_core.sliding_window import SlidingWindow

# Seconds over which arrivals and grants are counted.
WINDOW_S = 2.0
# Served share that a route is guaranteed, relative to its tier; users count a kind of
# request as starved at half of it.
GUARANTEED_RATIO = 0.5
# Relative share up to which a route is helped, but not ahead of the first rank.
FAIR_RATIO = 0.8


@dataclass(frozen=True, slots=True)
class Tier:
    """Requests that compete under the same account priority."""

    service: str
    priority: int

    @classmethod
    def from_request(cls, request: PlacementRequest) -> "Tier":
        """Return the tier of a placement request."""
        return cls(request.service, request.priority)


# A route and the tier in which its requests compete.
RouteKey = tuple[Tier, str]


class _Counts:
    """Arrivals and grants within the window."""

    def __init__(self) -> None:
        self.arrivals = SlidingWindow(WINDOW_S)
        self.grants = SlidingWindow(WINDOW_S)


class ServedShares:
    """Arrivals and grants of each route, as seen by one broker."""

    def __init__(self) -> None:
        self.tiers: dict[Tier, dict[str, _Counts]] = {}

    def record_arrival(self, request: PlacementRequest, now: float) -> None:
        """Count a request that a client sends for the first time."""
        self._counts(request).arrivals.add(1.0, now)

    def record_grant(self, request: PlacementRequest, now: float) -> None:
        """Count a request that was granted an engine."""
        self._counts(request).grants.add(1.0, now)

    def guaranteed_per_s(self, route_key: RouteKey, now: float) -> float:
        """Return the grants per second that a route is guaranteed."""
        tier, route = route_key
        counts = self.tiers.get(tier, {}).get(route)
        if counts is None:
            return 0.0
        share = GUARANTEED_RATIO * self._share(tier, now)
        return share * counts.arrivals.sum(now) / WINDOW_S

    def underserved_routes(self, now: float) -> dict[RouteKey, float]:
        """Return the relative shares of the routes that get less than is fair.

        A relative share is the served share of a route divided by that of its tier. The
        routes lack at least one whole request, so that a route with few requests is not
        underserved by the first one that waits.
        """
        found = {}
        for tier, routes in self.tiers.items():
            tier_share = self._share(tier, now)
            for route, counts in routes.items():
                even = tier_share * counts.arrivals.sum(now)
                grants = counts.grants.sum(now)
                if grants + 1 <= FAIR_RATIO * even:
                    found[tier, route] = grants / even
        return found

    def discard_idle(self, now: float) -> None:
        """Discard the counts of routes without a request within the window."""
        for tier, routes in list(self.tiers.items()):
            for route, counts in list(routes.items()):
                if not counts.arrivals.sum(now) and not counts.grants.sum(now):
                    del routes[route]
            if not routes:
                del self.tiers[tier]

    def _share(self, tier: Tier, now: float) -> float:
        """Return the share of a tier's requests that were granted an engine."""
        routes = self.tiers[tier].values()
        arrivals = sum(counts.arrivals.sum(now) for counts in routes)
        grants = sum(counts.grants.sum(now) for counts in routes)
        return min(1.0, grants / arrivals) if arrivals else 1.0

    def _counts(self, request: PlacementRequest) -> _Counts:
        routes = self.tiers.setdefault(Tier.from_request(request), {})
        found = routes.get(request.route)
        if found is None:
            found = routes[request.route] = _Counts()
        return found
