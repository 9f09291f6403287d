"""Loopback proxies between the daemons and the servers that they call.

A link passes bytes on in both directions. It can delay them, hand them out in odd
pieces, reset its connections, or let open connections fall silent while new ones work.
"""

import asyncio
import contextlib
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

from burdockhaven_standins.ports import free_address

READ_BYTES = 65_536
# Sizes in bytes of the pieces in which a link hands out data, in turn.
PIECE_SIZES = (1, 7, 2, 61, 3, 400)


@dataclass(slots=True)
class LinkFaults:
    """Faults that are active on a link."""

    # Seconds by which data is delayed in each direction.
    delay_s: float = 0.0
    # Whether data is handed out in small pieces.
    in_pieces: bool = False


@dataclass(slots=True, eq=False)
class _Connection:
    """A connection of a caller and the one to the server."""

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    # Whether bytes are discarded from now on.
    is_silent: bool = False

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


@dataclass(slots=True)
class Link:
    """A proxy in front of one server."""

    server_address: str
    # Reserved, so that no other socket takes it while the link refuses connections.
    address: str = field(default_factory=free_address)
    faults: LinkFaults = field(default_factory=LinkFaults)
    connections: set[_Connection] = field(default_factory=set)
    listener: asyncio.Server | None = None

    @classmethod
    async def open(cls, server_address: str) -> "Link":
        """Listen on a free loopback port."""
        link = cls(server_address)
        await link.listen()
        return link

    async def listen(self) -> None:
        """Accept connections, for the first time or again."""
        host, _, port = self.address.rpartition(":")
        self.listener = await asyncio.start_server(self._serve, host, int(port))

    def close(self) -> None:
        """Refuse connections and reset those that are open."""
        if self.listener is not None:
            self.listener.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.abort()

    def silence(self) -> None:
        """Pass nothing on over the connections that are open now."""
        for connection in self.connections:
            connection.is_silent = True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.server_address.rpartition(":")
        try:
            server = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection((writer, server[1]))
        self.connections.add(connection)
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._pass_on(connection, reader, server[1]))
                tasks.create_task(self._pass_on(connection, server[0], writer))
        finally:
            self.connections.discard(connection)
            connection.abort()

    async def _pass_on(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Pass bytes on until the sender closes; a reset is passed on as a reset."""
        try:
            while data := await reader.read(READ_BYTES):
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                if not connection.is_silent:
                    await self._write(writer, data)
            # Ends the other direction, too: neither side uses half-closed connections.
            with contextlib.suppress(OSError):
                await writer.drain()
            writer.close()
        except OSError:
            connection.abort()

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if not self.faults.in_pieces:
            writer.write(data)
            await writer.drain()
            return
        for piece in _pieces(data):
            writer.write(piece)
            await writer.drain()
            # Lets the receiver read the piece on its own.
            await asyncio.sleep(0)


def _pieces(data: bytes) -> Iterator[bytes]:
    sizes = itertools.cycle(PIECE_SIZES)
    while data:
        size = next(sizes)
        piece, data = data[:size], data[size:]
        yield piece
