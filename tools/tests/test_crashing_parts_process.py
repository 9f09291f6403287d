"""Requests with a prompt part on which engines crash, with real daemons."""

import asyncio
import contextlib
import random
import signal

import aiohttp
import pytest

from burdockhaven_bench.platform_harness import PlatformHarness
from burdockhaven_standins.platform_targets import (
    PROMPT_PREFIX,
    TOKEN_COUNTS,
    CrashingParts,
)

pytestmark = pytest.mark.process
SEED = 33
VERSIONS = ("v1",) * 4
CRASHING_PART = "bad"
# Seconds until an engine serves again.
DOWN_S = 0.7
# Number of crashes after which requests with the part have to stop.
CRASHES = 5
# Seconds after the last of these crashes from which requests count.
STABLE_S = 3.0
# Requests with the part that may still reach engines.
ALLOWED_REQUESTS = 3
# Rounds in which engines may crash, and rounds that are judged; each sends one request
# with the part between others.
CRASHING_ROUNDS = 12
JUDGED_ROUNDS = 8
SOUND_PER_ROUND = 3
# Losses of all daemons, seconds between a start of them and the first request with the
# part, and rounds that are judged after each start.
LOSSES = 3
SETTLED_S = 3.2
ROUNDS_PER_LIFE = 4


@pytest.fixture
async def harness(tmp_path):
    harness = await PlatformHarness.start(tmp_path, VERSIONS)
    crashing = CrashingParts(frozenset({CRASHING_PART}), DOWN_S)
    for engine in harness.site.engines:
        engine.record.faults.crashing_parts = crashing
    yield harness
    await harness.stop()


class Clients:
    """Sends requests that share their key and parts, at any member."""

    def __init__(self, harness, fronts):
        self.harness = harness
        self.fronts = fronts
        self.rng = random.Random(SEED)
        self.sent = 0

    async def send(self, is_tainted):
        """Send a request unlike all others; return its response, None if it is cut."""
        self.sent += 1
        parts = ["system:60", f"doc-{self.rng.randrange(3)}:80", f"user-{self.sent}:20"]
        if is_tainted:
            # Never the last part.
            parts.insert(self.rng.randrange(1, len(parts)), f"{CRASHING_PART}:40")
        tokens = f"{self.rng.randrange(200, 900)},{self.rng.randrange(60, 200)}"
        headers = {PROMPT_PREFIX: ",".join(parts), TOKEN_COUNTS: tokens}
        front = self.rng.choice(self.fronts)
        with contextlib.suppress(aiohttp.ClientError):
            return await self.harness.send_request(front, "/stream/x", headers=headers)
        return None

    async def play_round(self):
        """Send a request with the part between sound ones.

        Returns its response and those of the sound ones.
        """
        kinds = [True] + [False] * SOUND_PER_ROUND
        self.rng.shuffle(kinds)
        responses = await asyncio.gather(*map(self.send, kinds))
        tainted = responses.pop(kinds.index(True))
        return tainted, responses


def arrivals(harness):
    """Return the requests with the part that reached engines, repeats included."""
    records = [engine.record for engine in harness.site.engines]
    received = [
        received
        for record in records + harness.site.former_records
        for received in record.received
        if CRASHING_PART in received.parts
    ]
    return sorted(received, key=lambda r: r.arrived_s)


# Guards against BUDGET: requests with a part on which engines crash, and their repeats,
# go on to one engine after the other.
async def test_requests_with_a_crashing_prompt_part_stop_reaching_engines(harness):
    daemons = [await harness.start_daemon(node) for node in ("one", "two")]
    fronts = [daemon.front for daemon in daemons]
    await harness.wait_until_look_ups_name(set(fronts), "one", "two")
    clients = Clients(harness, fronts)

    async def is_every_engine_serving():
        response = await clients.send(is_tainted=False)
        is_served = response is not None and response.status == 200
        return is_served and not any(e.is_down for e in harness.site.engines)

    for _ in range(CRASHING_ROUNDS):
        await harness.wait_until(is_every_engine_serving)
        await clients.play_round()
        if len(harness.site.crashes) >= CRASHES:
            break
    assert harness.site.crashes
    await asyncio.sleep(STABLE_S)
    await harness.wait_until(is_every_engine_serving)

    before = len(arrivals(harness))
    refusals = []
    sound_statuses = []
    for _ in range(JUDGED_ROUNDS):
        crashes = len(harness.site.crashes)
        tainted, sound = await clients.play_round()
        if tainted is not None:
            refusals.append((tainted.status, tainted.retry_after))
        if len(harness.site.crashes) == crashes:
            sound_statuses += [None if s is None else s.status for s in sound]
        await harness.wait_until(is_every_engine_serving)
    late = [received.attempt for received in arrivals(harness)[before:]]
    assert len(late) <= ALLOWED_REQUESTS, f"{late} reached engines; {refusals=}"
    # All others are refused, with nothing that asks the client to come back.
    refused = JUDGED_ROUNDS - ALLOWED_REQUESTS
    assert refusals.count((503, None)) >= refused, refusals
    # Requests with the same key and the same other parts are served.
    assert len(sound_statuses) >= refused * SOUND_PER_ROUND
    assert set(sound_statuses) == {200}


# Guards against BUDGET: after each loss of all daemons a part that was known lets
# engines crash anew. Each request counts by the start of the daemon that sent it.
async def test_crashing_part_stays_known_after_losses_of_all_daemons(harness):
    nodes = ("one", "two")
    crashed_by_life = []
    served_by_life = []
    for life in range(LOSSES + 1):
        daemons = [
            await harness.start_daemon(
                node, harness.daemons.get(node), is_first_start=not life
            )
            for node in nodes
        ]
        fronts = [daemon.front for daemon in daemons]
        await harness.wait_until_look_ups_name(set(fronts), *nodes)
        clients = Clients(harness, fronts)
        clients.sent = life * 1_000

        async def is_every_engine_serving(clients=clients):
            response = await clients.send(is_tainted=False)
            is_served = response is not None and response.status == 200
            return is_served and not any(e.is_down for e in harness.site.engines)

        # From then on the daemons count as being in touch.
        await asyncio.sleep(SETTLED_S)
        crashed_before = len(harness.site.crashes)
        served = []
        for _ in range(ROUNDS_PER_LIFE):
            await harness.wait_until(is_every_engine_serving)
            crashes = len(harness.site.crashes)
            _, sound = await clients.play_round()
            if len(harness.site.crashes) == crashes:
                served += [None if s is None else s.status for s in sound]
        await harness.wait_until(is_every_engine_serving)
        crashed_by_life.append(len(harness.site.crashes) - crashed_before)
        served_by_life.append(served)
        for daemon in daemons:
            daemon.send_signal(signal.SIGKILL)
            await daemon.process.wait()

    crashes = harness.site.crashes
    late = []
    if len(crashes) >= CRASHES:
        counted_from_s = crashes[CRASHES - 1].at_s + STABLE_S
        late = [r for r in arrivals(harness) if r.arrived_s > counted_from_s]
    assert len(late) <= ALLOWED_REQUESTS, f"crashes by life: {crashed_by_life}"
    # Requests with the same key and the same other parts are served in each life.
    for served in served_by_life[1:]:
        assert served
        assert set(served) == {200}
