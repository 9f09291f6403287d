"""A small deployment on loopback: store, servers, daemons, clients, and a record.

The store is the project's own stand-in; servers and clients are here. Daemons are
separate processes with the command of the deploy file, on addresses 127.0.0.N.
"""

import asyncio
import contextlib
import json
import os
import random
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

from aiohttp import web

from burdockhaven_standins.platform_store import PlatformStoreStandin

ROOT = Path(__file__).resolve().parents[2]
HOST = "site.example"
KEY = "key-of-a-tenant"
ATTEMPT = "X-Burdockhaven-Attempt-Id"
DEADLINE = "X-Burdockhaven-Deadline-Ms"
SIGNATURE = "X-Burdockhaven-Response-Signature"
NOT_EXECUTED = "X-Burdockhaven-Not-Executed"
EXPECT_INSTANCE = "X-Burdockhaven-Expect-Instance"
INSTANCE_LOAD = "X-Burdockhaven-Instance-Load"
TOKEN_COUNTS = "X-Burdockhaven-Token-Counts"
PROMPT_PREFIX = "X-Burdockhaven-Prompt-Prefix"
LAST_EVENT_ID = "Last-Event-Id"
# Figures of a small deployment on the pages.
HEARTBEAT_S = 1.2
MEMORY_MB = 300
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
CONTRACTS = [
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
]
ENGINE_SLOTS = 12
ENGINE_MEMORY = 791_555
PREFILL_TOKENS_PER_MS = 125.0
TOKENS_PER_EVENT = 6
STEP_MS = 3.27


def has_trouble() -> bool:
    """Whether the script is to bring about its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.started_s = time.monotonic()

    def add(self, text: str) -> None:
        """Append a line."""
        print(f"{time.monotonic() - self.started_s:9.3f} {text}", file=self.file)

    def say(self, text: str) -> None:
        """Append a line and print it."""
        self.add(text)
        print(text)
        self.file.flush()


@dataclass(slots=True)
class Message:
    """A request or a response, as received."""

    first_line: str
    headers: list[tuple[str, str]]
    body: bytes = b""

    def get(self, name: str, default: str = "") -> str:
        """Return the first header with the name."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; None if the connection ended before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers.append((name, value.strip()))
    return Message(lines[0], headers)


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk; empty for the last one."""
    line = await reader.readuntil(b"\r\n")
    size = int(line.split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:size]


async def read_body(
    reader: asyncio.StreamReader, message: Message, gap_s: float | None = None
) -> bytes:
    """Read a body that has a length or comes in chunks, at most `gap_s` apart."""
    if "chunked" in message.get("Transfer-Encoding").lower():
        pieces = []
        while True:
            async with asyncio.timeout(gap_s):
                chunk = await read_chunk(reader)
            if not chunk:
                return b"".join(pieces)
            pieces.append(chunk)
    return await reader.readexactly(int(message.get("Content-Length", "0")))


@dataclass(slots=True, eq=False)
class Server:
    """A sound server of a service; it runs one request at a time on a connection."""

    stage: "Stage"
    id: str
    service: str
    slots: int
    queue: int = 30
    version: str = "v1"
    # Seconds that a plain request takes.
    work_s: float = 0.0225
    address: str = ""
    born_ms: int = 0
    seq: int = 0
    state: str = "ready"
    active: int = 0
    waiting: int = 0
    runs: dict[str, int] = field(default_factory=dict)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    listener: asyncio.Server | None = None
    room: asyncio.Semaphore = field(init=False)
    prefill: asyncio.Lock = field(default_factory=asyncio.Lock)

    def __post_init__(self) -> None:
        self.room = asyncio.Semaphore(self.slots)

    async def start(self) -> None:
        """Listen and register."""
        self.born_ms = int(time.time() * 1e3)
        self.listener = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=2**20
        )
        port = self.listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.stage.servers[self.id] = self
        self.register()

    def register(self) -> None:
        """Write the entry in the store."""
        self.seq += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.seq,
            "born": self.born_ms,
        }
        self.stage.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    def crash(self) -> None:
        """End as a crashed process does; the entry goes after three heartbeats."""
        self.stage.record.say(
            f"server {self.id} crashes, {self.active} run and {self.waiting} wait there"
        )
        del self.stage.servers[self.id]
        assert self.listener is not None
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        key = f"servers/{self.id}"
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self.stage.store.remove, key
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                head.body = await read_body(reader, head)
                if not await self._answer(head, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _response_head(self, request: Message, status: str, *more: str) -> bytes:
        lines = [
            f"HTTP/1.1 {status}",
            f"{ATTEMPT}: {request.get(ATTEMPT)}",
            f"{INSTANCE_LOAD}: {self.active},{self.waiting},{self.slots}",
            *more,
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def _answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        attempt = request.get(ATTEMPT)
        self.stage.reached[attempt] = self.stage.reached.get(attempt, 0) + 1
        refusal = ""
        if request.get(EXPECT_INSTANCE) not in ("", self.id):
            refusal = "421 Misdirected Request"
        elif not request.get(ATTEMPT):
            refusal = "400 Bad Request"
        elif self.waiting >= self.queue:
            refusal = "503 Service Unavailable"
        if refusal:
            writer.write(
                self._response_head(
                    request, refusal, f"{NOT_EXECUTED}: 1", "Content-Length: 0"
                )
            )
            await writer.drain()
            return True
        # Most servers drop a request when its connection closes.
        work = asyncio.create_task(self._work(request, writer))
        gone = asyncio.create_task(reader.read(1))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        is_done = work.done()
        for task in (work, gone):
            if not task.done():
                task.cancel()
        await asyncio.gather(work, gone, return_exceptions=True)
        if not is_done:
            self.stage.record.add(
                f"run of {request.get(ATTEMPT)} at {self.id} is dropped"
            )
            return False
        return work.exception() is None

    async def _work(self, request: Message, writer: asyncio.StreamWriter) -> None:
        self.waiting += 1
        try:
            await self.room.acquire()
        finally:
            self.waiting -= 1
        self.active += 1
        try:
            await self.run(request, writer)
        finally:
            self.active -= 1
            self.room.release()

    def begin_run(self, request: Message) -> None:
        """Record that work on a request begins."""
        attempt = request.get(ATTEMPT)
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.stage.record.add(f"run {attempt} at {self.id}")

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Run a plain request; overridden."""
        self.begin_run(request)
        await asyncio.sleep(self.work_s)
        body = f"{self.id} {request.get(ATTEMPT)}".encode().ljust(800, b".")
        head = self._response_head(
            request,
            "200 OK",
            f"{SIGNATURE}: {self.id}.1",
            f"Content-Length: {len(body)}",
        )
        writer.write(head + body)
        await writer.drain()


@dataclass(slots=True, eq=False)
class Engine(Server):
    """A model server: reads prompts one after the other, then streams."""

    # Share of the requests whose connection it resets instead of the answer.
    reset_share: float = 0.0
    resets: int = 0
    # Share of the requests whose answer goes on without end, with bytes that are none.
    endless_share: float = 0.0
    endless: int = 0

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Run a streaming request."""
        prompt, output = (int(n) for n in request.get(TOKEN_COUNTS, "100,6").split(","))
        async with self.prefill:
            await asyncio.sleep(prompt / PREFILL_TOKENS_PER_MS / 1e3)
        self.begin_run(request)
        if self.stage.rng.random() < self.reset_share:
            self.resets += 1
            self.stage.record.add(f"{self.id} resets {request.get(ATTEMPT)}")
            writer.transport.abort()
            raise ConnectionResetError
        writer.write(
            self._response_head(
                request,
                "200 OK",
                f"{SIGNATURE}: {self.id}.1",
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            )
        )
        first = int(request.get(LAST_EVENT_ID, "0") or "0") + 1
        if self.stage.rng.random() < self.endless_share:
            self.endless += 1
            self.stage.record.add(f"{self.id} spoils {request.get(ATTEMPT)}")
            # The same empty event again and again, until the caller closes.
            spoiled = b"id:%d\n\n" % first * 2000
            while not writer.is_closing():
                writer.write(b"%x\r\n%s\r\n" % (len(spoiled), spoiled))
                await writer.drain()
                await asyncio.sleep(0.001)
            raise ConnectionResetError
        for number in range(first, -(-output // TOKENS_PER_EVENT) + 1):
            event = f"id: {number}\ndata: {self.id} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(STEP_MS * TOKENS_PER_EVENT / 1e3)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


@dataclass(slots=True, eq=False)
class Daemon:
    """One process of the system, and how the platform looks after it."""

    node: str
    ip: str
    listen: dict[str, str]
    process: asyncio.subprocess.Process | None = None
    peak_mb: float = 0.0
    # Times at which the platform ended it, because it had exceeded its memory.
    ended: list[float] = field(default_factory=list)

    def rss_mb(self) -> float:
        """Return the resident memory; 0 if there is no process."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            status = Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(status.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that this script has started."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)


class Stage:
    """The whole deployment."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.store = PlatformStoreStandin()
        self.store_address = ""
        self.servers: dict[str, Server] = {}
        self.daemons: dict[str, Daemon] = {}
        self.config: dict[str, object] = {}
        self.tasks: list[asyncio.Task[None]] = []
        # Longest time for which this process stood still.
        self.lag_s = 0.0
        # Number of times that each request reached a server.
        self.reached: dict[str, int] = {}
        # Chance of the stand-ins; the same in each run.
        self.rng = random.Random(11)
        # Settings and logs of the processes; kept if the caller names the folder.
        self.folder = Path(os.environ.get("CASE_FOLDER") or tempfile.mkdtemp())
        self.peer_port = free_port("127.0.0.1", socket.SOCK_DGRAM)
        self.runner: web.AppRunner | None = None

    async def start(self, config: dict[str, object]) -> None:
        """Serve the store with a first configuration."""
        self.runner = web.AppRunner(self.store.application(), shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.store_address = f"127.0.0.1:{self.runner.addresses[0][1]}"
        self.publish(config)
        self.tasks.append(asyncio.create_task(self._beat()))
        self.tasks.append(asyncio.create_task(self._watch_lag()))

    def publish(self, config: dict[str, object]) -> None:
        """Write a configuration, as the operator does."""
        self.config = config
        self.store.put("op/config", json.dumps(config).encode())
        self.record.add(f"the store acknowledges configuration {config['version']}")

    async def _watch_lag(self) -> None:
        """Note how long this process itself, with clients and servers, stood still."""
        while True:
            began_s = time.monotonic()
            await asyncio.sleep(0.02)
            self.lag_s = max(self.lag_s, time.monotonic() - began_s - 0.02)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for server in list(self.servers.values()):
                server.register()

    async def start_daemons(self, count: int) -> None:
        """Start daemons a little apart, and wait until all serve."""
        for number in range(1, count + 1):
            ip = f"127.0.0.{number + 10}"
            names = ("front", "readiness", "control", "directory")
            listen = {
                name: f"{ip}:{free_port(ip, socket.SOCK_STREAM)}" for name in names
            }
            self.daemons[f"front-{number}"] = Daemon(f"front-{number}", ip, listen)
        for daemon in self.daemons.values():
            await self.start_daemon(daemon, is_first=True)
            await asyncio.sleep(0.05)
        for daemon in self.daemons.values():
            await self.wait_ready(daemon)
        # Until the members know each other.
        await asyncio.sleep(4.0)

    async def start_daemon(self, daemon: Daemon, *, is_first: bool = False) -> None:
        """Start a process with the command of the deploy file."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        command = next(iter(role.values()))["run"].split()
        settings = {
            "node": daemon.node,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control", "directory"],
            "ip": daemon.ip,
            "zone": "zone-a",
            "region": "region",
            "zones": {"zone-a": "region"},
            "listen": daemon.listen,
            "port_range": [self.peer_port, self.peer_port + 15],
            "seeds": [d.listen["control"] for d in list(self.daemons.values())[:3]],
            "bootstrap": is_first,
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
            "contracts": CONTRACTS,
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
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
        path = self.folder / f"{daemon.node}.yaml"
        # JSON is a subset of YAML.
        path.write_text(json.dumps(settings))
        log = (self.folder / f"{daemon.node}.log").open("ab")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["BURDOCKHAVEN_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        daemon.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record.add(f"process of {daemon.node} starts")

    async def wait_ready(self, daemon: Daemon, timeout_s: float = 20.0) -> None:
        """Wait until the platform's readiness check gets a 200."""
        async with asyncio.timeout(timeout_s):
            while True:
                answer = await call(
                    daemon.listen["readiness"],
                    "GET",
                    "/-/readyz",
                    [("Host", "platform")],
                )
                if answer.status == 200:
                    return
                await asyncio.sleep(0.05)

    def guard_memory(
        self, on_end: Callable[[Daemon], Awaitable[None]] | None = None
    ) -> None:
        """End processes that exceed their memory, as the platform does."""
        self.tasks.append(asyncio.create_task(self._guard(on_end)))

    async def _guard(self, on_end: Callable[[Daemon], Awaitable[None]] | None) -> None:
        while True:
            for daemon in self.daemons.values():
                size = daemon.rss_mb()
                daemon.peak_mb = max(daemon.peak_mb, size)
                if size > MEMORY_MB and daemon.process is not None:
                    self.record.say(
                        f"{daemon.node} holds {size:.0f} MB, its machine has "
                        f"{MEMORY_MB}: the platform ends it"
                    )
                    daemon.ended.append(time.monotonic())
                    daemon.signal(signal.SIGKILL)
                    await daemon.process.wait()
                    if on_end is not None:
                        await on_end(daemon)
            await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """End all processes that this script has started."""
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons.values():
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
            if daemon.process is not None:
                await daemon.process.wait()
        for server in list(self.servers.values()):
            if server.listener is not None:
                server.listener.close()
        if self.runner is not None:
            await self.runner.cleanup()
        if "CASE_FOLDER" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.file.flush()


@dataclass(frozen=True, slots=True)
class Answer:
    """What a client got; the status is 0 without a complete answer."""

    status: int
    head: Message | None
    body: bytes
    # Monotonic times of the send and of the end.
    sent_s: float
    ended_s: float


async def call(
    address: str,
    method: str,
    path: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    timeout_s: float = 30.0,
    gap_s: float | None = None,
) -> Answer:
    """Send one request on a new connection and read its answer.

    A stream is abandoned after a gap of `gap_s`, also before its first event.
    """
    host, _, port = address.rpartition(":")
    sent_s = time.monotonic()
    head: Message | None = None
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=2**20)
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            lines += [f"Content-Length: {len(body)}"] if body or method != "GET" else []
            # One byte a character, as they come from the wire.
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            sent_s = time.monotonic()
            async with asyncio.timeout(gap_s):
                head = await read_head(reader)
            if head is None:
                return Answer(0, None, b"", sent_s, time.monotonic())
            data = await read_body(reader, head, gap_s)
            return Answer(head.status, head, data, sent_s, time.monotonic())
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Answer(0, head, b"", sent_s, time.monotonic())
    finally:
        if writer is not None:
            writer.close()


def free_port(ip: str, kind: int) -> int:
    """Return a port that is free at the address."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


def run_case(main: Callable[[Stage], Awaitable[bool]], folder: Path) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 for neither."""

    async def run() -> int:
        stage = Stage(folder)
        try:
            async with asyncio.timeout(110):
                return 1 if await main(stage) else 0
        except Exception as error:
            stage.record.say(f"the case could not run: {error!r}")
            return 2
        finally:
            await stage.stop()

    sys.exit(asyncio.run(run()))
