"""Reads the bodies of client requests."""

from aiohttp import web

from burdockhaven_entry.gateway.client_server import ClientConnection

# Bytes from which on a piece of a body is kept as it came. Shorter ones are joined:
# each piece of a list takes some dozens of bytes more.
LONG_PIECE_BYTES = 16_384


class BodyTooLongError(Exception):
    """A request body exceeds the limit."""


class BodyBuffer:
    """A body that arrives in pieces of any size.

    It never moves what it holds: growing buffers of many bodies at once would leave
    unused gaps between them, as large as the bodies.
    """

    def __init__(self, first: bytes) -> None:
        self.pieces: list[bytes] = []
        # Short pieces since the last long one.
        self.tail = bytearray()
        self.size = 0
        self.add(first)

    def add(self, piece: bytes) -> None:
        """Append a piece."""
        self.size += len(piece)
        if len(piece) < LONG_PIECE_BYTES:
            self.tail += piece
            if len(self.tail) < LONG_PIECE_BYTES:
                return
            piece = b""
        if self.tail:
            self.pieces.append(bytes(self.tail))
            self.tail.clear()
        if piece:
            self.pieces.append(piece)

    def join(self) -> bytes:
        """Return the whole body."""
        return b"".join((*self.pieces, self.tail))

    def clear(self) -> None:
        """Free the memory."""
        self.pieces.clear()
        self.tail.clear()


async def read_body(request: web.BaseRequest, max_bytes: int) -> bytes:
    """Return the whole body; raises `BodyTooLongError`.

    What arrives is charged to the connection until the body is whole.
    """
    content = request.content
    first = await content.readany()
    if len(first) > max_bytes:
        raise BodyTooLongError
    if content.at_eof():
        return first
    connection = request.protocol
    buffer = BodyBuffer(first)
    try:
        while True:
            if isinstance(connection, ClientConnection):
                connection.collect(buffer.size)
            piece = await content.readany()
            if not piece and content.at_eof():
                return buffer.join()
            buffer.add(piece)
            if buffer.size > max_bytes:
                raise BodyTooLongError
    finally:
        # The body's error refers to this frame, and this frame to the error.
        buffer.clear()
        if isinstance(connection, ClientConnection):
            connection.collect(0)
