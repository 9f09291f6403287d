"""What this process does with what targets say of themselves, by way of sending."""

import asyncio
import dataclasses
import random

import pytest
from gateway_fixtures import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    Gateway,
    Script,
    respond,
    routing_table,
    settings,
    stream_events,
    write_chunk,
)
from multidict import CIMultiDict, CIMultiDictProxy
from scheduling_samples import target

from burdockhaven_core.scheduling.peer_messages import decode_message, encode_message
from burdockhaven_core.scheduling.target_observation import Signal
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.platform import read_response_head

LEAVING = "Server-Leaving: 1\r\n"
NOT_EXECUTED = "X-Burdockhaven-Not-Executed: 1\r\n"
PLAIN_PATHS = ("/safe/", "/unsafe/")
STREAM_PATHS = ("/stream/", "/once/")
REQUESTS = 12


@pytest.fixture
async def start():
    started = []

    async def make(**options):
        started.append(await Gateway.start(**options))
        return started[-1]

    yield make
    for gateway in started:
        await gateway.stop()


def only_target(path, signalling):
    """The only target of the route, which gives the signal."""
    kind = "plain" if path in PLAIN_PATHS else "engines"
    return {kind: [Script(signalling)]}


async def call_briefly(gateway, path):
    """Send a request with little time and return the status of its response."""
    headers = {"X-Burdockhaven-Deadline-Ms": "300"}
    return (await gateway.call(path, headers=headers)).status


def success(path, extra):
    if path in PLAIN_PATHS:
        return respond(extra=extra)
    return stream_events(1, 2, extra=extra)


def head_of(status=200, **values):
    pairs = {name.replace("_", "-"): value for name, value in values.items()}
    return read_response_head(status, CIMultiDictProxy(CIMultiDict(pairs)))


def gateway_state(node, incarnation, entries=()):
    member_settings = dataclasses.replace(settings(), node=node)
    state = GatewayState.from_settings(
        member_settings, incarnation, incarnation, lambda: 5.0, random.Random(1)
    )
    state.apply_table(routing_table(), b"")
    for entry in entries:
        state.registry.put(entry)
    state.publish_targets()
    return state


# Guards against rule DRAIN: a target that says that it leaves was used as before.
@pytest.mark.parametrize("path", PLAIN_PATHS + STREAM_PATHS)
@pytest.mark.parametrize("status", ["200 OK", "503 Service Unavailable"])
async def test_target_that_says_that_it_leaves_gets_nothing_more(start, path, status):
    if status == "200 OK":
        signalling = success(path, LEAVING)
    else:
        signalling = respond(b"", status, LEAVING + NOT_EXECUTED, signature="")
    gateway = await start(**only_target(path, signalling))
    statuses = [await call_briefly(gateway, path) for _ in range(4)]
    assert statuses == [int(status.split()[0]), 503, 503, 503]
    assert len(gateway.received) == 1


# Guards against rule DRAIN where an error response is not read for signals.
@pytest.mark.parametrize("path", ["/safe/", "/stream/"])
async def test_failure_of_a_target_may_say_that_it_leaves(start, path):
    failure = respond(b"no", "500 Internal Server Error", LEAVING)
    gateway = await start(**only_target(path, failure))
    statuses = [await call_briefly(gateway, path) for _ in range(4)]
    assert statuses == [500, 503, 503, 503]
    assert len(gateway.received) == 1


# Guards against rule DRAIN while the stream that told of the leave is in progress.
async def test_run_at_a_leaving_target_ends_undisturbed_while_others_avoid_it(start):
    gateway = await start(
        engines=[Script(lambda *_: None), Script(stream_events(1, 2))]
    )
    goes_on = asyncio.Event()

    async def slow_stream(request, reader, writer):
        await stream_events(1, 1, end=False, extra=LEAVING)(request, reader, writer)
        await goes_on.wait()
        write_chunk(writer, b"id: 2\ndata: 2\n\n")
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    gateway.targets[0].script.behaviours[:] = [slow_stream]
    calls = []
    for _ in range(100):
        if gateway.targets[0].received:
            break
        calls.append(asyncio.create_task(gateway.call("/once/")))
        await asyncio.sleep(0.02)
    assert gateway.targets[0].received
    for _ in range(REQUESTS):
        assert (await gateway.call("/once/")).status == 200
    goes_on.set()
    responses = await asyncio.gather(*calls)
    assert {(r.status, r.body.count(b"data:")) for r in responses} == {(200, 2)}
    assert len(gateway.targets[0].received) <= len(calls)
    received = len(gateway.targets[0].received)
    assert (await gateway.call("/once/")).status == 200
    assert len(gateway.targets[0].received) == received


# Guards against rule DRAIN where the signal comes before the entry of the target.
@pytest.mark.parametrize("name", ["plain-0", "engine-0"])
def test_target_without_a_known_entry_leaves(name):
    service = PLAIN_SERVICE if name == "plain-0" else ENGINE_SERVICE
    state = gateway_state("entry-1", 1)
    unknown = target(name, service, 1, started_ms=0, sequence=0)
    state.record_response(unknown, head_of(Server_Leaving="1"), 5.0)
    state.registry.put(target(name, service, 4, started_ms=7))
    state.publish_targets()
    assert state.registry.open_targets(service) == []
    assert state.broker.runs.open_engines(service) == []
    state.registry.put(target(name, service, 4, started_ms=8))
    state.publish_targets()
    assert [entry.id for entry in state.registry.open_targets(service)] == [name]


# Guards against rule DRAIN where only the member that got the response knows.
@pytest.mark.parametrize("status", [200, 421])
def test_members_and_brokers_learn_of_a_leaving_target_by_heartbeats(status):
    entry = target("engine-0", ENGINE_SERVICE, 4, started_ms=7)
    first, hub, last = (gateway_state(f"e-{n}", n, [entry]) for n in (1, 2, 3))
    values = {"Server_Leaving": "1"} if status == 200 else {}
    first.record_response(entry, head_of(status, **values), 5.0)
    for sender, receiver in ((first, hub), (hub, last)):
        heartbeat = decode_message(encode_message(sender.heartbeat()))
        receiver.record_announced_leaving(heartbeat, 5.0)
    assert last.registry.open_targets(ENGINE_SERVICE) == []
    assert last.broker.runs.open_engines(ENGINE_SERVICE) == []


# Guards against a new start that nobody uses because a member still announces the last.
def test_announced_leave_of_an_earlier_start_is_ignored():
    old = target("engine-0", ENGINE_SERVICE, 4, started_ms=7)
    new = target("engine-0", ENGINE_SERVICE, 4, started_ms=9)
    behind, current = gateway_state("e-1", 1, [old]), gateway_state("e-2", 2, [new])
    behind.record_response(old, head_of(Server_Leaving="1"), 5.0)
    current.record_announced_leaving(behind.heartbeat(), 5.0)
    assert current.registry.open_targets(ENGINE_SERVICE) == [new]
    current.record_response(old, head_of(Server_Leaving="1"), 5.0)
    assert current.registry.open_targets(ENGINE_SERVICE) == [new]


@pytest.mark.parametrize(
    ("value", "leaves"), [("1", True), ("0", False), ("", False), ("soon", False)]
)
def test_only_the_stated_value_means_that_a_target_leaves(value, leaves):
    head = head_of(Server_Leaving=value)
    assert head.observation.is_leaving is leaves
    assert [u.value for u in head.observation.unreadable] == (
        ["soon"] if value == "soon" else []
    )


def turn_away(pause):
    return respond(
        b"",
        "503 Service Unavailable",
        f"Retry-After: {pause}\r\n{NOT_EXECUTED}",
        signature="",
    )


# Guards against rule BUDGET: a target that asked for a pause was used as before.
@pytest.mark.parametrize("path", PLAIN_PATHS + STREAM_PATHS)
async def test_target_that_asks_for_a_pause_gets_nothing_until_its_end(start, path):
    gateway = await start(**only_target(path, turn_away(30)))
    headers = {"X-Burdockhaven-Deadline-Ms": "300"}
    for _ in range(4):
        response = await gateway.call(path, headers=headers)
        assert response.status == 503
    assert len(gateway.received) == 1
    assert float(response.headers["Retry-After"]) == 4.0


@pytest.mark.parametrize("path", PLAIN_PATHS + STREAM_PATHS)
async def test_request_turned_away_for_a_time_runs_elsewhere(start, path):
    sound = success(path, "")
    kind = "plain" if path in PLAIN_PATHS else "engines"
    gateway = await start(**{kind: [Script(turn_away(30)), Script(sound)]})
    statuses = [(await gateway.call(path)).status for _ in range(REQUESTS)]
    assert statuses == [200] * REQUESTS
    assert len(gateway.targets[0].received) <= 1
    for engine in gateway.state.broker.runs.engines.values():
        assert engine.failure_rate == 0.0
    assert gateway.state.balancer.state_of("plain-0").failure_rate == 0.0


@pytest.mark.parametrize("path", PLAIN_PATHS + STREAM_PATHS)
async def test_target_is_used_again_after_its_pause(start, path):
    kind = "plain" if path in PLAIN_PATHS else "engines"
    script = Script(turn_away(0.5), success(path, ""))
    gateway = await start(**{kind: [script]})
    statuses = []
    for _ in range(200):
        statuses.append((await gateway.call(path)).status)
        if statuses[-1] == 200:
            break
        await asyncio.sleep(0.02)
    assert statuses[-1] == 200
    assert len(gateway.received) == 2


# Guards against rule BUDGET where a grant crosses the beginning of a pause.
async def test_grant_of_a_paused_target_is_given_back_and_placed_elsewhere(start):
    engines = [Script(stream_events(1, 2)), Script(stream_events(1, 2))]
    gateway = await start(engines=engines)
    placement_client = gateway.frontend.streams.placement_client
    entry = gateway.state.registry.entries["engines-0"]
    now = gateway.state.clock()
    gateway.state.record_response(entry, head_of(503, Retry_After="30"), now)
    known = placement_client.paused_targets
    pauses = iter([()])
    placement_client.paused_targets = lambda service: next(pauses, known(service))
    for name, engine in gateway.state.broker.runs.engines.items():
        # The broker prefers the paused engine as long as it may.
        engine.failure_rate = 0.0 if name == "engines-0" else 0.5
    assert (await gateway.call("/once/")).status == 200
    assert [len(scripted.received) for scripted in gateway.targets] == [0, 1]
    assert gateway.state.broker.runs.engines["engines-0"].failure_rate == 0.0
    assert placement_client.runs == {}


@pytest.mark.parametrize(
    ("status", "value", "pause_s", "unreadable"),
    [
        (503, "2", 2.0, []),
        (503, "1.5", 1.5, []),
        (503, "0", 0.0, []),
        (503, "86400000", 86_400_000.0, []),
        (503, "-1", None, ["-1"]),
        (503, "inf", None, ["inf"]),
        (503, "nan", None, ["nan"]),
        (503, "later", None, ["later"]),
        (
            503,
            "Wed, 21 Oct 2015 07:28:00 GMT",
            None,
            ["Wed, 21 Oct 2015 07:28:00 GMT"],
        ),
        (429, "2", None, []),
        (200, "2", None, []),
    ],
)
def test_pause_is_read_from_the_refusals_of_a_target(
    status, value, pause_s, unreadable
):
    observation = head_of(status, Retry_After=value).observation
    assert observation.pause_s == pause_s
    assert [found.value for found in observation.unreadable] == unreadable


async def test_unreadable_pause_is_ignored_and_noted_once(start):
    gateway = await start(plain=[Script(turn_away("later"))])
    for _ in range(3):
        assert (await gateway.call("/safe/")).status == 503
    assert len(gateway.received) == 3
    signals = gateway.state.target_signals
    assert signals.unreadable == {("plain-0", Signal.PAUSE)}
