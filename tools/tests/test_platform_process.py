"""A small day of the platform over real processes: store, targets and two daemons."""

import asyncio
import subprocess
import sys

import pytest

from burdockhaven_bench.platform_harness import PlatformHarness
from burdockhaven_standins.platform_targets import TargetFaults

pytestmark = pytest.mark.process
EVENTS = 4


@pytest.fixture
async def harness(tmp_path):
    made = await PlatformHarness.start(tmp_path)
    yield made
    await made.stop()


async def two_daemons(harness):
    first, second = [await harness.start_daemon(node) for node in ("one", "two")]
    both = {first.front, second.front}
    await harness.wait_until_look_ups_name(both, "one", "two")
    return first, second


async def test_a_day_from_the_look_up_to_the_graceful_stop(harness):
    first, second = await two_daemons(harness)
    both = (first.front, second.front)
    for address in both:
        plain = await harness.send_request(address, "/plain/x")
        assert (plain.status, plain.body) == (200, b"done")
        assert harness.site.runs_of(plain.request) == 1
        stream = await harness.send_request(address, "/stream/x")
        assert (stream.status, stream.body.count(b"data:")) == (200, EVENTS)
        assert (await harness.send_request(address, "/nowhere/")).status == 404

    # A new version is in force at both.
    harness.site.publish(2, ["k2"])

    async def new_key_holds():
        statuses = [
            (await harness.send_request(a, "/plain/x", "k2")).status for a in both
        ]
        return statuses == [200, 200]

    await harness.wait_until(new_key_holds)
    assert (await harness.send_request(first.front, "/plain/x", "k1")).status == 401

    # The store goes away: requests go on.
    harness.site.store.faults.down = True
    assert (await harness.send_request(first.front, "/plain/x", "k2")).status == 200
    harness.site.store.faults.down = False

    # A stop leaves the look-ups, answers on, and ends with 0.
    stopping = asyncio.create_task(harness.stop_daemon("one"))
    await harness.wait_until_look_ups_name({second.front}, "two")
    assert (await harness.send_request(second.front, "/plain/x", "k2")).status == 200
    assert await stopping == 0


async def test_a_stream_that_breaks_off_goes_on_at_another_engine(harness):
    first, _ = await two_daemons(harness)
    faults = TargetFaults(next_breaks_after=2)
    for engine in harness.site.engines:
        engine.record.faults = faults
    answer = await harness.send_request(first.front, "/stream/x")
    ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]
    assert ids == [b"id: %d" % number for number in range(1, EVENTS + 1)]
    assert harness.site.runs_of(answer.request) == 2


async def test_a_plain_request_whose_answer_is_lost_runs_once(harness):
    first, _ = await two_daemons(harness)
    harness.site.services[0].record.faults = TargetFaults(next_breaks_after=0)
    answer = await harness.send_request(first.front, "/plain/x")
    assert answer.status == 502
    assert harness.site.runs_of(answer.request) == 1


async def test_a_target_that_drains_gets_nothing_further(harness):
    first, _ = await two_daemons(harness)
    leaving, staying = (engine.record for engine in harness.site.engines)
    leaving.faults.draining = True
    harness.site.register()

    async def avoided():
        before = leaving.runs.total()
        statuses = [
            (await harness.send_request(first.front, "/stream/x")).status
            for _ in range(8)
        ]
        assert statuses == [200] * 8
        return leaving.runs.total() == before

    await harness.wait_until(avoided)
    assert staying.runs.total()


async def test_entries_that_lapse_with_the_store_are_taken_up_again(harness):
    first, _ = await two_daemons(harness)
    harness.site.store.faults.down = True
    for record in harness.site.records():
        harness.site.store.remove(f"servers/{record.id}")
    assert (await harness.send_request(first.front, "/stream/x")).status == 200
    harness.site.store.faults.down = False
    harness.site.register()
    assert (await harness.send_request(first.front, "/stream/x")).status == 200


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


def test_the_demonstration_on_the_platform_runs_to_its_end():
    command = [sys.executable, "-u", "-m", "burdockhaven_bench.demo_platform"]
    run = subprocess.run(command, capture_output=True, text=True, timeout=120)
    assert run.returncode == 0, run.stdout + run.stderr
    assert "4 events, 2 runs" in run.stdout
