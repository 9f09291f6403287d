"""A small day of the platform over real processes: store, targets and two daemons."""

import asyncio
import subprocess
import sys

import pytest

from burdockhaven_bench.platform_day import PlatformDay
from burdockhaven_standins.platform_targets import TargetFaults

pytestmark = pytest.mark.process
EVENTS = 4


@pytest.fixture
async def day(tmp_path):
    made = await PlatformDay.start(tmp_path)
    yield made
    await made.stop()


async def two_daemons(day):
    first, second = [await day.start_daemon(node) for node in ("one", "two")]
    both = {first.front, second.front}
    await day.until_all_look_ups_name(both, "one", "two")
    return first, second


async def test_a_day_from_the_look_up_to_the_graceful_stop(day):
    first, second = await two_daemons(day)
    both = (first.front, second.front)
    for address in both:
        plain = await day.call(address, "/plain/x")
        assert (plain.status, plain.body) == (200, b"done")
        assert day.site.runs_of(plain.request) == 1
        stream = await day.call(address, "/stream/x")
        assert (stream.status, stream.body.count(b"data:")) == (200, EVENTS)
        assert (await day.call(address, "/nowhere/")).status == 404

    # A new version is in force at both.
    day.site.publish(2, ["k2"])

    async def new_key_holds():
        statuses = [(await day.call(a, "/plain/x", "k2")).status for a in both]
        return statuses == [200, 200]

    await day.until(new_key_holds)
    assert (await day.call(first.front, "/plain/x", "k1")).status == 401

    # The store goes away: requests go on.
    day.site.store.faults.down = True
    assert (await day.call(first.front, "/plain/x", "k2")).status == 200
    day.site.store.faults.down = False

    # A stop leaves the look-ups, answers on, and ends with 0.
    stopping = asyncio.create_task(day.stop_daemon("one"))
    await day.until_all_look_ups_name({second.front}, "two")
    assert (await day.call(second.front, "/plain/x", "k2")).status == 200
    assert await stopping == 0


async def test_a_stream_that_breaks_off_goes_on_at_another_engine(day):
    first, _ = await two_daemons(day)
    faults = TargetFaults(next_breaks_after=2)
    for engine in day.site.engines:
        engine.record.faults = faults
    answer = await day.call(first.front, "/stream/x")
    ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]
    assert ids == [b"id: %d" % number for number in range(1, EVENTS + 1)]
    assert day.site.runs_of(answer.request) == 2


async def test_a_plain_request_whose_answer_is_lost_runs_once(day):
    first, _ = await two_daemons(day)
    day.site.services[0].record.faults = TargetFaults(next_breaks_after=0)
    answer = await day.call(first.front, "/plain/x")
    assert answer.status == 502
    assert day.site.runs_of(answer.request) == 1


async def test_a_target_that_drains_gets_nothing_further(day):
    first, _ = await two_daemons(day)
    leaving, staying = (engine.record for engine in day.site.engines)
    leaving.faults.draining = True
    day.site.register()

    async def avoided():
        before = leaving.runs.total()
        statuses = [(await day.call(first.front, "/stream/x")).status for _ in range(8)]
        assert statuses == [200] * 8
        return leaving.runs.total() == before

    await day.until(avoided)
    assert staying.runs.total()


async def test_entries_that_lapse_with_the_store_are_taken_up_again(day):
    first, _ = await two_daemons(day)
    day.site.store.faults.down = True
    for record in day.site.records():
        day.site.store.remove(f"servers/{record.id}")
    assert (await day.call(first.front, "/stream/x")).status == 200
    day.site.store.faults.down = False
    day.site.register()
    assert (await day.call(first.front, "/stream/x")).status == 200


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
