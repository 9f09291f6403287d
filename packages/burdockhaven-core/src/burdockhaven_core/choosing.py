"""Policies that choose the target of a request.

A policy is a closure over its own state: given a request and the targets that it may
use now, it names one, or None to let the request wait.
"""

import random
from collections.abc import Callable, Sequence

from burdockhaven_core.queueing import QueuedRequest
from burdockhaven_core.targets import TargetState

Choose = Callable[[QueuedRequest, Sequence[TargetState], float], TargetState | None]


def round_robin() -> Choose:
    """Each target in turn, whatever its load."""
    position = 0

    def choose(
        request: QueuedRequest, targets: Sequence[TargetState], now: float
    ) -> TargetState | None:
        nonlocal position
        if not targets:
            return None
        position += 1
        return targets[position % len(targets)]

    return choose


def least_reported() -> Choose:
    """The target whose last load report was the lowest."""

    def choose(
        request: QueuedRequest, targets: Sequence[TargetState], now: float
    ) -> TargetState | None:
        return min(targets, key=_reported_load, default=None)

    return choose


def two_choices(rng: random.Random) -> Choose:
    """The less loaded, by own requests under way, of two targets drawn at random."""

    def choose(
        request: QueuedRequest, targets: Sequence[TargetState], now: float
    ) -> TargetState | None:
        if not targets:
            return None
        drawn = rng.sample(targets, min(2, len(targets)))
        return min(drawn, key=lambda target: target.in_flight)

    return choose


def bounded(rng: random.Random) -> Choose:
    """The target predicted to finish first, of those with a free slot."""

    def choose(
        request: QueuedRequest, targets: Sequence[TargetState], now: float
    ) -> TargetState | None:
        free = [t for t in targets if t.in_flight < t.limit]
        if not free:
            return None
        return min(
            free,
            key=lambda t: (
                t.service_s(request.prompt_tokens, request.output_tokens),
                t.in_flight,
                rng.random(),
            ),
        )

    return choose


def _reported_load(target: TargetState) -> int:
    if target.report is None:
        return 0
    return target.report.running + target.report.waiting
