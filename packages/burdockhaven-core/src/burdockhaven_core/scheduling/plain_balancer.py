"""Load balancer for the targets of plain services.

Chooses by latency, requests in flight and failure rate, with outlier ejection. A target
that asked for a pause gets one request at a time until one has succeeded.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from burdockhaven_core.capacity import MachineSpeed
from burdockhaven_core.scheduling.target_limits import RateLimiters
from burdockhaven_core.scheduling.target_pauses import Pause
from burdockhaven_core.scheduling.target_registry import TargetEntry

# Weight of a new measurement in the moving average of the latency.
LATENCY_EWMA_WEIGHT = 0.2
# Assumed latency before the first measurement.
INITIAL_LATENCY_S = 0.03
# Weight of a new outcome in the moving average of the failure rate.
FAILURE_EWMA_WEIGHT = 0.2
# Seconds for which a target is ejected after a failed connection, and the upper bound;
# each consecutive failure doubles the time.
EJECTION_BASE_S = 0.5
EJECTION_MAX_S = 4.0
# Seconds for which the load that a target reports is valid.
LOAD_REPORT_TTL_S = 0.25
# Weight of a failure rate of 1; the load of a full target weighs about 1.
FAILURE_COST_WEIGHT = 3.0
# Multiple of the average latency after which a waiting request has its response: that
# of the probe and its own.
WAIT_LATENCY_FACTOR = 2.0
# Longest time in seconds after which a waiting request looks for a target again.
MAX_WAIT_S = 0.1


@dataclass(slots=True)
class TargetReturn:
    """A return from a pause; it ends with the first request that succeeds."""

    pause: Pause
    # Monotonic time in seconds of the last refusal; requests sent later are probes.
    refused_s: float
    # Number of probes in flight.
    probes: int = 0

    def is_probe(self, started_ms: int, sent_s: float) -> bool:
        """Whether a request went to the start that returns, after its refusal."""
        return sent_s > self.refused_s and self.pause.binds(started_ms)


@dataclass(slots=True)
class BalancedTarget:
    """State of one target, as seen by one member."""

    in_flight: int = 0
    latency_s: float = INITIAL_LATENCY_S
    failure_rate: float = 0.0
    connect_failures: int = 0
    ejected_until_s: float = 0.0
    # Requests in flight that the target reported last, and when it did so.
    reported_in_flight: int = 0
    reported_s: float = 0.0
    # Speed of the target's machine as it reports it.
    machine: MachineSpeed = field(default_factory=MachineSpeed)
    # None unless the target asked for a pause and no later request has succeeded.
    returning: TargetReturn | None = None

    def begin_send(self, started_ms: int, now: float) -> None:
        """Record that a request is sent to a start of the target."""
        self.in_flight += 1
        if self.returning is not None and self.returning.is_probe(started_ms, now):
            self.returning.probes += 1

    def end_send(self, started_ms: int, sent_s: float) -> None:
        """Record the end, whatever it was, of a request sent at the given time."""
        self.in_flight -= 1
        if self.returning is not None and self.returning.is_probe(started_ms, sent_s):
            self.returning.probes -= 1


@dataclass(frozen=True, slots=True)
class AwaitedTarget:
    """A target that may take requests again in a while."""

    entry: TargetEntry
    # Seconds until its pause ends; 0 while the outcome of a probe is awaited.
    pause_left_s: float


class PlainBalancer:
    """Balances requests over the targets of all plain services."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.targets: dict[str, BalancedTarget] = {}
        # Keeps the requests of this member within its part of the targets' limits.
        self.limiters = RateLimiters()

    def choose(
        self, entries: Iterable[TargetEntry], excluded: set[str], now: float
    ) -> TargetEntry | None:
        """Return the target that should respond soonest; None if there is none.

        Excluded targets, those at their limit and those that return from a pause and
        have a probe in flight are not used, ejected ones only if nothing else is left.
        """
        usable = [
            entry
            for entry in entries
            if entry.id not in excluded
            and self.limiters.admits(entry.id, now)
            and not self.has_probe(entry)
        ]
        not_ejected = [e for e in usable if self.state_of(e.id).ejected_until_s <= now]
        best: tuple[float, float] | None = None
        chosen = None
        for entry in not_ejected or usable:
            rank = (self._cost(entry, now), self.rng.random())
            if best is None or rank < best:
                best, chosen = rank, entry
        return chosen

    def state_of(self, target_id: str) -> BalancedTarget:
        """Return the target's state, created on first use."""
        found = self.targets.get(target_id)
        if found is None:
            found = self.targets[target_id] = BalancedTarget()
        return found

    def has_probe(self, entry: TargetEntry) -> bool:
        """Whether a request in flight shows soon if the target takes requests again."""
        returning = self.state_of(entry.id).returning
        return (
            returning is not None
            and returning.probes > 0
            and returning.pause.binds(entry.started_ms)
        )

    def wait_s(
        self, awaited: Iterable[AwaitedTarget], until_s: float, now: float
    ) -> float | None:
        """Return for how long a request without a target waits before its next look.

        None if no target is expected to respond by the given time.
        """
        in_time = [
            target for target in awaited if self._slack_s(target, until_s, now) > 0.0
        ]
        if not in_time:
            return None
        left_s = max(self._slack_s(t, until_s, now) + t.pause_left_s for t in in_time)
        pauses_s = [t.pause_left_s for t in in_time if t.pause_left_s]
        return min(MAX_WAIT_S, left_s, *pauses_s)

    def waiting_places(
        self,
        awaited: Iterable[AwaitedTarget],
        until_s: float,
        members: int,
        now: float,
    ) -> int:
        """Return the number of requests that may wait for the targets at this member.

        All members together hold no more than the targets process at once.
        """
        slots = sum(
            target.entry.slots
            for target in awaited
            if self._slack_s(target, until_s, now) > 0.0
        )
        return max(min(1, slots), slots // members)

    def _slack_s(self, target: AwaitedTarget, until_s: float, now: float) -> float:
        """Return the seconds between the expected response and the given time."""
        latency_s = self.state_of(target.entry.id).latency_s
        expected_s = now + target.pause_left_s + WAIT_LATENCY_FACTOR * latency_s
        return until_s - expected_s

    def record_load(
        self,
        target_id: str,
        reported_in_flight: int,
        now: float,
        slowdown: float | None = None,
    ) -> None:
        """Record the load that a target reported with a response.

        `slowdown` is the time of work on its machine relative to the usual one.
        """
        target = self.state_of(target_id)
        target.reported_in_flight, target.reported_s = reported_in_flight, now
        if slowdown is not None:
            target.machine.record(slowdown, now)

    def record_success(self, entry: TargetEntry, sent_s: float, now: float) -> None:
        """Record a response of the target to a request sent at the given time."""
        target = self.state_of(entry.id)
        latency_s = now - sent_s
        target.latency_s += LATENCY_EWMA_WEIGHT * (latency_s - target.latency_s)
        target.failure_rate *= 1 - FAILURE_EWMA_WEIGHT
        target.connect_failures = 0
        returning = target.returning
        if returning is not None and returning.is_probe(entry.started_ms, sent_s):
            target.returning = None

    def record_pause(self, target_id: str, pause: Pause, now: float) -> None:
        """Record that the target refused a request and asked for a pause."""
        self.state_of(target_id).returning = TargetReturn(pause, now)

    def record_failure(self, target_id: str) -> None:
        """Record that the target failed a request or timed out."""
        target = self.state_of(target_id)
        target.failure_rate += FAILURE_EWMA_WEIGHT * (1 - target.failure_rate)

    def eject(self, target_id: str, now: float) -> None:
        """Eject the target for a time that doubles, after a failed connection."""
        target = self.state_of(target_id)
        ejection_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2**target.connect_failures)
        target.connect_failures += 1
        target.ejected_until_s = now + ejection_s

    def retain(self, target_ids: Iterable[str]) -> None:
        """Discard the state of all other targets."""
        present = set(target_ids)
        self.targets = {
            key: value for key, value in self.targets.items() if key in present
        }

    def _cost(self, entry: TargetEntry, now: float) -> float:
        target = self.state_of(entry.id)
        in_flight = target.in_flight
        if now - target.reported_s < LOAD_REPORT_TTL_S:
            in_flight = max(in_flight, target.reported_in_flight)
        wait = (1 + in_flight) / entry.slots
        return (
            target.latency_s
            * target.machine.slowdown(now)
            * (1 + wait)
            * (1 + FAILURE_COST_WEIGHT * target.failure_rate)
        )
