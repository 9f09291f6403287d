"""Opens listening sockets before the libraries that serve them are imported.

Imports take most of a start. Clients that connect meanwhile wait in the backlog instead
of being refused. This module therefore imports no library.
"""

import contextlib
import socket
from collections.abc import Iterable

# Maximum number of connections waiting to be accepted.
LISTEN_BACKLOG = 1024
# Size in bytes requested for the kernel's receive buffer of each accepted connection.
# What clients have sent and the process hasn't read counts as its memory.
RECEIVE_BUFFER_BYTES = 65_536
# The same for its send buffer: what a client has read shows only as room in it.
SEND_BUFFER_BYTES = 65_536


class ListeningSocket(socket.socket):
    """A listening socket with a backlog of its own.

    The event loop accepts as many connections at once as it asks a socket to keep
    waiting. A process with few descriptors must accept few at once, and keep many
    waiting.
    """

    @classmethod
    def bind_to(cls, host: str, port: int) -> "ListeningSocket":
        """Listen on a TCP address; raises `OSError` if it is in use."""
        listening = cls(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.bind((host, port))
            listening.listen()
        except OSError:
            listening.close()
            raise
        # The daemon sets it again and logs a failure.
        with contextlib.suppress(OSError):
            listening.limit_buffers()
        return listening

    def limit_buffers(self) -> None:
        """Limit the kernel's buffers of accepted connections, which inherit them."""
        self.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)

    def listen(self, backlog: int = LISTEN_BACKLOG) -> None:
        """Listen with the backlog of all listening sockets."""
        super().listen(LISTEN_BACKLOG)


def open_listening_sockets(addresses: Iterable[str]) -> dict[str, ListeningSocket]:
    """Listen on TCP addresses (host:port); raises `OSError` if one is in use."""
    sockets: dict[str, ListeningSocket] = {}
    try:
        for address in addresses:
            host, _, port = address.rpartition(":")
            sockets[address] = ListeningSocket.bind_to(host, int(port))
    except OSError:
        for listening in sockets.values():
            listening.close()
        raise
    return sockets
