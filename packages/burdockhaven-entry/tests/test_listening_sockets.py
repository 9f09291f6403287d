import socket
import subprocess
import sys

import pytest

from burdockhaven_entry.listening_sockets import (
    RECEIVE_BUFFER_BYTES,
    open_listening_sockets,
)


def free_addresses(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{opened.getsockname()[1]}" for opened in sockets]
    for opened in sockets:
        opened.close()
    return addresses


def test_client_can_connect_before_the_connection_is_accepted():
    (address,) = free_addresses(1)
    sockets = open_listening_sockets([address])
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5.0) as client:
        client.sendall(b"early")
        accepted, _ = sockets[address].accept()
        with accepted:
            assert accepted.recv(5) == b"early"
    sockets[address].close()


# Guards against connections that are refused at a start, because few are accepted at
# once and few could wait.
def test_event_loop_does_not_shorten_the_backlog():
    (address,) = free_addresses(1)
    opened = open_listening_sockets([address])[address]
    opened.listen(1)
    host, _, port = address.rpartition(":")
    clients = [
        socket.create_connection((host, int(port)), timeout=0.5) for _ in range(20)
    ]
    for client in clients:
        client.close()
    opened.close()


# Guards against memory that clients fill before the process reads anything.
def test_accepted_connections_have_a_small_receive_buffer():
    (address,) = free_addresses(1)
    opened = open_listening_sockets([address])[address]
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5.0):
        accepted, _ = opened.accept()
        with accepted:
            size = accepted.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    opened.close()
    # The kernel doubles what is requested, for its own overhead.
    assert size <= 2 * RECEIVE_BUFFER_BYTES


def test_all_sockets_are_closed_if_an_address_is_in_use():
    first, taken = free_addresses(2)
    port = int(taken.rpartition(":")[2])
    with socket.create_server(("127.0.0.1", port)):
        with pytest.raises(OSError, match="Address already in use"):
            open_listening_sockets([first, taken])
        (reopened,) = open_listening_sockets([first]).values()
        reopened.close()


def test_settings_are_read_without_the_http_library():
    """Sockets are opened right after this; imports would delay them."""
    program = (
        "import sys, burdockhaven_entry.main\n"
        "import burdockhaven_entry.listening_sockets\n"
        "from burdockhaven_entry.platform import read_settings\n"
        "print([n for n in ('aiohttp', 'asyncio', 'loguru') if n in sys.modules])"
    )
    process = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert process.stdout.strip() == "[]"
