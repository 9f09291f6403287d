"""Open-loop workload: arrival times do not depend on the answers."""

import dataclasses
import random
from collections.abc import Iterator
from dataclasses import dataclass

from burdockhaven_bench.best_rate import group_capacity
from burdockhaven_bench.lengths import sample_length
from burdockhaven_bench.sites import (
    ACCOUNT_SHARES,
    ClassLoad,
    Site,
    account_names,
)
from burdockhaven_core.identity import AccountName

# Number of callers of the smallest account; the others have more, by their share.
SMALLEST_ACCOUNT_CALLERS = 3
# Shared prompt prefixes (dossiers, sites) per account and class.
PREFIXES_PER_CLASS = 12
# Bursts: interval, duration and the factor on the arrival rate.
BURST_INTERVAL_S = 60.0
BURST_DURATION_S = 8.0
BURST_RATE_FACTOR = 4.0


@dataclass(frozen=True, slots=True)
class Window:
    """A half-open interval of virtual time, in seconds."""

    start_s: float
    end_s: float

    @property
    def duration_s(self) -> float:
        """Seconds from start to end."""
        return self.end_s - self.start_s

    def contains(self, at_s: float | None) -> bool:
        """Whether a time lies in the window."""
        return at_s is not None and self.start_s <= at_s < self.end_s


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request and the time at which its caller sends it."""

    at_s: float
    number: int
    account: AccountName
    # Index of the caller within the account; each caller has its own assignment.
    caller: int
    load: ClassLoad
    prompt_tokens: int
    # Actual length of the answer, known only to the target.
    output_tokens: int
    # Name of the shared prompt prefix; empty if there is none.
    prefix: str


def make_arrivals(
    site: Site, load: float, window: Window, burst: bool, rng: random.Random
) -> list[Arrival]:
    """Generate all arrivals of a window in order of time.

    Without bursts, the answer lengths of each group are scaled by one factor so that
    the offered work equals the requested load. With bursts, lengths are not scaled.
    """
    arrivals: list[Arrival] = []
    for group in site.groups:
        capacity = group_capacity(site.name, group)
        group_arrivals = [
            arrival
            for class_load in group.classes
            for arrival in _class_arrivals(
                class_load, load * capacity, window, burst, rng
            )
        ]
        offered_tokens = sum(arrival.output_tokens for arrival in group_arrivals)
        factor = load * capacity * window.duration_s / offered_tokens
        arrivals.extend(group_arrivals if burst else _scaled(group_arrivals, factor))
    arrivals.sort(key=lambda arrival: arrival.at_s)
    return arrivals


def _class_arrivals(
    load: ClassLoad, work_per_s: float, window: Window, burst: bool, rng: random.Random
) -> Iterator[Arrival]:
    rate = work_per_s * load.work_share / load.output_tokens
    at_s = window.start_s + rng.expovariate(rate)
    while at_s < window.end_s:
        yield _draw_arrival(at_s, load, rng)
        factor = BURST_RATE_FACTOR if burst and _in_burst(at_s) else 1.0
        at_s += rng.expovariate(rate * factor)


def _scaled(arrivals: list[Arrival], factor: float) -> Iterator[Arrival]:
    for arrival in arrivals:
        tokens = max(1, round(arrival.output_tokens * factor))
        yield dataclasses.replace(arrival, output_tokens=tokens)


def _draw_arrival(at_s: float, load: ClassLoad, rng: random.Random) -> Arrival:
    accounts = account_names()
    index = rng.choices(range(len(accounts)), ACCOUNT_SHARES)[0]
    callers = round(
        SMALLEST_ACCOUNT_CALLERS * ACCOUNT_SHARES[index] / ACCOUNT_SHARES[-1]
    )
    prefix = ""
    if load.shared_tokens:
        prefix = (
            f"{accounts[index]}/{load.spec.name}/{rng.randrange(PREFIXES_PER_CLASS)}"
        )
    own_tokens = load.prompt_tokens - load.shared_tokens
    return Arrival(
        at_s=at_s,
        number=rng.getrandbits(64),
        account=accounts[index],
        caller=rng.randrange(callers),
        load=load,
        prompt_tokens=load.shared_tokens + sample_length(own_tokens, rng),
        output_tokens=max(1, sample_length(load.output_tokens, rng)),
        prefix=prefix,
    )


def _in_burst(at_s: float) -> bool:
    return at_s % BURST_INTERVAL_S > BURST_INTERVAL_S - BURST_DURATION_S
