"""Limits on the request rate that targets name in their responses.

A target that is in need names the requests per second that it accepts from all members
together, in each response for as long as it is in need. Each member records what the
responses to its own requests say and announces it to the others.
"""

import functools
import hashlib
import heapq
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from burdockhaven_core.scheduling.peer_messages import AnnouncedLimit
from burdockhaven_core.scheduling.token_bucket import TokenBucket

# Lowest rate at which a target with a limit is used: without a response, it could not
# lift the limit.
MIN_RATE_PER_S = 0.25
# Number of members that send to one target on their own: a minimum, and more with its
# limit. Each of them may send one request at once, and within four seconds the platform
# tolerates five requests and twice the limit beyond it.
MIN_SENDERS = 2
SENDERS_PER_REQUEST_PER_S = 2.0


@dataclass(frozen=True, slots=True)
class _Observation:
    """What a target's latest response says of its limit."""

    # None if the response names no limit.
    limit_per_s: float | None
    observed_s: float


class TargetLimits:
    """The latest known limit of each target that has named one."""

    def __init__(self) -> None:
        self.observations: dict[str, _Observation] = {}

    def record(self, target: str, limit_per_s: float | None, observed_s: float) -> bool:
        """Record what a response says; return True if the limit has changed.

        The argument is None for a response without a limit, which lifts an earlier one.
        An observation that is older than the known one changes nothing.
        """
        known = self.observations.get(target)
        if known is None and limit_per_s is None:
            return False
        if known is not None and observed_s < known.observed_s:
            return False
        self.observations[target] = _Observation(limit_per_s, observed_s)
        return known is None or known.limit_per_s != limit_per_s

    def in_force(self) -> dict[str, float]:
        """Return the requests per second of each target that has a limit."""
        return {
            target: observation.limit_per_s
            for target, observation in self.observations.items()
            if observation.limit_per_s is not None
        }

    def announced(self, now: float) -> tuple[AnnouncedLimit, ...]:
        """Return all observations, for other members."""
        return tuple(
            AnnouncedLimit(
                target, known.limit_per_s, round((now - known.observed_s) * 1e3)
            )
            for target, known in self.observations.items()
        )

    def retain(self, targets: Iterable[str]) -> None:
        """Discard the observations of all other targets."""
        present = set(targets)
        for target in self.observations.keys() - present:
            del self.observations[target]


class RateLimiters:
    """Keeps the requests that this process sends or grants within the limits.

    A bucket holds at most a second's requests, so that a window of a few seconds stays
    within the platform's tolerance.
    """

    def __init__(self) -> None:
        self.buckets: dict[str, TokenBucket] = {}

    def set_rates(self, rates_per_s: Mapping[str, float], now: float) -> None:
        """Replace the rates; targets without one are not limited."""
        for target in self.buckets.keys() - rates_per_s.keys():
            del self.buckets[target]
        for target, rate_per_s in rates_per_s.items():
            burst = max(1.0, rate_per_s)
            bucket = self.buckets.get(target)
            if bucket is None:
                self.buckets[target] = TokenBucket(rate_per_s, burst, now)
            else:
                bucket.set_rate(rate_per_s, burst, now)

    def admits(self, target: str, now: float) -> bool:
        """Whether a request may be sent to the target now."""
        bucket = self.buckets.get(target)
        return bucket is None or bucket.has_token(now)

    def record_send(self, target: str, now: float) -> None:
        """Count a request that is sent to the target."""
        bucket = self.buckets.get(target)
        if bucket is not None:
            bucket.take(now)

    def rate_per_s(self, target: str) -> float:
        """Return the rate of the target; infinite without a limit."""
        bucket = self.buckets.get(target)
        return math.inf if bucket is None else bucket.rate_per_s


def broker_rates(limits: Mapping[str, float], share: float) -> dict[str, float]:
    """Return the rates at which a broker grants each target to all members.

    The share is the part of the members that the broker serves in a partition.
    """
    return {
        target: share * max(MIN_RATE_PER_S, limit_per_s)
        for target, limit_per_s in limits.items()
    }


def member_rates(
    limits: Mapping[str, float], node: str, serving_nodes: Iterable[str]
) -> dict[str, float]:
    """Return the rates at which one member sends to each target on its own.

    A limit is divided among a number of members that all members pick alike; the
    others don't use the target. The rate of a member that is not picked is 0.
    """
    nodes = {node, *serving_nodes}
    rates = {}
    for target, limit_per_s in limits.items():
        rate_per_s = max(MIN_RATE_PER_S, limit_per_s)
        count = MIN_SENDERS + int(SENDERS_PER_REQUEST_PER_S * limit_per_s)
        senders = heapq.nlargest(count, nodes, key=functools.partial(_score, target))
        rates[target] = rate_per_s / len(senders) if node in senders else 0.0
    return rates


def _score(target: str, node: str) -> bytes:
    return hashlib.blake2b(f"{target}\0{node}".encode(), digest_size=8).digest()
