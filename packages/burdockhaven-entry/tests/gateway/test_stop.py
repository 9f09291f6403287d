"""Stops of a whole process in which one part fails; requests are answered anyway."""

import asyncio
import contextlib
import dataclasses
import socket
import time

import aiohttp
import pytest
from gateway_fixtures import (
    API_KEY,
    ATTEMPT,
    HOST,
    PLAIN_SERVICE,
    WAIT_TIMEOUT_S,
    Script,
    ScriptedTarget,
    respond_when_released,
    routing_table,
    settings,
    wait_until,
)
from scheduling_samples import target

from burdockhaven_entry.gateway import gateway_daemon
from burdockhaven_entry.gateway.client_server import ClientConnection
from burdockhaven_entry.gateway.frontend import Frontend
from burdockhaven_entry.gateway.gateway_daemon import GatewayDaemon
from burdockhaven_entry.gateway.membership import Membership
from burdockhaven_entry.gateway.placement_client import PlacementClient
from burdockhaven_entry.gateway.target_client import TargetClient
from burdockhaven_entry.listening_sockets import ListeningSocket
from burdockhaven_entry.platform import PlatformStore
from burdockhaven_entry.timer import TimerService

IP = "127.0.0.1"
# Of the stops; the drain ends half a second earlier.
GRACE_S = 2.0


def listen():
    opened = ListeningSocket.bind_to(IP, 0)
    return f"{IP}:{opened.getsockname()[1]}", opened


class Process:
    """A daemon without a store, and a plain target that responds when released."""

    def __init__(self):
        self.released = asyncio.Event()
        self.target = ScriptedTarget(Script(respond_when_released(self.released)))
        sockets = dict(listen() for _ in range(4))
        front, readiness, control, directory = sockets
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.bind((IP, 0))
            peer_port = peer.getsockname()[1]
        own = dataclasses.replace(
            settings(),
            front_address=front,
            readiness_address=readiness,
            control_address=control,
            directory_address=directory,
            peer_port=peer_port,
            grace_s=GRACE_S,
        )
        self.front = front
        self.daemon = GatewayDaemon.from_settings(own, sockets, time.monotonic)

    async def start(self):
        self.listener = await asyncio.start_server(self.target.serve, IP, 0)
        port = self.listener.sockets[0].getsockname()[1]
        state = self.daemon.state
        state.apply_table(routing_table(), b"")
        state.registry.put(target("t", PLAIN_SERVICE, 4, address=f"{IP}:{port}"))
        state.publish_targets()
        self.running = asyncio.create_task(self.daemon.run())

    async def stop_amid_a_request(self, *, is_released=True):
        """Stop while a request is at the target; return the status of its response."""
        headers = {"Host": HOST, ATTEMPT: "a", "Authorization": f"Bearer {API_KEY}"}
        async with aiohttp.ClientSession() as client:
            url = f"http://{self.front}/safe/"
            sent = asyncio.create_task(client.post(url, headers=headers, data=b"x"))
            await wait_until(lambda: self.target.received or self.running.done())
            assert not self.running.done()
            self.daemon.request_stop()
            await asyncio.sleep(0.3)
            if is_released:
                self.released.set()
            # A process that has ended answers no more.
            await asyncio.wait(
                {sent, self.running}, return_when=asyncio.FIRST_COMPLETED
            )
            assert sent.done()
            async with await sent as response:
                body = await response.read()
                assert (body == b"done") is is_released
                return response.status


@pytest.fixture
async def process(monkeypatch):
    monkeypatch.setattr(gateway_daemon, "FIRST_SYNC_TIMEOUT_S", 0.1)
    monkeypatch.setattr(gateway_daemon, "FIRST_CONTACT_TIMEOUT_S", 0.1)
    started = Process()
    yield started
    started.running.cancel()
    with contextlib.suppress(asyncio.CancelledError, RuntimeError):
        await started.running
    started.listener.close()


def fail(*args, **kwargs):
    raise RuntimeError("this part fails")


async def fail_later(*args, **kwargs):
    raise RuntimeError("this part fails")


async def hang(*args, **kwargs):
    await asyncio.Event().wait()


# Guards against LOST: an error in one step of a stop ended the process, and with it the
# requests under way.
@pytest.mark.parametrize(
    ("owner", "name", "replacement"),
    [
        (Membership, "announce_drain", fail),
        (Membership, "send_heartbeats", fail),
        (Membership, "probe_seeds", fail),
        (PlacementClient, "refuse_waiting", fail),
        (Frontend, "answer_pending", fail),
        (ClientConnection, "close_if_idle", fail),
        (gateway_daemon, "log_cut", fail),
        (TimerService, "run", fail_later),
        (TimerService, "run_due_callbacks", fail),
        (PlatformStore, "revoke_lease", fail_later),
        (PlatformStore, "revoke_lease", hang),
        (PlatformStore, "close", fail_later),
        (TargetClient, "close", fail_later),
    ],
)
async def test_request_is_answered_although_a_step_of_the_stop_fails(
    process, monkeypatch, owner, name, replacement
):
    monkeypatch.setattr(owner, name, replacement)
    await process.start()
    process.daemon.lease = 1
    assert await process.stop_amid_a_request() == 200
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        await process.running


# Guards against LOST: a request at a slow target was cut without an answer, because a
# callback of the timer had to give it one.
async def test_request_at_a_slow_target_is_answered_although_the_timer_fails(
    process, monkeypatch
):
    monkeypatch.setattr(TimerService, "run_due_callbacks", fail)
    await process.start()
    assert await process.stop_amid_a_request(is_released=False) == 504
    await process.running


# Guards against a stop that waits for ever for a task which does not end.
async def test_task_that_ignores_its_cancellation_does_not_hold_up_a_stop(process):
    released = asyncio.Event()

    async def ignore_cancellation():
        while not released.is_set():
            with contextlib.suppress(asyncio.CancelledError):
                await released.wait()

    await process.start()
    process.daemon.spawn(ignore_cancellation())
    assert await process.stop_amid_a_request() == 200
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        await process.running
    released.set()


# Guards against a second request to stop that cuts the drain of the first.
async def test_further_requests_to_stop_do_not_shorten_the_drain(process):
    await process.start()
    process.daemon.stop_requested.clear()
    for _ in range(3):
        asyncio.get_running_loop().call_later(0.5, process.daemon.request_stop)
    assert await process.stop_amid_a_request() == 200
    await process.running
