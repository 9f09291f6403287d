"""A small day of the platform over real processes: store, targets and two daemons."""

import asyncio
import json
import os
import signal
import sys

import aiohttp
import pytest
from aiohttp import web

from burdockhaven_standins.platform_store import PlatformStoreStandin
from burdockhaven_standins.ports import free_address

pytestmark = pytest.mark.process

HOST = "one.example"
SIGNATURE = {"X-Burdockhaven-Response-Signature": "sig"}
# Seconds for anything to happen; a failure, not a measure.
PATIENCE_S = 30.0
ROUTES = [
    {
        "name": "plain",
        "host": HOST,
        "prefix": "/plain/",
        "kind": "unsafe",
        "timeout_ms": 5000,
        "target_latency_ms": 100,
        "priority": 1,
        "service": "app",
    },
    {
        "name": "stream",
        "host": HOST,
        "prefix": "/stream/",
        "kind": "streaming",
        "timeout_ms": 15000,
        "target_latency_ms": 600,
        "priority": 0,
        "service": "llm",
        "max_attempts": 2,
        "resumable": True,
        "sticky": True,
        "target_gap_ms": 300,
    },
]


def configuration(version, keys):
    engine = {"slots": 4, "kv_capacity": 500000, "stride": 1}
    body = {
        "version": version,
        "routes": ROUTES,
        "services": [{"name": "app"}, {"name": "llm", "engine": engine}],
        "tenants": [{"name": "acme", "api_keys": keys}],
    }
    return json.dumps(body).encode()


class Targets:
    """A plain service and an engine on loopback that register in the store."""

    def __init__(self):
        self.requests = []

    async def answer(self, request):
        self.requests.append(request.headers["X-Burdockhaven-Expect-Instance"])
        attempt = request.headers["X-Burdockhaven-Attempt-Id"]
        headers = SIGNATURE | {"X-Burdockhaven-Attempt-Id": attempt}
        if request.path.startswith("/plain/"):
            return web.Response(body=b"done", headers=headers)
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        for number in range(1, 4):
            await response.write(b"id: %d\ndata: x\n\n" % number)
        return response


def free_port():
    return int(free_address().rpartition(":")[2])


class Site:
    """Everything that runs for one test."""

    def __init__(self, folder):
        self.folder = folder
        self.store = PlatformStoreStandin()
        self.targets = Targets()
        self.runners = []
        self.processes = {}
        self.directories = {}
        self.client = aiohttp.ClientSession()

    async def start(self):
        self.store_port = await self.serve(self.store.application())
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.targets.answer)
        for service in ("app", "llm"):
            port = await self.serve(app if service == "app" else self.copy())
            entry = {
                "service": service,
                "address": f"127.0.0.1:{port}",
                "zone": "a",
                "slots": 4,
                "state": "ready",
                "seq": 1,
                "born": 1,
            }
            self.store.put(f"servers/i-{service}", json.dumps(entry).encode())
        self.store.put("op/config", configuration(1, ["k1"]))

    def copy(self):
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.targets.answer)
        return app

    async def serve(self, app):
        runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.runners.append(runner)
        return runner.addresses[0][1]

    async def daemon(self, node, ip, peer_port):
        ports = [free_port() for _ in range(4)]
        names = ("front", "readiness", "control", "directory")
        listen = {name: f"{ip}:{port}" for name, port in zip(names, ports, strict=True)}
        settings = {
            "node": node,
            "ip": ip,
            "zone": "a",
            "listen": listen,
            "port_range": [peer_port, peer_port + 15],
            "seeds": [],
            "bootstrap": True,
            "bounds": {
                "grace_s": 8,
                "retry_budget_ratio": 0.2,
                "retry_window_s": 10,
                "retry_slack": 58,
                "quota_window_s": 8,
                "quota_slack": 140000,
            },
            "platform": {"address": f"127.0.0.1:{self.store_port}"},
        }
        path = self.folder / f"{node}.yaml"
        path.write_text(json.dumps(settings))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "burdockhaven_entry",
            "--platform",
            env=os.environ | {"BURDOCKHAVEN_SETTINGS": str(path)},
            stdout=asyncio.subprocess.DEVNULL,
        )
        self.processes[node] = process
        self.directories[node] = listen["directory"]
        return listen

    async def stop(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        await self.client.close()
        for runner in self.runners:
            await runner.cleanup()

    async def look_up(self, node):
        url = f"http://{self.directories[node]}/-/lookup"
        async with self.client.get(url) as response:
            if response.status != 200:
                return []
            return (await response.json())["addresses"]

    async def until(self, condition):
        async with asyncio.timeout(PATIENCE_S):
            while True:
                try:
                    found = await condition()
                except aiohttp.ClientError:
                    found = None
                if found:
                    return found
                await asyncio.sleep(0.02)

    async def call(self, address, path, key="k1"):
        headers = {
            "Host": HOST,
            "X-Burdockhaven-Attempt-Id": "a1",
            "Authorization": f"Bearer {key}",
            "X-Burdockhaven-Token-Counts": "100,20",
        }
        url = f"http://{address}{path}"
        async with self.client.post(url, headers=headers, data=b"x") as response:
            return response.status, await response.read()


@pytest.fixture
async def site(tmp_path):
    made = Site(tmp_path)
    await made.start()
    yield made
    await made.stop()


async def test_a_day_from_the_look_up_to_the_graceful_stop(site):
    port = free_port()
    first = await site.daemon("one", "127.0.0.1", port)
    second = await site.daemon("two", "127.0.0.2", port)
    both = {first["front"], second["front"]}

    async def sees_both():
        return set(await site.look_up("one")) == both == set(await site.look_up("two"))

    await site.until(sees_both)
    for address in both:
        assert await site.call(address, "/plain/x") == (200, b"done")
        status, body = await site.call(address, "/stream/x")
        assert (status, body.count(b"data:")) == (200, 3)
        assert (await site.call(address, "/nowhere/"))[0] == 404
    assert set(site.targets.requests) == {"i-app", "i-llm"}

    # A version that comes while the store refuses one member reaches both.
    site.store.put("op/config", configuration(2, ["k2"]))

    async def new_key_holds():
        statuses = [(await site.call(a, "/plain/x", "k2"))[0] for a in both]
        return statuses == [200, 200]

    await site.until(new_key_holds)
    assert (await site.call(first["front"], "/plain/x", "k1"))[0] == 401

    # The store goes away: requests go on.
    site.store.faults.down = True
    assert (await site.call(first["front"], "/plain/x", "k2"))[0] == 200
    site.store.faults.down = False

    # A stop leaves the look-ups, answers on, and ends with 0.
    site.processes["one"].send_signal(signal.SIGTERM)

    async def sees_one():
        return await site.look_up("two") == [second["front"]]

    await site.until(sees_one)
    assert await site.call(second["front"], "/plain/x", "k2") == (200, b"done")
    assert await site.processes["one"].wait() == 0


async def test_unreadable_settings_end_the_start_with_each_fault(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text("node: x\nip: y\n")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "burdockhaven_entry",
        "--platform",
        "--config",
        str(path),
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await process.communicate()
    assert process.returncode == 2
    assert b"listen: missing" in out
    assert b"platform: missing" in out
