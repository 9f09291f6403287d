import asyncio
import math

import msgspec
import pytest
from gateway_fixtures import wait_until
from scheduling_samples import heartbeat

from burdockhaven_core.scheduling.peer_messages import (
    AnnouncedLimit,
    EntryChange,
    OriginReply,
    VersionObservation,
)
from burdockhaven_entry.gateway.peer_endpoint import PeerEndpoint

HOST = "127.0.0.1"


class Member:
    """An endpoint that keeps what it receives and reports."""

    def __init__(self):
        self.received = []
        self.errors = []
        self.endpoint = PeerEndpoint(
            self.received.append, lambda peer, detail: self.errors.append(peer)
        )

    @classmethod
    async def open(cls):
        member = cls()
        await member.endpoint.open(HOST, 0)
        return member

    @property
    def address(self):
        host, port = self.endpoint.transport.get_extra_info("sockname")
        return f"{host}:{port}"


@pytest.fixture
async def members():
    opened = [await Member.open() for _ in range(2)]
    yield opened
    for member in opened:
        member.endpoint.close()


# Guards against one address for which all members are cut off: an error that the
# transport does not expect closes it.
@pytest.mark.parametrize(
    "odd", ["", "1.2.3.4", "1.2.3.4:x", f"{HOST}:99999", f"{HOST}:-1", "\ud800:1"]
)
async def test_odd_address_does_not_keep_a_message_from_the_others(members, odd):
    sender, recipient = members
    sent = heartbeat()
    sender.endpoint.send_all([odd, recipient.address], sent)
    sender.endpoint.send(recipient.address, sent)
    await wait_until(lambda: len(recipient.received) == 2)
    assert sender.errors == [odd]


# Guards against LOST: a heartbeat that can't be encoded ended a stop before its drain.
async def test_message_that_cannot_be_encoded_is_reported_once(members):
    sender, recipient = members
    for _ in range(3):
        sender.endpoint.send(recipient.address, heartbeat(started_ms=10**20))
    sender.endpoint.send(recipient.address, heartbeat())
    await wait_until(lambda: recipient.received)
    assert sender.errors == [recipient.address]


# Guards against values of a member that raise errors wherever they are used.
@pytest.mark.parametrize(
    "message",
    [
        heartbeat(limits=(AnnouncedLimit("t", math.nan, 0),)),
        heartbeat(limits=(AnnouncedLimit("t", 1e300, 0),)),
        heartbeat(leaving=("t",), leaving_started_ms=(-1,)),
        heartbeat(entry_changes=(EntryChange("t", -1, 0, 0, False),)),
        heartbeat(config_version=2**63),
        heartbeat(store_era=-1),
        heartbeat(targets_revision=2**63),
        OriginReply("n", 1, None, VersionObservation((), math.nan)),
    ],
)
async def test_message_with_a_number_out_of_range_is_dropped(members, message):
    _, recipient = members
    data = msgspec.msgpack.encode(message)
    recipient.endpoint.datagram_received(data, (HOST, 1))
    await asyncio.sleep(0)
    assert (recipient.received, recipient.errors) == ([], [f"{HOST}:1"])
