"""`RunClient` against the stand-ins of engines and plain services, over HTTP."""

import asyncio
import time

import httpx
import pytest

from burdockhaven_core.configuration import TargetSpec
from burdockhaven_core.events import RunCompleted, RunLost, RunProgressed, RunRejected
from burdockhaven_core.identity import RunId, TargetName
from burdockhaven_entry import run_client
from burdockhaven_entry.answer_buffer import AnswerBuffer
from burdockhaven_entry.event_stream import StreamTimeouts
from burdockhaven_entry.run_client import RunClient, RunRequest
from burdockhaven_standins.ports import free_addresses
from burdockhaven_standins.processes import ProcessGroup

pytestmark = pytest.mark.process

RUN = RunId("run-one")
TOKENS = 40


@pytest.fixture(scope="module")
def group():
    with ProcessGroup() as running:
        yield running


@pytest.fixture
def engine(group):
    return group.start_stand_in("engine", "engine", "--token-interval-s", "0.005").url


@pytest.fixture
def slow_engine(group):
    """Engine so slow that faults take effect before the run ends on a busy machine."""
    return group.start_stand_in("engine", "engine", "--token-interval-s", "0.05").url


@pytest.fixture(autouse=True)
def short_read_timeout(monkeypatch):
    timeouts = StreamTimeouts(connect_s=2.0, read_s=0.3)
    monkeypatch.setattr(run_client, "STREAM_TIMEOUTS", timeouts)


async def control(url, **fault):
    async with httpx.AsyncClient(trust_env=False) as client:
        (await client.post(f"{url}/control", json=fault)).raise_for_status()


async def counts(url):
    async with httpx.AsyncClient(trust_env=False) as client:
        return (await client.get(f"{url}/counts")).json()


async def run(url, kind="model", at_token=None, deadline_s=0.0, **fault):
    """Return the reports and the buffer of a run.

    With `at_token`, the fault is injected once that many tokens have arrived.
    """
    reports = []
    buffer = AnswerBuffer(RUN, TargetName("t"))
    deadline = time.monotonic() + deadline_s
    client = RunClient(reports.append, time.monotonic)
    request = RunRequest(
        RUN, TargetSpec(TargetName("t"), url, "z"), "c", "m", "a b", TOKENS, deadline
    )
    work = client.run_model if kind == "model" else client.run_service
    task = asyncio.create_task(work(request, buffer))
    if at_token is not None:
        while buffer.length < at_token:
            await buffer.started.wait()
            await asyncio.sleep(0.001)
        await control(url, **fault)
    await task
    await client.close()
    return reports, buffer


def kinds(reports):
    return [type(report) for report in reports if not isinstance(report, RunProgressed)]


@pytest.mark.parametrize(
    ("fault", "expected", "submissions"),
    [
        ({}, RunCompleted, 1),
        ({"refuse": True}, RunRejected, 0),
        ({"leaving": True}, RunRejected, 0),
        ({"cut_next": "before"}, RunLost, 0),
        ({"cut_next": "after"}, RunCompleted, 1),
    ],
)
async def test_faults_at_dispatch(engine, fault, expected, submissions):
    await control(engine, **fault)
    reports, buffer = await run(engine)
    assert kinds(reports) == [expected]
    assert buffer.is_complete is (expected is RunCompleted)
    assert getattr(reports[-1], "leaving", False) is fault.get("leaving", False)
    assert (await counts(engine))["submissions"].get(RUN, 0) == submissions


@pytest.mark.parametrize(
    ("fault", "expected"),
    [
        ({"cut_streams": True}, RunCompleted),
        ({"silence_streams": True}, RunCompleted),
        ({"forget_runs": True}, RunLost),
        ({"slowness": 0}, RunLost),
    ],
)
async def test_faults_during_stream(slow_engine, fault, expected):
    reports, buffer = await run(slow_engine, at_token=1, **fault)
    assert kinds(reports) == [expected]
    if expected is RunCompleted:
        assert reports[-1].output_tokens == TOKENS
        text = "".join(chunk.text for chunk in buffer.chunks)
        assert text.split() == [f"run-on-{index}" for index in range(TOKENS)]
    assert (await counts(slow_engine))["submissions"] == {RUN: 1}


@pytest.mark.parametrize(
    ("deadline_s", "expected"), [(60.0, RunCompleted), (0.0, RunLost)]
)
async def test_long_prefill_is_awaited_until_deadline(group, deadline_s, expected):
    slow = group.start_stand_in("engine", "slow", "--prefill-tokens-per-s", "0.6")
    reports, _ = await run(slow.url, deadline_s=deadline_s)
    assert kinds(reports) == [expected]


async def test_killed_engine_is_not_awaited(group):
    slow = group.start_stand_in("engine", "slow", "--prefill-tokens-per-s", "0.01")
    task = asyncio.create_task(run(slow.url, deadline_s=3600.0))
    while not (await counts(slow.url))["submissions"]:
        pass
    slow.kill()
    reports, _ = await task
    assert kinds(reports) == [RunLost]


@pytest.mark.parametrize(
    ("fault", "expected", "executions"),
    [
        ({}, RunCompleted, {RUN: 1}),
        ({"refuse": True}, RunRejected, {}),
        ({"cut_next": "before"}, RunLost, {}),
        ({"cut_next": "after"}, RunLost, {RUN: 1}),
    ],
)
async def test_service_calls_are_sent_once(group, fault, expected, executions):
    url = group.start_stand_in("service", "service").url
    await control(url, **fault)
    reports, _ = await run(url, kind="service")
    assert kinds(reports) == [expected]
    assert await counts(url) == executions


@pytest.mark.parametrize("kind", ["model", "service"])
async def test_refused_connection_is_reported_as_refused(kind):
    (address,) = free_addresses(1)
    reports, _ = await run(f"http://{address}", kind=kind)
    assert kinds(reports) == [RunRejected]
