"""A small deployment on loopback for the cases of the second review.

The daemons are the project's own processes, started with the command of the deploy
file. The store is the project's stand-in; servers, clients and the operator are here.
"""

import asyncio
import contextlib
import ctypes
import itertools
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from burdockhaven_standins.platform_store import PlatformStoreStandin

ROOT = Path(__file__).resolve().parents[2]
ATTEMPT = "X-Burdockhaven-Attempt-Id"
SIGNATURE = "X-Burdockhaven-Response-Signature"
NOT_EXECUTED = "X-Burdockhaven-Not-Executed"
EXPECT_INSTANCE = "X-Burdockhaven-Expect-Instance"
EXPECT_VERSION = "X-Burdockhaven-Expect-Version"
WEIGHT_VERSIONS = "X-Burdockhaven-Weight-Versions"
TOKEN_COUNTS = "X-Burdockhaven-Token-Counts"
PROMPT_PREFIX = "X-Burdockhaven-Prompt-Prefix"
DEADLINE = "X-Burdockhaven-Deadline-Ms"
LAST_EVENT_ID = "Last-Event-Id"
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
# Bounds of the sheet of the first deployment.
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "stable_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "strict_revoke": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 58,
    "quota_window_s": 8,
    "quota_excess": 0.1,
    "quota_slack": 140000,
    "recovery_s": 12,
    "pass_ms": 120,
    "retry_after_s": 10,
    "ttl_max_s": 5,
}
HEARTBEAT_S = 1.2
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
START_TIMEOUT_S = 20.0
# Option of prctl(2): the signal that a process gets when its parent ends.
PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None)


def trouble() -> bool:
    """Whether the disruption is to be caused."""
    return os.environ.get("TROUBLE", "1") != "0"


def _end_with_parent() -> None:
    """Have the kernel kill this process when the script ends, however it does."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def free_port(ip: str = "127.0.0.1") -> int:
    """Return a free TCP port of an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        port: int = sock.getsockname()[1]
        return port


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self.started_s = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def __call__(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        line = f"{time.monotonic() - self.started_s:8.3f}  {text}"
        self.file.write(line + "\n")
        self.file.flush()


@dataclass(slots=True)
class Run:
    """A request that a server began to run."""

    attempt: str
    method: str
    target: str
    body: bytes
    headers: dict[str, str]
    began_s: float


@dataclass(slots=True)
class Server:
    """A sound server; subclasses say what it answers."""

    id: str
    service: str
    record: Record
    slots: int = 6
    zone: str = "mu-north-a"
    version: str = "1.4"
    state: str = "ready"
    born: int = field(default_factory=lambda: int(time.time() * 1e3))
    seq: int = 0
    address: str = ""
    runs: list[Run] = field(default_factory=list)
    rejected: int = 0
    runner: web.AppRunner | None = None

    def entry(self) -> bytes:
        """Return the entry in the store."""
        self.seq += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "cold_left_ms": 0,
                "seq": self.seq,
                "born": self.born,
            }
        ).encode()

    async def listen(self) -> None:
        """Serve at its address, or at a free port the first time."""
        app = web.Application(client_max_size=2**24)
        app.router.add_route("*", "/{path:.*}", self.handle)
        self.runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.05
        )
        await self.runner.setup()
        self.address = self.address or f"127.0.0.1:{free_port()}"
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self.runner, host, int(port)).start()

    async def crash(self) -> None:
        """End at once: connections are reset and the port is closed."""
        assert self.runner is not None and self.runner.server is not None
        self.record(f"server {self.id} ({self.version}) ends")
        for site in list(self.runner.sites):
            await site.stop()
        for connection in self.runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        await self.runner.cleanup()
        self.runner = None

    def base_headers(self, attempt: str) -> dict[str, str]:
        """Return the headers of each answer."""
        return {ATTEMPT: attempt}

    def reject(self, status: int, attempt: str) -> web.Response:
        """Answer that the request has not run and will not."""
        self.rejected += 1
        headers = self.base_headers(attempt) | {NOT_EXECUTED: "1"}
        return web.Response(status=status, headers=headers)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a request, or a health check."""
        if request.path == "/healthz":
            headers = {"X-Burdockhaven-Instance-Id": self.id}
            return web.Response(headers=headers)
        attempt = request.headers.get(ATTEMPT, "")
        if not attempt:
            return self.reject(400, attempt)
        if request.headers.get(EXPECT_INSTANCE, self.id) != self.id:
            self.record(f"server {self.id} answers 421 to {attempt}: another id")
            return self.reject(421, attempt)
        refusal = self.refusal(request, attempt)
        if refusal is not None:
            return refusal
        body = await request.read()
        run = Run(
            attempt,
            request.method,
            request.raw_path,
            body,
            dict(request.headers),
            time.monotonic(),
        )
        self.runs.append(run)
        self.record(f"server {self.id} ({self.version}) runs {attempt}")
        return await self.answer(request, run)

    def refusal(self, request: web.Request, attempt: str) -> web.Response | None:
        """Return a further reason not to run a request; None if there is none."""
        return None

    async def answer(self, request: web.Request, run: Run) -> web.StreamResponse:
        """Run a request."""
        raise NotImplementedError


@dataclass(slots=True)
class PlainServer(Server):
    """A server of a plain service: each request takes `work_s`."""

    work_s: float = 0.02
    extra_headers: dict[str, str] = field(default_factory=dict)

    async def answer(self, request: web.Request, run: Run) -> web.StreamResponse:
        """Answer after the work."""
        await asyncio.sleep(self.work_s)
        headers = self.base_headers(run.attempt) | self.extra_headers
        headers[SIGNATURE] = f"{self.id}.{len(self.runs)}"
        return web.Response(body=f"done {run.attempt}".encode(), headers=headers)


@dataclass(slots=True)
class EngineServer(Server):
    """A model server: streams `events` events, `gap_s` apart, from Last-Event-Id on."""

    slots: int = 12
    weights: int = 4
    events: int = 20
    gap_s: float = 0.05
    first_s: float = 0.06

    def base_headers(self, attempt: str) -> dict[str, str]:
        """Return the headers of each answer, with the version of the weights."""
        return {ATTEMPT: attempt, WEIGHT_VERSIONS: str(self.weights)}

    def refusal(self, request: web.Request, attempt: str) -> web.Response | None:
        """Answer 421 to a request that expects other weights."""
        expected = request.headers.get(EXPECT_VERSION)
        if expected is None or expected == str(self.weights):
            return None
        self.record(
            f"server {self.id} answers 421 to {attempt}: it expects weights "
            f"{expected}, these are {self.weights}"
        )
        return self.reject(421, attempt)

    async def answer(self, request: web.Request, run: Run) -> web.StreamResponse:
        """Stream the events that the caller lacks."""
        headers = self.base_headers(run.attempt)
        headers[SIGNATURE] = f"{self.id}.{len(self.runs)}"
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        first = int(run.headers.get(LAST_EVENT_ID, "0")) + 1
        await asyncio.sleep(self.first_s)
        await response.prepare(request)
        for number in range(first, self.events + 1):
            data = f"id: {number}\ndata: {number} {self.version} {self.id}\n\n"
            await response.write(data.encode())
            if number < self.events:
                await asyncio.sleep(self.gap_s)
        return response


@dataclass(slots=True)
class Daemon:
    """A process of the project on one machine."""

    node: str
    ip: str
    listen: dict[str, str]
    process: asyncio.subprocess.Process
    log: Path

    @property
    def front(self) -> str:
        """The address for clients."""
        return self.listen["front"]


@dataclass(slots=True)
class Answer:
    """What a client has received for one attempt."""

    attempt: str
    # 0 if the connection ended without a complete head.
    status: int
    body: bytes
    headers: dict[str, str]
    # Whether the answer was complete.
    is_whole: bool
    seconds: float
    error: str = ""

    @property
    def is_served(self) -> bool:
        """Whether it is a whole success of a server."""
        return self.is_whole and self.status == 200 and SIGNATURE in self.headers


def route(name: str, kind: str, service: str, **values: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 5000,
        "target_latency_ms": 600,
        "priority": 0,
        "max_attempts": 2,
    } | values


ENGINE = {"slots": 12, "kv_capacity": 791_555, "stride": 6}
DEFAULT_ROUTES = (
    route("review", "streaming", "llm", resumable=True, sticky=True, target_gap_ms=300),
    route("record", "unsafe", "app", max_attempts=1),
    route("status", "safe", "app"),
)


class World:
    """Store, servers, daemons and clients of one deployment."""

    def __init__(self, case: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review2-"))
        self.record = Record(case)
        self.store = PlatformStoreStandin()
        self.store_runner: web.AppRunner | None = None
        self.store_address = f"127.0.0.1:{free_port()}"
        self.servers: list[Server] = []
        # Servers that renew their entries.
        self.registered: dict[str, Server] = {}
        self.daemons: dict[str, Daemon] = {}
        self.peer_port = 0
        self.attempts = itertools.count(1)
        self.tasks: list[asyncio.Task[None]] = []
        self.version = 0
        # The tenant's quota; none by default.
        self.quota: dict[str, Any] = {}

    async def start(
        self,
        servers: list[Server],
        machines: int,
        routes: tuple[dict[str, Any], ...] = DEFAULT_ROUTES,
    ) -> None:
        """Start everything and wait until each machine serves each route."""
        self.store_runner = web.AppRunner(
            self.store.application(), shutdown_timeout=0.05, handler_cancellation=True
        )
        await self.store_runner.setup()
        host, _, port = self.store_address.rpartition(":")
        await web.TCPSite(self.store_runner, host, int(port)).start()
        self.publish(routes)
        for server in servers:
            await server.listen()
            self.servers.append(server)
            self.register(server)
        self.tasks.append(asyncio.create_task(self._renew_entries()))
        self.peer_port = free_port()
        # One loopback address for each machine, apart from those of other cases.
        network = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}"
        plans = []
        for number in range(1, machines + 1):
            ip = f"{network}.{number}"
            names = ("front", "readiness", "control", "directory")
            listen = {name: f"{ip}:{free_port(ip)}" for name in names}
            plans.append((f"front-mu-north-a-{number}", ip, listen))
        seeds = [listen["control"] for _, _, listen in plans[:3]]
        await asyncio.gather(
            *(self.start_daemon(*plan, seeds, bootstrap=True) for plan in plans)
        )
        for daemon in self.daemons.values():
            await self.wait_until(lambda daemon=daemon: self.is_ready(daemon))
        await asyncio.sleep(2.0)

    def publish(self, routes: tuple[dict[str, Any], ...]) -> None:
        """Write a configuration, as the operator does."""
        self.version += 1
        services = sorted({str(r["service"]) for r in routes})
        body = {
            "version": self.version,
            "routes": list(routes),
            "services": [
                {"name": name, "health_path": "/healthz", "max_conns": 370}
                | ({"engine": ENGINE} if name == "llm" else {})
                for name in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": "hule930", "api_keys": [KEY]} | self.quota],
        }
        self.store.put("op/config", json.dumps(body).encode())

    def register(self, server: Server) -> None:
        """Let a server write its entry, now and periodically."""
        self.registered[server.id] = server
        if not self.store.faults.down:
            self.store.put(f"servers/{server.id}", server.entry())

    async def _renew_entries(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.store.faults.down:
                continue
            for server in list(self.registered.values()):
                if server.runner is not None:
                    self.store.put(f"servers/{server.id}", server.entry())

    async def start_daemon(
        self,
        node: str,
        ip: str,
        listen: dict[str, str],
        seeds: list[str],
        *,
        bootstrap: bool,
    ) -> Daemon:
        """Start a process as the platform does."""
        settings = {
            "node": node,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control", "directory"],
            "ip": ip,
            "zone": "mu-north-a",
            "region": "mu-north",
            "zones": {"mu-north-a": "mu-north"},
            "listen": listen,
            "port_range": [self.peer_port, self.peer_port + 15],
            "seeds": seeds,
            "bootstrap": bootstrap,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
            },
            "heartbeat_ms": int(HEARTBEAT_S * 1e3),
            "contracts": [
                *("base", "drain", "config", "cost", "retry", "recover", "engine"),
                *("stream", "tenants", "quota", "platform"),
            ],
            "bounds": BOUNDS,
            "platform": {
                "address": self.store_address,
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "min_ttl_ms": 1000,
            },
        }
        path = self.folder / f"{node}.yaml"
        # JSON is a subset of YAML.
        path.write_text(json.dumps(settings))
        log = self.folder / f"{node}.log"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        keep = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=keep
                | {
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "BURDOCKHAVEN_SETTINGS": str(path),
                },
                stdout=output,
                stderr=output,
                preexec_fn=_end_with_parent,
            )
        daemon = Daemon(node, ip, listen, process, log)
        self.daemons[node] = daemon
        self.record(f"machine {node} starts, front {daemon.front}")
        return daemon

    async def is_ready(self, daemon: Daemon) -> bool:
        """Whether a machine says that it is ready."""
        if daemon.process.returncode is not None:
            raise RuntimeError(f"{daemon.node} has ended: {daemon.process.returncode}")
        url = f"http://{daemon.listen['readiness']}/-/readyz"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            return response.status == 200

    async def wait_until(self, condition: Callable[[], Awaitable[bool]]) -> None:
        """Poll until a condition holds."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    if await condition():
                        return
                await asyncio.sleep(0.05)

    def new_attempt(self) -> str:
        """Return the id of a new attempt of a client."""
        return f"{os.getpid():x}-{next(self.attempts)}"

    async def send(
        self,
        daemon: Daemon,
        path: str,
        *,
        method: str = "POST",
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        deadline_ms: int = 5000,
        session: aiohttp.ClientSession | None = None,
        on_data: Callable[[bytes], None] = lambda data: None,
    ) -> Answer:
        """Send one attempt on a new connection, or on a kept one of a session."""
        attempt = self.new_attempt()
        sent = {
            "Host": HOST,
            ATTEMPT: attempt,
            DEADLINE: str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
        } | (headers or {})
        began_s = time.monotonic()
        status, got, received, error = 0, b"", {}, ""
        is_whole = False
        own = session is None
        used = session or aiohttp.ClientSession()
        extra = " ".join(f"{k}={v}" for k, v in (headers or {}).items())
        self.record(f"client sends {attempt} {method} {path} to {daemon.node} {extra}")
        try:
            async with (
                asyncio.timeout(deadline_ms / 1e3 + 1.0),
                used.request(
                    method,
                    f"http://{daemon.front}{path}",
                    headers=sent,
                    data=body or None,
                ) as response,
            ):
                status = response.status
                received = dict(response.headers)
                async for data in response.content.iter_any():
                    got += data
                    on_data(data)
                is_whole = True
        except (aiohttp.ClientError, TimeoutError, OSError) as failure:
            error = repr(failure)
        finally:
            if own:
                await used.close()
        seconds = time.monotonic() - began_s
        answer = Answer(attempt, status, got, received, is_whole, seconds, error)
        note = "whole" if is_whole else f"not whole: {error[:120]}"
        self.record(
            f"client gets {attempt}: {status or 'no answer'}, {note}, "
            f"{seconds * 1e3:.0f} ms"
        )
        return answer

    async def stop(self) -> None:
        """End all processes and servers."""
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons.values():
            if daemon.process.returncode is None:
                daemon.process.kill()
                await daemon.process.wait()
        for server in self.servers:
            if server.runner is not None:
                await server.runner.cleanup()
        if self.store_runner is not None:
            await self.store_runner.cleanup()
        shutil.rmtree(self.folder, ignore_errors=True)


def signal_daemon(world: World, daemon: Daemon, number: signal.Signals) -> None:
    """Send a signal to a process that this test has started."""
    world.record(f"{number.name} to {daemon.node}")
    daemon.process.send_signal(number)


def main(case_file: str, play: Callable[[World], Awaitable[int]]) -> None:
    """Play a case and exit with its result."""

    async def run() -> int:
        world = World(Path(case_file).parent)
        world.record(f"TROUBLE={int(trouble())}")
        try:
            async with asyncio.timeout(116.0):
                result = await play(world)
        except Exception as failure:
            world.record(f"the case could not run: {failure!r}")
            print(f"the case could not run: {failure!r}", file=sys.stderr)
            result = EXIT_NOT_RUN
        finally:
            if os.environ.get("KEEP_LOGS"):
                for daemon in world.daemons.values():
                    shutil.copy(daemon.log, os.environ["KEEP_LOGS"])
            await world.stop()
        world.record(f"exit {result}")
        return result

    sys.exit(asyncio.run(run()))
