"""Connections of a process whose event loop stalls while they are made."""

import asyncio
import time

import pytest
from gateway_fixtures import (
    ENGINE_SERVICE,
    Gateway,
    Script,
    respond,
    stream_events,
    stream_when_released,
    wait_until,
)

from burdockhaven_core.scheduling.broker import Broker
from burdockhaven_entry.gateway.target_client import CONNECT_TIMEOUT_S

SLOTS = 4
# Seconds for which the process gets no processor time, while a connection is made.
STALL_S = CONNECT_TIMEOUT_S + 0.1


@pytest.fixture
def stall_at_connect(monkeypatch):
    """Let the event loop stand still once, at the connection with the given number."""

    def stall(number):
        loop = asyncio.get_running_loop()
        connect = loop.sock_connect
        calls = []

        async def sock_connect(sock, address):
            calls.append(address)
            if len(calls) == number:
                loop.call_soon(time.sleep, STALL_S)
            await connect(sock, address)

        monkeypatch.setattr(loop, "sock_connect", sock_connect)

    return stall


def engines_of(gateway):
    broker: Broker = gateway.state.broker
    return broker.runs.open_engines(ENGINE_SERVICE)


# Guards against engines that are ejected because this process got no processor time:
# in overload all members of a fleet would eject sound engines.
@pytest.mark.parametrize("number", [1, 4, 8])
async def test_own_stall_does_not_make_a_target_unreachable(stall_at_connect, number):
    released = asyncio.Event()
    script = Script(*[stream_when_released(released)] * SLOTS, stream_events(1, 2))
    gateway = await Gateway.start(engines=[script, script])
    calls = [asyncio.create_task(gateway.call("/once/")) for _ in range(2 * SLOTS)]
    # The client of the test has its connections before the targets get any.
    stall_at_connect(number + len(calls))
    try:
        await wait_until(lambda: len(gateway.received) == 2 * SLOTS)
        assert [engine.ejections for engine in engines_of(gateway)] == [0, 0]
        released.set()
        assert {(await call).status for call in calls} == {200}
    finally:
        released.set()
        await gateway.stop()


# Guards against idle connections and hedges that take the descriptors of sends.
async def test_idle_connections_are_closed_while_many_sends_are_under_way():
    gateway = await Gateway.start(plain=[Script(respond())])
    client, target = gateway.target_client, gateway.targets[0]
    client.max_connections = 20
    for _ in range(2):
        assert (await gateway.call("/safe/x")).status == 200
    assert target.connections == 1
    assert client.has_room_for_hedge()
    client.sending = 15
    assert (await gateway.call("/safe/x")).status == 200
    assert target.connections == 2
    assert not client.has_room_for_hedge()
    client.sending = 0
    await gateway.stop()
