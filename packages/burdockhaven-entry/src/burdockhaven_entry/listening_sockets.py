"""Opens listening sockets before the libraries that serve them are imported.

Imports take most of a start. Clients that connect meanwhile wait in the backlog instead
of being refused. This module therefore imports no library.
"""

import socket
from collections.abc import Iterable

# Maximum number of connections waiting to be accepted.
LISTEN_BACKLOG = 1024


def open_listening_sockets(addresses: Iterable[str]) -> dict[str, socket.socket]:
    """Listen on TCP addresses (host:port); raises `OSError` if one is in use."""
    sockets: dict[str, socket.socket] = {}
    try:
        for address in addresses:
            host, _, port = address.rpartition(":")
            sockets[address] = socket.create_server(
                (host, int(port)), backlog=LISTEN_BACKLOG
            )
    except OSError:
        for opened in sockets.values():
            opened.close()
        raise
    return sockets
