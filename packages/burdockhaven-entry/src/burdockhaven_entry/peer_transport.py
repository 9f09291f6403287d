"""Best-effort transport for messages between members, over ZeroMQ.

Each process binds one ROUTER socket, on which it only receives, and opens one DEALER
socket per peer address, on which it only sends. Sending never blocks: a message is
dropped when there is no connection or the queue is full, and the core resends those
that must arrive.

A connection can go silent permanently. Each heartbeat of a peer acknowledges the latest
heartbeat of ours that the peer received, so a connection that no longer delivers our
heartbeats is detected within a few intervals and its socket is replaced, whichever
direction failed.
"""

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import msgspec
import zmq
import zmq.asyncio

from burdockhaven_core.identity import MemberId
from burdockhaven_core.messages import (
    Heartbeat,
    PeerMessage,
    decode_message,
    encode_message,
)
from burdockhaven_entry.message_mac import MacError, add_mac, verify_mac

# Largest accepted message, in bytes; configurations are the largest messages.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
# Maximum number of messages queued for one peer, and of received messages queued here;
# further messages are dropped.
SEND_QUEUE_MESSAGES = 1_000
RECEIVE_QUEUE_MESSAGES = 10_000
# Initial and maximum delay between attempts to connect, in milliseconds.
RECONNECT_MS = 100
RECONNECT_MAX_MS = 1_000
# Seconds without an acknowledgement after which a socket is replaced.
SILENCE_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class PeerTransportError:
    """A failure that concerns a single message or connection."""

    # The step that failed: "decode", "receive" or "connect".
    step: str
    # The peer's address, as far as known.
    peer: str
    detail: str


@dataclass(slots=True)
class PeerTraffic:
    """Traffic counters since the start of the process."""

    sent_messages: int = 0
    sent_bytes: int = 0
    dropped_messages: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    # Sockets replaced for lack of acknowledgements.
    replaced_sockets: int = 0


@dataclass(slots=True)
class _PeerSocket:
    """The sending socket for one peer address."""

    socket: zmq.Socket[bytes]
    # `clock_s` of our last acknowledged heartbeat; before the first, that of the
    # heartbeat that opened the socket, or 0 if another message did.
    acknowledged_clock_s: float


OnMessage = Callable[[MemberId, PeerMessage], None]
OnError = Callable[[PeerTransportError], None]


@dataclass(slots=True)
class PeerTransport:
    """The sockets of one member."""

    member_id: MemberId
    # Address to listen on, as host:port; `open` sets the port in use.
    address: str
    # Key of the MACs, the same on every entry.
    key: bytes
    on_message: OnMessage
    on_error: OnError
    silence_timeout_s: float = SILENCE_TIMEOUT_S
    traffic: PeerTraffic = field(default_factory=PeerTraffic)
    sockets: dict[str, _PeerSocket] = field(default_factory=dict)
    # Peer address of each member, from its heartbeats.
    addresses: dict[MemberId, str] = field(default_factory=dict)
    context: zmq.asyncio.Context = field(default_factory=zmq.asyncio.Context)
    socket_numbers: Iterator[int] = field(default_factory=itertools.count)
    receiver: asyncio.Task[None] | None = None

    @classmethod
    def from_config(
        cls,
        member_id: MemberId,
        peer_address: str,
        key: bytes,
        on_message: OnMessage,
        on_error: OnError,
        silence_timeout_s: float = SILENCE_TIMEOUT_S,
    ) -> "PeerTransport":
        """Create a transport that is not open yet."""
        return cls(
            member_id, peer_address, key, on_message, on_error, silence_timeout_s
        )

    def open(self) -> None:
        """Listen and deliver messages; raises `zmq.ZMQError` if the bind fails."""
        socket = self.context.socket(zmq.ROUTER)
        socket.set(zmq.LINGER, 0)
        socket.set(zmq.RCVHWM, RECEIVE_QUEUE_MESSAGES)
        socket.set(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        socket.bind(f"tcp://{self.address}")
        endpoint = socket.get_string(zmq.LAST_ENDPOINT).rstrip("\0")
        self.address = endpoint.removeprefix("tcp://")
        self.receiver = asyncio.create_task(self._receive(socket))

    async def close(self) -> None:
        """Stop receiving and discard unsent messages."""
        if self.receiver is not None:
            self.receiver.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.receiver
        for peer_socket in self.sockets.values():
            peer_socket.socket.close(linger=0)
        self.sockets.clear()
        self.context.destroy(linger=0)

    def send(self, address: str, message: PeerMessage) -> None:
        """Send the message to the process that listens at the address; never blocks."""
        clock_s = message.clock_s if isinstance(message, Heartbeat) else None
        peer_socket = self._socket_for(address, clock_s)
        if peer_socket is None:
            return
        data = add_mac(encode_message(message), self.key)
        try:
            peer_socket.socket.send(data, zmq.NOBLOCK)
        except zmq.Again:
            self.traffic.dropped_messages += 1
            return
        self.traffic.sent_messages += 1
        self.traffic.sent_bytes += len(data)

    def disconnect_except(self, keep: frozenset[str]) -> None:
        """Close the sockets to all addresses except the given ones."""
        for address in self.sockets.keys() - keep:
            self.sockets.pop(address).socket.close(linger=0)
        for member, address in list(self.addresses.items()):
            if address not in keep:
                del self.addresses[member]

    def _socket_for(self, address: str, clock_s: float | None) -> _PeerSocket | None:
        peer_socket = self.sockets.get(address)
        if peer_socket is not None and not self._is_silent(peer_socket, clock_s):
            return peer_socket
        if peer_socket is not None:
            peer_socket.socket.close(linger=0)
            del self.sockets[address]
            self.traffic.replaced_sockets += 1
        try:
            socket = self._connect(address)
        except zmq.ZMQError as error:
            self.on_error(PeerTransportError("connect", address, str(error)))
            return None
        peer_socket = _PeerSocket(socket, clock_s or 0.0)
        self.sockets[address] = peer_socket
        return peer_socket

    def _is_silent(self, peer_socket: _PeerSocket, clock_s: float | None) -> bool:
        if clock_s is None:
            return False
        return clock_s - peer_socket.acknowledged_clock_s >= self.silence_timeout_s

    def _connect(self, address: str) -> zmq.Socket[bytes]:
        # Not the asyncio socket: sending with NOBLOCK needs no event loop.
        socket = zmq.Socket(self.context, zmq.DEALER)
        try:
            number = next(self.socket_numbers)
            routing_id = f"{self.address}#{self.member_id.incarnation[:8]}#{number}"
            socket.set(zmq.ROUTING_ID, routing_id.encode())
            socket.set(zmq.LINGER, 0)
            socket.set(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
            socket.set(zmq.IMMEDIATE, 1)
            socket.set(zmq.RECONNECT_IVL, RECONNECT_MS)
            socket.set(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
            socket.connect(f"tcp://{address}")
        except zmq.ZMQError:
            socket.close(linger=0)
            raise
        return socket

    async def _receive(self, socket: zmq.asyncio.Socket) -> None:
        try:
            while True:
                frames = await socket.recv_multipart()
                self._on_frames(frames)
        finally:
            socket.close(linger=0)

    def _on_frames(self, frames: list[bytes]) -> None:
        peer = frames[0].decode(errors="replace").partition("#")[0]
        self.traffic.received_messages += 1
        self.traffic.received_bytes += sum(len(part) for part in frames[1:])
        if len(frames) != 2:
            detail = f"a message has {len(frames) - 1} parts instead of 1"
            self.on_error(PeerTransportError("receive", peer, detail))
            return
        try:
            message = decode_message(verify_mac(frames[1], self.key))
        except (
            MacError,
            msgspec.DecodeError,
            UnicodeDecodeError,
            RecursionError,
        ) as error:
            self.on_error(PeerTransportError("decode", peer, str(error)))
            return
        sender = MemberId(message.entry, message.incarnation)
        if isinstance(message, Heartbeat):
            self._record_acknowledgement(sender, message)
        self.on_message(sender, message)

    def _record_acknowledgement(self, sender: MemberId, heartbeat: Heartbeat) -> None:
        self.addresses[sender] = heartbeat.peer_address
        peer_socket = self.sockets.get(heartbeat.peer_address)
        if peer_socket is None:
            return
        echo = heartbeat.echo
        if echo is not None and echo.incarnation == self.member_id.incarnation:
            acknowledged_s = max(peer_socket.acknowledged_clock_s, echo.clock_s)
            peer_socket.acknowledged_clock_s = acknowledged_s
