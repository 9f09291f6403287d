"""A part of prompts crashes servers; all machines are killed twice."""

import asyncio
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from world import (
    BOUNDS,
    EXIT_BROKEN,
    EXIT_HELD,
    EXIT_NOT_RUN,
    PROMPT_PREFIX,
    TOKEN_COUNTS,
    EngineServer,
    Run,
    World,
    main,
    signal_daemon,
    trouble,
    web,
)

BAD_PART = "bad0"
PROMPT = {TOKEN_COUNTS: "660,64", "X-Burdockhaven-Model": "m"}
STABLE_S = BOUNDS["stable_ms"] / 1e3
DOWN_S = 2.0
# Seconds between two requests with the part, and between two sound ones.
BAD_INTERVAL_S = 5.0
SOUND_INTERVAL_S = 0.25
LENGTH_S = 98.0
KILLS_S = (2.5, 31.6)
KILLED_FOR_S = 0.8
TOLERATED = 3


@dataclass(slots=True)
class CrashingEngine(EngineServer):
    """A model server that crashes when it begins to answer on the part."""

    on_crash: list[asyncio.Task[None]] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)

    async def answer(self, request: web.Request, run: Run) -> web.StreamResponse:
        """Crash on the part; otherwise stream."""
        if BAD_PART not in run.headers.get(PROMPT_PREFIX, ""):
            return await EngineServer.answer(self, request, run)
        await asyncio.sleep(self.first_s)
        self.crashes.append(time.monotonic())
        self.on_crash.append(asyncio.create_task(self._crash_and_return()))
        await asyncio.sleep(60.0)
        raise web.HTTPServiceUnavailable

    async def _crash_and_return(self) -> None:
        if self.runner is None:
            return
        await self.crash()
        await asyncio.sleep(DOWN_S)
        self.born, self.seq = int(time.time() * 1e3), 0
        await self.listen()
        self.record(f"server {self.id} is back")


async def play(world: World) -> int:
    """Count the requests with the part that reach servers after the fifth crash."""
    engines = [CrashingEngine(f"i-llm{n}", "llm", world.record) for n in range(6)]
    await world.start([*engines], machines=3)
    began_s = time.monotonic()
    started_s = dict.fromkeys(world.daemons, 0.0)
    sent_by: dict[str, tuple[str, float]] = {}
    tasks: list[asyncio.Task[object]] = []
    served: list[bool] = []

    async def send(number: int, part: str) -> None:
        machine = list(world.daemons.values())[number % 3]
        headers = PROMPT | {PROMPT_PREFIX: f"aa:60,{part}:300,{number:x}:300"}
        sent_s = time.monotonic()
        answer = await world.send(
            machine, "/review/2f", headers=headers, body=b"%d" % number
        )
        sent_by[answer.attempt] = machine.node, sent_s
        if part != BAD_PART:
            served.append(answer.is_served)

    async def send_all() -> None:
        next_bad_s = began_s + 1.0
        number = 0
        while (now := time.monotonic()) < began_s + LENGTH_S:
            number += 1
            part = f"s{number % 7}"
            if now >= next_bad_s:
                next_bad_s += BAD_INTERVAL_S
                part = BAD_PART
            tasks.append(asyncio.create_task(send(number, part)))
            await asyncio.sleep(SOUND_INTERVAL_S)

    async def kill_all() -> None:
        machines = list(world.daemons.values())
        for machine in machines:
            signal_daemon(world, machine, signal.SIGKILL)
        await asyncio.gather(*(machine.process.wait() for machine in machines))
        await asyncio.sleep(KILLED_FOR_S)
        seeds = [machine.listen["control"] for machine in machines]
        for machine in machines:
            await world.start_daemon(
                machine.node, machine.ip, machine.listen, seeds, bootstrap=False
            )
            started_s[machine.node] = time.monotonic()

    sender = asyncio.create_task(send_all())
    for kill_s in KILLS_S if trouble() else ():
        await asyncio.sleep(max(0.0, began_s + kill_s - time.monotonic()))
        await kill_all()
    await sender
    await asyncio.gather(*tasks)
    crashes = sorted(at_s for engine in engines for at_s in engine.crashes)
    world.record("crashes at " + ", ".join(f"{at_s - began_s:.1f}" for at_s in crashes))
    world.record(f"{sum(served)} of {len(served)} sound streams were served")
    if len(crashes) < 2 or sum(served) < len(served) / 2:
        return EXIT_NOT_RUN
    if len(crashes) < 5:
        return EXIT_HELD
    counted = 0
    for engine in engines:
        for run in engine.runs:
            if BAD_PART not in run.headers.get(PROMPT_PREFIX, ""):
                continue
            node, sent_s = sent_by[run.attempt]
            is_in_touch = sent_s >= started_s[node] + STABLE_S
            if sent_s > crashes[4] + STABLE_S and is_in_touch:
                counted += 1
                world.record(f"counts: {run.attempt} at {engine.id}")
    world.record(f"{counted} requests with the part reached servers; 3 are allowed")
    return EXIT_BROKEN if counted > TOLERATED else EXIT_HELD


main(__file__, play)
