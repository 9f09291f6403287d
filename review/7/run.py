"""A foreign entry in the store; are a stopping machine's requests still answered?"""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from world import (
    EXIT_BROKEN,
    EXIT_HELD,
    EXIT_NOT_RUN,
    PlainServer,
    World,
    main,
    signal_daemon,
    trouble,
)

# No 64-bit integer holds it.
FOREIGN_BORN = 10**20
WORK_S = 1.0


async def play(world: World) -> int:
    """Stop one machine after the other, each with requests under way."""
    servers = [
        PlainServer(f"i-app{n}", "app", world.record, work_s=WORK_S) for n in range(4)
    ]
    await world.start([*servers], machines=3)
    foreign = {
        "service": "app",
        "address": f"127.0.0.1:{servers[0].address.rpartition(':')[2]}",
        "zone": "mu-north-a",
        "version": "0",
        "slots": 1,
        "state": "draining",
        "cold_left_ms": 0,
        "seq": 1,
        "born": FOREIGN_BORN if trouble() else 1_700_000_000_000,
    }
    world.record(f"another writer puts servers/x-1: {json.dumps(foreign)}")
    world.store.put("servers/x-1", json.dumps(foreign).encode())
    # Longer than `stable_ms`.
    await asyncio.sleep(4.0)
    lost = sent = 0
    for machine in list(world.daemons.values())[:2]:
        requests = [
            asyncio.create_task(world.send(machine, "/record/2f", body=b"sign"))
            for _ in range(8)
        ]
        await asyncio.sleep(0.4)
        running = {run.attempt for server in servers for run in server.runs}
        signal_daemon(world, machine, signal.SIGTERM)
        answers = await asyncio.gather(*requests)
        for answer in answers:
            sent += 1
            lost += answer.attempt in running and not answer.is_whole
        async with asyncio.timeout(10.0):
            code = await machine.process.wait()
        world.record(f"{machine.node} has ended with code {code}")
        await asyncio.sleep(1.0)
    world.record(f"{lost} of {sent} requests were passed on and got no whole answer")
    if sent < 16:
        return EXIT_NOT_RUN
    return EXIT_BROKEN if lost else EXIT_HELD


main(__file__, play)
