"""Deployments for the simulation of placement decisions: given ones and random ones."""

import math
import random
from dataclasses import dataclass

from burdockhaven_bench.placement_fleet import PlacementFleet
from burdockhaven_bench.simulated_requests import REQUEST_KINDS, RequestKind
from burdockhaven_standins.step_engine import StepEngineConfig

# Bounds of the random deployments' factor on each engine time, and of their slots,
# engines, kinds of requests and stragglers' slowness.
MAX_ENGINE_FACTOR = 4.0
SLOTS = (3, 12)
ENGINES = (2, 40)
KINDS = (2, 5)
STRAGGLER_SLOWNESS = (1.0, 5.0)
STRAGGLER_SHARE = 0.3
# Share of the engines' slot time that random deployments ask for at load factor 1.
UTILIZATION = 0.8


@dataclass(frozen=True, slots=True)
class Deployment:
    """Engines, kinds of requests and accounts of one deployment."""

    name: str
    kinds: tuple[RequestKind, ...]
    engine: StepEngineConfig
    engine_slownesses: tuple[float, ...]
    account_priorities: tuple[int, ...] = (0, 1, 1, 1, 0)

    def fleet(
        self, seed: int, load: float, burst: float, hot_account: float = 1.0
    ) -> PlacementFleet:
        """Return a simulation with a burst between 8 and 13 s.

        During the burst, the first account sends `hot_account` times its usual share.
        """
        return PlacementFleet(
            kinds=self.kinds,
            engine_slownesses=self.engine_slownesses,
            slots=self.engine.slots,
            seed=seed,
            load=lambda kind, at_s: burst if 8 < at_s < 13 else load,
            engine_config=self.engine,
            account_priorities=self.account_priorities,
            first_account_weight=lambda at_s: hot_account if 8 < at_s < 13 else 1.0,
        )


REVIEWS = Deployment(
    name="reviews",
    kinds=REQUEST_KINDS,
    engine=StepEngineConfig(),
    engine_slownesses=(0.68, 0.68, 0.68, 0.68, 3.0, 3.0),
)

REPORTS = Deployment(
    name="reports",
    kinds=(
        RequestKind(
            name="history",
            priority=0,
            requests_per_s=9.16,
            mean_prompt_tokens=3720,
            prompt_spread=1.1,
            max_prompt_tokens=53_200,
            mean_events=40,
            events_spread=1.5,
            max_events=400,
            objective_s=0.8,
            deadline_s=12,
            value=5.3,
            late_value=2.5,
            sessions=103,
            pause_objective_s=0.2,
        ),
        RequestKind(
            name="batch",
            priority=1,
            requests_per_s=3.97,
            mean_prompt_tokens=2890,
            prompt_spread=1.0,
            max_prompt_tokens=39_600,
            mean_events=17,
            events_spread=1.5,
            max_events=170,
            objective_s=0.6,
            deadline_s=6,
            value=2.5,
            late_value=1.3,
            sessions=29,
            pause_objective_s=0.2,
        ),
        RequestKind(
            name="query",
            priority=2,
            requests_per_s=12.1,
            mean_prompt_tokens=1110,
            prompt_spread=1.0,
            max_prompt_tokens=3_790,
            mean_events=57,
            events_spread=1.5,
            max_events=570,
            objective_s=0.4,
            deadline_s=15,
            value=0.26,
            late_value=0.13,
            sessions=205,
            pause_objective_s=0.2,
        ),
    ),
    engine=StepEngineConfig(
        slots=5,
        first_event_ms=21.0,
        step_ms=5.18,
        step_ms_per_run=0.0367,
        prefill_tokens_per_ms=49.6,
        prefill_ms_per_m_pairs=0.368,
        chunk_tokens=1024,
        tokens_per_event=3,
        memory_tokens=569_000,
    ),
    engine_slownesses=(0.68, 0.68, 0.68, 0.68, 3.0, 3.0),
)

GIVEN = (REVIEWS, REPORTS)


def draw_deployment(seed: int) -> Deployment:
    """Draw a deployment; the same seed draws the same one."""
    rng = random.Random(f"deployment {seed}")
    engine = _draw_engine(rng)
    slownesses = _draw_slownesses(rng)
    kinds = [_draw_kind(rng, number) for number in range(rng.randint(*KINDS))]
    capacity = sum(engine.slots / slowness for slowness in slownesses)
    asked = sum(kind.requests_per_s * _slot_s(kind, engine) for kind in kinds)
    factor = UTILIZATION * capacity / asked
    return Deployment(
        name=f"random-{seed}",
        kinds=tuple(_scale_rate(kind, factor) for kind in kinds),
        engine=engine,
        engine_slownesses=slownesses,
    )


def _draw_engine(rng: random.Random) -> StepEngineConfig:
    base = StepEngineConfig()

    def factor() -> float:
        return math.exp(rng.uniform(-1.0, 1.0) * math.log(MAX_ENGINE_FACTOR))

    return StepEngineConfig(
        slots=rng.randint(*SLOTS),
        first_event_ms=base.first_event_ms * factor(),
        step_ms=base.step_ms * factor(),
        step_ms_per_run=base.step_ms_per_run * factor(),
        prefill_tokens_per_ms=base.prefill_tokens_per_ms * factor(),
        prefill_ms_per_m_pairs=base.prefill_ms_per_m_pairs * factor(),
        chunk_tokens=rng.choice((512, 1024, 2048, 4096)),
        tokens_per_event=rng.randint(1, 9),
        memory_tokens=rng.randint(300_000, 800_000),
    )


def _draw_slownesses(rng: random.Random) -> tuple[float, ...]:
    # Small deployments are as likely as large ones.
    count = round(ENGINES[0] * (ENGINES[1] / ENGINES[0]) ** rng.random())
    return tuple(
        rng.uniform(*STRAGGLER_SLOWNESS) if rng.random() < STRAGGLER_SHARE else 1.0
        for _ in range(count)
    )


def _draw_kind(rng: random.Random, number: int) -> RequestKind:
    prompt_tokens = rng.choice((400, 1_000, 2_500, 6_000))
    events = rng.choice((4, 20, 50))
    objective_s = rng.uniform(0.4, 1.5)
    value = rng.choice((0.3, 1.0, 3.0, 9.0))
    return RequestKind(
        name=f"kind-{number}",
        priority=number,
        requests_per_s=rng.uniform(1.0, 4.0),
        mean_prompt_tokens=prompt_tokens,
        prompt_spread=1.0,
        max_prompt_tokens=12 * prompt_tokens,
        mean_events=events,
        events_spread=1.0,
        max_events=8 * events,
        objective_s=objective_s,
        deadline_s=rng.choice((3.0, 6.0, 12.0)),
        value=value,
        late_value=value * rng.uniform(0.3, 0.5),
        sessions=rng.choice((30, 100, 300)),
        pause_objective_s=rng.uniform(0.2, 0.5),
    )


def _slot_s(kind: RequestKind, engine: StepEngineConfig) -> float:
    """Return the seconds that a mean request occupies a slot of a nominal engine."""
    tokens = kind.mean_events * engine.tokens_per_event
    step_ms = engine.step_ms + engine.slots * engine.step_ms_per_run
    # Each run also waits for the prompts of the others in its batch.
    prefill_ms = kind.mean_prompt_tokens / engine.prefill_tokens_per_ms
    return (engine.first_event_ms + tokens * step_ms + engine.slots * prefill_ms) / 1e3


def _scale_rate(kind: RequestKind, factor: float) -> RequestKind:
    values = {name: getattr(kind, name) for name in kind.__dataclass_fields__}
    return RequestKind(**(values | {"requests_per_s": kind.requests_per_s * factor}))
