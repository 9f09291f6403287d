"""Goodput report of one run of the policy bench.

Work is counted in output tokens (units for a plain service), because output limits the
throughput of the targets. Goodput is the work of requests whose complete answer reached
the caller by the deadline. Goodput of a tier is relative to the work offered in the
measured window. Total goodput is too, unless the offered work exceeds the capacity of
the targets: then the work completed in the window is relative to that capacity.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
from hdrh.histogram import HdrHistogram

from burdockhaven_bench.callers import Request
from burdockhaven_bench.sites import TIER_COUNT, GroupLoad
from burdockhaven_bench.workload import Window

# Histograms count microseconds, from 1 us to one hour, with two significant digits.
HIGHEST_US = 3_600_000_000
US_PER_S = 1_000_000.0
QUANTILES = (50.0, 95.0, 99.0)


class DurationSummary(msgspec.Struct, frozen=True):
    """A distribution of durations, in milliseconds."""

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float


class TierFigures(msgspec.Struct, frozen=True):
    """Results of one tier of one group."""

    offered: int
    in_time: int
    late: int
    # Fractions of the offered requests and of the offered work that were in time.
    requests_part: float
    work_part: float
    first_token: DurationSummary
    between_tokens: DurationSummary
    # Number of requests without a complete answer, by result.
    refusals: dict[str, int]


class GroupFigures(msgspec.Struct, frozen=True):
    """Results of one group."""

    capacity_per_s: float
    offered_per_s: float
    goodput_per_s: float
    # Goodput as a fraction of the smaller of capacity and offered work.
    goodput_part: float
    # Fraction of the processed prompt tokens whose answer was never completed.
    wasted_prefill_part: float
    # Fraction of the processed prompt tokens whose answer was late.
    late_prefill_part: float
    # Fraction of all prompt tokens found in a prefix cache.
    cached_prompt_part: float
    # Service time of all runs in seconds, per request completed in time.
    service_s_per_completed: float
    tiers: dict[int, TierFigures]


class RunFigures(msgspec.Struct, frozen=True):
    """Parameters and results of one run."""

    site: str
    policy: str
    scenario: str
    load: float
    seed: int
    groups: dict[str, GroupFigures]
    # Control traffic per entry and second.
    control_messages: float
    control_bytes: float


@dataclass(slots=True)
class TargetUsage:
    """Work done by the targets of one group over the entire run."""

    # Prompt tokens of all ended runs, and how many of them were processed rather than
    # found in a prefix cache.
    prompt_tokens: int = 0
    processed_tokens: int = 0
    # Processed prompt tokens of runs whose answer was never completed, or was late.
    wasted_tokens: int = 0
    late_tokens: int = 0
    # Total service time of the runs at the targets.
    service_s: float = 0.0
    # Number of requests completed in time.
    completed: int = 0

    def add(self, request: Request, processed: int, service_s: float) -> None:
        """Add one ended run."""
        self.prompt_tokens += request.arrival.prompt_tokens
        self.processed_tokens += processed
        self.service_s += service_s
        if request.result != "whole":
            self.wasted_tokens += processed
        elif request.in_time:
            self.completed += 1
        else:
            self.late_tokens += processed


def group_figures(
    group: GroupLoad,
    capacity: float,
    requests: Sequence[Request],
    usage: TargetUsage,
    window: Window,
) -> GroupFigures:
    """Compute the results of one group."""
    names = {load.spec.name for load in group.classes}
    own = [r for r in requests if r.arrival.load.spec.name in names]
    offered = [r for r in own if window.contains(r.arrival.at_s)]
    done = [r for r in own if r.in_time and window.contains(r.ended_s)]
    offered_per_s = _work(offered) / window.duration_s
    goodput_per_s = _work(done) / window.duration_s
    goodput_part = goodput_per_s / capacity
    if offered_per_s <= capacity:
        goodput_part = _ratio(_work([r for r in offered if r.in_time]), _work(offered))
    return GroupFigures(
        capacity_per_s=capacity,
        offered_per_s=offered_per_s,
        goodput_per_s=goodput_per_s,
        goodput_part=goodput_part,
        wasted_prefill_part=_ratio(usage.wasted_tokens, usage.processed_tokens),
        late_prefill_part=_ratio(usage.late_tokens, usage.processed_tokens),
        cached_prompt_part=1.0 - _ratio(usage.processed_tokens, usage.prompt_tokens),
        service_s_per_completed=_ratio(usage.service_s, usage.completed),
        tiers={
            tier: _tier_figures([r for r in offered if _tier(r) == tier])
            for tier in reversed(range(TIER_COUNT))
        },
    )


def _tier_figures(requests: Sequence[Request]) -> TierFigures:
    in_time = [r for r in requests if r.in_time]
    completed = [r for r in requests if r.result == "whole"]
    first = HdrHistogram(1, HIGHEST_US, 2)
    between = HdrHistogram(1, HIGHEST_US, 2)
    for request in requests:
        if request.first_token_s is not None:
            first.record_value(_to_us(request.first_token_s - request.arrival.at_s))
        for interval_s, tokens in request.token_intervals:
            between.record_value(_to_us(interval_s), tokens)
    refusals = Counter(r.result for r in requests if r.result != "whole")
    return TierFigures(
        offered=len(requests),
        in_time=len(in_time),
        late=len(completed) - len(in_time),
        requests_part=_ratio(len(in_time), len(requests)),
        work_part=_ratio(_work(in_time), _work(requests)),
        first_token=_summarize(first),
        between_tokens=_summarize(between),
        refusals=dict(sorted(refusals.items())),
    )


def _summarize(histogram: HdrHistogram) -> DurationSummary:
    values = [histogram.get_value_at_percentile(q) / 1000 for q in QUANTILES]
    return DurationSummary(histogram.get_total_count(), *values)


def _tier(request: Request) -> int:
    return request.arrival.load.spec.tier


def _work(requests: Sequence[Request]) -> int:
    return sum(request.arrival.output_tokens for request in requests)


def _ratio(part: float, total: float) -> float:
    return part / total if total else 0.0


def _to_us(seconds: float) -> int:
    return max(1, round(seconds * US_PER_S))


def format_figures(figures: RunFigures) -> str:
    """Format the results of a run as text."""
    lines = [
        f"{figures.site} {figures.policy} {figures.scenario} load {figures.load} "
        f"seed {figures.seed}: control {figures.control_messages:.1f} messages/s "
        f"{figures.control_bytes:.0f} bytes/s per entry"
    ]
    for name, group in figures.groups.items():
        lines.append(
            f"  {name}: goodput {group.goodput_per_s:.0f}/s of capacity "
            f"{group.capacity_per_s:.0f}, offered {group.offered_per_s:.0f} = "
            f"{group.goodput_part:.1%}; "
            f"prefill wasted {group.wasted_prefill_part:.2%} "
            f"late {group.late_prefill_part:.2%} "
            f"cached {group.cached_prompt_part:.1%}; "
            f"service {group.service_s_per_completed:.2f} s/completed"
        )
        lines.extend(_tier_line(tier, t) for tier, t in group.tiers.items())
    return "\n".join(lines)


def _tier_line(tier: int, figures: TierFigures) -> str:
    first = figures.first_token
    between = figures.between_tokens
    return (
        f"    tier {tier}: {figures.in_time}/{figures.offered} in time "
        f"{figures.requests_part:.1%}, work {figures.work_part:.1%}, "
        f"late {figures.late}; first token ms {first.p50_ms:.0f}/{first.p95_ms:.0f}/"
        f"{first.p99_ms:.0f}, between {between.p50_ms:.0f}/{between.p95_ms:.0f}/"
        f"{between.p99_ms:.0f}; {figures.refusals}"
    )
