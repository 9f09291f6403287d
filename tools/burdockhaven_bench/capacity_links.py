"""Capacity probes of the network clients, over loopback sockets to stand-in processes.

Only the processor time of this process is measured: the daemon's side of each call.
"""

import asyncio
import os
import random
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import httpx

from burdockhaven_bench.capacity_entry import SECRET, make_heartbeat, vm_addresses
from burdockhaven_bench.capacity_inputs import make_member_id
from burdockhaven_bench.capacity_probe import Probe, Unit
from burdockhaven_bench.demo_files import EntryAddresses, settings_file
from burdockhaven_bench.probing import MICROSECONDS_PER_S, SAMPLES
from burdockhaven_core.configuration import TargetSpec
from burdockhaven_core.events import Event
from burdockhaven_core.identity import MemberId, TargetName
from burdockhaven_core.key_value import Range
from burdockhaven_core.messages import PeerMessage
from burdockhaven_entry.call_limits import CallRateLimiter
from burdockhaven_entry.kv_client import KvClient
from burdockhaven_entry.message_mac import derive_key
from burdockhaven_entry.peer_transport import PeerTransport, PeerTransportError
from burdockhaven_entry.run_client import RunClient
from burdockhaven_entry.settings import (
    ASSIGNMENT_KEY_VARIABLE,
    OPERATOR_TOKEN_VARIABLE,
)
from burdockhaven_entry.vm_list_client import VmListClient
from burdockhaven_standins.ports import free_addresses
from burdockhaven_standins.processes import ProcessGroup

CALL_SIZES = (20, 60, 120, 200)
TARGET_SIZES = (10, 60, 120, 200)
VM_SIZES = (20, 200, 400, 600)
MEMBERS = 9
MESSAGES = 200
READS = 100
CONNECT_INTERVAL_S = 0.05
# A rate limit or timeout that never takes effect: a probe makes its calls without a
# pause, as a daemon that polls all of its targets does.
UNLIMITED = 1e9

KEY = derive_key(SECRET)

AsyncCall = Callable[[], Awaitable[object]]


def link_probes() -> tuple[Probe, ...]:
    """Return the probes whose size is the number of calls, targets, VMs or daemons."""
    us = Unit.MICROSECONDS
    return (
        Probe("ask targets for their load", us, "calls", CALL_SIZES, _poll_loads),
        Probe("call the key-value service", us, "calls", CALL_SIZES, _call_key_value),
        Probe("read the VM list", us, "VMs", VM_SIZES, _read_vm_list),
        Probe(
            "idle daemons, resident", Unit.BYTES, "daemons", (1, 2, 4), _resident_memory
        ),
        Probe(
            "send and receive a heartbeat",
            us,
            "targets",
            TARGET_SIZES,
            _send_heartbeats,
        ),
    )


def _poll_loads(calls: int) -> tuple[float, ...]:
    with ProcessGroup() as group:
        engine = group.start_stand_in("engine", "engine")
        spec = TargetSpec(TargetName("engine"), engine.url, "zone-0")

        async def measure() -> tuple[float, ...]:
            link = RunClient(_ignore, time.monotonic)
            try:
                return await _sample_processor_us(
                    lambda: _repeat(calls, lambda: link.poll_load(spec))
                )
            finally:
                await link.close()

        return asyncio.run(measure())


def _call_key_value(calls: int) -> tuple[float, ...]:
    with ProcessGroup() as group:
        service = group.start_stand_in("kv", "kv")

        async def measure() -> tuple[float, ...]:
            link = KvClient.from_url(service.url, random.Random(1))
            link.rate_limiter = CallRateLimiter(UNLIMITED, UNLIMITED, UNLIMITED)
            try:
                return await _sample_processor_us(
                    lambda: _repeat(calls, lambda: link.call(Range("k")))
                )
            finally:
                await link.close()

        return asyncio.run(measure())


def _read_vm_list(vms: int) -> tuple[float, ...]:
    with ProcessGroup() as group:
        service = group.start_stand_in("vms", "vms")
        listed = [
            {"address": address, "zone": "zone-0", "state": "live"}
            for address in sorted(vm_addresses(0, vms))
        ]
        reply = httpx.post(f"{service.url}/control", json={"vms": listed})
        reply.raise_for_status()

        async def measure() -> tuple[float, ...]:
            link = VmListClient.from_url(service.url)
            try:
                totals = await _sample_processor_us(lambda: _repeat(READS, link.read))
            finally:
                await link.close()
            return tuple(total / READS for total in totals)

        return asyncio.run(measure())


def _send_heartbeats(targets: int) -> tuple[float, ...]:
    """Measure one heartbeat through both ends of a connection, both in this process."""

    async def measure() -> tuple[float, ...]:
        received = 0
        arrived = asyncio.Event()

        def count(sender: MemberId, message: PeerMessage) -> None:
            nonlocal received
            received += 1
            if received % MESSAGES == 0:
                arrived.set()

        sender = PeerTransport.from_config(
            make_member_id(0), "127.0.0.1:0", KEY, count, _raise_error
        )
        receiver = PeerTransport.from_config(
            make_member_id(1), "127.0.0.1:0", KEY, count, _raise_error
        )
        sender.silence_timeout_s = UNLIMITED
        sender.open()
        receiver.open()
        message = make_heartbeat(1, MEMBERS, targets).message

        async def exchange() -> None:
            nonlocal received
            received = 0
            arrived.clear()
            for _ in range(MESSAGES):
                sender.send(receiver.address, message)
            await arrived.wait()

        async def connect() -> None:
            """Send until a message arrives; unconnected sockets drop messages."""
            while received == 0:
                sender.send(receiver.address, message)
                await asyncio.sleep(CONNECT_INTERVAL_S)
            await asyncio.sleep(CONNECT_INTERVAL_S)

        try:
            await connect()
            totals = await _sample_processor_us(exchange)
        finally:
            await sender.close()
            await receiver.close()
        return tuple(total / MESSAGES for total in totals)

    return asyncio.run(measure())


def _resident_memory(daemons: int) -> tuple[float, ...]:
    """Measure the resident memory of daemons that have no configuration yet."""
    for variable in (ASSIGNMENT_KEY_VARIABLE, OPERATOR_TOKEN_VARIABLE):
        os.environ.setdefault(variable, "a secret of the capacity bench")
    with ProcessGroup() as group, tempfile.TemporaryDirectory() as directory:
        key_value = group.start_stand_in("kv", "kv")
        vm_list = group.start_stand_in("vms", "vms")
        total = 0
        for number in range(daemons):
            name = f"entry-{number}"
            addresses = EntryAddresses(*free_addresses(3))
            path = Path(directory) / f"{name}.ini"
            text = settings_file(name, "zone-0", addresses, key_value.url, vm_list.url)
            path.write_text(text)
            started = group.start(name, ["burdockhaven_entry", "--config", str(path)])
            total += _resident_bytes(started.process.pid)
        return (float(total),)


def _resident_bytes(pid: int) -> int:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


async def _repeat(times: int, work: AsyncCall) -> None:
    for _ in range(times):
        await work()


async def _sample_processor_us(work: AsyncCall) -> tuple[float, ...]:
    """Return samples of the processor time in microseconds, after a warm-up call."""
    await work()
    samples = []
    for _ in range(SAMPLES):
        start = time.process_time()
        await work()
        samples.append((time.process_time() - start) * MICROSECONDS_PER_S)
    return tuple(samples)


def _ignore(event: Event) -> None:
    """Discard an event that a client reports."""


def _raise_error(error: PeerTransportError) -> None:
    raise RuntimeError(f"{error.step}: {error.detail}")
