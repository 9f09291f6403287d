"""Seeded plan of a run: faults in overlapping series."""

import random
from dataclasses import dataclass
from pathlib import Path

import msgspec

from burdockhaven_bench.soak.history import FaultKind

# Seconds at the start and at the end without any fault.
QUIET_S = 4.0
# Seconds between the end of unplanned faults and the next planned work: longer than the
# time after which the rules count the system as undisturbed.
SETTLE_S = 4.0
# Seconds of a phase, which has either planned work only or all faults.
PHASE_S = (12.0, 20.0)
# Seconds between the starts of two faults of a phase.
SPACING_S = (0.3, 3.5)

PLANNED = (
    FaultKind.STOP,
    FaultKind.STOP,
    FaultKind.HANGUP,
    FaultKind.CONFIGURE,
    FaultKind.CONFIGURE,
    FaultKind.TARGET_SILENT,
    FaultKind.TARGET_SILENT,
    FaultKind.TARGET_DRAIN,
    FaultKind.TARGET_ABORT,
    FaultKind.TARGET_LEAVE,
    FaultKind.TARGET_PAUSE,
    FaultKind.LINK_PIECES,
)
UNPLANNED = (
    FaultKind.FREEZE,
    FaultKind.KILL,
    FaultKind.STORE_DOWN,
    FaultKind.STORE_SLOW,
    FaultKind.STORE_DROPS_RESPONSES,
    FaultKind.LINK_RESET,
    FaultKind.LINK_SILENT,
    FaultKind.LINK_DELAY,
)
# Kinds that a plan contains only on request.
EXTRA = (FaultKind.TAINTED_PART, FaultKind.ENGINES_FULL)
# Seconds from the end of the quiet start or of a tainted part to the next one, and for
# which requests with such a part are sent.
TAINT_SPACING_S = (2.0, 5.0)
TAINT_S = (14.0, 30.0)
# Share of the requests of a route that have the part.
TAINT_SHARE = (0.2, 0.4)
# Seconds between the starts of two faults at which engines are full.
FULL_SPACING_S = (1.5, 4.0)
# Shortest and longest duration in seconds of faults that end by themselves.
DURATIONS_S = {
    FaultKind.FREEZE: (0.3, 4.0),
    FaultKind.KILL: (0.2, 2.0),
    FaultKind.STORE_DOWN: (0.5, 4.0),
    FaultKind.STORE_SLOW: (1.0, 4.0),
    FaultKind.STORE_DROPS_RESPONSES: (0.5, 3.0),
    FaultKind.TARGET_SILENT: (0.8, 1.4),
    FaultKind.TARGET_DRAIN: (2.2, 5.0),
    FaultKind.TARGET_LEAVE: (3.0, 8.0),
    FaultKind.TARGET_PAUSE: (1.5, 4.0),
    FaultKind.LINK_SILENT: (1.0, 4.0),
    FaultKind.LINK_DELAY: (0.5, 3.0),
    FaultKind.LINK_PIECES: (1.0, 5.0),
    FaultKind.ENGINES_FULL: (1.6, 2.8),
}


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault to apply."""

    kind: FaultKind
    # Seconds after the start of the traffic.
    at_s: float
    duration_s: float
    # Selects the subject among those that exist at the time, from 0 to 1.
    choice: float
    # Number of subjects; processes are stopped at once, or one by one if `in_turn`.
    count: int = 1
    in_turn: bool = False
    # Share of the requests of a route that it concerns.
    share: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """All faults of a run, in order of time."""

    seed: int
    duration_s: float
    faults: tuple[PlannedFault, ...]

    @classmethod
    def from_seed(
        cls,
        seed: int,
        duration_s: float,
        daemons: int,
        without: frozenset[FaultKind] = frozenset(),
        extra: frozenset[FaultKind] = frozenset(),
    ) -> "Plan":
        """Draw a plan; `extra` adds kinds without a change to the other faults."""
        rng = random.Random(seed)
        faults: list[PlannedFault] = []
        start_s = QUIET_S
        is_planned = True
        while start_s < duration_s - QUIET_S:
            end_s = min(start_s + rng.uniform(*PHASE_S), duration_s - QUIET_S)
            kinds = PLANNED if is_planned else PLANNED + UNPLANNED
            faults += _draw_phase(rng, kinds, start_s, end_s, daemons)
            start_s = end_s + (0.0 if is_planned else SETTLE_S)
            is_planned = not is_planned
        if FaultKind.TAINTED_PART in extra:
            faults += _draw_tainted_parts(random.Random(f"{seed}/taint"), duration_s)
        if FaultKind.ENGINES_FULL in extra:
            faults += _draw_full_engines(random.Random(f"{seed}/full"), duration_s)
        faults.sort(key=lambda fault: fault.at_s)
        kept = (fault for fault in faults if fault.kind not in without)
        return cls(seed, duration_s, tuple(kept))


def write_plan(plan: Plan, path: Path) -> None:
    """Write a plan, to play it again."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(plan)))


def read_plan(path: Path) -> Plan:
    """Read a plan; raises `msgspec.DecodeError` if it is none."""
    return msgspec.json.decode(path.read_bytes(), type=Plan)


def _draw_phase(
    rng: random.Random,
    kinds: tuple[FaultKind, ...],
    start_s: float,
    end_s: float,
    daemons: int,
) -> list[PlannedFault]:
    faults = []
    at_s = start_s
    while at_s < end_s:
        kind = rng.choice(kinds)
        low_s, high_s = DURATIONS_S.get(kind, (0.0, 0.0))
        duration_s, choice = rng.uniform(low_s, high_s), rng.random()
        count = rng.choices((1, 2, daemons), weights=(3, 3, 1))[0]
        in_turn = rng.random() < 0.5
        if kind is not FaultKind.STOP:
            count, in_turn = 1, False
        faults.append(PlannedFault(kind, at_s, duration_s, choice, count, in_turn))
        at_s += rng.uniform(*SPACING_S)
    return faults


def _draw_tainted_parts(rng: random.Random, duration_s: float) -> list[PlannedFault]:
    """Draw tainted parts one after the other, beside all other faults."""
    faults = []
    end_s = duration_s - QUIET_S
    at_s = QUIET_S + rng.uniform(*TAINT_SPACING_S)
    while at_s + TAINT_S[0] <= end_s:
        length_s = min(rng.uniform(*TAINT_S), end_s - at_s)
        share = rng.uniform(*TAINT_SHARE)
        kind, choice = FaultKind.TAINTED_PART, rng.random()
        faults.append(PlannedFault(kind, at_s, length_s, choice, share=share))
        at_s += length_s + rng.uniform(*TAINT_SPACING_S)
    return faults


def _draw_full_engines(rng: random.Random, duration_s: float) -> list[PlannedFault]:
    """Draw times at which engines are full, beside all other faults."""
    faults = []
    kind = FaultKind.ENGINES_FULL
    at_s = QUIET_S + rng.uniform(*FULL_SPACING_S)
    while at_s < duration_s - QUIET_S:
        length_s, choice = rng.uniform(*DURATIONS_S[kind]), rng.random()
        faults.append(PlannedFault(kind, at_s, length_s, choice))
        at_s += rng.uniform(*FULL_SPACING_S)
    return faults
