"""Streams over several software versions of engines, with real daemons."""

import asyncio

import pytest

from burdockhaven_bench.platform_harness import PlatformHarness

pytestmark = pytest.mark.process
VERSIONS = ("v1", "v2", "v1", "v2")
STREAMS = 8
# Seconds for which streams run before their member is killed.
STREAM_HEAD_START_S = 0.5


NODES = ("one", "two", "three")


@pytest.fixture
async def harness(tmp_path, request):
    versions = getattr(request, "param", VERSIONS)
    harness = await PlatformHarness.start(tmp_path, versions)
    yield harness
    await harness.stop()


def versions_of(engines, *attempts):
    """Software versions of the engines that ran any of these attempts."""
    return {
        engine.record.software_version
        for engine in engines
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
    daemons = [await harness.start_daemon(node) for node in NODES]
    fronts = {daemon.front for daemon in daemons}
    await harness.wait_until_look_ups_name(fronts, *NODES)
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
        assert len(versions_of(harness.site.engines, attempt, later)) == 1
    # All of them had been running for long enough to be recorded at other members.
    assert [response.status for _, response in resumed] == [200] * STREAMS


async def resume_after_kill_of_all(harness, meanwhile):
    """Kill all daemons under streams and resume these as soon as others accept them.

    `meanwhile` is called between the end of the old daemons and the start of the new
    ones. Returns the status of each resumed stream, and the versions that it used,
    those of engines that have ended meanwhile, too.
    """
    engines = list(harness.site.engines)
    daemons = [await harness.start_daemon(node) for node in NODES]
    fronts = {daemon.front for daemon in daemons}
    await harness.wait_until_look_ups_name(fronts, *NODES)
    streams = [await harness.open_stream(daemons[n % 3].front) for n in range(STREAMS)]
    reads = [asyncio.create_task(last_event_id(response)) for _, response in streams]
    await asyncio.sleep(STREAM_HEAD_START_S)
    for daemon in daemons:
        daemon.process.kill()
    ids = await asyncio.gather(*reads)
    for daemon in daemons:
        await daemon.process.wait()
    meanwhile()
    started = [
        await harness.start_daemon(daemon.node, daemon, is_first_start=False)
        for daemon in daemons
    ]

    async def resume(index):
        attempt, _ = streams[index]
        headers = {"Last-Event-Id": str(ids[index]), "Resumes": attempt}
        front = started[index % 3].front
        later, response = await harness.wait_until(
            lambda: harness.open_stream(front, headers)
        )
        await response.read()
        return response.status, versions_of(engines, attempt, later)

    return await asyncio.gather(*map(resume, range(STREAMS)))


# Guards against LOST: streams resumed just after a start of all members are refused.
@pytest.mark.parametrize("harness", [("v1", "v1")], indirect=True)
async def test_streams_go_on_after_a_kill_of_all_members(harness):
    resumed = await resume_after_kill_of_all(harness, lambda: None)
    assert resumed == [(200, {"v1"})] * STREAMS


# Guards against LOST: after a kill of all members no stream goes on if its service has
# two versions; and against ORDER: one goes on at the other version.
async def test_streams_of_two_versions_go_on_after_a_kill_of_all_members(harness):
    resumed = await resume_after_kill_of_all(harness, lambda: None)
    assert all(len(versions) == 1 for _, versions in resumed)
    assert {status for status, _ in resumed} <= {200, 503}
    assert [status for status, _ in resumed].count(200) > STREAMS / 2


# Guards against ORDER: the last engine of a version ends together with all members.
# Only the streams of the other version may go on, and at least half of them do.
async def test_streams_of_a_version_that_ended_with_all_members_do_not_go_on(harness):
    def end_second_version():
        for engine in list(harness.site.engines):
            if engine.record.software_version == "v2":
                harness.site.deregister_engine(engine)

    engines = list(harness.site.engines)
    before = {engine.record.id: engine.record.software_version for engine in engines}
    assert set(before.values()) == {"v1", "v2"}
    resumed = await resume_after_kill_of_all(harness, end_second_version)
    assert all(len(versions) == 1 for _, versions in resumed)
    statuses = {"v1": [], "v2": []}
    for status, versions in resumed:
        statuses[versions.pop()].append(status)
    assert set(statuses["v2"]) <= {503}
    assert set(statuses["v1"]) <= {200, 503}
    assert 2 * statuses["v1"].count(200) >= len(statuses["v1"])


# Guards against ORDER: the store is away or an older copy when all members start.
@pytest.mark.parametrize("fault", ["down", "restored"])
async def test_streams_do_not_mix_versions_while_the_record_is_not_valid(
    harness, fault
):
    store = harness.site.store
    copy = store.take_copy()

    def fail():
        if fault == "down":
            store.faults.down = True
        else:
            store.restore(copy)
            harness.site.register()

    resumed = await resume_after_kill_of_all(harness, fail)
    assert [status for status, _ in resumed] == [503] * STREAMS
    assert all(len(versions) == 1 for _, versions in resumed)
