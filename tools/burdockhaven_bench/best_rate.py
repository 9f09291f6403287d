"""The best rate of an engine under its group's mix, found with the engine model.

One engine is kept busy without any scheduler: as soon as a run ends the next starts.
The best rate over several numbers of runs side by side is the engine's capacity.
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

# Runs side by side that are tried, as multiples of the slots.
CONCURRENCY_FACTORS = (1.0, 1.25, 1.5, 2.0)
# Runs of which the first part is not counted.
RUN_COUNT = 1_500
WARM_UP_FRACTION = 0.2
SEED = 1


@functools.cache
def best_rate(site: str, group: GroupName) -> float:
    """Output tokens per second of the group's fastest engine at its best."""
    load = next(g for g in SITES[site]().groups if g.spec.name == group)
    engine = min(load.engines, key=lambda config: config.token_interval_s)
    return max(
        _tokens_per_s(engine, load, round(engine.slots * c))
        for c in CONCURRENCY_FACTORS
    )


def group_capacity(
    site: str, group: GroupLoad, slowness: tuple[float, ...] = ()
) -> float:
    """Output tokens per second when every target of a group is at its best.

    `slowness` holds a further factor by target, in order; 1 where it ends.
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
