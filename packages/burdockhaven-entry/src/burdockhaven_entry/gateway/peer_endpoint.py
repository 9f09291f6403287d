"""UDP endpoint for messages between members; delivery is not guaranteed.

The messages are small, and the protocol tolerates their loss. Configurations, which
are large, are fetched over HTTP instead. ZeroMQ was considered, but it needs a second
thread and detection of TCP connections that have gone silent.
"""

import asyncio
import ipaddress
from collections.abc import Callable
from typing import cast

import msgspec

from burdockhaven_core.scheduling.peer_messages import (
    PeerMessage,
    decode_message,
    encode_message,
)
from burdockhaven_entry.platform import DECODE_ERRORS, parse_whole_number

# Maximum size of a sent datagram in bytes; UDP allows 65,507.
MAX_DATAGRAM_BYTES = 60_000
MAX_PORT = 65_535
# Integers beyond 64 bits, and texts that are not Unicode.
ENCODE_ERRORS = (msgspec.MsgspecError, OverflowError, UnicodeEncodeError)

OnMessage = Callable[[PeerMessage], None]
OnError = Callable[[str, str], None]


class PeerEndpoint(asyncio.DatagramProtocol):
    """UDP socket over which this process exchanges messages with other members."""

    def __init__(self, on_message: OnMessage, on_error: OnError) -> None:
        self.on_message = on_message
        # Receives the address of the peer and a description of the error.
        self.on_error = on_error
        self.transport: asyncio.DatagramTransport | None = None
        self.sent_messages = 0
        self.sent_bytes = 0
        # Why the last message that could not be encoded was not sent.
        self.encode_error = ""

    async def open(self, ip: str, port: int) -> None:
        """Bind the socket; raises `OSError` if the address can't be used."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(ip, port))

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def send(self, address: str, message: PeerMessage) -> None:
        """Send the message to one address."""
        self.send_all([address], message)

    def send_all(self, addresses: list[str], message: PeerMessage) -> None:
        """Send the message to several addresses; it is encoded once."""
        if self.transport is None or self.transport.is_closing() or not addresses:
            return
        data = self._encode(addresses, message)
        if data is None:
            return
        for address in addresses:
            parsed = parse_address(address)
            if parsed is None:
                # The transport would close for good.
                self.on_error(address, "not an address of the form IP:PORT")
                continue
            self.sent_messages += 1
            self.sent_bytes += len(data)
            self.transport.sendto(data, parsed)

    def _encode(self, addresses: list[str], message: PeerMessage) -> bytes | None:
        """Encode a message; reports one that can't be sent and returns None."""
        try:
            data = encode_message(message)
        except ENCODE_ERRORS as error:
            detail = f"{type(message).__name__} can't be encoded: {error}"
            # The next heartbeat is likely to have the same fault.
            if detail != self.encode_error:
                self.encode_error = detail
                self.on_error(", ".join(addresses), detail)
            return None
        if len(data) > MAX_DATAGRAM_BYTES:
            detail = f"message of {len(data)} bytes exceeds the datagram limit"
            self.on_error(", ".join(addresses), detail)
            return None
        return data

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for sending."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode and handle a message; report one that can't be decoded."""
        try:
            message = decode_message(data)
        except DECODE_ERRORS as error:
            self.on_error(f"{addr[0]}:{addr[1]}", str(error))
            return
        self.on_message(message)

    def error_received(self, exc: Exception) -> None:
        """Ignore an undeliverable datagram; the member list detects silent members."""


def parse_address(text: str) -> tuple[str, int] | None:
    """Return the IPv4 address and the port of IP:PORT; None if it is neither."""
    host, _, port_text = text.rpartition(":")
    port = parse_whole_number(port_text)
    if port is None or not 0 < port <= MAX_PORT:
        return None
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return None
    return host, port
