"""The operators' configuration as requests are routed by it.

`RoutingTable` is one version, immutable. It answers which route a request takes, which
account a key belongs to and which service gets the request.
"""

import enum
import random
from collections.abc import Mapping
from dataclasses import dataclass, field


class RouteKind(enum.Enum):
    """What may be repeated after a request was sent to a target."""

    # Idempotent: may run more than once.
    SAFE = "safe"
    # Runs at most once.
    UNSAFE = "unsafe"
    # A stream of events; repeated only where the route says that it resumes.
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A part of a route's requests that goes to one service."""

    service: str
    # Relative to the other shares of the route.
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host and path prefix."""

    name: str
    host: str
    # Begins and ends with a slash.
    prefix: str
    kind: RouteKind
    # Seconds after which a request gets its final answer.
    timeout_s: float
    # Seconds within which an answer, or the first event of a stream, is on time.
    objective_s: float
    # Longest pause in seconds between events that is on time; None where nothing is
    # streamed.
    pause_objective_s: float | None
    # Seconds without an event after which clients leave a stream.
    client_timeout_s: float
    # 0 is the most urgent.
    priority: int
    shares: tuple[ServiceShare, ...]
    # Targets that one request may run on.
    max_attempts: int
    # Whether requests need no key.
    public: bool
    # Whether the requests carry prompts that targets cache.
    sticky: bool
    # Whether a stream may continue at another target.
    resumable: bool

    @property
    def idempotent(self) -> bool:
        """Whether a request may run again after a failure of unknown outcome."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.SAFE

    def pick_service(self, rng: random.Random) -> str:
        """The service for one request, drawn by the weights of the shares."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return rng.choices(self.shares, weights)[0].service


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """What a service says of its model engines."""

    # Requests in one batch.
    slots: int
    # Tokens of prompts and answers that one engine keeps.
    cache_tokens: int
    # Tokens in one event of a stream.
    tokens_per_event: int


@dataclass(frozen=True, slots=True)
class Service:
    """Targets that can serve each other's requests."""

    name: str
    # Connections that one target accepts from all callers.
    max_connections: int
    # None for plain services.
    engine: EngineLimits | None


@dataclass(frozen=True, slots=True)
class Account:
    """A client account with its quota."""

    name: str
    # Takes precedence over the route's priority; None leaves that in force.
    priority: int | None
    # Quota units a second; 0 means no limit.
    rate_per_s: float
    # Quota units beyond the rate in one window.
    burst: float
    # Whether the quota counts tokens; requests otherwise.
    counts_tokens: bool
    # Tokens that a request without a count of its own is charged.
    default_tokens: int


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What clients may send."""

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
    # Accounts by API key; None if requests need no key.
    account_of_key: Mapping[str, Account] | None
    limits: ClientLimits
    # Routes by host, the longest prefix first.
    by_host: Mapping[str, tuple[Route, ...]] = field(repr=False)

    @classmethod
    def from_parts(
        cls,
        version: int,
        routes: tuple[Route, ...],
        services: Mapping[str, Service],
        account_of_key: Mapping[str, Account] | None,
        limits: ClientLimits,
    ) -> "RoutingTable":
        """A table with its index of hosts."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        index = {
            host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
            for host, found in by_host.items()
        }
        return cls(version, routes, services, account_of_key, limits, index)

    def find_route(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix that begins the path; None if none does."""
        for route in self.by_host.get(_without_port(host).lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
