"""Requests with a prompt part beneath which engines end."""

import asyncio

import aiohttp
import pytest
from gateway_fixtures import ATTEMPT, SIGNATURE, Gateway, Script, stream_events

PREFIX = "X-Burdockhaven-Prompt-Prefix"
CRASHING_PART = "c0ffee"
# Engines that may end before the part gets no other request.
MAX_CRASHES = 5


@pytest.fixture
async def gateway():
    script = Script(end_on(CRASHING_PART))
    found = await Gateway.start(engines=[script] * 6)
    yield found
    await found.stop()


def end_on(part):
    """End beneath a prompt that has the part; answer any other one."""

    async def behave(request, reader, writer):
        if part in request.headers[PREFIX]:
            return await stream_events(1, 0, end=False, reset=True)(
                request, reader, writer
            )
        return await stream_events(1, 2)(request, reader, writer)

    return behave


async def ask(gateway, number, parts):
    """Send a request with its own last part; returns its response, None if cut."""
    prefix = ",".join(f"{part}:50" for part in (*parts, f"0wn{number}"))
    try:
        return await gateway.call("/stream/x", b"%d" % number, {PREFIX: prefix})
    except aiohttp.ClientPayloadError:
        return None


# Requests with one part ended engine after engine, at any member and without end.
async def test_requests_with_a_part_that_ends_engines_stop_reaching_engines(gateway):
    responses = []
    for number in range(10):
        sound = await ask(gateway, 100 + number, ("5hared",))
        assert sound.status == 200
        responses.append(await ask(gateway, number, ("5hared", CRASHING_PART)))
    reached = [r for r in gateway.received if CRASHING_PART in r.headers[PREFIX]]
    assert len(reached) <= MAX_CRASHES
    assert responses[-1].status == 503
    assert "Retry-After" not in responses[-1].headers


def end_without_reset(part, rest):
    """Like `end_on`, but the response has no length and its connection is closed."""

    async def behave(request, reader, writer):
        if part not in request.headers[PREFIX]:
            return await stream_events(1, 2)(request, reader, writer)
        head = (
            f"HTTP/1.1 200 OK\r\n{ATTEMPT}: {request.headers[ATTEMPT]}\r\n{SIGNATURE}"
            "Content-Type: text/event-stream\r\n\r\n"
        )
        writer.write(head.encode() + rest)
        await writer.drain()
        # Ends within `SAME_CAUSE_S` count once.
        await asyncio.sleep(0.05)
        return False

    return behave


# The client got an empty response as if it were whole, and engine after engine ended.
@pytest.mark.parametrize("rest", [b"", b"id: 1\nda"])
async def test_engine_that_ends_without_reset_accuses_the_prompt(rest):
    script = Script(end_without_reset(CRASHING_PART, rest))
    gateway = await Gateway.start(engines=[script] * 6)
    statuses = []
    for number in range(10):
        sound = await ask(gateway, 100 + number, ("5hared",))
        assert sound.status == 200
        response = await ask(gateway, number, ("5hared", CRASHING_PART))
        statuses.append(None if response is None else response.status)
    await gateway.stop()
    reached = [r for r in gateway.received if CRASHING_PART in r.headers[PREFIX]]
    assert len(reached) <= MAX_CRASHES
    assert statuses[-1] == 503
    assert 200 not in statuses


def end_after_first_event(part):
    """Like `end_on`, but the engine ends once it has sent the first event."""

    async def behave(request, reader, writer):
        is_bad = part in request.headers[PREFIX]
        last = 1 if is_bad else 2
        return await stream_events(1, last, end=not is_bad, reset=is_bad)(
            request, reader, writer
        )

    return behave


# The first event acquitted all parts, so that engine after engine ended after it.
async def test_engine_that_ends_after_the_first_event_accuses_the_prompt():
    script = Script(end_after_first_event(CRASHING_PART))
    gateway = await Gateway.start(engines=[script] * 6)
    for number in range(10):
        await ask(gateway, 100 + number, ("5hared",))
        await ask(gateway, number, ("5hared", CRASHING_PART))
    await gateway.stop()
    reached = [r for r in gateway.received if CRASHING_PART in r.headers[PREFIX]]
    assert len(reached) <= MAX_CRASHES
