"""Streams over several software versions of engines, with real daemons."""

import asyncio

import pytest

from burdockhaven_bench.platform_harness import PlatformHarness

pytestmark = pytest.mark.process
VERSIONS = ("v1", "v2", "v1", "v2")
STREAMS = 8
# Seconds for which streams run before their member is killed.
STREAM_HEAD_START_S = 0.5


@pytest.fixture
async def harness(tmp_path):
    harness = await PlatformHarness.start(tmp_path, VERSIONS)
    yield harness
    await harness.stop()


def versions_of(harness, *attempts):
    """Software versions of the engines that ran any of these attempts."""
    return {
        engine.record.software_version
        for engine in harness.site.engines
        if any(engine.record.runs[attempt] for attempt in attempts)
    }


async def last_event_id(response):
    """Read a response until its connection breaks; return the last event's id."""
    data = b""
    try:
        async for chunk in response.content.iter_any():
            data += chunk
    except Exception:  # noqa: BLE001, S110
        pass
    whole = data.rpartition(b"\n\n")[0]
    return max(
        int(line.removeprefix(b"id: "))
        for line in whole.split(b"\n")
        if line.startswith(b"id: ")
    )


# Guards against ORDER: streams of a member that was killed continue, at another member,
# on engines of another software version.
async def test_streams_of_a_killed_member_keep_their_software_version(harness):
    daemons = [await harness.start_daemon(node) for node in ("one", "two", "three")]
    fronts = {daemon.front for daemon in daemons}
    await harness.wait_until_look_ups_name(fronts, "one", "two", "three")
    killed, *others = daemons
    streams = [await harness.open_stream(killed.front) for _ in range(STREAMS)]
    reads = [asyncio.create_task(last_event_id(response)) for _, response in streams]
    await asyncio.sleep(STREAM_HEAD_START_S)
    killed.process.kill()
    ids = await asyncio.gather(*reads)
    resumed = await asyncio.gather(
        *(
            harness.open_stream(
                others[index % 2].front,
                {"Last-Event-Id": str(ids[index]), "Resumes": attempt},
            )
            for index, (attempt, _) in reversed(list(enumerate(streams)))
        )
    )
    for (attempt, _), (later, response) in zip(reversed(streams), resumed, strict=True):
        await response.read()
        assert len(versions_of(harness, attempt, later)) == 1
    # All of them had been running for long enough to be recorded at other members.
    assert [response.status for _, response in resumed] == [200] * STREAMS
