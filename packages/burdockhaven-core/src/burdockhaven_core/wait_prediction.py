"""Predicts how long a request would wait, so that it can be refused at the door.

The prediction is work before the request, in seconds of service, divided by the slots
that this entry may fill. It is made once, when the request arrives: a request that is
let in and then overtaken by higher tiers may still expire.
"""

import itertools
from collections.abc import Sequence

from burdockhaven_core.queueing import GroupQueue, QueuedRequest
from burdockhaven_core.targets import TargetState

# The part of a request's slack that the predicted wait may take.
MAX_WAIT_FRACTION = 0.6
# The least part of the slots that is taken to be left by higher tiers.
MIN_CAPACITY_FRACTION = 0.1
# Seconds until shares have followed a change of demand.
SHARE_LAG_S = 1.0
# Weight of the newest count in the average of requests under way.
IN_FLIGHT_EWMA_WEIGHT = 0.05


def predict_wait_s(
    request: QueuedRequest,
    queue: GroupQueue,
    targets: Sequence[TargetState],
    in_flight_by_tier: Sequence[float],
    queued_elsewhere: int,
) -> float:
    """Seconds until a request that is queued now would be dispatched.

    `running` is the average of this entry's requests under way by tier, the lowest
    first. `queued_elsewhere` counts the requests of the tier or higher that the other
    entries have queued: an entry with more than its part gets more slots before long.
    """
    ahead_s = queue.work_ahead_s(request)
    free = sum(max(0, target.limit - target.in_flight) for target in targets)
    if free and not ahead_s:
        return 0.0
    higher = sum(in_flight_by_tier[request.tier + 1 :])
    capacity_fraction = max(
        MIN_CAPACITY_FRACTION, 1.0 - higher / max(1.0, sum(in_flight_by_tier))
    )
    own_slots = sum(
        target.limit * _relative_speed(target, targets) for target in targets
    )
    own_wait_s = ahead_s / max(1.0, own_slots) / capacity_fraction
    all_entries_slots = sum(
        target.capacity * _relative_speed(target, targets) for target in targets
    )
    mean_s = queue.mean_service_s(request.tier) or request.service_s
    all_ahead_s = ahead_s + queued_elsewhere * mean_s
    even_wait_s = (
        SHARE_LAG_S + all_ahead_s / max(1.0, all_entries_slots) / capacity_fraction
    )
    return min(own_wait_s, even_wait_s)


def exceeds_wait_budget(request: QueuedRequest, wait_s: float, now: float) -> bool:
    """Whether a request with this predicted wait is to be refused at the door."""
    return wait_s > MAX_WAIT_FRACTION * (request.latest_start_s - now)


def update_ewma(
    previous: Sequence[float], newest: Sequence[float]
) -> tuple[float, ...]:
    """The average by tier with one more count."""
    if not previous:
        return tuple(newest)
    pairs = itertools.zip_longest(previous, newest, fillvalue=0.0)
    return tuple(old + IN_FLIGHT_EWMA_WEIGHT * (new - old) for old, new in pairs)


def _relative_speed(target: TargetState, targets: Sequence[TargetState]) -> float:
    fastest_s = min(other.token_interval_s for other in targets)
    return fastest_s / target.token_interval_s
