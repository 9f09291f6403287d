"""Servers lapse and come back while one machine is cut off from the store."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from rig import (  # noqa: E402
    HAS_TROUBLE,
    HEARTBEAT_S,
    HOST,
    PlainServer,
    Proxy,
    Record,
    Rig,
    run_case,
)

LEAD_S = 4.0
# Seconds for which a server and a machine are cut off from the store, and between the
# begins of the two cuts.
SERVER_CUT_S, MACHINE_CUT_S, MACHINE_DELAY_S = 5.0, 5.5, 4.0
# Seconds between the begins of two such pairs, and after the last.
PERIOD_S, SETTLE_S = 12.0, 14.0
# Heartbeat intervals of silence after which the store removes an entry.
LAPSE_INTERVALS = 3
REQUESTS = 60


def route(name: str, service: str) -> dict[str, object]:
    """Return a route for safe requests."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": "safe",
        "timeout_ms": 1500,
        "target_latency_ms": 300,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
    }


def configuration(routes: list[dict[str, object]]) -> dict[str, object]:
    """Return a configuration with these routes."""
    return {
        "routes": routes,
        "services": [{"name": "app", "max_conns": 110}, {"name": "other"}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "one", "api_keys": ["key-one"]}],
    }


FIRST_ROUTES = [route("lookup", "app"), route("status", "other")]


async def cut_server(rig: Rig, record: Record, server: PlainServer) -> None:
    """Cut one server off from the store, which drops its entry meanwhile."""
    server.registers = False
    record.write(f"server {server.id} is cut off from the store")
    await asyncio.sleep(LAPSE_INTERVALS * HEARTBEAT_S)
    rig.store.remove(f"servers/{server.id}")
    record.write(f"the store removes the entry of {server.id}")
    await asyncio.sleep(SERVER_CUT_S - LAPSE_INTERVALS * HEARTBEAT_S)
    server.registers = True
    record.write(f"server {server.id} reaches the store again")


async def cut_machine(record: Record, proxy: Proxy) -> None:
    """Cut one machine off from the store."""
    await asyncio.sleep(MACHINE_DELAY_S)
    proxy.refuses = True
    proxy.silence_open_connections()
    record.write("front-3 is cut off from the store")
    await asyncio.sleep(MACHINE_CUT_S)
    proxy.refuses = False
    record.write("front-3 reaches the store again")


async def served_share(rig: Rig, name: str) -> float:
    """Return the share of requests on a route that get a success."""
    served = 0
    for number in range(REQUESTS):
        front = rig.daemons[number % len(rig.daemons)].front
        _, status = await rig.send(front, "GET", f"/{name}/{number}", "key-one")
        served += status == 200
        await asyncio.sleep(0.02)
    return served / REQUESTS


async def case(rig: Rig, record: Record) -> bool:
    """Return whether added routes are served a quarter as often as the first ones."""
    rig.publish(1, configuration(FIRST_ROUTES))
    app = [PlainServer(f"i-app-{n}", "app", record) for n in range(2)]
    other = [PlainServer(f"i-other-{n}", "other", record) for n in range(2)]
    await rig.add_servers(app + other)
    await rig.start_daemons(2)
    proxy = Proxy(f"{rig.proxy.host}:{rig.proxy.port}")
    await proxy.start()
    seeds = [daemon.listen["control"] for daemon in rig.daemons]
    await rig.add_daemon(seeds, proxy.address)
    await rig.wait_until_ready()
    await asyncio.sleep(LEAD_S)
    for server in app:
        pair = [asyncio.sleep(PERIOD_S)]
        if HAS_TROUBLE:
            pair += [cut_server(rig, record, server), cut_machine(record, proxy)]
        await asyncio.gather(*pair)
    await asyncio.sleep(SETTLE_S)
    rig.publish(2, configuration([*FIRST_ROUTES, route("added", "app")]))
    await asyncio.sleep(4.0)
    record.write("steady state; all servers are registered and sound")
    first = [await served_share(rig, str(each["name"])) for each in FIRST_ROUTES]
    added = await served_share(rig, "added")
    first_share = sum(first) / len(first)
    record.write(
        f"served of {REQUESTS} requests on the added route: {added:.2f}, of "
        f"{REQUESTS * len(first)} on the first routes: {first_share:.2f}"
    )
    return added >= first_share / 4


run_case(FOLDER, case)
