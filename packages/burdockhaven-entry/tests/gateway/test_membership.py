import random

from gateway_fixtures import settings
from scheduling_samples import heartbeat

from burdockhaven_core.scheduling.member_list import FULL_MESH_MAX_MEMBERS, HUB_COUNT
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.membership import Membership

MEMBERS = FULL_MESH_MAX_MEMBERS + 4


class RecordingEndpoint:
    """An endpoint that keeps the last heartbeat for each address."""

    def __init__(self):
        self.sent = {}

    def send_all(self, addresses, message):
        self.sent |= dict.fromkeys(addresses, message)


def make_membership():
    state = GatewayState.from_settings(
        settings(), 1, 1_000, lambda: 1.0, random.Random(1)
    )
    for number in range(MEMBERS):
        member = heartbeat(f"entry-{number + 2}", number + 2, started_ms=number)
        state.member_list.record_heartbeat(member, 1.0)
    state.member_list.update_hubs(state.heartbeat(), 1.0)
    endpoint = RecordingEndpoint()
    return Membership(
        state, endpoint, None, None, lambda *_: None, lambda *_: None, lambda *_: None
    )


# Guards against look-ups that name a member for seconds after its stop was requested.
def test_drain_is_announced_to_every_member_of_a_large_cluster():
    membership = make_membership()
    assert len(membership.state.member_list.hubs) == HUB_COUNT
    membership.state.draining = True
    membership.announce_drain()
    sent = membership.endpoint.sent
    assert len(sent) == MEMBERS
    assert all(message.draining for message in sent.values())
