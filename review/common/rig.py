"""Stand-ins and process control shared by the scripts of the review.

The store is the project's own stand-in. Plain servers, the proxy and the clients are
small ones of the review. All of them listen on loopback.
"""

import asyncio
import contextlib
import ctypes
import itertools
import json
import os
import random
import shlex
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

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "tools"), str(ROOT / "target" / "deps")]

import aiohttp  # noqa: E402
from aiohttp import web  # noqa: E402

from burdockhaven_standins.platform_store import PlatformStoreStandin  # noqa: E402

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
HOST = "review.example"
ATTEMPT = "X-Burdockhaven-Attempt-Id"
SIGNATURE = "X-Burdockhaven-Response-Signature"
NOT_EXECUTED = "X-Burdockhaven-Not-Executed"
EXPECT_INSTANCE = "X-Burdockhaven-Expect-Instance"
DEADLINE = "X-Burdockhaven-Deadline-Ms"
HEARTBEAT_S = 1.2
# Bounds of the standard deployments.
BOUNDS: dict[str, Any] = {
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
MEMORY_MB = 300
# Option of prctl(2): the signal that a process gets when its parent ends.
PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None)
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to a file, with times since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began_s = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began_s

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


# Below the range of ephemeral ports, so that no outgoing connection takes a port.
FIRST_PORT, LAST_PORT = 20_000, 31_000
# Machines of a case, each with a loopback address of its own.
MAX_MACHINES = 4
_given_ports: set[int] = set()


def free_port() -> int:
    """Return a port that is free on the loopback addresses, for TCP and UDP."""
    while True:
        port = random.randint(FIRST_PORT, LAST_PORT)
        if port not in _given_ports and _is_free(port):
            _given_ports.add(port)
            return port


def _is_free(port: int) -> bool:
    """Whether the port can be bound on all addresses of the machines."""
    with contextlib.ExitStack() as stack:
        for number in range(1, MAX_MACHINES + 1):
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                probe = stack.enter_context(socket.socket(type=kind))
                try:
                    probe.bind((f"127.0.0.{number}", port))
                except OSError:
                    return False
    return True


@dataclass
class PlainServer:
    """A server of a plain service, which answers as the pages say."""

    id: str
    service: str
    record: Record
    work_s: float = 0.02
    slots: int = 6
    born: int = 0
    seq: int = 0
    address: str = ""
    # Whether it writes its entry to the store.
    registers: bool = True
    # Replaces the answer of a request that runs, if set.
    misbehave: Callable[[web.Request], Awaitable[web.StreamResponse]] | None = None
    # Ids of the requests that it ran, with the time.
    runs: list[tuple[float, str]] = field(default_factory=list)

    async def start(self) -> None:
        """Serve at a free address."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._handle)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        port = free_port()
        await web.TCPSite(self.runner, "127.0.0.1", port).start()
        self.address = f"127.0.0.1:{port}"
        self.born = int(time.time() * 1e3)

    def entry(self) -> bytes:
        """Return the next entry for the store."""
        self.seq += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": "a",
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold_left_ms": 0,
                "seq": self.seq,
                "born": self.born,
            }
        ).encode()

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        if request.path == "/healthz":
            return web.Response(headers={"X-Burdockhaven-Instance-Id": self.id})
        attempt = request.headers.get(ATTEMPT, "")
        if request.headers.get(EXPECT_INSTANCE, self.id) != self.id:
            headers = {ATTEMPT: attempt, NOT_EXECUTED: "1"}
            return web.Response(status=421, headers=headers)
        await request.read()
        self.runs.append((self.record.now(), attempt))
        self.record.write(f"server {self.id} runs {attempt}")
        if self.misbehave is not None:
            return await self.misbehave(request)
        await asyncio.sleep(self.work_s)
        headers = {ATTEMPT: attempt, SIGNATURE: f"{self.id}.{attempt}"}
        return web.Response(body=f"done {attempt}".encode(), headers=headers)


class Proxy:
    """Forwards connections to an address; can silence those that are open."""

    def __init__(self, target: str) -> None:
        self.host, _, port = target.rpartition(":")
        self.port = int(port)
        self.address = ""
        self.silenced = 0
        # Whether new connections are reset.
        self.refuses = False
        # One for each open connection, set once it is silent for good.
        self.open: set[asyncio.Event] = set()

    async def start(self) -> None:
        """Listen at a free address."""
        port = free_port()
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"

    def silence_open_connections(self) -> int:
        """Pass nothing on for the open connections; new ones work."""
        count = len(self.open)
        for silent in self.open:
            silent.set()
        self.silenced += count
        return count

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refuses:
            writer.transport.abort()
            return
        silent = asyncio.Event()
        self.open.add(silent)
        try:
            far_reader, far_writer = await asyncio.open_connection(self.host, self.port)
            await asyncio.gather(
                self._pump(reader, far_writer, silent),
                self._pump(far_reader, writer, silent),
                return_exceptions=True,
            )
        finally:
            self.open.discard(silent)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        silent: asyncio.Event,
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if not silent.is_set():
                    writer.write(data)
                    await writer.drain()
            if silent.is_set():
                # The far end learns nothing of the close either.
                await asyncio.Event().wait()
        finally:
            writer.close()


@dataclass
class Daemon:
    """One process of the system."""

    node: str
    listen: dict[str, str]
    process: asyncio.subprocess.Process

    @property
    def front(self) -> str:
        """Return the address for clients."""
        return self.listen["front"]

    def memory_mb(self) -> float:
        """Return the resident memory of the process; 0 if it has ended."""
        with contextlib.suppress(OSError):
            for line in (
                Path(f"/proc/{self.process.pid}/status").read_text().split("\n")
            ):
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0


class Rig:
    """The store, the servers and the processes of the system."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.store = PlatformStoreStandin()
        self.servers: list[PlainServer] = []
        self.daemons: list[Daemon] = []
        self.peer_port = free_port()
        self.numbers = itertools.count(1)
        self.tasks: list[asyncio.Task[None]] = []
        self.client = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
        )
        self.log_path = folder / "daemons.log"

    async def start(self) -> None:
        """Start the store and a proxy before it."""
        self.runner = web.AppRunner(self.store.application(), shutdown_timeout=0.1)
        await self.runner.setup()
        port = free_port()
        await web.TCPSite(self.runner, "127.0.0.1", port).start()
        self.proxy = Proxy(f"127.0.0.1:{port}")
        await self.proxy.start()

    async def stop(self) -> None:
        """End all processes, and the stand-ins."""
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            if daemon.process.returncode is None:
                daemon.process.kill()
            await daemon.process.wait()
        await self.client.close()

    async def add_servers(self, servers: list[PlainServer]) -> None:
        """Start servers, which write their entries as often as the pages say."""
        for number, server in enumerate(servers):
            await server.start()
            self.servers.append(server)
            delay_s = HEARTBEAT_S * number / len(servers)
            self.tasks.append(asyncio.create_task(self._beat(server, delay_s)))

    async def _beat(self, server: PlainServer, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        while True:
            if server.registers:
                self.store.put(f"servers/{server.id}", server.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def publish(self, version: int, body: dict[str, Any]) -> None:
        """Write a configuration, as the operator does."""
        data = json.dumps({"version": version, **body}).encode()
        self.store.put("op/config", data)
        self.record.write(f"operator writes version {version}, acknowledged")

    async def start_daemons(self, count: int, *, first_start: bool = True) -> None:
        """Start processes with the command of the deploy file."""
        planned = []
        for number in range(1, count + 1):
            ip = f"127.0.0.{number}"
            names = ("front", "readiness", "control", "directory")
            planned.append((ip, {name: f"{ip}:{free_port()}" for name in names}))
        seeds = [listen["control"] for _, listen in planned[:3]]
        for number, (ip, listen) in enumerate(planned, 1):
            self.daemons.append(
                await self._start_daemon(
                    f"front-{number}", ip, listen, seeds, first_start
                )
            )

    async def add_daemon(self, seeds: list[str], store_address: str) -> Daemon:
        """Start a machine that is added later, with settings of its own."""
        number = len(self.daemons) + 1
        ip = f"127.0.0.{number}"
        names = ("front", "readiness", "control", "directory")
        listen = {name: f"{ip}:{free_port()}" for name in names}
        daemon = await self._start_daemon(
            f"front-{number}", ip, listen, seeds, False, store_address
        )
        self.daemons.append(daemon)
        return daemon

    async def restart(self, daemon: Daemon) -> Daemon:
        """Start a process again that has ended."""
        ip = daemon.front.partition(":")[0]
        seeds = [d.listen["control"] for d in self.daemons[:3]]
        index = self.daemons.index(daemon)
        new = await self._start_daemon(daemon.node, ip, daemon.listen, seeds, False)
        self.daemons[index] = new
        return new

    async def _start_daemon(
        self,
        node: str,
        ip: str,
        listen: dict[str, str],
        seeds: list[str],
        first_start: bool,
        store_address: str = "",
    ) -> Daemon:
        settings = {
            "node": node,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control", "directory"],
            "ip": ip,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": listen,
            "port_range": [self.peer_port, self.peer_port + 15],
            "seeds": seeds,
            "bootstrap": first_start,
            "loss_counted": False,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": MEMORY_MB,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeat_ms": int(HEARTBEAT_S * 1e3),
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "tenants",
                "quota",
                "platform",
            ],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": store_address or self.proxy.address,
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "min_ttl_ms": 1000,
            },
        }
        path = self.folder / f"{node}.yaml"
        path.write_text(json.dumps(settings), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env = kept | {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BURDOCKHAVEN_SETTINGS": str(path),
        }
        with self.log_path.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,
            )
        self.record.write(f"process {node} starts")
        return Daemon(node, listen, process)

    async def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until each process says that it is ready and knows all others."""
        fronts = {daemon.front for daemon in self.daemons}
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            with contextlib.suppress(TimeoutError, aiohttp.ClientError):
                if all([await self.look_up(d) == fronts for d in self.daemons]):
                    self.record.write("all processes are ready")
                    return
            await asyncio.sleep(0.1)
        raise NotRunError("the processes did not become ready")

    async def look_up(self, daemon: Daemon) -> set[str]:
        """Return the addresses that a process gives to clients."""
        url = (
            f"http://{daemon.listen['directory']}/-/lookup?name={HOST}&region=r&zone=a"
        )
        async with self.client.get(url, timeout=aiohttp.ClientTimeout(1)) as response:
            return set((await response.json())["addresses"])

    async def send(
        self,
        address: str,
        method: str,
        path: str,
        key: str,
        deadline_ms: int = 3000,
        body: bytes = b"",
        name: str = "r",
    ) -> tuple[str, int]:
        """Send a request; return its id and status, 0 for a connection that ended."""
        attempt = f"{name}-{next(self.numbers)}"
        headers = {
            "Host": HOST,
            ATTEMPT: attempt,
            DEADLINE: str(deadline_ms),
            "Authorization": f"Bearer {key}",
        }
        self.record.write(f"client sends {attempt} to {address} with key {key}")
        status = 0
        try:
            timeout = aiohttp.ClientTimeout(deadline_ms / 1e3 + 1)
            async with self.client.request(
                method,
                f"http://{address}{path}",
                headers=headers,
                data=body or None,
                timeout=timeout,
            ) as response:
                await response.read()
                status = response.status
        except (TimeoutError, aiohttp.ClientError) as error:
            self.record.write(f"client gets no answer to {attempt}: {error!r}")
            return attempt, 0
        self.record.write(f"client gets {status} for {attempt}")
        return attempt, status


def run_case(
    folder: Path, case: Callable[[Rig, Record], Awaitable[bool]], limit_s: float = 100.0
) -> None:
    """Run a case, which returns whether the rule held, and exit by its result."""
    record = Record(folder / "record.txt")

    async def main() -> int:
        with tempfile.TemporaryDirectory() as name:
            rig = Rig(Path(name), record)
            try:
                await rig.start()
                async with asyncio.timeout(limit_s):
                    held = await case(rig, record)
            except (NotRunError, OSError, TimeoutError) as error:
                record.write(f"not run: {error!r}")
                return EXIT_NOT_RUN
            finally:
                await rig.stop()
                _copy_log(rig.log_path, folder)
            record.write("the rule held" if held else "the rule was broken")
            return EXIT_HELD if held else EXIT_BROKEN

    loop = asyncio.new_event_loop()
    task = loop.create_task(main())
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        code = loop.run_until_complete(task)
    except asyncio.CancelledError:
        code = EXIT_NOT_RUN
    record.file.close()
    print(f"exit {code}; see {folder.name}/record.txt")
    os._exit(code)


def _end_with_parent() -> None:
    """Have the kernel kill this process when the script ends."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def _copy_log(path: Path, folder: Path) -> None:
    keep = os.environ.get("KEEP_LOG")
    if keep and path.exists():
        Path(keep).write_bytes(path.read_bytes())
