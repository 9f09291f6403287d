import pytest
from scheduling_samples import ME, heartbeat

from burdockhaven_core.scheduling.hub_feed import HubFeed, HubLoss, find_hub_feed
from burdockhaven_core.scheduling.member_list import MEMBER_TIMEOUT_S, MemberList

ERA = 3
NOW = 100.0


def feed_of(hubs, *, own_hub=False, silent_s=0.0):
    """Return what a member learns from hubs with these fields in their heartbeats."""
    member_list = MemberList(ME)
    nodes = []
    for number, fields in enumerate(hubs):
        node = f"hub-{number}"
        changes = {"store_era": ERA, "targets_revision": 7} | fields
        member_list.record_heartbeat(heartbeat(node, **changes), NOW - silent_s)
        nodes.append(node)
    member_list.hubs = (*nodes, ME.node) if own_hub else tuple(nodes)
    return find_hub_feed(member_list, ERA, NOW)


@pytest.mark.parametrize(
    "hubs, options, expected",
    [
        ([{}], {}, HubFeed(1, 7)),
        ([{"targets_revision": 9}, {"config_version": 4}], {}, HubFeed(4, 9)),
        ([{}, {"in_sync": False, "targets_revision": 9}], {}, HubFeed(1, 7)),
        ([{}, {"store_era": ERA + 1, "targets_revision": 9}], {}, HubFeed(1, 7)),
        ([], {}, HubLoss.NO_HUB),
        ([{}], {"own_hub": True}, HubLoss.NO_HUB),
        ([{}], {"silent_s": MEMBER_TIMEOUT_S + 0.1}, HubLoss.NO_HUB),
        ([{"store_era": ERA - 1}], {}, HubLoss.NO_HUB),
        ([{"in_sync": False}, {"in_sync": False}], {}, HubLoss.OUT_OF_SYNC),
    ],
    ids=[
        "one hub",
        "the newest of several hubs",
        "a hub out of sync is ignored",
        "a hub of another era is ignored",
        "no hubs",
        "the member is a hub",
        "silent hubs",
        "hubs of an older era",
        "all hubs out of sync",
    ],
)
def test_feed_of_hubs(hubs, options, expected):
    assert feed_of(hubs, **options) == expected
