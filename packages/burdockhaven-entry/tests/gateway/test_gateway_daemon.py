from burdockhaven_core.scheduling.drain_schedule import LAME_DUCK_S
from burdockhaven_entry.gateway.control_handler import LOOK_UP_TTL_S

# Clients use a look-up for up to three times its lifetime.
CACHED_LIFETIMES = 3
# A request that comes later after SIGTERM counts as lost if it is cut.
LATEST_REQUEST_S = 3.0


# Guards against a stream that is taken too late to end within the grace period.
def test_connections_are_accepted_while_look_ups_are_cached_and_not_longer():
    assert CACHED_LIFETIMES * LOOK_UP_TTL_S < LAME_DUCK_S < LATEST_REQUEST_S
