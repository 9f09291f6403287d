"""Open-loop arrivals: requests come at their times, whatever the answers do."""

import math
import random
from dataclasses import dataclass

from burdockhaven_bench.sites import (
    ACCOUNT_PARTS,
    LENGTH_SPREAD,
    ClassLoad,
    Site,
    account_names,
)
from burdockhaven_core.identity import AccountName

# Callers of the smallest account; the others have as many more as they send more.
SMALLEST_CALLERS = 3
# Shared prefixes (dossiers, sites) of each account and class.
PREFIXES = 12
# In a burst scenario: how often, how long and how many times the rate.
BURST_EVERY_S = 60.0
BURST_LENGTH_S = 8.0
BURST_FACTOR = 4.0
# Mean of a factor spread evenly, on a logarithmic scale, from 1/spread to the spread.
MEAN_FACTOR = (LENGTH_SPREAD - 1 / LENGTH_SPREAD) / (2 * math.log(LENGTH_SPREAD))


@dataclass(frozen=True, slots=True)
class Window:
    """A span of time, in seconds."""

    start_s: float
    end_s: float

    @property
    def length_s(self) -> float:
        """Seconds from start to end."""
        return self.end_s - self.start_s

    def holds(self, at_s: float | None) -> bool:
        """Whether a time is in the window."""
        return at_s is not None and self.start_s <= at_s < self.end_s


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request as a caller sends it."""

    at_s: float
    number: int
    account: AccountName
    # Which caller of the account; each keeps an assignment of its own.
    caller: int
    load: ClassLoad
    prompt_tokens: int
    # The true length of the answer, which only the target knows.
    output_tokens: int
    # Name of the shared start of the prompt; empty when there is none.
    prefix: str


def make_arrivals(
    site: Site, load: float, window: Window, burst: bool, rng: random.Random
) -> list[Arrival]:
    """All arrivals in a window, in order of time."""
    arrivals: list[Arrival] = []
    for group, of_class in site.classes():
        rate = load * group.request_rate(of_class)
        at_s = window.start_s + rng.expovariate(rate)
        while at_s < window.end_s:
            arrivals.append(_arrival(at_s, of_class, rng))
            factor = BURST_FACTOR if burst and _in_burst(at_s) else 1.0
            at_s += rng.expovariate(rate * factor)
    arrivals.sort(key=lambda arrival: arrival.at_s)
    return arrivals


def _arrival(at_s: float, load: ClassLoad, rng: random.Random) -> Arrival:
    accounts = account_names()
    index = rng.choices(range(len(accounts)), ACCOUNT_PARTS)[0]
    callers = round(SMALLEST_CALLERS * ACCOUNT_PARTS[index] / ACCOUNT_PARTS[-1])
    prefix = ""
    if load.shared_tokens:
        prefix = f"{accounts[index]}/{load.spec.name}/{rng.randrange(PREFIXES)}"
    own_tokens = load.prompt_tokens - load.shared_tokens
    return Arrival(
        at_s=at_s,
        number=rng.getrandbits(64),
        account=accounts[index],
        caller=rng.randrange(callers),
        load=load,
        prompt_tokens=load.shared_tokens + _length(own_tokens, rng),
        output_tokens=max(1, _length(load.output_tokens, rng)),
        prefix=prefix,
    )


def _length(mean: int, rng: random.Random) -> int:
    """A length spread evenly on a logarithmic scale, with the mean given."""
    log_spread = math.log(LENGTH_SPREAD)
    factor = math.exp(rng.uniform(-log_spread, log_spread))
    return round(mean * factor / MEAN_FACTOR)


def _in_burst(at_s: float) -> bool:
    return at_s % BURST_EVERY_S > BURST_EVERY_S - BURST_LENGTH_S
