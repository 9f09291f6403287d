import pytest
from gateway_fixtures import settings

from burdockhaven_core.scheduling.drain_schedule import LAME_DUCK_S, DrainSchedule
from burdockhaven_entry.gateway.control_handler import LOOK_UP_TTL_S
from burdockhaven_entry.gateway.gateway_daemon import GatewayDaemon

# Clients use a look-up for up to three times its lifetime.
CACHED_LIFETIMES = 3
# A request that comes later after SIGTERM counts as lost if it is cut.
LATEST_REQUEST_S = 3.0


# Guards against a stream that is taken too late to end within the grace period.
def test_connections_are_accepted_while_look_ups_are_cached_and_not_longer():
    assert CACHED_LIFETIMES * LOOK_UP_TTL_S < LAME_DUCK_S < LATEST_REQUEST_S


# Guards against LOST: a process that was asked to stop while it started drained beyond
# the grace period and was killed with responses pending.
@pytest.mark.parametrize("requests_s", [[100.0], [100.0, 100.8], [100.0, 103.0, 107.0]])
async def test_grace_period_begins_with_the_first_request_to_stop(requests_s):
    times_s = [0.0]
    daemon = GatewayDaemon.from_settings(settings(), {}, lambda: times_s[-1])
    for requested_s in requests_s:
        times_s.append(requested_s)
        daemon.request_stop()
    expected = DrainSchedule.from_grace(requests_s[0], settings().grace_s)
    assert daemon.drain_schedule == expected
    assert daemon.stop_requested.is_set()
    await daemon.session.close()
    await daemon.target_client.close()
    await daemon.store.close()
