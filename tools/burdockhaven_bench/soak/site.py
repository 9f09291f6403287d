"""Sites of the soak: services, targets, routes, accounts and their configurations."""

import json
from dataclasses import dataclass

from burdockhaven_bench.soak.history import Configuration, RouteFacts
from burdockhaven_standins.platform_site import HOST, PlatformSite
from burdockhaven_standins.platform_targets import (
    PlatformEngine,
    PlatformService,
    TargetRecord,
)
from burdockhaven_standins.step_engine import StepEngineConfig

ENGINE_SERVICE = "llm"
PLAIN_SERVICES = ("app-a", "app-b")
# Key that every configuration contains.
STABLE_KEY = "stable"
TOKENS_PER_EVENT = 12
# Seconds that a call to a plain service takes.
CALL_S = 0.03
MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class Route:
    """A route and its entry in the configuration."""

    name: str
    kind: str
    # Service; None if each configuration moves the route to another plain service.
    service: str | None
    timeout_ms: int
    max_attempts: int = 2
    is_resumable: bool = False

    @property
    def path(self) -> str:
        """A path that selects the route."""
        return f"/{self.name}/x"

    @property
    def facts(self) -> RouteFacts:
        """What the oracle knows of the route."""
        return RouteFacts(
            is_idempotent=self.kind == "safe" or self.is_resumable,
            is_streaming=self.kind == "streaming",
            timeout_s=self.timeout_ms / MS_PER_S,
            max_attempts=self.max_attempts,
        )

    def entry(self, moving_service: str) -> dict[str, object]:
        """Return the entry of the configuration."""
        entry: dict[str, object] = {
            "name": self.name,
            "host": HOST,
            "prefix": f"/{self.name}/",
            "kind": self.kind,
            "timeout_ms": self.timeout_ms,
            "target_latency_ms": 600,
            "priority": 1,
            "service": self.service or moving_service,
            "max_attempts": self.max_attempts,
        }
        if self.kind == "streaming":
            entry |= {
                "resumable": self.is_resumable,
                "sticky": True,
                "target_gap_ms": 300,
            }
        return entry


ROUTES = {
    route.name: route
    for route in (
        Route("safe", "safe", "app-a", 5_000),
        Route("unsafe", "unsafe", "app-a", 5_000, max_attempts=1),
        Route("moving", "safe", None, 5_000),
        Route("resumable", "streaming", ENGINE_SERVICE, 15_000, is_resumable=True),
        Route("once", "streaming", ENGINE_SERVICE, 15_000, max_attempts=1),
    )
}


@dataclass(frozen=True, slots=True)
class SoakSite:
    """The targets of a site."""

    # Software version and slowness of each engine.
    engines: tuple[tuple[str, float], ...]
    # Number of targets of each plain service.
    plain_targets: int
    # Concurrent requests of one engine.
    slots: int

    def build(self) -> PlatformSite:
        """Create the stand-ins."""
        services = [
            PlatformService(TargetRecord(f"i-{name}-{number}", name, 8), CALL_S)
            for name in PLAIN_SERVICES
            for number in range(self.plain_targets)
        ]
        engines = [
            self.engine(f"i-llm-{number}", version, slowness)
            for number, (version, slowness) in enumerate(self.engines)
        ]
        return PlatformSite(services=services, engines=engines)

    def engine(self, target: str, version: str, slowness: float) -> PlatformEngine:
        """Create an engine."""
        config = StepEngineConfig(
            slots=self.slots, tokens_per_event=TOKENS_PER_EVENT, slowness=slowness
        )
        record = TargetRecord(
            target, ENGINE_SERVICE, self.slots, software_version=version
        )
        return PlatformEngine(record, config)

    def configuration(self, version: int) -> bytes:
        """Encode a configuration; each replaces a key and moves a route."""
        config = StepEngineConfig()
        engine = {
            "slots": self.slots,
            "kv_capacity": config.memory_tokens,
            "stride": TOKENS_PER_EVENT,
        }
        moving_service = _moving_service(version)
        body = {
            "version": version,
            "routes": [route.entry(moving_service) for route in ROUTES.values()],
            "services": [
                *({"name": name} for name in PLAIN_SERVICES),
                {"name": ENGINE_SERVICE, "engine": engine},
            ],
            "tenants": [
                {"name": "acme", "api_keys": [STABLE_KEY]},
                {"name": "beta", "api_keys": [rotating_key(version)]},
            ],
        }
        return json.dumps(body).encode()


def configuration_record(version: int, acknowledged_s: float) -> Configuration:
    """Describe a configuration for the oracle."""
    services = {
        route.name: route.service or _moving_service(version)
        for route in ROUTES.values()
    }
    keys = frozenset({STABLE_KEY, rotating_key(version)})
    return Configuration(version, acknowledged_s, keys, services)


def rotating_key(version: int) -> str:
    """Return the key that only this version contains."""
    return f"key-{version}"


def _moving_service(version: int) -> str:
    return PLAIN_SERVICES[version % len(PLAIN_SERVICES)]


SITES = {
    # Two software versions side by side, two engines each, of unlike speed.
    "mixed": SoakSite(
        engines=(("v1", 1.0), ("v1", 1.5), ("v2", 1.0), ("v2", 1.3)),
        plain_targets=2,
        slots=12,
    ),
    # One software version and fewer slots than the clients use at their peak.
    "tight": SoakSite(engines=(("v1", 1.0), ("v1", 1.4)), plain_targets=1, slots=8),
}
