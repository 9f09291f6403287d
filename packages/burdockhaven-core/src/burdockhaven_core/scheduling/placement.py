"""Chooses the engine of a request by its predicted first event and pauses."""

from collections.abc import Iterable
from dataclasses import dataclass

from burdockhaven_core.scheduling.engine_load import EngineLoad

# Part of the objective that a predicted first event may take; the rest is for errors of
# the prediction and the way to the client.
OBJECTIVE_PART = 0.8
# Part of the allowed pause that a predicted pause may take.
PAUSE_PART = 0.9
# How much a full batch weighs against a first event that takes the whole objective.
FIRST_EVENT_WEIGHT = 0.6
# What each multiple of the ordinary step time adds; keeps slow engines for the time
# when the fast ones fill.
SLOWNESS_WEIGHT = 0.05
# An answer may be so many times longer than expected.
LENGTH_FACTOR = 1.5
# What a failure rate of one adds.
FAILURE_WEIGHT = 2.0


@dataclass(frozen=True, slots=True)
class PlacementNeed:
    """What decides where a request can go."""

    prompt_tokens: int
    # Parts of the prompt and their tokens, in order.
    parts: tuple[tuple[str, int], ...]
    # Milliseconds until the first event is late; negative if it is late already.
    objective_left_ms: float
    # Longest pause in milliseconds that is on time.
    gap_objective_ms: float
    # Targets that have failed this request.
    excluded: tuple[str, ...]
    # Milliseconds until the request is given up.
    deadline_left_ms: float = float("inf")
    # Tokens that the answer is expected to have.
    output_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Placement:
    """An engine for a request."""

    engine: EngineLoad
    unread_tokens: int
    first_event_ms: float
    # Whether the first event is predicted to be on time.
    on_time: bool


def place(
    need: PlacementNeed, engines: Iterable[EngineLoad], now: float
) -> Placement | None:
    """The best of the engines that take work; None if the request should wait.

    An engine on which the prompt would hold up the streams of others for too long is
    taken only by a request that finds no other one at all.
    """
    best: tuple[tuple[bool, bool, float], Placement] | None = None
    for engine in engines:
        if engine.target in need.excluded:
            continue
        unread = engine.unread(need.parts, need.prompt_tokens)
        first_ms = engine.first_event_ms(unread, now)
        on_time = first_ms <= OBJECTIVE_PART * need.objective_left_ms
        if engine.runs and not _spares_others(engine, unread, need, now):
            continue
        found = Placement(engine, unread, first_ms, on_time)
        rank = (not on_time, not _ends_in_time(found, need), _cost(found, need))
        if best is None or rank < best[0]:
            best = (rank, found)
    return None if best is None else best[1]


def _ends_in_time(found: Placement, need: PlacementNeed) -> bool:
    run_ms = LENGTH_FACTOR * found.engine.run_ms(need.output_tokens)
    return found.first_event_ms + run_ms <= need.deadline_left_ms


def _spares_others(
    engine: EngineLoad, unread: int, need: PlacementNeed, now: float
) -> bool:
    return engine.pause_ms(unread, now) <= PAUSE_PART * need.gap_objective_ms


def _cost(found: Placement, need: PlacementNeed) -> float:
    engine = found.engine
    objective_ms = max(200.0, need.objective_left_ms)
    occupancy = len(engine.runs) / max(1, engine.slots)
    return (
        occupancy
        + FIRST_EVENT_WEIGHT * found.first_event_ms / objective_ms
        + SLOWNESS_WEIGHT * (engine.slowness - 1.0)
        + FAILURE_WEIGHT * engine.failures
    )
