"""Discrete-event simulation of the broker with step engines and retrying clients.

Measures which requests are served in time under a load. The same seed gives the same
figures. By default the kinds of requests have the sizes, latency objectives and values
from the deployments' sheets.
"""

import dataclasses
import functools
import heapq
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from burdockhaven_bench.simulated_requests import (
    REQUEST_KINDS,
    FleetResult,
    Request,
    RequestKind,
)
from burdockhaven_core.scheduling.broker import Broker
from burdockhaven_core.scheduling.peer_messages import (
    BrokenPrompt,
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
# Delay of a message between a member and the broker or an engine.
MESSAGE_DELAY_S = 0.0015
# Interval at which the broker's queue is polled.
QUEUE_POLL_INTERVAL_S = 0.02
# Prompt part beneath which engines end, and its tokens.
CRASHING_PART = ("crashing", 300)
# Seconds after which an engine that ended has started again.
RESTART_S = 4.0
# Standard deviation of the logarithm of the clients' length estimates.
LENGTH_ESTIMATE_SPREAD = 0.5
# Maximum delay before a retry, as a share of the time left to the deadline.
MAX_RETRY_DELAY_SHARE = 1 / 3


@dataclass(slots=True)
class PlacementFleet:
    """Parameters of a simulation: a broker, its engines and their clients."""

    kinds: tuple[RequestKind, ...] = REQUEST_KINDS
    engine_slownesses: tuple[float, ...] = (0.68, 0.68, 0.68, 0.68, 3.0, 3.0)
    slots: int = 12
    seed: int = 1
    # Factor on the rate of a kind, given its name and the time.
    load: Callable[[str, float], float] = lambda kind, at_s: 1.0
    length_s: float = 30.0
    # Share of the clients that retry after a refusal.
    retry_share: float = 0.9
    engine_config: StepEngineConfig = field(default_factory=StepEngineConfig)
    # Priorities of the clients' accounts, which send equally often; none by default.
    account_priorities: tuple[int, ...] = ()
    # Weight of the first account among the others, given the time.
    first_account_weight: Callable[[float], float] = lambda at_s: 1.0
    # Outages, during which an engine resets requests: its index, begin and end.
    outages: tuple[tuple[int, float, float], ...] = ()
    # Changes of slowness: time, index of the engine, new slowness.
    slowness_changes: tuple[tuple[float, int, float], ...] = ()
    # Share of the requests of a kind that have the crashing part, given its name and
    # the time.
    crashing_share: Callable[[str, float], float] = lambda kind, at_s: 0.0

    def run(self) -> FleetResult:
        """Run the simulation until every request has ended."""
        return _Simulation(self).run()


class _Simulation:
    """Event queue and state of one simulation run."""

    def __init__(self, fleet: PlacementFleet) -> None:
        self.fleet = fleet
        self.rng = random.Random(fleet.seed)
        self.event_queue: list[tuple[float, int, Callable[[float], None]]] = []
        self.next_number = 0
        self.member_id = MemberId("entry", 1)
        self.requests: list[Request] = []
        self.request_by_attempt: dict[int, Request] = {}
        self.attempt_count = 0
        # Starts of each engine, and when those that ended start again.
        self.starts: Counter[str] = Counter()
        self.restart_s: dict[str, float] = {}
        self.broker = self._create_broker()
        # When engines ended beneath the crashing part, and which.
        self.crashes: list[tuple[float, str]] = []
        self.engines: dict[str, StepEngine] = {}
        self.stepping: set[str] = set()
        for index, slowness in enumerate(fleet.engine_slownesses):
            self._add_engine(index, slowness)

    def run(self) -> FleetResult:
        for kind in self.fleet.kinds:
            self._schedule_arrivals(kind)
        for at_s, index, slowness in self.fleet.slowness_changes:
            self.at(at_s, self._slowness_change(index, slowness))
        for index, begin_s, _ in self.fleet.outages:
            self.at(begin_s, functools.partial(self._begin_outage, f"i-{index}"))
        self.at(QUEUE_POLL_INTERVAL_S, self._poll_queue)
        while self.event_queue:
            now, _, action = heapq.heappop(self.event_queue)
            action(now)
        return FleetResult(tuple(self.requests), tuple(self.crashes))

    def at(self, due_s: float, action: Callable[[float], None]) -> None:
        self.next_number += 1
        heapq.heappush(self.event_queue, (due_s, self.next_number, action))

    def _create_broker(self) -> Broker:
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
        self._register_engines(broker)
        return broker

    def _register_engines(self, broker: Broker) -> None:
        names = [f"i-{index}" for index in range(len(self.fleet.engine_slownesses))]
        entries = {
            name: TargetEntry(
                name,
                SERVICE,
                "10.0.0.1:80",
                "a",
                self.fleet.slots,
                False,
                started_ms=1 + self.starts[name],
            )
            for name in names
        }
        broker.set_targets(entries, set())

    def _add_engine(self, index: int, slowness: float) -> None:
        config = dataclasses.replace(
            self.fleet.engine_config, slots=self.fleet.slots, slowness=slowness
        )
        name = f"i-{index}"
        self.engines[name] = StepEngine(
            config, lambda run, at_s, done: self._on_event(name, run, at_s, done)
        )

    def _slowness_change(self, index: int, slowness: float) -> Callable[[float], None]:
        return lambda now: self._set_slowness(index, slowness)

    def _set_slowness(self, index: int, slowness: float) -> None:
        engine = self.engines[f"i-{index}"]
        engine.config = dataclasses.replace(engine.config, slowness=slowness)

    def _schedule_arrivals(self, kind: RequestKind) -> None:
        now = 0.0
        max_load = 4.0
        while True:
            now += self.rng.expovariate(kind.requests_per_s * max_load)
            if now > self.fleet.length_s:
                return
            if self.rng.random() < self.fleet.load(kind.name, now) / max_load:
                request = self._draw_request(kind, now)
                self.requests.append(request)
                self.at(now, functools.partial(self._start_attempt, request))

    @property
    def tokens_per_event(self) -> int:
        return self.fleet.engine_config.tokens_per_event

    def _draw_request(self, kind: RequestKind, now: float) -> Request:
        session = self.rng.randrange(kind.sessions)
        # The length depends on the session alone: its requests share the prompt.
        session_rng = random.Random(f"{self.fleet.seed} {kind.name} {session}")
        prompt = _draw_length(
            session_rng,
            kind.mean_prompt_tokens,
            kind.prompt_spread,
            kind.max_prompt_tokens,
        )
        events = _draw_length(
            self.rng, kind.mean_events, kind.events_spread, kind.max_events
        )
        parts: tuple[tuple[str, int], ...] = (
            ("shared", 60),
            (f"{kind.name}-{session}", prompt),
        )
        if self.rng.random() < self.fleet.crashing_share(kind.name, now):
            parts = (parts[0], CRASHING_PART, (f"own-{len(self.requests)}", prompt))
        tokens = sum(count for _, count in parts)
        request = Request(len(self.requests), kind, tokens, events, parts, now)
        if self.fleet.account_priorities:
            account = self._draw_account(now)
            request.account = f"account-{account}"
            request.priority = self.fleet.account_priorities[account]
        request.expected_tokens = round(
            self.tokens_per_event
            * events
            * self.rng.lognormvariate(0.0, LENGTH_ESTIMATE_SPREAD)
        )
        return request

    def _draw_account(self, now: float) -> int:
        others = len(self.fleet.account_priorities) - 1
        weights = [self.fleet.first_account_weight(now), *[1.0] * others]
        return self.rng.choices(range(others + 1), weights)[0]

    def _start_attempt(self, request: Request, now: float) -> None:
        self.attempt_count += 1
        request.attempts += 1
        request.attempt_started_s = now
        self.request_by_attempt[self.attempt_count] = request
        request.open_attempt = self.attempt_count
        kind = request.kind
        elapsed_s = now - request.arrived_s
        objective_s = kind.objective_s if request.attempts == 1 else -1.0
        placement_request = PlacementRequest(
            sender=self.member_id,
            number=self.attempt_count,
            service=SERVICE,
            route=kind.name,
            account=request.account,
            priority=request.priority,
            route_priority=kind.priority,
            prompt_tokens=request.prompt_tokens,
            output_tokens=2 * request.events * self.tokens_per_event,
            expected_tokens=request.expected_tokens,
            parts=request.parts,
            objective_ms=int((objective_s - elapsed_s) * 1e3),
            client_timeout_ms=int(1e3 * self._client_timeout_s(kind)),
            deadline_ms=int((kind.deadline_s - elapsed_s) * 1e3),
            pause_objective_ms=int(kind.pause_objective_s * 1e3),
            is_retry=request.attempts > 1,
        )
        number = self.attempt_count
        timeout_at_s = now + self._client_timeout_s(kind)
        self.at(
            timeout_at_s, lambda at_s: self._on_client_timeout(request, number, at_s)
        )
        self._on_reply(self.broker.submit(placement_request, now), now)

    def _on_client_timeout(self, request: Request, number: int, now: float) -> None:
        if request.open_attempt == number:
            self._abandon(request, number, now)

    def _client_timeout_s(self, kind: RequestKind) -> float:
        return max(2.0, 4 * kind.objective_s, 8 * kind.pause_objective_s)

    def _abandon(self, request: Request, number: int, now: float) -> None:
        """Treat the client as timed out, unless an event has arrived."""
        if request.first_event_s is not None or request.is_refused:
            return
        self.broker.cancel_placement(self.member_id, number, now)
        if request.target:
            self.engines[request.target].cancel(number)
        request.is_refused = True
        request.has_timed_out = True

    def _on_reply(self, reply: PlacementReply, now: float) -> None:
        request = self.request_by_attempt[reply.number]
        if request.has_timed_out:
            self.broker.cancel_placement(self.member_id, reply.number, now)
            return
        if reply.verdict is Verdict.GRANTED:
            request.target = reply.target
            number = reply.number
            self.at(
                now + 2 * MESSAGE_DELAY_S,
                lambda at_s: self._send(request, number, at_s),
            )
        elif reply.quarantined_part:
            request.open_attempt = 0
            request.is_refused = True
        elif reply.verdict is not Verdict.QUEUED:
            self._on_refused(request, reply.retry_after_ms / 1e3, now)

    def _on_refused(self, request: Request, retry_after_s: float, now: float) -> None:
        request.queued_s += now - request.attempt_started_s
        request.open_attempt = 0
        remaining_s = request.arrived_s + request.kind.deadline_s - now
        will_retry = self.rng.random() < self.fleet.retry_share
        if request.attempts > 1 or not will_retry:
            request.is_refused = True
            return
        due_s = now + min(retry_after_s, MAX_RETRY_DELAY_SHARE * remaining_s)
        self.at(due_s, lambda at_s: self._start_attempt(request, at_s))

    def _send(self, request: Request, number: int, now: float) -> None:
        if request.has_timed_out:
            return
        if self._is_down(request.target, now):
            self._on_reset(request, number, now)
            return
        engine = self.engines[request.target]
        output_tokens = self.tokens_per_event * request.events
        run = StepRun(number, request.prompt_tokens, output_tokens, request.parts)
        request.sent_s = now
        engine.submit(run, now)
        self._step(request.target, now)

    def _is_down(self, target: str, now: float) -> bool:
        if now < self.restart_s.get(target, 0.0):
            return True
        return any(
            target == f"i-{index}" and begin_s <= now < end_s
            for index, begin_s, end_s in self.fleet.outages
        )

    def _begin_outage(self, target: str, now: float) -> None:
        engine = self.engines[target]
        running = (*engine.waiting, *engine.prefilling, *engine.decoding.values())
        for run in running:
            engine.cancel(run.run_id)
            self._end_run(target, run, now)

    def _end_run(self, target: str, run: StepRun, now: float) -> None:
        request = self.request_by_attempt[run.run_id]
        request.is_refused = True
        had_event = request.first_event_s is not None
        end = RunEnd.FAILED if had_event else RunEnd.DISCONNECTED
        broken = () if had_event else (_broken_prompt(target, request),)
        self._report_update(RunUpdate(run.run_id, end), now, broken)

    def _crash(self, target: str, cause: StepRun, now: float) -> None:
        """End an engine beneath a run; it starts again some seconds later."""
        if now < self.restart_s.get(target, 0.0):
            return
        self.crashes.append((now, target))
        self.restart_s[target] = now + RESTART_S
        # The engine model may have dropped the run, if its answer is a single event.
        self.engines[target].cancel(cause.run_id)
        self._end_run(target, cause, now)
        self._begin_outage(target, now)
        self.at(now + RESTART_S, lambda at_s: self._restart(target))

    def _restart(self, target: str) -> None:
        self.starts[target] += 1
        self._register_engines(self.broker)

    def _on_reset(self, request: Request, number: int, now: float) -> None:
        """End the request: it may have run, so neither side repeats it."""
        request.was_reset = request.is_refused = True
        self._report_update(RunUpdate(number, RunEnd.DISCONNECTED), now)

    def _step(self, name: str, now: float) -> None:
        if name in self.stepping or not self.engines[name].is_busy:
            return
        self.stepping.add(name)
        end_s = self.engines[name].advance(now)
        self.at(end_s, lambda at_s: self._next_step(name, at_s))

    def _next_step(self, name: str, now: float) -> None:
        self.stepping.discard(name)
        self._step(name, now)

    def _on_event(self, name: str, run: StepRun, at_s: float, done: bool) -> None:
        request = self.request_by_attempt[run.run_id]
        if CRASHING_PART in request.parts:
            self.at(at_s, lambda now: self._crash(name, run, now))
            return
        if request.first_event_s is None:
            request.first_event_s = at_s
            first_ms = int((at_s - request.sent_s) * 1e3)
            self._report_update(RunUpdate(run.run_id, None, first_ms), at_s)
        else:
            pause_s = at_s - request.last_event_s
            request.longest_pause_s = max(request.longest_pause_s, pause_s)
        request.last_event_s = at_s
        if done:
            request.completed_s = at_s
            config = self.engines[name].config
            running = len(self.engines[name].decoding)
            step_ms = config.step_ms + config.step_ms_per_run * running
            pause_ms = step_ms * config.slowness * config.tokens_per_event
            has_measurable_pause = request.events > 3
            pause = int(pause_ms * 10) if has_measurable_pause else 0
            longest = int(request.longest_pause_s * 1e4) if has_measurable_pause else 0
            self._report_update(
                RunUpdate(run.run_id, RunEnd.COMPLETED, 0, pause, longest), at_s
            )

    def _report_update(
        self,
        update: RunUpdate,
        at_s: float,
        broken_prompts: tuple[BrokenPrompt, ...] = (),
    ) -> None:
        message = RunProgress(self.member_id, (update,), broken_prompts)

        def deliver(now: float) -> None:
            self.broker.apply_progress(message, now)
            self._grant_queued(now)

        self.at(at_s + 2 * MESSAGE_DELAY_S, deliver)

    def _poll_queue(self, now: float) -> None:
        self._grant_queued(now)
        for answered in self.broker.refuse_infeasible(now):
            self._on_reply(answered.reply, now)
        if now < self.fleet.length_s + 30:
            self.at(now + QUEUE_POLL_INTERVAL_S, self._poll_queue)

    def _grant_queued(self, now: float) -> None:
        for answered in self.broker.grant_queued(now):
            self._on_reply(answered.reply, now)


def _broken_prompt(target: str, request: Request) -> BrokenPrompt:
    return BrokenPrompt(target, tuple(part for part, _ in request.parts[:-1]))


def _draw_length(rng: random.Random, mean: float, spread: float, maximum: int) -> int:
    """Draw from a log-normal distribution with this mean, clipped to the maximum."""
    log_mean = math.log(mean) - spread * spread / 2
    return max(1, min(maximum, round(rng.lognormvariate(log_mean, spread))))
