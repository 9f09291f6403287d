"""Selects free ports on loopback for processes whose address is set by an option.

Each selected port stays reserved for this process and the processes that it starts, so
that two test processes never hand out the same port.
"""

import contextlib
import random
import socket
from collections import deque

HOST = "127.0.0.1"
# Loopback networks, of 2**16 hosts each, other than that of the default host.
FIRST_NETWORK = 1
LAST_NETWORK = 254
# Below the range of ephemeral ports, so that no outgoing connection takes a port
# between its selection and its use.
FIRST_PORT = 20_000
LAST_PORT = 32_000
# Reservations that one process holds; the oldest is released. A test uses fewer than
# a hundred ports at once.
MAX_RESERVATIONS = 512

_rng = random.SystemRandom()
_reservations: deque[socket.socket] = deque()


def free_address() -> str:
    """Return an address on loopback, as host:port, that is not in use."""
    while True:
        port = _rng.randint(FIRST_PORT, LAST_PORT)
        if _reserve(port):
            return f"{HOST}:{port}"


def free_addresses(count: int) -> list[str]:
    """Return distinct free addresses."""
    return [free_address() for _ in range(count)]


def free_host(port: int) -> str:
    """Return a loopback host other than the default one where the port is not in use.

    The port is not reserved.
    """
    while True:
        network = _rng.randint(FIRST_NETWORK, LAST_NETWORK)
        host = f"127.{network}.{_rng.randint(1, 254)}.{_rng.randint(1, 254)}"
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            return host


def _reserve(port: int) -> bool:
    """Bind the port without listening on it; False if it is in use or reserved.

    The socket is bound exclusively, to all addresses, so the reservations of two
    processes conflict. It allows address reuse only afterwards: a server that sets the
    same option, as the servers of asyncio and ZeroMQ do, can then listen on the port.
    """
    reservation = socket.socket()
    try:
        reservation.bind(("", port))
    except OSError:
        reservation.close()
        return False
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _reservations.append(reservation)
    if len(_reservations) > MAX_RESERVATIONS:
        _reservations.popleft().close()
    return True
