"""Memory and descriptors of a running process, as the kernel reports them."""

import asyncio
import contextlib
import ipaddress
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

SAMPLE_INTERVAL_S = 0.1
BYTES_PER_KIB = 1024
# State of a listening socket in /proc/net/tcp; its receive queue counts connections.
LISTEN_STATE = "0A"


class _SocketRow(NamedTuple):
    """A socket in /proc/net/tcp."""

    ip: str
    inode: str
    unread_bytes: int


@dataclass(slots=True)
class ResourcePeaks:
    """Highest values over all samples of a process."""

    # Resident memory and received bytes that the process has not read, together.
    memory_bytes: int = 0
    # The kernel's own record of the highest resident memory.
    resident_bytes: int = 0
    descriptors: int = 0
    # Descriptors that are sockets or pipes.
    sockets: int = 0

    def sample(self, pid: int, ip: str) -> None:
        """Take a sample of a process that accepts connections at `ip`, unless it ended.

        Connections that wait to be accepted belong to no process, but to that address.
        """
        # Either error means that the process has ended.
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            names = _descriptor_names(pid)
            inodes = {
                name.removeprefix("socket:[").removesuffix("]")
                for name in names
                if name.startswith("socket:")
            }
            unread = sum(
                row.unread_bytes
                for row in _tcp_sockets(pid)
                if row.ip == ip or row.inode in inodes
            )
            status = _status_kib(pid)
            resident = status.get("VmRSS", 0) * BYTES_PER_KIB
            highest = status.get("VmHWM", 0) * BYTES_PER_KIB
            sockets = sum(name.startswith(("socket:", "pipe:")) for name in names)
            self.memory_bytes = max(self.memory_bytes, resident + unread)
            self.resident_bytes = max(self.resident_bytes, highest)
            self.descriptors = max(self.descriptors, len(names))
            self.sockets = max(self.sockets, sockets)


@contextlib.asynccontextmanager
async def sampled_resources(pid: int, ip: str) -> AsyncIterator[ResourcePeaks]:
    """Sample a process in the background for as long as the context lasts."""
    peaks = ResourcePeaks()

    async def sample_periodically() -> None:
        while True:
            peaks.sample(pid, ip)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    task = asyncio.create_task(sample_periodically())
    try:
        yield peaks
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


def _descriptor_names(pid: int) -> list[str]:
    names = []
    for path in Path(f"/proc/{pid}/fd").iterdir():
        # The descriptor may have been closed meanwhile.
        with contextlib.suppress(FileNotFoundError):
            names.append(str(path.readlink()))
    return names


def _status_kib(pid: int) -> dict[str, int]:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    fields = (line.partition(":") for line in lines if line.startswith("Vm"))
    return {name: int(value.split()[0]) for name, _, value in fields}


def _tcp_sockets(pid: int) -> list[_SocketRow]:
    rows = []
    for line in Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]:
        values = line.split()
        address = int(values[1].partition(":")[0], 16).to_bytes(4, "little")
        if values[3] != LISTEN_STATE:
            ip = str(ipaddress.IPv4Address(address))
            unread = int(values[4].partition(":")[2], 16)
            rows.append(_SocketRow(ip, values[9], unread))
    return rows
