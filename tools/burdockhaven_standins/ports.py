"""Free ports on loopback for processes that must be told their address."""

import random
import socket

HOST = "127.0.0.1"
# Below the range from which systems take the ports of outgoing connections, so that no
# connection takes a port between the choice and its use.
FIRST_PORT = 20_000
LAST_PORT = 32_000

_rng = random.SystemRandom()


def free_address() -> str:
    """An address on loopback, as host:port, that nothing listens on."""
    while True:
        port = _rng.randint(FIRST_PORT, LAST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return f"{HOST}:{port}"


def free_addresses(count: int) -> list[str]:
    """Different addresses of that kind."""
    addresses: set[str] = set()
    while len(addresses) < count:
        addresses.add(free_address())
    return list(addresses)
