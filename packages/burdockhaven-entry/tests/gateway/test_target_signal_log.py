import asyncio
import dataclasses
import random
import time

import pytest
from gateway_fixtures import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    Gateway,
    Script,
    respond,
    routing_table,
    settings,
    stream_events,
)
from multidict import CIMultiDict, CIMultiDictProxy
from scheduling_samples import target

from burdockhaven_core.scheduling.peer_messages import decode_message, encode_message
from burdockhaven_core.scheduling.target_observation import Signal
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.platform import read_response_head

LIMIT_PER_S = 2.0
LIMIT_HEADER = f"Server-Limit: {LIMIT_PER_S}\r\n"
REQUESTS = 60
# The platform's tolerance: requests in a window of four seconds, beyond one and a half
# times the limit.
WINDOW_S = 4.0
TOLERANCE_RATIO = 1.5
TOLERANCE_REQUESTS = 5


# Guards against incident LIMIT: a target got many times the requests that it accepts.
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


# Guards against a limit that raises an error at each later heartbeat.
@pytest.mark.parametrize("value", ["x", "-1", "nan", "1e308"])
async def test_unreadable_limit_changes_nothing(value):
    script = Script(respond(extra=f"Server-Limit: {value}\r\n"))
    gateway = await Gateway.start(plain=[script])
    for _ in range(20):
        assert (await gateway.call("/safe/")).status == 200
    assert gateway.state.target_signals.unreadable == {("plain-0", Signal.LIMIT)}
    await gateway.stop()


def gateway_state(node, incarnation):
    member_settings = dataclasses.replace(settings(), node=node)
    state = GatewayState.from_settings(
        member_settings, incarnation, incarnation, lambda: 5.0, random.Random(1)
    )
    state.apply_table(routing_table(), b"")
    state.registry.put(target("plain-0", PLAIN_SERVICE, 4))
    state.registry.put(target("engine-0", ENGINE_SERVICE, 4))
    state.publish_targets()
    return state


# Guards against incident LIMIT where only members that saw the response keep to it.
@pytest.mark.parametrize("name", ["plain-0", "engine-0"])
def test_member_keeps_to_a_limit_that_reaches_it_through_another_member(name):
    first, hub, last = (gateway_state(f"entry-{n}", n) for n in (1, 2, 3))
    head = read_response_head(
        200, CIMultiDictProxy(CIMultiDict({"Server-Limit": "2.5"}))
    )
    first.record_response(first.registry.entries[name], head, 4.9)
    for sender, receiver in ((first, hub), (hub, last)):
        heartbeat = decode_message(encode_message(sender.heartbeat()))
        receiver.record_announced_limits(heartbeat, 5.0)
    assert last.target_signals.signals.limits.in_force() == {name: 2.5}
    assert not last.balancer.limiters.admits(name, 5.0)
    assert not last.broker.limiters.admits(name, 5.0)
    assert last.broker.limiters.admits(name, 5.5)
