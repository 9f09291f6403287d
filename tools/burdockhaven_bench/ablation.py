"""Measures what each mechanism of the scheduling is worth, by switching it off.

Each mechanism is replaced by a plain function or a neutral constant in the processes
that simulate. Prints the change of the combined share against the complete system, by
deployment; a mechanism that is worth something has a negative change.
"""

import argparse
import math
import statistics
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from burdockhaven_bench.decisions import LOADS, Play, run_play
from burdockhaven_bench.deployments import GIVEN, draw_deployment
from burdockhaven_core.scheduling import (
    engine_load,
    engine_speed,
    placement,
    queue_order,
    served_shares,
    wait_estimate,
)

Switch = Callable[[], None]
# Name of the random deployments in the table.
RANDOM = "random"


def replace(owner: Any, name: str, value: Any) -> Switch:
    """Return a switch that replaces an attribute."""
    return lambda: setattr(owner, name, value)


def _rank_by_account(queue_class: Any, underserved: Any) -> Any:
    return (queue_class.priority, 0.0, False)


def _rank_without_retries(queue_class: Any, underserved: Any) -> Any:
    return (*queue_class.sort_key, False)


# The switch that takes each mechanism out.
MECHANISMS: dict[str, Switch] = {
    "complete": lambda: None,
    "order of the queue": replace(queue_order.QueueClass, "rank", _rank_by_account),
    "guaranteed shares": replace(
        served_shares.ServedShares, "underserved_routes", lambda *arguments: {}
    ),
    "admission by guarantee": replace(
        served_shares.ServedShares, "guaranteed_per_s", lambda *arguments: 0.0
    ),
    "route priority": replace(queue_order, "PRIORITY_FACTOR", 1.0),
    "late requests last": replace(queue_order, "LATE_FACTOR", 1.0),
    "late retries before late": replace(
        queue_order, "RETRY_FACTOR", queue_order.LATE_FACTOR
    ),
    "retries first": replace(queue_order.QueueClass, "rank", _rank_without_retries),
    "refusal by wait": replace(
        wait_estimate.WaitEstimator, "free_capacity", lambda *arguments: math.inf
    ),
    "arrivals ahead": replace(
        wait_estimate.WaitEstimator, "_higher_priority_load", lambda *arguments: 0.0
    ),
    "cached parts": replace(
        engine_load.EngineLoad,
        "prefill_tokens",
        lambda engine, parts, prompt_tokens: prompt_tokens,
    ),
    "cost of prefill": replace(placement, "PREFILL_WEIGHT", 0.0),
    "cost of the first event": replace(placement, "FIRST_EVENT_WEIGHT", 0.0),
    "cost of slowness": replace(placement, "SLOWNESS_WEIGHT", 0.0),
    "pause limit": replace(placement, "PAUSE_FRACTION", float("inf")),
    "stall detection": replace(
        engine_load.EngineLoad, "is_run_stalled", lambda *arguments: False
    ),
    "learned first events": replace(
        engine_speed.ServiceSpeed, "record_first_event", lambda *arguments: None
    ),
    "learned slowness": replace(
        engine_speed.ServiceSpeed, "record_pause", lambda *arguments: None
    ),
    "learned pause limit": replace(
        engine_speed.ServiceSpeed, "record_prefill_pause", lambda *arguments: None
    ),
}


def measure_without(mechanism: str, plays: list[Play], jobs: int) -> list[float]:
    """Return the combined share of each play with a mechanism switched off."""
    with ProcessPoolExecutor(jobs, initializer=MECHANISMS[mechanism]) as executor:
        return [shares.combined for shares in executor.map(run_play, plays)]


def _plays(seeds: int, random_deployments: int) -> list[Play]:
    plays = [
        Play(deployment, seed, *load)
        for deployment in GIVEN
        for seed in range(1, seeds + 1)
        for load in LOADS
    ]
    for seed in range(random_deployments):
        plays += [Play(draw_deployment(seed), 1, *load) for load in LOADS]
    return plays


def _group(play: Play) -> str:
    return play.deployment.name if play.deployment in GIVEN else RANDOM


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="scripts/bench ablation", description=__doc__)
    parser.add_argument("--seeds", type=int, default=3, help="seeds per deployment")
    parser.add_argument("--random", type=int, default=8, help="random deployments")
    parser.add_argument("--jobs", type=int, default=3, help="processes")
    options = parser.parse_args()
    plays = _plays(options.seeds, options.random)
    groups = [deployment.name for deployment in GIVEN] + [RANDOM]
    complete = measure_without("complete", plays, options.jobs)
    for name in MECHANISMS:
        without = measure_without(name, plays, options.jobs)
        cells = []
        for group in groups:
            changes = [
                share - whole
                for play, share, whole in zip(plays, without, complete, strict=True)
                if _group(play) == group
            ]
            error = statistics.stdev(changes) / len(changes) ** 0.5
            cells.append(f"{group} {statistics.mean(changes):+.3f} ± {error:.3f}")
        print(f"{name:26} " + "  ".join(cells), flush=True)


if __name__ == "__main__":
    main()
