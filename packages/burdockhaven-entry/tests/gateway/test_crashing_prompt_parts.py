"""Requests with a prompt part beneath which engines end."""

import aiohttp
import pytest
from gateway_fixtures import Gateway, Script, stream_events

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
