"""Headers of the stand-in targets, and crashes of stand-in engines."""

import asyncio
import math

import aiohttp
import msgspec
import pytest
from aiohttp.test_utils import TestClient, TestServer

from burdockhaven_entry.platform import read_response_head
from burdockhaven_standins.platform_site import PlatformSite
from burdockhaven_standins.platform_targets import (
    ATTEMPT,
    EXPECT_INSTANCE,
    LAST_EVENT_ID,
    PROMPT_PREFIX,
    TOKEN_COUNTS,
    CrashingParts,
    PlatformEngine,
    PlatformService,
    RequestEnd,
    TargetFaults,
    TargetRecord,
    answer_sizes,
)
from burdockhaven_standins.step_engine import StepEngineConfig

REQUEST = {ATTEMPT: "a1", TOKEN_COUNTS: "10,4"}


def make_target(kind, faults):
    record = TargetRecord("i-1", "s", 4, faults=faults)
    if kind == "engine":
        return PlatformEngine(record, StepEngineConfig())
    return PlatformService(record, 0.0)


# Guards against a signal that the stand-ins send and the adapter does not read.
@pytest.mark.parametrize("kind", ["engine", "service"])
@pytest.mark.parametrize(
    "faults",
    [
        TargetFaults(),
        TargetFaults(draining=True),
        TargetFaults(leaving=True),
        TargetFaults(leaving=True, pause_s=2.0),
    ],
)
@pytest.mark.parametrize("headers", [REQUEST, REQUEST | {EXPECT_INSTANCE: "i-2"}, {}])
async def test_adapter_knows_every_header_of_a_stand_in(kind, faults, headers):
    application = make_target(kind, faults).application()
    async with TestClient(TestServer(application)) as client:
        for path in ("/x", "/healthz"):
            async with client.get(path, headers=headers) as response:
                head = read_response_head(response.status, response.headers)
                await response.read()
            assert head.unknown_headers == ()
            says_leaving = faults.draining or faults.leaving
            assert head.observation.is_leaving is says_leaving


# Guards against a full engine that executes a request or asks for a pause.
async def test_full_engine_rejects_requests_without_executing_them():
    engine = make_target("engine", TargetFaults(full_until_s=math.inf))
    async with (
        TestClient(TestServer(engine.application())) as client,
        client.post("/x", headers=REQUEST) as response,
    ):
        head = read_response_head(response.status, response.headers)
    assert head.not_run
    assert not head.observation.pause_s
    assert not engine.record.runs
    (received,) = engine.record.received
    assert received.end is RequestEnd.REJECTED


ENGINE = "i-llm"
SOUND = "system:100,doc:50,user-1:10"
TAINTED = "system:100,bad:80,user-2:10"
LONG = "200,30000"
# Limit of waits; no measurement depends on it.
WAIT_TIMEOUT_S = 20.0
# Longer than any test.
NEVER_BACK_S = 600.0


class CrashingEngine:
    """A site with one engine that crashes on a part, and a client."""

    def __init__(self, **crashing):
        self.crashing = CrashingParts(frozenset({"bad"}), **crashing)
        faults = TargetFaults(crashing_parts=self.crashing)
        record = TargetRecord(ENGINE, "llm", 4, faults=faults)
        self.engine = PlatformEngine(record, StepEngineConfig())
        self.site = PlatformSite(engines=[self.engine])
        self.returned = asyncio.Event()
        self.site.on_return = lambda _: self.returned.set()

    async def __aenter__(self):
        await self.site.start()
        self.address = self.site.addresses[ENGINE]
        self.client = await aiohttp.ClientSession().__aenter__()
        return self

    async def __aexit__(self, *error):
        await self.client.close()
        await self.site.stop()

    def send(self, attempt, parts, **headers):
        headers = {ATTEMPT: attempt, PROMPT_PREFIX: parts, TOKEN_COUNTS: LONG} | headers
        return self.client.post(f"http://{self.address}/x", headers=headers, data=b"x")

    async def crash(self, **headers):
        """Send a request that ends the engine; return its status, None without one."""
        try:
            response = await self.send("bad", TAINTED, **headers)
        except (aiohttp.ServerDisconnectedError, aiohttp.ClientOSError):
            return None
        with pytest.raises(aiohttp.ClientPayloadError):
            await response.read()
        return response.status

    def entries(self):
        """Decode the entries of engines in the store, by target id."""
        return {
            key.removeprefix("servers/"): msgspec.json.decode(item.value)
            for key, item in self.site.store.items.items()
            if key.startswith("servers/")
        }

    async def wait_until(self, condition):
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                if condition():
                    return
                await asyncio.sleep(0.01)


# Guards against a stand-in that refuses a request inside the platform's limits.
async def test_service_accepts_large_bodies_and_many_header_fields():
    service = PlatformService(TargetRecord("i-1", "s", 4), 0.0, answer_sizes)
    site = PlatformSite(services=[service])
    await site.start()
    headers = REQUEST | {f"f{number}": "1" for number in range(2_000)}
    url = f"http://{site.addresses['i-1']}/x"
    async with aiohttp.request(
        "POST", url, headers=headers, data=bytes(4_194_304)
    ) as response:
        size, fields = map(int, (await response.text()).split())
    await site.stop()
    assert size == 4_194_304
    assert fields >= len(headers)


@pytest.mark.parametrize(("sends_head", "status"), [(True, 200), (False, None)])
@pytest.mark.parametrize("headers", [{}, {TOKEN_COUNTS: "9,1"}, {LAST_EVENT_ID: "7"}])
async def test_crash_ends_all_connections_and_refuses_new_ones(
    sends_head, status, headers
):
    async with CrashingEngine(down_s=NEVER_BACK_S, sends_head=sends_head) as seen:
        sound = await seen.send("sound", SOUND)
        await sound.content.readuntil(b"\n\n")
        assert await seen.crash(**headers) == status
        with pytest.raises(aiohttp.ClientPayloadError):
            await sound.read()
        with pytest.raises(aiohttp.ClientConnectorError):
            await seen.send("late", SOUND)
        received = seen.engine.record.received
        assert [(r.attempt, r.end) for r in received] == [
            ("sound", RequestEnd.ABORTED),
            ("bad", RequestEnd.ABORTED),
        ]
        assert received[1].parts == ("system", "bad", "user-2")
        (crash,) = seen.site.crashes
        assert (crash.target, crash.part) == (ENGINE, "bad")
        # The entry is not written again while the engine is down.
        await seen.wait_until(lambda: not seen.entries())
        seen.site.register()
        assert not seen.entries()


@pytest.mark.parametrize("has_new_id", [False, True])
async def test_engine_returns_from_a_crash_with_an_empty_state(has_new_id):
    async with CrashingEngine(down_s=0.0, has_new_id=has_new_id) as seen:
        sound = await seen.send("sound", SOUND)
        await sound.content.readuntil(b"\n\n")
        assert seen.engine.engine.cache
        await seen.crash()
        await asyncio.wait_for(seen.returned.wait(), WAIT_TIMEOUT_S)
        assert not seen.engine.engine.cache
        assert not seen.engine.engine.is_busy
        ((target, entry),) = seen.entries().items()
        assert (target != ENGINE) == has_new_id
        assert entry["born"] == 2
        assert entry["address"] == seen.address
        # Requests for the earlier target are rejected where the id is another one.
        old = await seen.send("old", SOUND, **{EXPECT_INSTANCE: ENGINE})
        assert old.status == (421 if has_new_id else 200)
        new = await seen.send("new", SOUND, **{EXPECT_INSTANCE: target})
        assert new.status == 200
        assert [seen.site.runs_of(a) for a in ("sound", "bad", "new")] == [1, 1, 1]
        # It crashes again on the same part.
        seen.returned.clear()
        assert await seen.crash() == 200
        await asyncio.wait_for(seen.returned.wait(), WAIT_TIMEOUT_S)
        assert [crash.target for crash in seen.site.crashes] == [ENGINE, target]
        ((_, entry),) = seen.entries().items()
        assert entry["born"] == 3


@pytest.mark.parametrize("end", ["draining", "deregistered"])
async def test_engine_that_leaves_does_not_return_from_a_crash(end):
    async with CrashingEngine(down_s=0.0) as seen:
        if end == "draining":
            seen.engine.record.faults.draining = True
        else:
            seen.site.deregister_engine(seen.engine)
        await seen.crash()
        await asyncio.wait(seen.site.returns, timeout=WAIT_TIMEOUT_S)
        assert not seen.returned.is_set()
        assert not seen.entries()
        await seen.site.stop_engine(seen.engine)
