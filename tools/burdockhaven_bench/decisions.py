"""Measures the placement decisions over deployments, loads and seeds in virtual time.

Prints the value served as a share of the value asked for, the worst two seconds and the
worst kind, and for random deployments the distribution of the first.
"""

import argparse
import statistics
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from burdockhaven_bench.deployments import GIVEN, Deployment, draw_deployment

# Load factors before and after a burst and during it, and the factor on the share of
# one account during it.
LOADS = ((0.7, 1.5, 1.0), (1.0, 1.9, 1.0), (0.9, 1.8, 6.0))


@dataclass(frozen=True, slots=True)
class Play:
    """One simulation run: a deployment, a seed and its load factors."""

    deployment: Deployment
    seed: int
    load: float
    burst: float
    hot_account: float = 1.0


@dataclass(frozen=True, slots=True)
class Shares:
    """Shares of the value asked for that one run has served."""

    whole: float
    worst_window: float
    worst_kind: float
    # Share of the value that is deducted for late refusals.
    penalty: float

    @property
    def combined(self) -> float:
        """Weighted sum of the shares less the penalty."""
        shares = 0.75 * self.whole + 0.15 * self.worst_window + 0.1 * self.worst_kind
        return shares - 0.1 * self.penalty


def run_play(play: Play) -> Shares:
    """Simulate one run."""
    result = play.deployment.fleet(
        play.seed, play.load, play.burst, play.hot_account
    ).run()
    return Shares(
        whole=result.value_share(),
        worst_window=result.worst_window_value_share(),
        worst_kind=min(
            result.value_share_of_kind(kind.name) for kind in play.deployment.kinds
        ),
        penalty=result.penalty_share(),
    )


def measure(plays: list[Play], jobs: int) -> list[Shares]:
    """Simulate runs in parallel processes."""
    with ProcessPoolExecutor(jobs) as executor:
        return list(executor.map(run_play, plays))


def format_shares(label: str, shares: list[Shares]) -> str:
    """Return a line with the means over runs and the spread of the combined share."""
    means = [
        statistics.mean(getattr(share, name) for share in shares)
        for name in ("combined", "whole", "worst_window", "worst_kind", "penalty")
    ]
    combined = sorted(share.combined for share in shares)
    tenth = combined[len(combined) // 10]
    figures = " ".join(f"{mean:7.3f}" for mean in means)
    return f"{label:32} {figures}  lowest tenth {tenth:.3f}"


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(
        prog="scripts/bench decisions", description=__doc__
    )
    parser.add_argument("--seeds", type=int, default=3, help="seeds per deployment")
    parser.add_argument("--random", type=int, default=24, help="random deployments")
    parser.add_argument("--jobs", type=int, default=3, help="processes")
    options = parser.parse_args()
    print(f"{'':32} combined whole  window  kind  penalty")
    for load, burst, hot in LOADS:
        label = f"load {load} burst {burst}"
        if hot > 1.0:
            label += " hot"
        for deployment in GIVEN:
            plays = [
                Play(deployment, seed, load, burst, hot)
                for seed in range(1, options.seeds + 1)
            ]
            shares = measure(plays, options.jobs)
            print(format_shares(f"{deployment.name} {label}", shares), flush=True)
        plays = [
            Play(draw_deployment(seed), 1, load, burst, hot)
            for seed in range(options.random)
        ]
        if plays:
            shares = measure(plays, options.jobs)
            print(format_shares(f"random {label}", shares), flush=True)


if __name__ == "__main__":
    main()
