"""Test harness: daemon processes, a stand-in for the platform and an HTTP client."""

import asyncio
import contextlib
import ctypes
import itertools
import json
import os
import signal
import sys
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeVar

import aiohttp

from burdockhaven_standins.platform_site import HOST, PlatformSite
from burdockhaven_standins.platform_targets import ATTEMPT, RETRY_AFTER, TOKEN_COUNTS
from burdockhaven_standins.ports import free_address

T = TypeVar("T")
# Timeout of a wait; no measurement depends on it.
WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
# Limits of the platform, written to the daemons' settings.
BOUNDS = {
    "grace_s": 8,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 58,
    "quota_window_s": 8,
    "quota_slack": 140000,
}
LISTENERS = ("front", "readiness", "control", "directory")
# Header value: prompt and output tokens of each request.
REQUEST_TOKENS = "100,20"
# The same for streams that are interrupted.
STREAM_TOKENS = "100,600"
# Option of prctl(2): the signal that a process receives when its parent ends.
PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None)


@dataclass(frozen=True, slots=True)
class Daemon:
    """A daemon process and its listening addresses."""

    node: str
    process: asyncio.subprocess.Process
    # Address of each listener, by listener name.
    listen: dict[str, str]
    # File that receives its standard output.
    log_path: Path

    @property
    def ip(self) -> str:
        """The loopback address of all listeners."""
        return self.front.partition(":")[0]

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended yet."""
        return self.process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended.

        The method of the process polls it first, and may so take its exit status from
        asyncio's own wait, which then reports 255.
        """
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    @property
    def front(self) -> str:
        """The address that accepts requests."""
        return self.listen["front"]


@dataclass(frozen=True, slots=True)
class ReceivedResponse:
    """A complete HTTP response and the ID of its request."""

    request: str
    status: int
    body: bytes
    # None without the header.
    retry_after: str | None = None


@dataclass(slots=True)
class PlatformHarness:
    """The stand-in platform, its daemons and a client."""

    folder: Path
    site: PlatformSite
    client: aiohttp.ClientSession
    # Shared by all daemons, since each has its own loopback address.
    peer_port: int
    # The last process started for each node.
    daemons: dict[str, Daemon] = field(default_factory=dict)
    ip_numbers: "itertools.count[int]" = field(
        default_factory=lambda: itertools.count(1)
    )
    request_numbers: "itertools.count[int]" = field(
        default_factory=lambda: itertools.count(1)
    )

    @classmethod
    async def start(
        cls,
        folder: Path,
        engine_versions: tuple[str, ...] = ("v1", "v1"),
        site: PlatformSite | None = None,
    ) -> "PlatformHarness":
        """Start the platform with engines of these versions, without any daemon.

        `site` replaces the default site.
        """
        site = site or PlatformSite(engine_versions)
        await site.start()
        return cls(folder, site, aiohttp.ClientSession(), _free_port())

    async def stop(self) -> None:
        """Kill the daemons that still run and stop the platform."""
        for daemon in self.daemons.values():
            if daemon.is_running:
                daemon.send_signal(signal.SIGKILL)
                await daemon.process.wait()
        await self.client.close()
        await self.site.stop()

    async def start_daemon(
        self,
        node: str,
        predecessor: Daemon | None = None,
        seeds: Sequence[str] = (),
        is_first_start: bool = True,
        ip: str | None = None,
        limits: Mapping[str, float] | None = None,
    ) -> Daemon:
        """Start another daemon, without waiting until it is ready.

        It takes over the addresses of its predecessor, which must have ended. `seeds`
        are control addresses of other members. `is_first_start` tells it that the whole
        system starts for the first time. `ip` is its loopback address; by default, the
        harness picks one. `limits` are written to its settings: `memory_mb`, `max_fds`
        and others of the platform.
        """
        if predecessor is None:
            ip = ip or f"127.0.0.{next(self.ip_numbers)}"
            listen = {name: f"{ip}:{_free_port()}" for name in LISTENERS}
        else:
            ip, listen = predecessor.ip, predecessor.listen
        settings = {
            "node": node,
            "ip": ip,
            "zone": "a",
            "listen": listen,
            "port_range": [self.peer_port, self.peer_port + 15],
            "seeds": list(seeds),
            "bootstrap": is_first_start,
            "bounds": BOUNDS,
            "limits": dict(limits or {}),
            "platform": {"address": self.site.store_address},
        }
        path = self.folder / f"{node}.yaml"
        # The daemon reads YAML, of which JSON is a subset.
        path.write_text(json.dumps(settings))
        log_path = self.folder / f"{node}.log"
        with log_path.open("ab") as log_file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "burdockhaven_entry",
                "--platform",
                env=os.environ | {"BURDOCKHAVEN_SETTINGS": str(path)},
                stdout=log_file,
                preexec_fn=_end_with_parent,
            )
        daemon = self.daemons[node] = Daemon(node, process, listen, log_path)
        return daemon

    async def stop_daemon(self, node: str) -> int:
        """Stop a daemon gracefully and return its exit code."""
        daemon = self.daemons[node]
        daemon.send_signal(signal.SIGTERM)
        return await daemon.process.wait()

    async def look_up(self, node: str) -> set[str]:
        """Addresses that a daemon returns for a look-up; empty if the look-up fails."""
        url = f"http://{self.daemons[node].listen['directory']}/-/lookup"
        async with self.client.get(url) as response:
            if response.status != 200:
                return set()
            return set((await response.json())["addresses"])

    async def wait_until(self, condition: Callable[[], Awaitable[T]]) -> T:
        """Poll a condition until its result is truthy, and return that result."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    result = await condition()
                    if result:
                        return result
                await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_look_ups_name(self, addresses: set[str], *nodes: str) -> None:
        """Wait until a look-up at each of these daemons returns these addresses."""

        async def all_agree() -> bool:
            look_ups = [await self.look_up(node) for node in nodes]
            return all(named == addresses for named in look_ups)

        await self.wait_until(all_agree)

    async def send_request(
        self,
        address: str,
        path: str,
        key: str = "k1",
        headers: dict[str, str] | None = None,
    ) -> ReceivedResponse:
        """Send a request, with these headers besides, and read the response."""
        request = f"request-{next(self.request_numbers)}"
        sent = {
            "Host": HOST,
            ATTEMPT: request,
            "Authorization": f"Bearer {key}",
            TOKEN_COUNTS: REQUEST_TOKENS,
        }
        url = f"http://{address}{path}"
        sent |= headers or {}
        async with self.client.post(url, headers=sent, data=b"x") as response:
            body = await response.read()
            retry_after = response.headers.get(RETRY_AFTER)
            return ReceivedResponse(request, response.status, body, retry_after)

    async def open_stream(
        self, address: str, headers: dict[str, str] | None = None
    ) -> tuple[str, aiohttp.ClientResponse]:
        """Request a long stream; return the request's ID and the open response."""
        request = f"request-{next(self.request_numbers)}"
        sent = {
            "Host": HOST,
            ATTEMPT: request,
            "Authorization": "Bearer k1",
            TOKEN_COUNTS: STREAM_TOKENS,
        }
        url = f"http://{address}/stream/x"
        response = await self.client.post(url, headers=sent | (headers or {}))
        return request, response


def _free_port() -> int:
    return int(free_address().rpartition(":")[2])


def _end_with_parent() -> None:
    """Have the kernel kill this process when the process that started it ends."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
