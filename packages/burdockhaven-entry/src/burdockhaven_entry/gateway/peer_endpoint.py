"""Datagrams between members; each may be lost, none is waited for.

ZeroMQ was weighed: it needs a second thread and the detection of TCP connections that
went silent. The messages are small and may be lost, so datagrams carry them; the one
large thing, a configuration, is fetched over HTTP.
"""

import asyncio
from collections.abc import Callable
from typing import cast

import msgspec

from burdockhaven_core.scheduling.peer_messages import (
    PeerMessage,
    decode_message,
    encode_message,
)

# Largest datagram that is sent, in bytes; UDP allows 65,507.
MAX_DATAGRAM_BYTES = 60_000

OnMessage = Callable[[PeerMessage], None]
OnError = Callable[[str, str], None]


class PeerEndpoint(asyncio.DatagramProtocol):
    """The socket of this process towards the other members."""

    def __init__(self, on_message: OnMessage, on_error: OnError) -> None:
        self.on_message = on_message
        # Told the peer and what was wrong.
        self.on_error = on_error
        self.transport: asyncio.DatagramTransport | None = None
        self.sent_messages = 0
        self.sent_bytes = 0

    async def open(self, ip: str, port: int) -> None:
        """Listen; raises `OSError` if the address can't be used."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(ip, port))

    def close(self) -> None:
        """Stop receiving and sending."""
        if self.transport is not None:
            self.transport.close()

    def send(self, address: str, message: PeerMessage) -> None:
        """Send the message to the member that listens there."""
        self.send_all([address], message)

    def send_all(self, addresses: list[str], message: PeerMessage) -> None:
        """Send the message to each of the members that listen there."""
        if self.transport is None or self.transport.is_closing() or not addresses:
            return
        data = encode_message(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            peers = ", ".join(addresses)
            self.on_error(peers, f"a message of {len(data)} bytes is not sent")
            return
        for address in addresses:
            host, _, port = address.rpartition(":")
            self.sent_messages += 1
            self.sent_bytes += len(data)
            self.transport.sendto(data, (host, int(port)))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport to send by."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand on a message; one that can't be read harms only itself."""
        try:
            message = decode_message(data)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            self.on_error(f"{addr[0]}:{addr[1]}", str(error))
            return
        self.on_message(message)

    def error_received(self, exc: Exception) -> None:
        """A datagram of ours found nobody; the roster finds out by silence."""
