"""A machine is added while the store turns it away; then a tenant sends much."""

import asyncio
import contextlib
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from rig import (  # noqa: E402
    ATTEMPT,
    BOUNDS,
    DEADLINE,
    HAS_TROUBLE,
    HOST,
    SIGNATURE,
    PlainServer,
    Proxy,
    Record,
    Rig,
    aiohttp,
    free_port,
    run_case,
    web,
)

LEAD_S = 4.0
# Seconds for which the store turns the added machine away.
REFUSAL_S = 9.0
# Seconds after that for the machines to find each other, then for the tenant's traffic.
SETTLE_S = 12.0
TRAFFIC_S = 20.0
# Quota of the tenant in tokens, and the tokens of one request.
RATE_PER_S, BURST = 36_000, 0
PROMPT_TOKENS, OUTPUT_TOKENS = 4_000, 24
EVENTS = 4
# Times the tenant's quota that clients offer to each machine.
OFFERED = 0.9
WINDOW_S = BOUNDS["quota_window_s"]
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + BOUNDS["quota_excess"]) + BOUNDS[
    "quota_slack"
]

CONFIGURATION: dict[str, object] = {
    "routes": [
        {
            "name": "draft",
            "host": HOST,
            "prefix": "/draft/",
            "kind": "streaming",
            "timeout_ms": 15000,
            "target_latency_ms": 600,
            "target_gap_ms": 300,
            "priority": 0,
            "service": "llm",
            "max_attempts": 2,
            "resumable": True,
            "sticky": True,
        }
    ],
    "services": [
        {
            "name": "llm",
            "max_conns": 370,
            "engine": {"slots": 12, "kv_capacity": 789854, "stride": 6},
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [
        {
            "name": "one",
            "api_keys": ["key-one"],
            "unit": "tokens",
            "uncached_tokens": 200,
            "rate_per_s": RATE_PER_S,
            "burst": BURST,
        }
    ],
}


async def stream_events(request: web.Request) -> web.StreamResponse:
    """Answer as a sound model server."""
    attempt = request.headers[ATTEMPT]
    headers = {ATTEMPT: attempt, SIGNATURE: f"s.{attempt}"}
    response = web.StreamResponse(headers=headers)
    response.content_type = "text/event-stream"
    await asyncio.sleep(0.05)
    await response.prepare(request)
    begin = int(request.headers.get("Last-Event-Id", "0")) + 1
    for number in range(begin, EVENTS + 1):
        await response.write(f"id: {number}\ndata: {attempt}\n\n".encode())
        await asyncio.sleep(0.02)
    return response


async def send_stream(rig: Rig, record: Record, front: str, number: int) -> None:
    """Send one request of the tenant."""
    attempt = f"r-{number}"
    headers = {
        "Host": HOST,
        ATTEMPT: attempt,
        DEADLINE: "15000",
        "Authorization": "Bearer key-one",
        "X-Burdockhaven-Model": "m",
        "X-Burdockhaven-Token-Counts": f"{PROMPT_TOKENS},{OUTPUT_TOKENS}",
        "X-Burdockhaven-Prompt-Prefix": f"5c:60,{number:x}:{PROMPT_TOKENS - 60}",
    }
    record.write(f"client sends {attempt} to {front}")
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with rig.client.post(
            f"http://{front}/draft/x", headers=headers, data=b"x"
        ) as response:
            await response.read()
            record.write(f"client gets {response.status} for {attempt}")


async def offer(rig: Rig, record: Record, front: str, first: int) -> None:
    """Offer the tenant's requests to one machine, evenly."""
    interval_s = (PROMPT_TOKENS + OUTPUT_TOKENS) / (OFFERED * RATE_PER_S)
    end_s = time.monotonic() + TRAFFIC_S
    due_s = time.monotonic()
    sends = []
    while due_s < end_s:
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        sends.append(
            asyncio.create_task(send_stream(rig, record, front, first + len(sends)))
        )
        due_s += interval_s
    await asyncio.gather(*sends)


def worst_window(times_s: list[float]) -> tuple[float, int]:
    """Return the begin of the window with the most tokens, and these."""
    times_s = sorted(times_s)
    counts = [
        (sum(begin_s <= at_s < begin_s + WINDOW_S for at_s in times_s), begin_s)
        for begin_s in times_s
    ]
    count, begin_s = max(counts, default=(0, 0.0))
    return begin_s, count * (PROMPT_TOKENS + OUTPUT_TOKENS)


async def case(rig: Rig, record: Record) -> bool:
    """Return whether the tenant stayed within its quota."""
    rig.publish(1, CONFIGURATION)
    servers = [
        PlainServer(f"i-{n}", "llm", record, slots=12, misbehave=stream_events)
        for n in range(6)
    ]
    await rig.add_servers(servers)
    await rig.start_daemons(3)
    await rig.wait_until_ready()
    await asyncio.sleep(LEAD_S)
    proxy = Proxy(f"{rig.proxy.host}:{rig.proxy.port}")
    await proxy.start()
    proxy.refuses = HAS_TROUBLE
    stale = [f"127.0.0.{n}:{free_port()}" for n in (11, 12, 13)]
    added = await rig.add_daemon(stale, proxy.address)
    if HAS_TROUBLE:
        record.write(f"the store turns {added.node} away")
    await asyncio.sleep(REFUSAL_S)
    proxy.refuses = False
    record.write(f"the store serves {added.node}")
    await asyncio.sleep(SETTLE_S)
    for daemon in rig.daemons:
        record.write(f"look-up at {daemon.node}: {sorted(await rig.look_up(daemon))}")
    began_s = record.now()
    fronts = [daemon.front for daemon in rig.daemons]
    await asyncio.gather(
        *(offer(rig, record, f, 1000 * (i + 1)) for i, f in enumerate(fronts))
    )
    runs = {attempt: at_s for s in servers for at_s, attempt in s.runs}
    begin_s, tokens = worst_window([at_s for at_s in runs.values() if at_s > began_s])
    record.write(
        f"in {WINDOW_S} s from {begin_s:.1f} s servers ran {tokens} tokens of the "
        f"tenant, allowed {ALLOWED:.0f}"
    )
    return tokens <= ALLOWED


run_case(FOLDER, case)
