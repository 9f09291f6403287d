"""Test site of the platform in one process: store, engines and a plain service.

The targets write their entries to the store periodically, as those of the platform do.
"""

import asyncio
import itertools
import json
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field

from aiohttp import web

from burdockhaven_standins.platform_store import PlatformStoreStandin
from burdockhaven_standins.platform_targets import (
    EngineCrash,
    PlatformEngine,
    PlatformService,
    TargetRecord,
)
from burdockhaven_standins.ports import free_address
from burdockhaven_standins.step_engine import StepEngineConfig

HOST = "one.example"
PLAIN_SERVICE = "app"
ENGINE_SERVICE = "llm"
# Seconds between two writes of the entry of a target.
REGISTRATION_INTERVAL_S = 0.5
# Seconds after which the entry of a target that crashed is gone.
ENTRY_LIFETIME_S = 1.0
# Seconds that a call to the plain service takes.
CALL_S = 0.02
# Header fields that a target accepts; the platform limits only their bytes.
MAX_HEADER_FIELDS = 32_768
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


def configuration(
    version: int,
    api_keys: list[str],
    routes: Sequence[Mapping[str, object]] = ROUTES,
    limits: Mapping[str, float] | None = None,
) -> bytes:
    """Encode a configuration: routes, their services, one client account.

    `limits` are those of client requests; None for the defaults.
    """
    config = StepEngineConfig()
    engine = {
        "slots": config.slots,
        "kv_capacity": config.memory_tokens,
        "stride": config.tokens_per_event,
    }
    body: dict[str, object] = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name} | ({"engine": engine} if name == ENGINE_SERVICE else {})
            for name in dict.fromkeys(route["service"] for route in routes)
        ],
        "tenants": [{"name": "acme", "api_keys": api_keys}],
    }
    if limits is not None:
        body["limits"] = limits
    return json.dumps(body).encode()


def _ignore_engine(engine: PlatformEngine) -> None:
    """Do nothing."""


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
    routes: Sequence[Mapping[str, object]] = ROUTES
    # Limits of client requests in the configuration; None for the defaults.
    limits: Mapping[str, float] | None = None
    store_address: str = ""
    # Addresses of the targets, by target id.
    addresses: dict[str, str] = field(default_factory=dict)
    runners: dict[str, web.AppRunner] = field(default_factory=dict)
    # Crashes of engines in order of time.
    crashes: list[EngineCrash] = field(default_factory=list)
    # Records of engines that returned from a crash under a new id.
    former_records: list[TargetRecord] = field(default_factory=list)
    # Engines on their way back from a crash.
    returns: set[asyncio.Task[None]] = field(default_factory=set)
    start_numbers: "itertools.count[int]" = field(
        default_factory=lambda: itertools.count(2)
    )
    # Called when an engine has crashed, and when it has returned.
    on_crash: Callable[[PlatformEngine], None] = _ignore_engine
    on_return: Callable[[PlatformEngine], None] = _ignore_engine
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
        for task in self.returns:
            task.cancel()
        ends = await asyncio.gather(*self.returns, return_exceptions=True)
        for runner in self.runners.values():
            await runner.cleanup()
        for end in ends:
            if isinstance(end, Exception):
                raise end

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
        """Stop an engine that is no longer registered and may have crashed."""
        runner = self.runners.pop(engine.record.id, None)
        if runner is not None:
            await runner.cleanup()

    def publish(self, version: int, api_keys: list[str]) -> None:
        """Write a configuration to the store, as the operator does."""
        body = configuration(version, api_keys, self.routes, self.limits)
        self.store.put("op/config", body)

    def register(self) -> None:
        """Write the entries of all targets that serve, unless the store is down."""
        if self.store.faults.down:
            return
        down = {engine.record.id for engine in self.engines if engine.is_down}
        for record in self.records():
            if record.id in down:
                continue
            address = self.addresses[record.id]
            self.store.put(f"servers/{record.id}", record.store_entry(address))

    def records(self) -> list[TargetRecord]:
        """Return the records of all targets."""
        services = [service.record for service in self.services]
        return services + [engine.record for engine in self.engines]

    def runs_of(self, attempt: str) -> int:
        """Return how many times a request was executed, over all targets."""
        records = self.records() + self.former_records
        return sum(record.runs[attempt] for record in records)

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

    async def _serve_target(
        self, target: PlatformService | PlatformEngine, address: str | None = None
    ) -> None:
        """Serve a target at an address, or at a free one."""
        if isinstance(target, PlatformEngine):
            target.on_crash = self._crash_handler(target)
        record = target.record
        app = target.application()
        self.addresses[record.id] = await self._serve(record.id, app, address)

    def _crash_handler(self, engine: PlatformEngine) -> Callable[[EngineCrash], None]:
        def handle(crash: EngineCrash) -> None:
            runner = self.runners.pop(crash.target, None)
            if runner is None:
                # It is being stopped.
                return
            self.crashes.append(crash)
            _abort_connections(runner)
            self.on_crash(engine)
            self.returns.add(asyncio.create_task(self._return_engine(engine, runner)))

        return handle

    async def _return_engine(
        self, engine: PlatformEngine, runner: web.AppRunner
    ) -> None:
        """Keep a crashed engine down for its time and serve it again."""
        record = engine.record
        crashing = record.faults.crashing_parts
        assert crashing is not None
        loop = asyncio.get_running_loop()
        crashed_s = loop.time()
        host, port = runner.addresses[0][:2]
        for listener in list(runner.sites):
            await listener.stop()
        # Those that were accepted since the crash.
        _abort_connections(runner)
        await runner.cleanup()
        up_s = crashed_s + crashing.down_s
        gone_s = min(up_s, crashed_s + ENTRY_LIFETIME_S)
        await asyncio.sleep(max(0.0, gone_s - loop.time()))
        self.store.remove(f"servers/{record.id}")
        await asyncio.sleep(max(0.0, up_s - loop.time()))
        faults = record.faults
        if engine not in self.engines or faults.draining or faults.leaving:
            return
        target = record.id
        if crashing.has_new_id:
            self.former_records.append(record)
            target = f"{engine.first_id}-{next(self.start_numbers)}"
        engine.begin_new_start(target)
        await self._serve_target(engine, f"{host}:{port}")
        engine.is_down = False
        self.on_return(engine)
        self.register()

    async def _serve(
        self, name: str, app: web.Application, address: str | None = None
    ) -> str:
        runner = web.AppRunner(
            app,
            handler_cancellation=True,
            shutdown_timeout=0.1,
            max_headers=MAX_HEADER_FIELDS,
        )
        await runner.setup()
        # The port stays reserved while nothing listens on it.
        address = address or free_address()
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port)).start()
        self.runners[name] = runner
        if self.connect_through is None:
            return address
        return await self.connect_through(name, address)


def _abort_connections(runner: web.AppRunner) -> None:
    assert runner.server is not None
    for connection in runner.server.connections:
        if connection.transport is not None:
            connection.transport.abort()
