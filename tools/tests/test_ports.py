import asyncio
import random
import socket
import subprocess
import sys
from collections import deque

import pytest
import zmq

from burdockhaven_standins import ports
from burdockhaven_standins.ports import free_address, free_addresses, free_host

PICK_WITH_FIXED_SEED = """
import random
from burdockhaven_standins import ports
ports._rng = random.Random(7)
print(ports.free_address())
"""


def test_two_pickers_with_the_same_numbers_get_distinct_ports(monkeypatch):
    monkeypatch.setattr(ports, "_rng", random.Random(7))
    own = free_address()
    other = subprocess.run(
        [sys.executable, "-c", PICK_WITH_FIXED_SEED],
        capture_output=True,
        text=True,
        check=True,
    ).stdout.strip()
    assert own != other


def test_addresses_are_distinct():
    addresses = free_addresses(50)
    assert len(set(addresses)) == 50


@pytest.mark.parametrize("host", ["127.0.0.1", "127.0.0.7"])
async def test_server_can_listen_on_a_reserved_port(host):
    port = int(free_address().rpartition(":")[2])
    server = await asyncio.start_server(lambda reader, writer: None, host, port)
    server.close()
    await server.wait_closed()


def test_zeromq_can_listen_on_a_reserved_port():
    with zmq.Context() as context, context.socket(zmq.ROUTER) as router:
        router.bind(f"tcp://{free_address()}")


def test_free_host_can_use_a_port_that_the_default_host_uses():
    with socket.create_server((ports.HOST, 0)) as used:
        port = used.getsockname()[1]
        with socket.create_server((free_host(port), port)):
            pass


def test_oldest_reservation_is_released(monkeypatch):
    monkeypatch.setattr(ports, "_reservations", deque())
    monkeypatch.setattr(ports, "MAX_RESERVATIONS", 3)
    free_addresses(5)
    assert len(ports._reservations) == 3
