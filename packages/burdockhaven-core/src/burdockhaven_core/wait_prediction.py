"""Queueing-delay prediction for admission control.

The predicted wait is the work ahead of a request, in seconds of service, divided by the
slots that this entry may use. A request whose wait would consume too much of its slack
is refused on arrival. The prediction is made once: a request that is admitted and then
overtaken by requests of higher tiers may still expire.
"""

import itertools
from collections.abc import Sequence

from burdockhaven_core.queueing import GroupQueue, QueuedRequest
from burdockhaven_core.targets import TargetState

# Largest share of a request's slack that the predicted wait may consume.
MAX_WAIT_FRACTION = 0.6
# Lower bound of the share of the slots that higher tiers are assumed to leave free.
MIN_CAPACITY_FRACTION = 0.1
# Seconds until the slot shares reflect a change of demand.
SHARE_LAG_S = 1.0
# Weight of the newest sample in the EWMA of the requests in flight.
IN_FLIGHT_EWMA_WEIGHT = 0.05


def predict_wait_s(
    request: QueuedRequest,
    queue: GroupQueue,
    targets: Sequence[TargetState],
    in_flight_by_tier: Sequence[float],
    queued_elsewhere: int,
) -> float:
    """Predict the seconds until a request that is queued now is dispatched.

    `in_flight_by_tier` is the average number of this entry's requests in flight, lowest
    tier first. `queued_elsewhere` is the number of requests of this tier or a higher
    one that the other entries have queued. An entry with more than its share of the
    queued work is granted more slots within `SHARE_LAG_S`, so the result is the lower
    of two predictions: one with the entry's own slots, one with the slots of all
    entries.
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
    """Whether the predicted wait is too long for the request to be admitted."""
    return wait_s > MAX_WAIT_FRACTION * (request.latest_start_s - now)


def update_ewma(
    previous: Sequence[float], newest: Sequence[float]
) -> tuple[float, ...]:
    """Return the EWMA by tier after one more sample."""
    if not previous:
        return tuple(newest)
    pairs = itertools.zip_longest(previous, newest, fillvalue=0.0)
    return tuple(old + IN_FLIGHT_EWMA_WEIGHT * (new - old) for old, new in pairs)


def _relative_speed(target: TargetState, targets: Sequence[TargetState]) -> float:
    fastest_s = min(other.token_interval_s for other in targets)
    return fastest_s / target.token_interval_s
