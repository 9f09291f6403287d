"""Each signal of a target before each way of sending, at real forwarders.

In each row the signal comes at the moment at which it is hardest to heed, from the
target that the way of sending would use next. The oracle counts the requests that this
target receives from then on.
"""

import asyncio
import dataclasses
from collections.abc import Callable

import pytest
from gateway_fixtures import (
    Gateway,
    Script,
    hang,
    reset_connection,
    respond,
    stream_events,
    stream_when_released,
    wait_until,
)
from multidict import CIMultiDict, CIMultiDictProxy

from burdockhaven_core.scheduling.target_pauses import TargetPauses
from burdockhaven_core.scheduling.target_registry import TargetRegistry
from burdockhaven_entry.gateway.placement_client import PlacementClient
from burdockhaven_entry.platform import read_response_head

EXPECT_INSTANCE = "X-Burdockhaven-Expect-Instance"
NOT_EXECUTED = "X-Burdockhaven-Not-Executed: 1\r\n"
REQUESTS = 8
# Slots of each target of the fixture.
SLOTS = 4
# Seconds of a pause that requests wait for; they arrive before its end also if the test
# process stands still for some seconds.
FIRST_PAUSE_S = 5.0
RECORD_PAUSE = TargetPauses.record


@dataclasses.dataclass(frozen=True)
class Signal:
    """What a target says, as a response without a run and as a successful one."""

    status: int
    headers: dict[str, str]
    # Behaviour of a target that says it in a response to a plain request and at the
    # head of a stream; a pause is said by refusals only.
    in_response: Callable
    in_stream: Callable


def refusal(extra):
    return respond(b"", "503 Service Unavailable", extra + NOT_EXECUTED, signature="")


LEAVES_HEADER, PAUSES_HEADER = "Server-Leaving: 1\r\n", "Retry-After: 30\r\n"
SIGNALS = {
    "leaves": Signal(
        200,
        {"Server-Leaving": "1"},
        respond(extra=LEAVES_HEADER),
        stream_events(1, 2, extra=LEAVES_HEADER),
    ),
    "pauses": Signal(
        503, {"Retry-After": "30"}, refusal(PAUSES_HEADER), refusal(PAUSES_HEADER)
    ),
}


class Teller:
    """Lets targets give a signal, and counts what they receive from then on."""

    def __init__(self, gateway, signal):
        self.gateway = gateway
        self.signal = signal
        # Requests that each target had received when it gave the signal.
        self.received_before = {}

    def target(self, name):
        return self.gateway.targets[int(name[-1])]

    def prefer(self, name):
        """Make the target the best choice of the balancer and of the broker."""
        state = self.gateway.state
        for other in state.registry.entries:
            rate = 0.0 if other == name else 0.5
            state.balancer.state_of(other).failure_rate = rate
        for other, engine in state.broker.runs.engines.items():
            engine.failure_rate = 0.0 if other == name else 0.5

    def tell(self, name):
        """Give the signal by the target, which is the best choice otherwise."""
        state, signal = self.gateway.state, self.signal
        headers = CIMultiDictProxy(CIMultiDict(signal.headers))
        head = read_response_head(signal.status, headers)
        entry = state.registry.entries[name]
        self.prefer(name)
        self.note(name)
        state.record_response(entry, head, state.clock())

    def note(self, name):
        self.received_before[name] = len(self.target(name).received)

    def received_after(self):
        assert self.received_before
        return sum(
            len(self.target(name).received) - before
            for name, before in self.received_before.items()
        )


def tell_another(teller, behaviour):
    """Another target gives the signal while the first one handles the request."""

    async def behave(request, reader, writer):
        own = request.headers[EXPECT_INSTANCE]
        teller.tell(next(n for n in teller.gateway.state.registry.entries if n != own))
        return await behaviour(request, reader, writer)

    return behave


def another_attempt(kind, path, first, then):
    """A way of sending that follows the first send of the same request."""

    async def play(start, signal, monkeypatch):
        script = Script(then)
        gateway = await start(**{kind: [script] * 3})
        teller = Teller(gateway, signal)
        script.behaviours.insert(0, tell_another(teller, first))
        return teller, [(await gateway.call(path)).status]

    return play


def successive(kind, path, success):
    """Requests, each of which is sent for the first time."""

    async def play(start, signal, monkeypatch):
        gateway = await start(**{kind: [Script(success)] * 3})
        teller = Teller(gateway, signal)
        teller.tell(f"{kind}-1")
        return teller, [(await gateway.call(path)).status for _ in range(REQUESTS)]

    return play


async def play_grant_under_way(start, signal, monkeypatch):
    """The signal arrives after the broker's grant and before the send."""
    gateway = await start(engines=[Script(stream_events(1, 2))] * 3)
    teller = Teller(gateway, signal)
    place = PlacementClient.place

    async def place_and_tell(placement_client, requirements):
        placement = await place(placement_client, requirements)
        if not teller.received_before:
            teller.tell(placement.target)
        return placement

    monkeypatch.setattr(PlacementClient, "place", place_and_tell)
    return teller, [(await gateway.call("/once/")).status]


async def play_queued_requests(start, signal, monkeypatch):
    """The signal arrives while requests wait in the broker's queue."""
    released = asyncio.Event()
    scripts = [
        Script(*[stream_when_released(released)] * SLOTS, stream_events(1, 2))
        for _ in range(2)
    ]
    gateway = await start(engines=scripts)
    queue = gateway.state.broker.queue
    calls = [asyncio.create_task(gateway.call("/once/")) for _ in range(2 * SLOTS)]
    await wait_until(lambda: len(gateway.received) == 2 * SLOTS)
    calls += [asyncio.create_task(gateway.call("/once/")) for _ in range(2)]
    await wait_until(lambda: len(queue) == 2)
    teller = Teller(gateway, signal)
    teller.tell("engines-0")
    released.set()
    return teller, [(await call).status for call in calls]


async def play_waiting_requests(start, signal, monkeypatch):
    """The signal arrives while requests wait for the end of the pauses of all."""
    gateway = await start(plain=[Script(respond())] * 2)
    for entry in gateway.state.registry.entries.values():
        pause = RECORD_PAUSE(
            gateway.state.target_signals.signals.pauses,
            entry,
            FIRST_PAUSE_S,
            gateway.state.clock(),
        )
        gateway.state.balancer.record_pause(entry.id, pause, gateway.state.clock())
    teller = Teller(gateway, signal)
    calls = [asyncio.create_task(gateway.call("/patient/")) for _ in range(4)]
    await wait_until(lambda: len(gateway.frontend.pending) == 4)
    teller.tell("plain-0")
    return teller, [(await call).status for call in calls]


def kept_connection(kind, path, success, in_signal):
    """The signal comes on a connection that is kept and idle afterwards."""

    async def play(start, signal, monkeypatch):
        signalling = Script(success, getattr(signal, in_signal), success)
        gateway = await start(**{kind: [signalling, Script(success)]})
        teller = Teller(gateway, signal)
        first = gateway.targets[0]
        statuses = []
        while len(first.received) < 2:
            teller.prefer(f"{kind}-0")
            statuses.append((await gateway.call(path)).status)
        assert first.connections == 1
        teller.note(f"{kind}-0")
        teller.prefer(f"{kind}-0")
        for _ in range(REQUESTS):
            statuses.append((await gateway.call(path)).status)
        return teller, statuses

    return play


def broken_stream(last):
    return stream_events(1, last, end=False, reset=True)


WAYS = {
    "broker's grant": successive("engines", "/once/", stream_events(1, 2)),
    "grant under way": play_grant_under_way,
    "queued request": play_queued_requests,
    "plain balancer": successive("plain", "/unsafe/", respond()),
    "waiting plain request": play_waiting_requests,
    "plain retry": another_attempt("plain", "/safe/", reset_connection, respond()),
    "plain retry, rejected": another_attempt(
        "plain", "/unsafe/", refusal(""), respond()
    ),
    "plain hedge": another_attempt("plain", "/safe/", hang, respond()),
    "stream retry": another_attempt(
        "engines", "/stream/", reset_connection, stream_events(1, 2)
    ),
    "stream resume": another_attempt(
        "engines", "/stream/", broken_stream(1), stream_events(2, 3)
    ),
    "replacement of a silent engine": another_attempt(
        "engines", "/stream/", hang, stream_events(1, 2)
    ),
    "kept connection, plain": kept_connection(
        "plain", "/safe/", respond(), "in_response"
    ),
    "kept connection, stream": kept_connection(
        "engines", "/stream/", stream_events(1, 2), "in_stream"
    ),
}
# Each takes away what the rule of a signal rests on.
DEFENCES = {
    "leaves": (TargetRegistry, "mark_leaving", lambda *_: False),
    "pauses": (TargetPauses, "record", lambda *_: None),
}


@pytest.fixture
async def start():
    started = []

    async def make(**options):
        started.append(await Gateway.start(**options))
        return started[-1]

    yield make
    for gateway in started:
        await gateway.stop()


# Guards against rules DRAIN and BUDGET, and against requests lost for their sake.
@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("signal", SIGNALS)
async def test_target_gets_nothing_after_its_signal(start, signal, way, monkeypatch):
    teller, statuses = await WAYS[way](start, SIGNALS[signal], monkeypatch)
    assert teller.received_after() == 0
    assert set(statuses) == {200}
    assert teller.gateway.frontend.streams.placement_client.runs == {}


# Guards against rows of the matrix that would pass without the rule being kept.
@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("signal", SIGNALS)
async def test_matrix_detects_a_signal_that_is_not_read(
    start, signal, way, monkeypatch
):
    monkeypatch.setattr(*DEFENCES[signal])
    teller, _ = await WAYS[way](start, SIGNALS[signal], monkeypatch)
    assert teller.received_after() > 0
