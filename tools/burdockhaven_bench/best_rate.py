"""Closed-loop load on the engine model that gives an engine's capacity.

One engine runs the request mix of its group without a scheduler: each run that ends is
replaced at once. The best rate over several concurrency levels is the capacity, against
which the policy bench compares goodput.
"""

import functools
import itertools
import random

from burdockhaven_bench.lengths import sample_length
from burdockhaven_bench.sites import SITES, ClassLoad, GroupLoad
from burdockhaven_core.identity import GroupName
from burdockhaven_standins.engine_model import (
    EngineConfig,
    EngineFinished,
    EngineModel,
    EngineRun,
)

# Concurrency levels to try, as multiples of the engine's slots.
CONCURRENCY_FACTORS = (1.0, 1.25, 1.5, 2.0)
RUN_COUNT = 1_500
# Fraction of the runs that end first and are excluded from the measurement.
WARM_UP_FRACTION = 0.2
SEED = 1


@functools.cache
def best_rate(site: str, group: GroupName) -> float:
    """Return the capacity of the group's fastest engine in output tokens per second."""
    load = next(g for g in SITES[site]().groups if g.spec.name == group)
    engine = min(load.engines, key=lambda config: config.token_interval_s)
    return max(
        _tokens_per_s(engine, load, round(engine.slots * c))
        for c in CONCURRENCY_FACTORS
    )


def group_capacity(
    site: str, group: GroupLoad, slowness: tuple[float, ...] = ()
) -> float:
    """Return the total capacity of a group's targets in output tokens per second.

    `slowness` holds an additional slowdown factor for each target, in order; targets
    past its end have factor 1.
    """
    rate = best_rate(site, group.spec.name)
    fastest_s = min(engine.token_interval_s for engine in group.engines)
    factors = itertools.chain(slowness, itertools.repeat(1.0))
    return sum(
        rate * fastest_s / engine.token_interval_s / factor
        for engine, factor in zip(group.engines, factors, strict=False)
    )


def _tokens_per_s(engine: EngineConfig, group: GroupLoad, concurrency: int) -> float:
    rng = random.Random(SEED)
    model = EngineModel.from_config(engine)
    weights = [load.work_share / load.output_tokens for load in group.classes]
    runs = (
        _sample_run(number, rng.choices(group.classes, weights)[0], rng)
        for number in itertools.count()
    )
    for run in itertools.islice(runs, concurrency):
        model.submit(run, 0.0)
    ended = 0
    done: list[tuple[float, int]] = []
    while ended < RUN_COUNT:
        now = model.next_event_s()
        for output in model.advance(now):
            if isinstance(output, EngineFinished):
                ended += 1
                done.append((now, output.output_tokens))
                model.submit(next(runs), now)
    counted = done[round(len(done) * WARM_UP_FRACTION) :]
    seconds = counted[-1][0] - counted[0][0]
    return sum(tokens for _, tokens in counted[1:]) / seconds


def _sample_run(number: int, load: ClassLoad, rng: random.Random) -> EngineRun:
    prompt = sample_length(load.prompt_tokens, rng)
    output = max(1, sample_length(load.output_tokens, rng))
    return EngineRun(str(number), prompt, output)
