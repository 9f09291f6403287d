"""Two real daemons against stand-ins of the platform's store and targets."""

import asyncio
import subprocess
import sys

import pytest

from burdockhaven_bench.platform_harness import PlatformHarness
from burdockhaven_entry.platform import MEMBERS_PREFIX
from burdockhaven_standins.platform_targets import TargetFaults

pytestmark = pytest.mark.process
EVENTS = 4


@pytest.fixture
async def harness(tmp_path):
    harness = await PlatformHarness.start(tmp_path)
    yield harness
    await harness.stop()


async def start_two_daemons(harness):
    first, second = [await harness.start_daemon(node) for node in ("one", "two")]
    both = {first.front, second.front}
    await harness.wait_until_look_ups_name(both, "one", "two")
    return first, second


async def test_requests_publication_outage_and_graceful_stop(harness):
    first, second = await start_two_daemons(harness)
    both = (first.front, second.front)
    for address in both:
        plain = await harness.send_request(address, "/plain/x")
        assert (plain.status, plain.body) == (200, b"done")
        assert harness.site.runs_of(plain.request) == 1
        stream = await harness.send_request(address, "/stream/x")
        assert (stream.status, stream.body.count(b"data:")) == (200, EVENTS)
        assert (await harness.send_request(address, "/nowhere/")).status == 404

    # A new version comes into force at both daemons.
    harness.site.publish(2, ["k2"])

    async def is_new_key_accepted():
        statuses = [
            (await harness.send_request(a, "/plain/x", "k2")).status for a in both
        ]
        return statuses == [200, 200]

    await harness.wait_until(is_new_key_accepted)
    assert (await harness.send_request(first.front, "/plain/x", "k1")).status == 401

    # Requests are served during a store outage.
    harness.site.store.faults.down = True
    assert (await harness.send_request(first.front, "/plain/x", "k2")).status == 200
    harness.site.store.faults.down = False

    # A stopping daemon is no longer named by look-ups, the other daemon still serves,
    # and the exit code is 0.
    stopping = asyncio.create_task(harness.stop_daemon("one"))
    await harness.wait_until_look_ups_name({second.front}, "two")
    assert (await harness.send_request(second.front, "/plain/x", "k2")).status == 200
    assert await stopping == 0


async def test_aborted_stream_resumes_at_another_engine(harness):
    first, _ = await start_two_daemons(harness)
    faults = TargetFaults(abort_next_after_events=2)
    for engine in harness.site.engines:
        engine.record.faults = faults
    response = await harness.send_request(first.front, "/stream/x")
    ids = [line for line in response.body.split(b"\n") if line.startswith(b"id:")]
    assert ids == [b"id: %d" % number for number in range(1, EVENTS + 1)]
    assert harness.site.runs_of(response.request) == 2


async def test_plain_request_with_lost_response_runs_once(harness):
    first, _ = await start_two_daemons(harness)
    harness.site.services[0].record.faults = TargetFaults(abort_next_after_events=0)
    response = await harness.send_request(first.front, "/plain/x")
    assert response.status == 502
    assert harness.site.runs_of(response.request) == 1


async def test_draining_target_receives_no_new_requests(harness):
    first, _ = await start_two_daemons(harness)
    leaving, staying = (engine.record for engine in harness.site.engines)
    leaving.faults.draining = True
    harness.site.register()

    async def is_avoided():
        before = leaving.runs.total()
        statuses = [
            (await harness.send_request(first.front, "/stream/x")).status
            for _ in range(8)
        ]
        assert statuses == [200] * 8
        return leaving.runs.total() == before

    await harness.wait_until(is_avoided)
    assert staying.runs.total()


async def test_expired_target_entries_are_registered_again(harness):
    first, _ = await start_two_daemons(harness)
    harness.site.store.faults.down = True
    for record in harness.site.records():
        harness.site.store.remove(f"servers/{record.id}")
    assert (await harness.send_request(first.front, "/stream/x")).status == 200
    harness.site.store.faults.down = False
    harness.site.register()
    assert (await harness.send_request(first.front, "/stream/x")).status == 200


async def test_store_that_returns_from_an_older_copy_reverts_nothing(harness):
    first, second = await start_two_daemons(harness)
    both = (first.front, second.front)
    store = harness.site.store
    copy = store.take_copy()
    harness.site.publish(2, ["k2"])
    # Later revisions, which the restored store gives out again.
    for _ in range(20):
        harness.site.register()

    async def is_in_force(key):
        statuses = [
            (await harness.send_request(address, "/plain/x", key)).status
            for address in both
        ]
        return statuses == [200, 200]

    await harness.wait_until(lambda: is_in_force("k2"))
    statuses = []

    async def send_requests():
        while True:
            for path in ("/plain/x", "/stream/x"):
                for address in both:
                    response = await harness.send_request(address, path, "k2")
                    statuses.append(response.status)

    load = asyncio.create_task(send_requests())
    store.faults.down = True
    store.restore(copy)
    store.faults.down = False
    harness.site.register()

    async def are_members_registered_again():
        return [
            item.revision > copy.revision
            for key, item in store.items.items()
            if key.startswith(MEMBERS_PREFIX)
        ] == [True, True]

    await harness.wait_until(are_members_registered_again)
    # The revoked key of the copy stays revoked, and a change in the new era is seen
    # although its revision is one that the watches had passed.
    for address in both:
        assert (await harness.send_request(address, "/plain/x", "k1")).status == 401
    load.cancel()
    assert set(statuses) == {200}
    harness.site.publish(3, ["k3"])
    await harness.wait_until(lambda: is_in_force("k3"))


async def test_invalid_settings_abort_start_and_report_each_fault(tmp_path):
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


def test_platform_demo_completes():
    command = [sys.executable, "-u", "-m", "burdockhaven_bench.demo_platform"]
    run = subprocess.run(command, capture_output=True, text=True, timeout=120)
    assert run.returncode == 0, run.stdout + run.stderr
    assert "4 events, 2 runs" in run.stdout
