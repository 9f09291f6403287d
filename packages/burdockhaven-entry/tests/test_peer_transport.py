"""The peer transport over real sockets on the loopback interface."""

import asyncio

import pytest
import zmq
import zmq.asyncio

from burdockhaven_core.identity import MemberId
from burdockhaven_core.messages import (
    ConfigurationRequest,
    Echo,
    Heartbeat,
    encode_message,
)
from burdockhaven_entry.message_mac import add_mac
from burdockhaven_entry.peer_transport import PeerTransport

A = MemberId("a", "a1")
B = MemberId("b", "b1")
KEY = b"k" * 32


class Endpoint:
    """A transport with the messages and errors that it has delivered."""

    def __init__(self, member_id):
        self.received = asyncio.Queue()
        self.errors = asyncio.Queue()
        self.transport = PeerTransport.from_config(
            member_id, "127.0.0.1:0", KEY, self._on_message, self.errors.put_nowait
        )
        self.transport.open()

    def _on_message(self, sender, message):
        self.received.put_nowait((sender, message))


@pytest.fixture
async def endpoints():
    first, second = Endpoint(A), Endpoint(B)
    yield first, second
    await first.transport.close()
    await second.transport.close()


def heartbeat(endpoint, clock_s, echo_of=None, echo_clock_s=None):
    transport = endpoint.transport
    echo = None
    if echo_of is not None:
        echo = Echo(echo_of.transport.member_id.incarnation, echo_clock_s, 0)
    names = (transport.member_id.entry, transport.member_id.incarnation)
    rest = ("127.0.0.1:1", transport.address, "z1", True, False, 1, (), ())
    return Heartbeat(*names, int(clock_s * 10), clock_s, *rest, echo=echo)


async def deliver(sender, receiver, message):
    """Send until the message arrives; sends are dropped until connected."""
    while receiver.received.empty():
        sender.transport.send(receiver.transport.address, message)
        await asyncio.sleep(0.01)
    return await receiver.received.get()


async def test_a_message_is_delivered_with_its_sender_and_counted(endpoints):
    first, second = endpoints
    message = ConfigurationRequest(*("a", "a1"), held_version=3)
    assert await deliver(first, second, message) == (A, message)
    assert first.transport.traffic.sent_bytes > 0
    assert second.transport.traffic.received_messages >= 1


GENUINE = encode_message(ConfigurationRequest("a", "a1", 1))


@pytest.mark.parametrize(
    "frames",
    [
        [add_mac(b"\xc1", KEY)],
        [add_mac(b"\x92\x01\x02", KEY)],
        [add_mac(b"", KEY)],
        [b"a", b"b"],
        [b""],
        [GENUINE],
        [add_mac(GENUINE, b"j" * 32)],
    ],
)
async def test_a_malformed_message_is_reported_and_later_ones_are_delivered(
    endpoints, frames
):
    first, second = endpoints
    raw = zmq.asyncio.Context.instance().socket(zmq.DEALER)
    raw.set(zmq.LINGER, 0)
    raw.set(zmq.ROUTING_ID, b"10.0.0.9:7000#x#0")
    raw.connect(f"tcp://{second.transport.address}")
    await raw.send_multipart(frames)
    error = await second.errors.get()
    raw.close()
    assert error.step in {"decode", "receive"}
    assert error.peer == "10.0.0.9:7000"
    await deliver(first, second, ConfigurationRequest("a", "a1", 1))


async def test_sending_without_a_connection_drops_the_message(endpoints):
    first, second = endpoints
    address = second.transport.address
    await second.transport.close()
    for _ in range(3):
        first.transport.send(address, ConfigurationRequest("a", "a1", 1))
    assert first.transport.traffic.dropped_messages == 3


@pytest.mark.parametrize(
    ("echoes", "replaced"),
    [((0.0, 1.0, 2.0, 3.0, 4.0), 0), ((0.0, 0.0, 0.0, 0.0, 0.0), 2)],
    ids=["confirmed", "nothing confirmed"],
)
async def test_a_socket_without_acknowledgements_is_replaced(
    endpoints, echoes, replaced
):
    first, second = endpoints
    for clock_s, echo_clock_s in enumerate(echoes):
        first.transport.send(second.transport.address, heartbeat(first, float(clock_s)))
        answer = heartbeat(second, float(clock_s), first, echo_clock_s)
        await deliver(second, first, answer)
        while not first.received.empty():
            first.received.get_nowait()
    assert first.transport.traffic.replaced_sockets == replaced
