"""Selects free ports on loopback for processes whose address is set by an option.

The port is not reserved: another process may bind it before the one it is meant for.
"""

import random
import socket

HOST = "127.0.0.1"
# Below the range of ephemeral ports, so that no outgoing connection takes a port
# between its selection and its use.
FIRST_PORT = 20_000
LAST_PORT = 32_000

_rng = random.SystemRandom()


def free_address() -> str:
    """Return an address on loopback, as host:port, that is not in use."""
    while True:
        port = _rng.randint(FIRST_PORT, LAST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return f"{HOST}:{port}"


def free_addresses(count: int) -> list[str]:
    """Return distinct free addresses."""
    addresses: set[str] = set()
    while len(addresses) < count:
        addresses.add(free_address())
    return list(addresses)
