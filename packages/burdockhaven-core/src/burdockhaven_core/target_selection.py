"""Load-balancing policies that select the target of a request.

A policy is a closure over its own state. Given a request and the targets that it may
use now, it returns a target, or the reason why the request stays queued.
"""

import enum
import math
import random
from collections.abc import Callable, Sequence

from burdockhaven_core.queueing import QueuedRequest
from burdockhaven_core.targets import TargetState


class NoTarget(enum.Enum):
    """Why no target was selected."""

    # Every target is at its limit.
    FULL = "full"
    # The targets below their limit are too slow for this request's deadline.
    TOO_SLOW = "too_slow"


# Share of the sum of all limits by which requests of the highest tier may exceed it.
TOP_TIER_EXCESS_FRACTION = 0.25

Selection = TargetState | NoTarget
TargetPolicy = Callable[[QueuedRequest, Sequence[TargetState], float], Selection]


def round_robin() -> TargetPolicy:
    """Select the targets in turn, regardless of their load."""
    position = 0

    def select(
        request: QueuedRequest, targets: Sequence[TargetState], now: float
    ) -> Selection:
        nonlocal position
        if not targets:
            return NoTarget.FULL
        position += 1
        return targets[position % len(targets)]

    return select


def least_reported() -> TargetPolicy:
    """Select the target whose latest load report is the lowest."""

    def select(
        request: QueuedRequest, targets: Sequence[TargetState], now: float
    ) -> Selection:
        return min(targets, key=_reported_load, default=NoTarget.FULL)

    return select


def two_choices(rng: random.Random) -> TargetPolicy:
    """Draw two targets at random; select the one with fewer own requests in flight."""

    def select(
        request: QueuedRequest, targets: Sequence[TargetState], now: float
    ) -> Selection:
        if not targets:
            return NoTarget.FULL
        drawn = rng.sample(targets, min(2, len(targets)))
        return min(drawn, key=lambda target: target.in_flight)

    return select


def bounded(rng: random.Random) -> TargetPolicy:
    """Select the fastest target below its limit that meets the deadline."""

    def select(
        request: QueuedRequest, targets: Sequence[TargetState], now: float
    ) -> Selection:
        free = _with_free_capacity(request, targets)
        if not free:
            return NoTarget.FULL
        in_time = [t for t in free if _meets_deadline(request, t, now)]
        return min(
            in_time,
            key=lambda t: (
                t.service_s(request.prompt_tokens, request.output_tokens),
                t.in_flight,
                rng.random(),
            ),
            default=NoTarget.TOO_SLOW,
        )

    return select


def _with_free_capacity(
    request: QueuedRequest, targets: Sequence[TargetState]
) -> Sequence[TargetState]:
    free = [t for t in targets if t.in_flight < t.limit]
    if free or not targets or not request.may_exceed_limit:
        return free
    in_flight = sum(target.in_flight for target in targets)
    limit = sum(target.limit for target in targets)
    excess = max(1, math.floor(limit * TOP_TIER_EXCESS_FRACTION))
    if in_flight >= limit + excess:
        return ()
    lowest_excess = min(target.in_flight - target.limit for target in targets)
    return [t for t in targets if t.in_flight - t.limit == lowest_excess]


def _meets_deadline(request: QueuedRequest, target: TargetState, now: float) -> bool:
    longest_s = target.service_s(request.prompt_tokens, request.high_output_tokens)
    return now + longest_s <= request.deadline_s


def _reported_load(target: TargetState) -> int:
    if target.report is None:
        return 0
    return target.report.running + target.report.waiting
