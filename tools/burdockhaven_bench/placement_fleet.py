"""The broker before step engines in virtual time: who is served when under a load.

One seed gives the same figures each time. The kinds of requests have the sizes,
objectives and worths of the deployments' sheets; other kinds can be passed in.
"""

import functools
import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from burdockhaven_core.scheduling.broker import Broker
from burdockhaven_core.scheduling.peer_messages import (
    MemberId,
    PlacementReply,
    PlacementRequest,
    RunEnd,
    RunProgress,
    RunUpdate,
    Verdict,
)
from burdockhaven_core.scheduling.quotas import QuotaRule
from burdockhaven_core.scheduling.routing import (
    ClientLimits,
    EngineLimits,
    RoutingTable,
    Service,
)
from burdockhaven_core.scheduling.target_registry import TargetEntry
from burdockhaven_standins.step_engine import StepEngine, StepEngineConfig, StepRun

SERVICE = "engines"
# Seconds for a message between a member and the broker, and to an engine and back.
HOP_S = 0.0015
# Seconds between two looks at the broker's queue.
PUMP_S = 0.02
# Worth taken off for a client that came back and was refused again.
REFUSED_AGAIN_PART = 0.3
# Spread of the clients' estimates of the length, as a logarithm.
HINT_SPREAD = 0.5
# Most of the time left that a client waits before it comes back.
COME_BACK_PART = 1 / 3


@dataclass(frozen=True, slots=True)
class Kind:
    """Requests of one kind."""

    name: str
    priority: int
    # Requests a second at a load of one.
    per_s: float
    # Mean and spread (of the logarithm) of the prompt in tokens, and the largest.
    prompt: float
    prompt_spread: float
    prompt_max: int
    # The same for the events of the answer.
    events: float
    events_spread: float
    events_max: int
    objective_s: float
    deadline_s: float
    worth: float
    late_worth: float
    # Sessions whose requests share their last part.
    sessions: int
    pause_objective_s: float = 0.3


SHEET = (
    Kind("review", 0, 13.8, 6610, 1.4, 54_600, 64, 1.5, 640, 0.6, 15, 9.3, 2.9, 234),
    Kind("summary", 1, 19.4, 628, 1.0, 3_310, 49, 1.5, 490, 0.8, 12, 1.2, 0.35, 330),
    Kind("triage", 2, 27, 1800, 1.3, 6_870, 3.8, 1.5, 38, 1.2, 3, 0.25, 0.074, 460),
)


@dataclass(slots=True)
class Request:
    """One request of a client over its tries."""

    number: int
    kind: Kind
    prompt_tokens: int
    events: int
    parts: tuple[tuple[str, int], ...]
    arrived_s: float
    tries: int = 0
    first_s: float | None = None
    last_s: float = 0.0
    longest_pause_s: float = 0.0
    done_s: float | None = None
    refused: bool = False
    target: str = ""
    last_ask: int = 0
    # Whether the client left without an event.
    gave_up: bool = False
    # When it was asked for last, and for how long it was held before refusals.
    asked_s: float = 0.0
    held_s: float = 0.0
    # The client's estimate of the answer's tokens.
    hint: int = 0

    @property
    def size(self) -> float:
        """Worth relative to the mean of its kind."""
        tokens = self.prompt_tokens + 60 * self.events
        mean = self.kind.prompt + 60 * self.kind.events
        return min(4.0, 0.3 + 0.7 * tokens / mean)

    @property
    def on_time(self) -> bool:
        """Whether it was served whole, in time and without a long pause."""
        return (
            self.served
            and self.first_s is not None
            and self.first_s - self.arrived_s <= self.kind.objective_s
            and self.longest_pause_s <= self.kind.pause_objective_s
        )

    @property
    def served(self) -> bool:
        """Whether the whole answer came before the deadline."""
        return (
            self.done_s is not None
            and self.done_s - self.arrived_s <= self.kind.deadline_s
        )

    @property
    def price(self) -> float:
        """Worth that is taken off for holding it and not serving it."""
        if self.done_s is not None:
            return 0.0
        if self.gave_up and not self.target:
            return self.size * self.kind.worth
        free_s = self.kind.objective_s / 8
        whole_s = 0.75 * self.kind.deadline_s
        part = min(1.0, max(0.0, (self.held_s - free_s) / (whole_s - free_s)))
        if self.refused and self.tries > 1:
            part += REFUSED_AGAIN_PART
        return self.size * self.kind.worth * part

    @property
    def worth(self) -> float:
        """What its answer is worth."""
        if self.on_time:
            return self.size * self.kind.worth
        return self.size * self.kind.late_worth if self.served else 0.0


@dataclass(frozen=True, slots=True)
class FleetResult:
    """The requests of one play."""

    requests: tuple[Request, ...]

    def worth(self, wanted: Callable[[Request], bool] = lambda request: True) -> float:
        """Worth earned of the worth asked for, over the requests wanted."""
        chosen = [request for request in self.requests if wanted(request)]
        owed = sum(request.size * request.kind.worth for request in chosen)
        return sum(request.worth for request in chosen) / owed if owed else 1.0

    def price(self) -> float:
        """Worth taken off for requests held in vain, of the worth asked for."""
        owed = sum(request.size * request.kind.worth for request in self.requests)
        return sum(request.price for request in self.requests) / owed

    def of_kind(self, name: str) -> float:
        """Worth of one kind."""
        return self.worth(lambda request: request.kind.name == name)

    def worst_window(self, length_s: float = 2.0) -> float:
        """Worth of the worst window by arrival."""
        last_s = max(request.arrived_s for request in self.requests)
        starts = range(int(last_s / length_s))
        return min(self.worth(_arrived(start, length_s)) for start in starts)

    def share(self, wanted: Callable[[Request], bool]) -> float:
        """Share of the requests for which it holds."""
        return sum(wanted(request) for request in self.requests) / len(self.requests)


@dataclass(slots=True)
class Fleet:
    """One broker, its engines and their clients."""

    kinds: tuple[Kind, ...] = SHEET
    slownesses: tuple[float, ...] = (0.68, 0.68, 0.68, 0.68, 3.0, 3.0)
    slots: int = 12
    seed: int = 1
    # Factor on the rate of each kind at a time.
    load: Callable[[str, float], float] = lambda kind, at_s: 1.0
    length_s: float = 30.0
    # Share of the clients that come back after a refusal.
    returning_share: float = 0.9
    engine_config: StepEngineConfig = field(default_factory=StepEngineConfig)
    # Changes to engines at a time: the time, the engine's index and its slowness.
    slow_downs: tuple[tuple[float, int, float], ...] = ()

    def play(self) -> FleetResult:
        """Play to the end of all requests."""
        return _Play(self).run()


class _Play:
    """The events of one play in order of time."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.rng = random.Random(fleet.seed)
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.order = 0
        self.member_id = MemberId("entry", 1)
        self.requests: list[Request] = []
        self.by_ask: dict[int, Request] = {}
        self.asks = 0
        self.broker = self._broker()
        self.engines: dict[str, StepEngine] = {}
        self.stepping: set[str] = set()
        for index, slowness in enumerate(fleet.slownesses):
            self._add_engine(index, slowness)

    def run(self) -> FleetResult:
        for kind in self.fleet.kinds:
            self._schedule_arrivals(kind)
        for at_s, index, slowness in self.fleet.slow_downs:
            self.at(at_s, self._slowing(index, slowness))
        self.at(PUMP_S, self._pump)
        while self.events:
            now, _, action = heapq.heappop(self.events)
            action(now)
        return FleetResult(tuple(self.requests))

    def at(self, due_s: float, action: Callable[[float], None]) -> None:
        self.order += 1
        heapq.heappush(self.events, (due_s, self.order, action))

    def _broker(self) -> Broker:
        broker = Broker(QuotaRule(8.0, 0.0))
        limits = EngineLimits(
            self.fleet.slots,
            self.fleet.engine_config.memory_tokens,
            self.fleet.engine_config.tokens_per_event,
        )
        broker.set_table(
            RoutingTable.from_parts(
                1,
                (),
                {SERVICE: Service(SERVICE, 400, limits)},
                None,
                ClientLimits(16_384, 4_194_304, 3.0, 15.0),
            )
        )
        entries = {
            f"i-{index}": TargetEntry(
                f"i-{index}", SERVICE, "10.0.0.1:80", "a", self.fleet.slots, False
            )
            for index in range(len(self.fleet.slownesses))
        }
        broker.set_targets(entries, set())
        return broker

    def _add_engine(self, index: int, slowness: float) -> None:
        base = self.fleet.engine_config
        config = StepEngineConfig(
            slots=self.fleet.slots,
            tokens_per_event=base.tokens_per_event,
            memory_tokens=base.memory_tokens,
            slowness=slowness,
        )
        name = f"i-{index}"
        self.engines[name] = StepEngine(
            config, lambda run, at_s, done: self._on_event(name, run, at_s, done)
        )

    def _slowing(self, index: int, slowness: float) -> Callable[[float], None]:
        return lambda now: self._slow_down(index, slowness)

    def _slow_down(self, index: int, slowness: float) -> None:
        engine = self.engines[f"i-{index}"]
        config = engine.config
        engine.config = StepEngineConfig(
            slots=config.slots,
            tokens_per_event=config.tokens_per_event,
            memory_tokens=config.memory_tokens,
            slowness=slowness,
        )

    def _schedule_arrivals(self, kind: Kind) -> None:
        now = 0.0
        peak = 4.0
        while True:
            now += self.rng.expovariate(kind.per_s * peak)
            if now > self.fleet.length_s:
                return
            if self.rng.random() < self.fleet.load(kind.name, now) / peak:
                request = self._request(kind, now)
                self.requests.append(request)
                self.at(now, functools.partial(self._ask, request))

    def _request(self, kind: Kind, now: float) -> Request:
        session = self.rng.randrange(kind.sessions)
        # The prompt belongs to the session, so that its requests share it.
        sizes = random.Random(f"{self.fleet.seed} {kind.name} {session}")
        prompt = _draw(sizes, kind.prompt, kind.prompt_spread, kind.prompt_max)
        events = _draw(self.rng, kind.events, kind.events_spread, kind.events_max)
        parts = (("shared", 60), (f"{kind.name}-{session}", prompt))
        request = Request(len(self.requests), kind, prompt + 60, events, parts, now)
        request.hint = round(6 * events * self.rng.lognormvariate(0.0, HINT_SPREAD))
        return request

    def _ask(self, request: Request, now: float) -> None:
        self.asks += 1
        request.tries += 1
        request.asked_s = now
        self.by_ask[self.asks] = request
        request.last_ask = self.asks
        kind = request.kind
        spent_s = now - request.arrived_s
        objective_s = kind.objective_s if request.tries == 1 else -1.0
        ask = PlacementRequest(
            sender=self.member_id,
            number=self.asks,
            service=SERVICE,
            route=kind.name,
            account="",
            priority=0,
            route_priority=kind.priority,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.events * 12,
            expected_tokens=request.hint,
            parts=request.parts,
            objective_ms=int((objective_s - spent_s) * 1e3),
            client_timeout_ms=int(1e3 * self._patience_s(kind)),
            deadline_ms=int((kind.deadline_s - spent_s) * 1e3),
            pause_objective_ms=int(kind.pause_objective_s * 1e3),
            is_retry=request.tries > 1,
        )
        number = self.asks
        leaves_s = now + self._patience_s(kind)
        self.at(leaves_s, lambda at_s: self._leave_ask(request, number, at_s))
        self._on_reply(self.broker.submit(ask, now), now)

    def _leave_ask(self, request: Request, number: int, now: float) -> None:
        if request.last_ask == number:
            self._leave(request, number, now)

    def _patience_s(self, kind: Kind) -> float:
        return max(2.0, 4 * kind.objective_s, 8 * kind.pause_objective_s)

    def _leave(self, request: Request, number: int, now: float) -> None:
        """The client leaves if no event has come."""
        if request.first_s is not None or request.refused:
            return
        self.broker.cancel_placement(self.member_id, number)
        if request.target:
            self.engines[request.target].cancel(number)
        request.refused = True
        request.gave_up = True

    def _on_reply(self, reply: PlacementReply, now: float) -> None:
        request = self.by_ask[reply.number]
        if request.gave_up:
            self.broker.cancel_placement(self.member_id, reply.number)
            return
        if reply.verdict is Verdict.GRANTED:
            request.target = reply.target
            number = reply.number
            self.at(now + 2 * HOP_S, lambda at_s: self._send(request, number, at_s))
        elif reply.verdict is not Verdict.QUEUED:
            self._refused(request, reply.retry_after_ms / 1e3, now)

    def _refused(self, request: Request, wait_s: float, now: float) -> None:
        request.held_s += now - request.asked_s
        request.last_ask = 0
        left_s = request.arrived_s + request.kind.deadline_s - now
        comes_back = self.rng.random() < self.fleet.returning_share
        if request.tries > 1 or not comes_back:
            request.refused = True
            return
        due_s = now + min(wait_s, COME_BACK_PART * left_s)
        self.at(due_s, lambda at_s: self._ask(request, at_s))

    def _send(self, request: Request, number: int, now: float) -> None:
        if request.gave_up:
            return
        engine = self.engines[request.target]
        run = StepRun(number, request.prompt_tokens, 6 * request.events, request.parts)
        engine.submit(run, now)
        self._step(request.target, now)

    def _step(self, name: str, now: float) -> None:
        if name in self.stepping or not self.engines[name].busy:
            return
        self.stepping.add(name)
        end_s = self.engines[name].advance(now)
        self.at(end_s, lambda at_s: self._next_step(name, at_s))

    def _next_step(self, name: str, now: float) -> None:
        self.stepping.discard(name)
        self._step(name, now)

    def _on_event(self, name: str, run: StepRun, at_s: float, done: bool) -> None:
        request = self.by_ask[run.run_id]
        if request.first_s is None:
            request.first_s = at_s
            self._news(RunUpdate(run.run_id), at_s)
        else:
            pause_s = at_s - request.last_s
            request.longest_pause_s = max(request.longest_pause_s, pause_s)
        request.last_s = at_s
        if done:
            request.done_s = at_s
            config = self.engines[name].config
            running = len(self.engines[name].decoding)
            step_ms = config.step_ms + config.step_ms_per_run * running
            pause_ms = step_ms * config.slowness * config.tokens_per_event
            long_enough = request.events > 3
            pause = int(pause_ms * 10) if long_enough else 0
            self._news(RunUpdate(run.run_id, RunEnd.COMPLETED, 0, pause), at_s)

    def _news(self, news: RunUpdate, at_s: float) -> None:
        def deliver(now: float) -> None:
            self.broker.apply_progress(RunProgress(self.member_id, (news,)), now)
            self._pump_once(now)

        self.at(at_s + 2 * HOP_S, deliver)

    def _pump(self, now: float) -> None:
        self._pump_once(now)
        for answered in self.broker.refuse_infeasible(now):
            self._on_reply(answered.reply, now)
        if now < self.fleet.length_s + 30:
            self.at(now + PUMP_S, self._pump)

    def _pump_once(self, now: float) -> None:
        for answered in self.broker.grant_queued(now):
            self._on_reply(answered.reply, now)


def _arrived(window: int, length_s: float) -> Callable[[Request], bool]:
    return lambda request: window <= request.arrived_s / length_s < window + 1


def _draw(rng: random.Random, mean: float, spread: float, most: int) -> int:
    """A number from a log-normal distribution with this mean."""
    middle = math.log(mean) - spread * spread / 2
    return max(1, min(most, round(rng.lognormvariate(middle, spread))))
