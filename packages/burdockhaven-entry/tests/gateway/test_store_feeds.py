import pytest
from gateway_fixtures import Gateway
from scheduling_samples import heartbeat

from burdockhaven_core.scheduling.member_list import FULL_MESH_MAX_MEMBERS
from burdockhaven_entry.gateway.store_feeds import (
    TARGETS_WATCHED_BY_MANY,
    WATCHED_BY_MANY,
    StoreFeeds,
)
from burdockhaven_entry.gateway.store_sync import WatchPace


@pytest.fixture
async def gateway():
    started = await Gateway.start()
    yield started
    await started.stop()


def paces(gateway, members, *, oldest):
    """How a member among so many watches the configuration and the targets."""
    state = gateway.state
    now = state.clock()
    for number in range(members - 1):
        started_ms = 100 + number if oldest else -100 + number
        state.member_list.record_heartbeat(
            heartbeat(f"other-{number}", started_ms=started_ms), now
        )
    state.member_list.update_hubs(state.heartbeat(), now)
    return [feed.pace() for feed in StoreFeeds(state).all()]


async def test_each_of_few_members_watches_closely(gateway):
    found = paces(gateway, FULL_MESH_MAX_MEMBERS, oldest=False)
    assert found == [WatchPace(), WatchPace()]


async def test_of_many_members_only_the_hubs_watch_closely(gateway):
    found = paces(gateway, FULL_MESH_MAX_MEMBERS + 1, oldest=False)
    assert found == [WATCHED_BY_MANY, TARGETS_WATCHED_BY_MANY]


async def test_a_hub_watches_closely(gateway):
    found = paces(gateway, FULL_MESH_MAX_MEMBERS + 1, oldest=True)
    assert found == [WatchPace(), WatchPace()]
