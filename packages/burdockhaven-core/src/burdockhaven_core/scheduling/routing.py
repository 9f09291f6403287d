"""Routing table built from the operators' configuration.

A `RoutingTable` is one immutable version of the configuration. It maps a request to its
route, an API key to its account and a route to its services.
"""

import enum
import random
from collections.abc import Mapping
from dataclasses import dataclass, field


class RouteKind(enum.Enum):
    """Whether a request may be sent again after it was sent to a target."""

    # Idempotent: the request may run more than once.
    SAFE = "safe"
    # Not idempotent: the request must not run twice.
    UNSAFE = "unsafe"
    # The response is a stream of events; sent again only if the route is resumable.
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Weight of one service among the services of a route."""

    service: str
    # Relative to the other shares of the route.
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Settings for the requests of one host and path prefix."""

    name: str
    host: str
    # Begins and ends with a slash.
    prefix: str
    kind: RouteKind
    # Seconds within which a request gets its final response.
    timeout_s: float
    # Seconds within which a response, or the first event of a stream, is on time.
    objective_s: float
    # Longest pause in seconds between events that is on time; None for routes without
    # streams.
    pause_objective_s: float | None
    # Seconds without an event after which clients disconnect from a stream.
    client_timeout_s: float
    # 0 is the most urgent.
    priority: int
    shares: tuple[ServiceShare, ...]
    # Maximum number of targets that one request may be sent to.
    max_attempts: int
    # Whether requests need no API key.
    public: bool
    # Whether requests carry prompts whose prefixes the targets cache.
    sticky: bool
    # Whether another target may continue an interrupted stream.
    resumable: bool

    @property
    def idempotent(self) -> bool:
        """Whether a request may be sent again after a failure of unknown outcome."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.SAFE

    def pick_service(self, rng: random.Random) -> str:
        """Draw the service for one request by the weights of the shares."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return rng.choices(self.shares, weights)[0].service


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Limits of the model engines of a service."""

    # Maximum number of requests in one batch.
    slots: int
    # Tokens of prompts and responses that the cache of one engine holds.
    cache_tokens: int
    # Tokens per event of a stream.
    tokens_per_event: int


@dataclass(frozen=True, slots=True)
class Service:
    """Group of interchangeable targets."""

    name: str
    # Maximum number of connections that one target accepts from all callers.
    max_connections: int
    # None for plain services.
    engine: EngineLimits | None


@dataclass(frozen=True, slots=True)
class Account:
    """A client account with its quota."""

    name: str
    # Takes precedence over the route's priority unless None.
    priority: int | None
    # Quota units per second; 0 means no limit.
    rate_per_s: float
    # Quota units allowed in one window in addition to the rate.
    burst: float
    # Whether the quota counts tokens rather than requests.
    counts_tokens: bool
    # Tokens charged for a request that states no token counts.
    default_tokens: int


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the requests and connections of clients."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    # Accounts by API key; None if requests need no API key.
    account_of_key: Mapping[str, Account] | None
    limits: ClientLimits
    # Routes by host, the longest prefix first.
    by_host: Mapping[str, tuple[Route, ...]] = field(repr=False)
    # Whether any account has a priority.
    has_account_priorities: bool

    @classmethod
    def from_parts(
        cls,
        version: int,
        routes: tuple[Route, ...],
        services: Mapping[str, Service],
        account_of_key: Mapping[str, Account] | None,
        limits: ClientLimits,
    ) -> "RoutingTable":
        """Create a table and its index of routes by host."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        index = {
            host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
            for host, found in by_host.items()
        }
        accounts = (account_of_key or {}).values()
        has_priorities = any(account.priority is not None for account in accounts)
        return cls(
            version, routes, services, account_of_key, limits, index, has_priorities
        )

    def priority_of(self, route: Route, account: Account | None) -> int:
        """Return the priority between accounts of a request; 0 is the most urgent.

        An account without a priority competes by that of the route. If no account has
        one, all requests have the same: their routes then share the engines by rank and
        by what each is guaranteed, and none is strictly behind another.
        """
        if account is not None and account.priority is not None:
            return account.priority
        return route.priority if self.has_account_priorities else 0

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix; None if none matches."""
        for route in self.by_host.get(_without_port(host).lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
