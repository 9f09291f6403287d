"""Test site of the platform in one process: store, engines and a plain service.

The targets write their entries to the store periodically, as those of the platform do.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from aiohttp import web

from burdockhaven_standins.platform_store import PlatformStoreStandin
from burdockhaven_standins.platform_targets import (
    PlatformEngine,
    PlatformService,
    TargetRecord,
)
from burdockhaven_standins.step_engine import StepEngineConfig

HOST = "one.example"
PLAIN_SERVICE = "app"
ENGINE_SERVICE = "llm"
# Seconds between two writes of the entry of a target.
REGISTRATION_INTERVAL_S = 0.5
# Seconds that a call to the plain service takes.
CALL_S = 0.02
ROUTES = (
    {
        "name": "plain",
        "host": HOST,
        "prefix": "/plain/",
        "kind": "unsafe",
        "timeout_ms": 5000,
        "target_latency_ms": 100,
        "priority": 1,
        "service": PLAIN_SERVICE,
    },
    {
        "name": "stream",
        "host": HOST,
        "prefix": "/stream/",
        "kind": "streaming",
        "timeout_ms": 15000,
        "target_latency_ms": 600,
        "priority": 0,
        "service": ENGINE_SERVICE,
        "max_attempts": 2,
        "resumable": True,
        "sticky": True,
        "target_gap_ms": 300,
    },
)


def configuration(version: int, api_keys: list[str]) -> bytes:
    """Encode a configuration: two routes, two services, one client account."""
    config = StepEngineConfig()
    engine = {
        "slots": config.slots,
        "kv_capacity": config.memory_tokens,
        "stride": config.tokens_per_event,
    }
    body = {
        "version": version,
        "routes": ROUTES,
        "services": [
            {"name": PLAIN_SERVICE},
            {"name": ENGINE_SERVICE, "engine": engine},
        ],
        "tenants": [{"name": "acme", "api_keys": api_keys}],
    }
    return json.dumps(body).encode()


@dataclass(slots=True)
class PlatformSite:
    """The store and the targets, on loopback.

    Without any target given, it has one plain service and the engines.
    """

    # Software version of each engine.
    engine_versions: tuple[str, ...] = ("v1", "v1")
    store: PlatformStoreStandin = field(default_factory=PlatformStoreStandin)
    services: list[PlatformService] = field(default_factory=list)
    engines: list[PlatformEngine] = field(default_factory=list)
    store_address: str = ""
    # Addresses of the targets, by target id.
    addresses: dict[str, str] = field(default_factory=dict)
    runners: dict[str, web.AppRunner] = field(default_factory=dict)
    registration_task: asyncio.Task[None] | None = None
    # Returns the address that others use for a server, given its name and address;
    # None if they reach it directly.
    connect_through: Callable[[str, str], Awaitable[str]] | None = None

    async def start(self) -> None:
        """Serve the store and all targets; publish version 1 and register targets."""
        self.store_address = await self._serve("store", self.store.application())
        if not self.services and not self.engines:
            self._add_default_targets()
        for service in self.services:
            await self._serve_target(service)
        for engine in self.engines:
            await self._serve_target(engine)
        self.publish(1, ["k1"])
        self.register()
        self.registration_task = asyncio.create_task(self._register_periodically())

    async def stop(self) -> None:
        """Stop all servers."""
        if self.registration_task is not None:
            self.registration_task.cancel()
        for runner in self.runners.values():
            await runner.cleanup()

    async def add_engine(self, engine: PlatformEngine) -> None:
        """Start another engine and register it."""
        await self._serve_target(engine)
        self.engines.append(engine)
        self.register()

    def deregister_engine(self, engine: PlatformEngine) -> None:
        """Remove the entry of an engine, which goes on serving."""
        self.engines.remove(engine)
        self.store.remove(f"servers/{engine.record.id}")

    async def stop_engine(self, engine: PlatformEngine) -> None:
        """Stop an engine that is no longer registered."""
        await self.runners.pop(engine.record.id).cleanup()

    def publish(self, version: int, api_keys: list[str]) -> None:
        """Write a configuration to the store, as the operator does."""
        self.store.put("op/config", configuration(version, api_keys))

    def register(self) -> None:
        """Write the entries of all targets, unless the store is down."""
        if self.store.faults.down:
            return
        for record in self.records():
            address = self.addresses[record.id]
            self.store.put(f"servers/{record.id}", record.store_entry(address))

    def records(self) -> list[TargetRecord]:
        """Return the records of all targets."""
        services = [service.record for service in self.services]
        return services + [engine.record for engine in self.engines]

    def runs_of(self, attempt: str) -> int:
        """Return how many times a request was executed, over all targets."""
        return sum(record.runs[attempt] for record in self.records())

    async def _register_periodically(self) -> None:
        while True:
            await asyncio.sleep(REGISTRATION_INTERVAL_S)
            self.register()

    def _add_default_targets(self) -> None:
        plain = TargetRecord("i-app", PLAIN_SERVICE, 4)
        self.services.append(PlatformService(plain, CALL_S))
        config = StepEngineConfig()
        for number, version in enumerate(self.engine_versions):
            record = TargetRecord(
                f"i-llm-{number}",
                ENGINE_SERVICE,
                config.slots,
                software_version=version,
            )
            self.engines.append(PlatformEngine(record, config))

    async def _serve_target(self, target: PlatformService | PlatformEngine) -> None:
        record = target.record
        self.addresses[record.id] = await self._serve(record.id, target.application())

    async def _serve(self, name: str, app: web.Application) -> str:
        runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.runners[name] = runner
        host, port = runner.addresses[0][:2]
        address = f"{host}:{port}"
        if self.connect_through is None:
            return address
        return await self.connect_through(name, address)
