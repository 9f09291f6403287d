import contextlib
import time

import aiohttp
import pytest
from gateway_fixtures import ATTEMPT, Gateway, Script, stream_events

from burdockhaven_core.scheduling.target_registry import OUTAGE_GRACE_S

BREAK = stream_events(1, 3, end=False, reset=True)
REST = stream_events(4, 6)


@pytest.fixture
async def start():
    started = []

    async def make(*software_versions, behaviours=(BREAK, REST)):
        script = Script(*behaviours)
        gateway = await Gateway.start(
            engines=[script] * len(software_versions),
            software_versions=software_versions,
        )
        started.append(gateway)
        return gateway

    yield make
    for gateway in started:
        await gateway.stop()


def versions_used(gateway, software_versions):
    """Software versions of the engines that received a request."""
    return {
        version
        for version, engine in zip(software_versions, gateway.targets, strict=True)
        for _ in engine.received
    }


async def call(gateway, **headers):
    """Send a request; None if the response is truncated."""
    with contextlib.suppress(aiohttp.ClientPayloadError):
        return await gateway.call("/stream/x", headers=headers)


# Guards against ORDER: a broken stream that continues, within one response, on an
# engine of another software version than the one that began it.
@pytest.mark.parametrize(
    "versions", [("v1", "v2", "v1"), ("v1", "v2", "v2", "v1"), ("v1", "v2", "v3", "v1")]
)
async def test_broken_stream_continues_at_the_software_version_that_began_it(
    start, versions
):
    gateway = await start(*versions)
    # The first engine is the best for the first run, the second for the next one.
    response = await call(gateway)
    assert response is not None and response.body.count(b"data:") == 6
    assert versions_used(gateway, versions) == {"v1"}


# Guards against ORDER: the only engine of a version breaks off, and its stream goes on
# at another version instead of the same engine.
async def test_broken_stream_returns_to_the_only_engine_of_its_software_version(start):
    versions = ("v1", "v2")
    gateway = await start(*versions)
    response = await call(gateway)
    assert response is not None and response.body.count(b"data:") == 6
    assert len(versions_used(gateway, versions)) == 1


def leave_and(behave, gateways):
    """Remove all targets of the engine's version before it behaves."""

    async def behave_last(request, reader, writer):
        state = gateways[0].state
        left = request.headers["X-Burdockhaven-Expect-Instance"]
        version = state.registry.entries[left].software_version
        for entry in list(state.registry.entries.values()):
            if entry.software_version == version:
                state.registry.remove(entry.id, state.clock())
        state.publish_targets()
        return await behave(request, reader, writer)

    return behave_last


# Guards against ORDER: the last engine of a version leaves, and its stream goes on at
# another version; and against a client that waits although nobody can continue.
async def test_broken_stream_is_not_continued_if_its_software_version_is_gone(start):
    versions = ("v1", "v2")
    gateways = []
    gateway = await start(*versions, behaviours=(leave_and(BREAK, gateways), REST))
    gateways.append(gateway)
    assert await call(gateway) is None
    assert len(gateway.received) == 1
    # The same holds when the client comes back; it is told so at once.
    resumed = {ATTEMPT: "a2", "Last-Event-Id": "3", "Resumes": "a1"}
    response = await call(gateway, **resumed)
    assert response is not None and response.status == 503
    assert "Retry-After" in response.headers
    assert b"software version" in response.body
    assert len(gateway.received) == 1


# Guards against ORDER: a client that resumes its stream at the same member is placed on
# an engine of another software version.
@pytest.mark.parametrize("versions", [("v1", "v2", "v2", "v1"), ("v2", "v1", "v2")])
async def test_resumed_stream_continues_at_the_software_version_that_began_it(
    start, versions
):
    gateway = await start(*versions, behaviours=(BREAK, BREAK, REST))
    assert await call(gateway) is None
    resumed = {ATTEMPT: "a2", "Last-Event-Id": "3", "Resumes": "a1"}
    response = await call(gateway, **resumed)
    assert response is not None
    assert (response.status, response.body.count(b"data:")) == (200, 3)
    assert len(versions_used(gateway, versions)) == 1


# Guards against ORDER: the same over three attempts; the client names the first.
async def test_stream_over_three_attempts_keeps_its_software_version(start):
    versions = ("v1", "v2", "v1", "v2", "v1")
    behaviours = (BREAK, BREAK, REST, REST)
    gateway = await start(*versions, behaviours=behaviours)
    assert await call(gateway) is None
    for attempt in ("a2", "a3"):
        resumed = {ATTEMPT: attempt, "Last-Event-Id": "3", "Resumes": "a1"}
        response = await call(gateway, **resumed)
        assert response is not None and response.status == 200
    assert len(versions_used(gateway, versions)) == 1


# Guards against ORDER: a stream whose software version nobody knows continues at any.
@pytest.mark.parametrize(
    "headers", [{"Resumes": "a1"}, {"Resumes": "a1", "Last-Event-Id": "3"}]
)
async def test_resumed_stream_of_an_unknown_software_version_does_not_run(
    start, headers
):
    gateway = await start("v1", "v2", behaviours=(REST,))
    response = await call(gateway, **{ATTEMPT: "a2"}, **headers)
    assert response is not None and response.status == 503
    assert "Retry-After" in response.headers
    assert gateway.received == []


# Guards against LOST: streams resumed just after a start of all members are refused.
@pytest.mark.parametrize(
    ("versions", "left_s", "status"),
    [
        (("v1",), 0.2, 200),
        # Later than the client waits.
        (("v1",), 2.1, 503),
        (("v1", "v2"), 0.2, 503),
    ],
)
async def test_resumed_stream_waits_for_certainty_if_its_client_does(
    start, versions, left_s, status
):
    gateway = await start(*versions, behaviours=(REST,))
    history = gateway.state.version_history
    history.complete_since_s = time.monotonic() - OUTAGE_GRACE_S + left_s
    resumed = {ATTEMPT: "a2", "Last-Event-Id": "3", "Resumes": "a1"}
    response = await call(gateway, **resumed)
    assert response is not None and response.status == status
    assert len(gateway.received) == (status == 200)
    if status == 503:
        assert "Retry-After" in response.headers
