"""Decodes the operators' configuration from its format in the store."""

import msgspec

from burdockhaven_core.scheduling.routing import (
    Account,
    ClientLimits,
    EngineLimits,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    ServiceShare,
)
from burdockhaven_core.value_ranges import (
    Count,
    Integer,
    Name,
    NotNegative,
    Rate,
    SpanMs,
)
from burdockhaven_entry.platform.decode_errors import DECODE_ERRORS

MS_PER_S = 1_000.0
TOKENS_UNIT = "tokens"
# Clients disconnect from a stream after a pause of two seconds, four times the latency
# objective or eight times the pause objective, whichever is longest. The platform's
# protocol description gives these numbers.
MIN_CLIENT_TIMEOUT_S = 2.0
CLIENT_TIMEOUT_OBJECTIVE_FACTOR = 4.0
CLIENT_TIMEOUT_PAUSE_FACTOR = 8.0


class ConfigurationError(ValueError):
    """The bytes do not hold a valid configuration."""


class _Split(msgspec.Struct):
    service: Name
    weight: Rate


class _Route(msgspec.Struct):
    name: Name
    host: str
    prefix: str
    kind: str
    timeout_ms: SpanMs
    # In the platform's names, "target" means the objective here, not a server.
    target_latency_ms: SpanMs = 0.0
    priority: Integer = 0
    # Used instead of `split` if all requests go to one service.
    service: Name | None = None
    split: list[_Split] = []
    max_attempts: Integer = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    target_gap_ms: SpanMs | None = None


class _Engine(msgspec.Struct):
    slots: Count
    kv_capacity: NotNegative = 500_000
    # Tokens in one event of a stream.
    stride: Count = 1


class _Service(msgspec.Struct):
    name: Name
    max_conns: Count = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: NotNegative = 16_384
    max_body_bytes: NotNegative = 4_194_304
    header_timeout_ms: SpanMs = 3_000.0
    idle_timeout_ms: SpanMs = 15_000.0


class _Tenant(msgspec.Struct):
    name: Name
    api_keys: list[str] = []
    priority: Integer | None = None
    unit: str = ""
    uncached_tokens: Count = 0
    rate_per_s: Rate = 0.0
    burst: Rate = 0.0


class _Configuration(msgspec.Struct):
    version: NotNegative
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


_decoder = msgspec.json.Decoder(_Configuration)


def read_configuration(data: bytes) -> RoutingTable:
    """Decode the routing table of one version; raises `ConfigurationError`."""
    try:
        raw = _decoder.decode(data)
        return RoutingTable.from_parts(
            version=raw.version,
            routes=tuple(_route(route) for route in raw.routes),
            services={service.name: _service(service) for service in raw.services},
            account_of_key=_accounts_by_key(raw.tenants),
            limits=_client_limits(raw.limits),
        )
    except (*DECODE_ERRORS, ValueError) as error:
        raise ConfigurationError(str(error)) from error


def _route(raw: _Route) -> Route:
    if raw.split:
        shares = tuple(ServiceShare(part.service, part.weight) for part in raw.split)
    elif raw.service is not None:
        shares = (ServiceShare(raw.service, 1.0),)
    else:
        raise ConfigurationError(f"route {raw.name} has neither a service nor a split")
    pause_objective_ms = raw.target_gap_ms
    objective_s = (raw.target_latency_ms or raw.timeout_ms) / MS_PER_S
    return Route(
        name=raw.name,
        host=raw.host,
        prefix=raw.prefix,
        kind=RouteKind(raw.kind),
        timeout_s=raw.timeout_ms / MS_PER_S,
        objective_s=objective_s,
        pause_objective_s=None
        if pause_objective_ms is None
        else pause_objective_ms / MS_PER_S,
        client_timeout_s=max(
            MIN_CLIENT_TIMEOUT_S,
            CLIENT_TIMEOUT_OBJECTIVE_FACTOR * objective_s,
            CLIENT_TIMEOUT_PAUSE_FACTOR * (pause_objective_ms or 0.0) / MS_PER_S,
        ),
        priority=raw.priority,
        shares=shares,
        max_attempts=max(1, raw.max_attempts),
        public=raw.public,
        sticky=raw.sticky,
        resumable=raw.resumable,
    )


def _service(raw: _Service) -> Service:
    engine = raw.engine
    limits = None
    if engine is not None:
        limits = EngineLimits(engine.slots, engine.kv_capacity, engine.stride)
    return Service(raw.name, raw.max_conns, limits)


def _accounts_by_key(raw: list[_Tenant] | None) -> dict[str, Account] | None:
    if raw is None:
        return None
    accounts = {}
    for tenant in raw:
        account = Account(
            name=tenant.name,
            priority=tenant.priority,
            rate_per_s=tenant.rate_per_s,
            burst=tenant.burst,
            counts_tokens=tenant.unit == TOKENS_UNIT,
            default_tokens=tenant.uncached_tokens,
        )
        accounts.update(dict.fromkeys(tenant.api_keys, account))
    return accounts


def _client_limits(raw: _Limits) -> ClientLimits:
    return ClientLimits(
        raw.max_header_bytes,
        raw.max_body_bytes,
        raw.header_timeout_ms / MS_PER_S,
        raw.idle_timeout_ms / MS_PER_S,
    )
