"""Crowds of misbehaving clients at a daemon with little memory and few descriptors."""

import asyncio
import itertools
import random
from dataclasses import dataclass

import aiohttp
import pytest

from burdockhaven_bench.client_crowd import (
    HUGE_BODY_BYTES,
    ClientCrowd,
    ClientScript,
    body_in_chunks,
    body_in_pieces,
    body_in_tiny_chunks,
    body_that_trickles,
    byte_by_byte,
    half_head,
    many_fields,
    nothing,
    request_head,
    requests_ahead,
    short_fields,
)
from burdockhaven_bench.platform_harness import (
    BOUNDS,
    POLL_INTERVAL_S,
    WAIT_TIMEOUT_S,
    PlatformHarness,
)
from burdockhaven_bench.process_resources import sampled_resources
from burdockhaven_entry.gateway.control_handler import METRICS_PORT
from burdockhaven_standins.platform_site import HOST, ROUTES, PlatformSite
from burdockhaven_standins.platform_targets import (
    ATTEMPT,
    RETRY_AFTER,
    TOKEN_COUNTS,
    PlatformEngine,
    PlatformService,
    TargetFaults,
    TargetRecord,
    answer_sizes,
)
from burdockhaven_standins.ports import free_host
from burdockhaven_standins.step_engine import StepEngineConfig

pytestmark = [pytest.mark.process, pytest.mark.crowd]
# Limits of the process.
LIMITS = {"cpu_share": 1.0, "cores": 1, "memory_mb": 128, "max_fds": 400}
# Descriptors of LIMITS that are reserved for files.
RESERVED_FDS = 200
BYTES_PER_MB = 1024**2
# Limits of one request.
REQUEST_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
MAX_BODY = REQUEST_LIMITS["max_body_bytes"]
MAX_HEAD = REQUEST_LIMITS["max_header_bytes"]
LARGE_ANSWER = b"z" * 262_144
# Time after which clients abandon a connection that is not accepted.
CONNECT_TIMEOUT_S = 1.0
PLAIN, STREAM, SLOW, LARGE, NO_ROUTE = (
    "/plain/x",
    "/stream/x",
    "/slow/x",
    "/large/x",
    "/nowhere/x",
)
# Path that each listener beside the front serves.
PATHS = {
    "readiness": "/-/readyz",
    "directory": "/-/lookup",
    "control": "/configuration",
    "metrics": "/metrics",
}


@dataclass(frozen=True)
class Crowd:
    name: str
    scripts: list[ClientScript]


def front(count, pieces, **options):
    return [ClientScript("front", pieces, **options)] * count


def beside(count, make_pieces, **options):
    """Scripts for this many clients at each listener beside the front."""
    return [
        ClientScript(listener, make_pieces(path), **options)
        for listener, path in PATHS.items()
        for _ in range(count)
    ]


def unfinished(path, piece_bytes=MAX_BODY):
    return body_in_pieces(path, MAX_BODY, MAX_BODY - 1, piece_bytes)


def unfinished_chunks(path):
    return body_in_chunks(path, MAX_BODY, 4_096)


def tiny_chunks(path, length=524_288, seed=58):
    return body_in_tiny_chunks(path, length, seed)


def whole(path):
    return body_in_pieces(path, MAX_BODY, MAX_BODY, MAX_BODY)


def trickling(path):
    return body_that_trickles(path, MAX_BODY, 1_000)


def silent(path):
    return nothing


def oversized(path):
    return body_in_pieces(path, HUGE_BODY_BYTES, 4 * MAX_BODY, MAX_BODY)


def oversized_chunks(path):
    return body_in_chunks(path, 4 * MAX_BODY, 65_536)


def complete_fields(path):
    return many_fields(path, MAX_HEAD, is_complete=True)


def unfinished_fields(path):
    return many_fields(path, MAX_HEAD, is_complete=False)


def fields_ahead(path):
    return many_fields(path, MAX_HEAD, is_complete=True, count=20)


def fetches_ahead(path):
    return requests_ahead(path, 2_000, "GET")


def mixed(seed, count=400):
    rng = random.Random(seed)
    kinds = (
        (unfinished, {}),
        (unfinished_chunks, {}),
        (tiny_chunks, {}),
        (whole, {}),
        (oversized, {}),
        (oversized_chunks, {}),
        (complete_fields, {}),
        (unfinished_fields, {}),
        (fetches_ahead, {"read_pause_s": None}),
        (half_head, {}),
        (byte_by_byte, {"pause_s": 0.2}),
        (silent, {}),
        (trickling, {"pause_s": 0.2}),
    )
    scripts = []
    for _ in range(count):
        make_pieces, options = rng.choice(kinds)
        listener = rng.choice(["front"] * 4 + list(PATHS))
        path = PATHS.get(listener) or rng.choice([PLAIN, STREAM, SLOW, LARGE, NO_ROUTE])
        scripts.append(ClientScript(listener, make_pieces(path), **options))
    return scripts


CROWDS = [
    Crowd("bodies_that_stop_in_one_piece", front(60, unfinished(PLAIN))),
    Crowd("bodies_that_stop_on_streams", front(60, unfinished(STREAM))),
    Crowd("bodies_that_stop_in_small_pieces", front(60, unfinished(PLAIN, 2_048))),
    Crowd("bodies_that_stop_in_chunks", front(60, unfinished_chunks(PLAIN))),
    Crowd("bodies_that_stop_in_tiny_chunks", front(60, tiny_chunks(PLAIN))),
    Crowd("bodies_that_trickle", front(60, trickling(PLAIN), pause_s=0.2)),
    Crowd("bodies_that_stop_without_a_route", front(60, unfinished(NO_ROUTE))),
    Crowd("whole_bodies_at_a_slow_target", front(60, whole(SLOW))),
    Crowd("bodies_beyond_the_limit", front(30, oversized(PLAIN))),
    Crowd("chunks_beyond_the_limit", front(30, oversized_chunks(PLAIN))),
    Crowd("heads_of_many_fields", front(90, complete_fields(SLOW))),
    Crowd("heads_of_many_fields_ahead", front(60, fields_ahead(SLOW))),
    Crowd("heads_of_many_fields_that_stop", front(90, unfinished_fields(PLAIN))),
    Crowd(
        "bodies_and_heads_beside_the_front",
        beside(7, unfinished) + beside(7, oversized) + beside(7, complete_fields),
    ),
    Crowd(
        "requests_ahead_without_reading",
        front(60, requests_ahead(SLOW, 2_000), read_pause_s=None),
    ),
    Crowd(
        "fetches_ahead_without_reading", beside(30, fetches_ahead, read_pause_s=None)
    ),
    Crowd(
        "large_answers_that_are_not_read",
        front(600, requests_ahead(LARGE, 1), read_pause_s=None),
    ),
    Crowd(
        "large_answers_that_are_read_slowly",
        front(600, requests_ahead(LARGE, 1), read_pause_s=0.5),
    ),
    Crowd(
        "streams_that_are_not_read",
        front(60, requests_ahead(STREAM, 1), read_pause_s=None),
    ),
    Crowd("half_heads", front(450, half_head(PLAIN))),
    Crowd("heads_byte_by_byte", front(450, byte_by_byte(PLAIN), pause_s=0.2)),
    Crowd("silent_connections", front(450, nothing)),
    Crowd(
        "half_heads_and_silent_connections_beside_the_front",
        beside(60, half_head) + beside(60, silent),
    ),
    Crowd("mixed_seed_1", mixed(1)),
    Crowd("mixed_seed_2", mixed(2)),
]


def make_site():
    def service(name, slots, answer=None, **faults):
        record = TargetRecord(f"i-{name}", name, slots, faults=TargetFaults(**faults))
        return PlatformService(record, 0.0, *([answer] if answer else []))

    async def answer_large(request):
        return LARGE_ANSWER

    def route(name):
        return ROUTES[0] | {
            "name": name,
            "prefix": f"/{name}/",
            "service": name,
            "timeout_ms": 60_000,
        }

    config = StepEngineConfig()
    engine = TargetRecord("i-llm", "llm", config.slots)
    return PlatformSite(
        services=[
            service("app", 4),
            service("slow", 1_000, silent=True),
            service("large", 1_000, answer_large),
            service("sizes", 4, answer_sizes),
        ],
        engines=[PlatformEngine(engine, config)],
        routes=[*ROUTES, *map(route, ("slow", "large", "sizes"))],
        limits=REQUEST_LIMITS,
    )


@pytest.fixture
async def harness(tmp_path):
    harness = await PlatformHarness.start(tmp_path, site=make_site())
    yield harness
    await harness.stop()


@pytest.fixture
async def daemon(harness):
    host = free_host(METRICS_PORT)
    daemon = await harness.start_daemon("one", ip=host, limits=LIMITS)
    await harness.wait_until_look_ups_name({daemon.front}, "one")
    return daemon


async def ask_until_answered(session, method, url, headers=(), data=None):
    """Return the status and body of an answer that is not a refusal to come back from.

    None if there is none within the timeout.
    """
    attempts = itertools.count(1)
    try:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                pause_s = POLL_INTERVAL_S
                try:
                    sent = {**dict(headers), ATTEMPT: f"ordinary-{next(attempts)}"}
                    async with session.request(
                        method, url, headers=sent, data=data
                    ) as response:
                        body = await response.read()
                        if response.status not in (429, 503):
                            return response.status, body
                        pause_s = float(response.headers[RETRY_AFTER])
                except (aiohttp.ClientConnectionError, aiohttp.ClientPayloadError):
                    # Refused or closed.
                    pass
                await asyncio.sleep(pause_s)
    except TimeoutError:
        return None


async def ordinary_answers(daemon):
    """Ask each address as ordinary callers do; return the answers by name."""
    connector = aiohttp.TCPConnector(force_close=True)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
    headers = {
        "Host": HOST,
        "Authorization": "Bearer k1",
        TOKEN_COUNTS: "100,20",
    }
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        url = f"http://{daemon.front}{PLAIN}"
        asks = [ask_until_answered(session, "POST", url, headers=headers, data=b"x")]
        for listener in ("readiness", "directory"):
            url = f"http://{daemon.listen[listener]}{PATHS[listener]}"
            asks.append(ask_until_answered(session, "GET", url))
        request, readiness, look_up = await asyncio.gather(*asks)
    return {
        "request": request,
        "readiness": readiness and readiness[0],
        "look-up": look_up and look_up[0],
    }


ORDINARY = {"request": (200, b"done"), "readiness": 200, "look-up": 200}


async def stop_as_platform(daemon):
    """Send SIGTERM, then SIGKILL at the end of the grace period; return the code."""
    daemon.process.terminate()
    try:
        async with asyncio.timeout(BOUNDS["grace_s"]):
            return await daemon.process.wait()
    except TimeoutError:
        daemon.process.kill()
        return await daemon.process.wait()


# Guards against clients that end a process: it ran out of memory or descriptors, or
# ordinary callers were no longer served.
@pytest.mark.parametrize("crowd", CROWDS, ids=lambda crowd: crowd.name)
async def test_process_stays_within_its_limits_and_serves_beside_crowd(
    daemon, crowd, record_property
):
    addresses = daemon.listen | {"metrics": f"{daemon.ip}:{METRICS_PORT}"}
    clients = ClientCrowd(addresses, crowd.scripts)
    seen = {}
    async with sampled_resources(daemon.process.pid, daemon.ip) as peaks:
        async with clients.connected():
            seen["beside"] = await ordinary_answers(daemon)
        seen["afterwards"] = await ordinary_answers(daemon)
        seen["alive"] = daemon.is_running
        async with clients.connected():
            if daemon.is_running:
                seen["exit code"] = await stop_as_platform(daemon)
    memory_mb = max(peaks.memory_bytes, peaks.resident_bytes) / BYTES_PER_MB
    figures = f"{memory_mb:.0f} MB, {peaks.descriptors} fds, {peaks.sockets} sockets"
    record_property("peaks", figures)
    seen["beyond"] = [
        name
        for name, peak, limit in (
            ("memory", memory_mb, LIMITS["memory_mb"]),
            ("descriptors", peaks.descriptors, LIMITS["max_fds"]),
            ("sockets", peaks.sockets, LIMITS["max_fds"] - RESERVED_FDS),
        )
        if peak > limit
    ]
    assert seen == {
        "beside": ORDINARY,
        "afterwards": ORDINARY,
        "alive": True,
        "exit code": 0,
        "beyond": [],
    }, figures


SIZES = "/sizes/x"


async def raw_answer(daemon, *pieces):
    """Send a request and return its answer, up to the closing of the connection."""
    host, port = daemon.front.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.writelines(pieces)
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        answer = await reader.read()
    writer.close()
    return answer


def calm_requests():
    """Pieces of requests inside the limits, and the sizes that the target sees."""
    close = "Connection: close"
    yield (
        "largest_body",
        [
            request_head(SIZES, 1, [close, f"Content-Length: {MAX_BODY}"]),
            b"x" * MAX_BODY,
        ],
        MAX_BODY,
        0,
    )
    fields = short_fields(SIZES, MAX_HEAD - 64)
    yield (
        "head_of_short_fields",
        [request_head(SIZES, 1, [close, "Content-Length: 0", *fields])],
        0,
        len(fields),
    )
    yield (
        "chunks_of_one_byte",
        [
            request_head(SIZES, 1, [close, "Transfer-Encoding: chunked"]),
            b"1\r\nx\r\n" * 65_536,
            b"0\r\n\r\n",
        ],
        65_536,
        0,
    )


# Guards against protections that refuse requests inside the limits.
@pytest.mark.parametrize(
    ("pieces", "size", "fields"),
    [pytest.param(*values, id=name) for name, *values in calm_requests()],
)
async def test_request_inside_the_limits_is_served_in_calm(
    daemon, pieces, size, fields
):
    answer = await raw_answer(daemon, *pieces)
    head, _, body = answer.partition(b"\r\n\r\n")
    assert b" 200 " in head.partition(b"\r\n")[0]
    received_size, received_fields = map(int, body.split())
    assert received_size == size
    assert received_fields >= fields
