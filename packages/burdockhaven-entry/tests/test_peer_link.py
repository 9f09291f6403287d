"""The peer link over real sockets on loopback."""

import asyncio

import pytest
import zmq
import zmq.asyncio

from burdockhaven_core.identity import MemberId
from burdockhaven_core.messages import (
    ConfigurationAsk,
    Echo,
    Heartbeat,
    encode_message,
)
from burdockhaven_entry.message_seal import seal
from burdockhaven_entry.peer_link import PeerLink

A = MemberId("a", "a1")
B = MemberId("b", "b1")
KEY = b"k" * 32


class Side:
    """One end of a link with what arrived there."""

    def __init__(self, me):
        self.arrived = asyncio.Queue()
        self.errors = asyncio.Queue()
        self.link = PeerLink.from_config(
            me, "127.0.0.1:0", KEY, self._on_message, self.errors.put_nowait
        )
        self.link.open()

    def _on_message(self, sender, message):
        self.arrived.put_nowait((sender, message))


@pytest.fixture
async def sides():
    first, second = Side(A), Side(B)
    yield first, second
    await first.link.close()
    await second.link.close()


def heartbeat(side, clock_s, echo_of=None, echo_clock_s=None):
    link = side.link
    echo = None
    if echo_of is not None:
        echo = Echo(echo_of.link.me.incarnation, echo_clock_s, 0)
    names = (link.me.entry, link.me.incarnation)
    rest = ("127.0.0.1:1", link.address, "z1", True, False, 1, (), ())
    return Heartbeat(*names, int(clock_s * 10), clock_s, *rest, echo=echo)


async def deliver(sender, receiver, message):
    """Send until the message arrives: connecting takes a moment."""
    while receiver.arrived.empty():
        sender.link.send(receiver.link.address, message)
        await asyncio.sleep(0.01)
    return await receiver.arrived.get()


async def test_a_message_arrives_with_its_sender_and_is_counted(sides):
    first, second = sides
    message = ConfigurationAsk(*("a", "a1"), have_version=3)
    assert await deliver(first, second, message) == (A, message)
    assert first.link.traffic.sent_bytes > 0
    assert second.link.traffic.received_messages >= 1


GENUINE = encode_message(ConfigurationAsk("a", "a1", 1))


@pytest.mark.parametrize(
    "parts",
    [
        [seal(b"\xc1", KEY)],
        [seal(b"\x92\x01\x02", KEY)],
        [seal(b"", KEY)],
        [b"a", b"b"],
        [b""],
        [GENUINE],
        [seal(GENUINE, b"j" * 32)],
    ],
)
async def test_a_malformed_message_is_reported_and_harms_no_other(sides, parts):
    first, second = sides
    raw = zmq.asyncio.Context.instance().socket(zmq.DEALER)
    raw.set(zmq.LINGER, 0)
    raw.set(zmq.ROUTING_ID, b"10.0.0.9:7000#x#0")
    raw.connect(f"tcp://{second.link.address}")
    await raw.send_multipart(parts)
    error = await second.errors.get()
    raw.close()
    assert error.step in {"decode", "receive"}
    assert error.peer == "10.0.0.9:7000"
    await deliver(first, second, ConfigurationAsk("a", "a1", 1))


async def test_sending_to_nobody_drops_instead_of_waiting(sides):
    first, second = sides
    address = second.link.address
    await second.link.close()
    for _ in range(3):
        first.link.send(address, ConfigurationAsk("a", "a1", 1))
    assert first.link.traffic.dropped_messages == 3


@pytest.mark.parametrize(
    ("echoes", "replaced"),
    [((0.0, 1.0, 2.0, 3.0, 4.0), 0), ((0.0, 0.0, 0.0, 0.0, 0.0), 2)],
    ids=["confirmed", "peer hears nothing of us"],
)
async def test_a_link_on_which_heartbeats_get_lost_gets_a_fresh_socket(
    sides, echoes, replaced
):
    first, second = sides
    for clock_s, echo_clock_s in enumerate(echoes):
        first.link.send(second.link.address, heartbeat(first, float(clock_s)))
        answer = heartbeat(second, float(clock_s), first, echo_clock_s)
        await deliver(second, first, answer)
        while not first.arrived.empty():
            first.arrived.get_nowait()
    assert first.link.traffic.replaced_sockets == replaced
