import asyncio
import time

import pytest
from gateway_fixtures import Gateway, Script, respond, stream_events

LIMIT_PER_S = 2.0
LIMIT_HEADER = f"Server-Limit: {LIMIT_PER_S}\r\n"
REQUESTS = 60
# The platform's tolerance: requests in a window of four seconds, beyond one and a half
# times the limit.
WINDOW_S = 4.0
TOLERANCE_RATIO = 1.5
TOLERANCE_REQUESTS = 5


# Guards against incident LIMIT: a target got many more requests than the limit it named.
@pytest.mark.parametrize(
    ("path", "targets"),
    [
        ("/safe/", {"plain": [Script(respond(extra=LIMIT_HEADER))]}),
        ("/unsafe/", {"plain": [Script(respond(extra=LIMIT_HEADER))]}),
        ("/stream/", {"engines": [Script(stream_events(1, 2, extra=LIMIT_HEADER))]}),
        ("/once/", {"engines": [Script(stream_events(1, 2, extra=LIMIT_HEADER))]}),
    ],
)
async def test_target_gets_no_more_requests_than_it_names(path, targets):
    gateway = await Gateway.start(**targets)
    placement_client = gateway.frontend.streams.placement_client
    placement_client.on_pending_updates = placement_client.flush_progress
    headers = {"X-Burdockhaven-Deadline-Ms": "400"}
    started_s = time.monotonic()
    assert (await gateway.call(path, headers=headers)).status == 200
    for _ in range(3):
        calls = [gateway.call(path, headers=headers) for _ in range(REQUESTS // 3)]
        await asyncio.gather(*calls)
    window_s = max(WINDOW_S, time.monotonic() - started_s)
    allowed = TOLERANCE_RATIO * LIMIT_PER_S * window_s + TOLERANCE_REQUESTS
    assert len(gateway.received) <= allowed
    await gateway.stop()


async def test_target_is_used_freely_again_once_it_names_no_limit():
    script = Script(respond(extra=LIMIT_HEADER), respond())
    gateway = await Gateway.start(plain=[script])
    assert (await gateway.call("/safe/")).status == 200
    statuses = []
    for _ in range(600):
        statuses.append((await gateway.call("/safe/")).status)
        if statuses[-1] == 200:
            break
        await asyncio.sleep(0.05)
    assert statuses[-1] == 200
    for _ in range(20):
        assert (await gateway.call("/safe/")).status == 200
    await gateway.stop()


async def test_unreadable_limit_changes_nothing():
    script = Script(respond(extra="Server-Limit: x\r\n"))
    gateway = await Gateway.start(plain=[script])
    for _ in range(20):
        assert (await gateway.call("/safe/")).status == 200
    assert gateway.state.target_limits.unreadable == {"plain-0"}
    await gateway.stop()
