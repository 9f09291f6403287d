"""Clients on raw sockets that send what well-behaved clients don't.

A client follows a script: the bytes that it sends, and whether it reads. Afterwards it
keeps its connection open. What a script sends depends on its arguments alone.
"""

import asyncio
import contextlib
import itertools
import random
import socket
from collections.abc import (
    AsyncIterator,
    Callable,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from dataclasses import dataclass, field
from functools import cache
from string import ascii_lowercase

from burdockhaven_standins.platform_site import HOST
from burdockhaven_standins.platform_targets import ATTEMPT, TOKEN_COUNTS

# Connections that the crowd opens at once.
OPENING_AT_ONCE = 40
CONNECT_TIMEOUT_S = 1.0
# Seconds until a client whose connection was closed comes back.
RECONNECT_DELAY_S = 0.5
# Bytes that a client hands to the kernel at once.
WRITE_BYTES = 65_536
READ_BYTES = 65_536
# Bytes that a slow client reads at once.
SLOW_READ_BYTES = 256
# Receive buffer of a client that reads slowly or not at all.
UNREAD_BUFFER_BYTES = 4_096
# Seconds without progress of any client after which a crowd counts as settled.
SETTLED_AFTER_S = 0.7
# Longest wait in seconds for a crowd to settle.
SETTLE_TIMEOUT_S = 30.0
SETTLE_POLL_S = 0.05
# Longest chunk in a body that is made of tiny ones.
TINY_CHUNK_BYTES = 16
# Content-Length of a body that never ends.
HUGE_BODY_BYTES = 10**12

# Returns the bytes that a client sends, piece by piece, given its number.
Pieces = Callable[[int], Iterable[bytes]]


@dataclass(frozen=True, slots=True)
class ClientScript:
    """What one client does on its connection, which it then keeps open."""

    # Name of the listener that it connects to.
    listener: str
    pieces: Pieces
    # Seconds between two pieces. The crowd does not wait for a script that pauses.
    pause_s: float = 0.0
    # Seconds between two reads; None for a client that does not read.
    read_pause_s: float | None = 0.0
    # Times that it comes back after its connection was closed.
    reconnects: int = 1


@dataclass(slots=True)
class ClientCrowd:
    """Clients that are connected at the same time, each with its own script."""

    # Addresses by name of the listener.
    addresses: Mapping[str, str]
    scripts: Sequence[ClientScript]
    # Number of steps that clients have completed, to see whether any goes on.
    progress: int = 0
    opening: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(OPENING_AT_ONCE)
    )
    numbers: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    @contextlib.asynccontextmanager
    async def connected(self) -> AsyncIterator[None]:
        """Connect all clients and wait until they have sent what they can."""
        self.tasks = [asyncio.create_task(self._run(script)) for script in self.scripts]
        try:
            await self._settle()
            yield
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _settle(self) -> None:
        loop = asyncio.get_running_loop()
        started_s = changed_s = loop.time()
        seen = self.progress
        while True:
            await asyncio.sleep(SETTLE_POLL_S)
            now = loop.time()
            if self.progress != seen:
                seen, changed_s = self.progress, now
            if now - changed_s > SETTLED_AFTER_S or now - started_s > SETTLE_TIMEOUT_S:
                return

    async def _run(self, script: ClientScript) -> None:
        for _ in range(1 + script.reconnects):
            # The server may close or refuse any connection of a crowd.
            with contextlib.suppress(OSError, TimeoutError), socket.socket() as sock:
                await self._connect(sock, script)
                await self._follow(sock, script)
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _connect(self, sock: socket.socket, script: ClientScript) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if script.read_pause_s != 0.0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES)
        host, _, port = self.addresses[script.listener].rpartition(":")
        loop = asyncio.get_running_loop()
        async with self.opening, asyncio.timeout(CONNECT_TIMEOUT_S):
            await loop.sock_connect(sock, (host, int(port)))
        self.progress += 1

    async def _follow(self, sock: socket.socket, script: ClientScript) -> None:
        """Send the script, until the server closes the connection if that is read."""
        sending = asyncio.create_task(self._send(sock, script))
        try:
            if script.read_pause_s is None:
                await asyncio.Event().wait()
            else:
                await self._read_to_end(sock, script.read_pause_s)
        finally:
            sending.cancel()
            # Fails where the server has closed the connection.
            await asyncio.gather(sending, return_exceptions=True)

    async def _send(self, sock: socket.socket, script: ClientScript) -> None:
        loop = asyncio.get_running_loop()
        for piece in script.pieces(next(self.numbers)):
            view = memoryview(piece)
            for start in range(0, len(view), WRITE_BYTES):
                await loop.sock_sendall(sock, view[start : start + WRITE_BYTES])
                if not script.pause_s:
                    self.progress += 1
            await asyncio.sleep(script.pause_s)

    async def _read_to_end(self, sock: socket.socket, pause_s: float) -> None:
        loop = asyncio.get_running_loop()
        read_bytes = SLOW_READ_BYTES if pause_s else READ_BYTES
        while True:
            data = await loop.sock_recv(sock, read_bytes)
            if not data:
                return
            await asyncio.sleep(pause_s)


def request_head(path: str, number: int, fields: Iterable[str] = ()) -> bytes:
    """Return the head of a request of client `number` with additional header fields."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"{ATTEMPT}: crowd-{number}",
        "Authorization: Bearer k1",
        f"{TOKEN_COUNTS}: 100,6000",
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def short_fields(path: str, max_header_bytes: int) -> list[str]:
    """Return as many short header fields as fit into a head of that size."""
    free_bytes = max_header_bytes - len(request_head(path, 10**6))
    fields: list[str] = []
    for number in itertools.count():
        line = f"{_short_name(number)}:1"
        free_bytes -= len(line) + len("\r\n") + 1
        if free_bytes < 0:
            return fields
        fields.append(line)
    raise AssertionError


def body_in_pieces(path: str, length: int, sent: int, piece_bytes: int) -> Pieces:
    """Send `sent` of the `length` bytes of a body, in pieces of this size."""

    def pieces(number: int) -> Iterator[bytes]:
        yield request_head(path, number, [f"Content-Length: {length}"])
        body = _filler(min(piece_bytes, sent))
        for start in range(0, sent, piece_bytes):
            yield body[: sent - start]

    return pieces


def body_that_trickles(path: str, length: int, last_bytes: int) -> Pieces:
    """Send a body in one piece but for its last bytes, which follow one by one."""

    def pieces(number: int) -> Iterator[bytes]:
        yield request_head(path, number, [f"Content-Length: {length}"])
        yield _filler(length - last_bytes)
        for _ in range(last_bytes):
            yield b"x"

    return pieces


def body_in_chunks(path: str, length: int, chunk_bytes: int) -> Pieces:
    """Send chunks of this size for `length` bytes, and no last chunk."""

    def pieces(number: int) -> Iterator[bytes]:
        yield request_head(path, number, ["Transfer-Encoding: chunked"])
        chunk = b"%x\r\n%b\r\n" % (chunk_bytes, _filler(chunk_bytes))
        for _ in range(length // chunk_bytes):
            yield chunk

    return pieces


def body_in_tiny_chunks(path: str, length: int, seed: int) -> Pieces:
    """Send chunks of random size, 1 to 16 bytes, and no last chunk."""

    def pieces(number: int) -> Iterator[bytes]:
        yield request_head(path, number, ["Transfer-Encoding: chunked"])
        yield _tiny_chunks(length, seed)

    return pieces


def many_fields(
    path: str, max_header_bytes: int, is_complete: bool, count: int = 1
) -> Pieces:
    """Send heads of many short fields; an incomplete one lacks its last two bytes."""
    fields = ["Content-Length: 0", *short_fields(path, max_header_bytes - 32)]

    def pieces(number: int) -> Iterator[bytes]:
        head = request_head(path, number, fields)
        yield (head if is_complete else head[:-2]) * count

    return pieces


def requests_ahead(path: str, count: int, method: str = "POST") -> Pieces:
    """Send this many requests without waiting for an answer."""

    def pieces(number: int) -> Iterator[bytes]:
        head = request_head(path, number, ["Content-Length: 0"])
        yield head.replace(b"POST", method.encode(), 1) * count

    return pieces


def half_head(path: str) -> Pieces:
    """Send the first half of a head."""

    def pieces(number: int) -> Iterator[bytes]:
        head = request_head(path, number)
        yield head[: len(head) // 2]

    return pieces


def byte_by_byte(path: str) -> Pieces:
    """Send a head one byte at a time."""

    def pieces(number: int) -> Iterator[bytes]:
        head = request_head(path, number, ["Content-Length: 0"])
        for start in range(len(head)):
            yield head[start : start + 1]

    return pieces


def nothing(number: int) -> Iterator[bytes]:
    """Send nothing."""
    return iter(())


@cache
def _filler(length: int) -> bytes:
    return b"x" * length


@cache
def _tiny_chunks(length: int, seed: int) -> bytes:
    rng = random.Random(seed)
    chunks = []
    while length > 0:
        size = min(length, rng.randint(1, TINY_CHUNK_BYTES))
        chunks.append(b"%x\r\n%b\r\n" % (size, b"y" * size))
        length -= size
    return b"".join(chunks)


def _short_name(number: int) -> str:
    """Return a field name of a letter and at most one digit; names recur."""
    repeat, letter = divmod(number, len(ascii_lowercase))
    return ascii_lowercase[letter] + (str(repeat % 10) if repeat else "")
