"""Chooses the engine for a request by predicted time to first event and pauses."""

from collections.abc import Iterable
from dataclasses import dataclass

from burdockhaven_core.scheduling.engine_load import Backlog, EngineLoad

# Fraction of the latency objective that a predicted first event may take; the rest is
# for prediction errors and the path to the client.
OBJECTIVE_FRACTION = 0.8
# Fraction of the pause objective that a predicted pause may take.
PAUSE_FRACTION = 0.9
# Cost of a first event that takes the full latency objective; a full batch costs 1.
FIRST_EVENT_WEIGHT = 0.6
# Cost of a prefill that takes the full latency objective; it pauses the whole batch.
PREFILL_WEIGHT = 3.0
# Cost of an engine in another availability zone than the member that sends the request.
ZONE_WEIGHT = 0.1
# Cost of each multiple of the nominal step time; keeps slow engines in reserve until
# the fast ones fill up.
SLOWNESS_WEIGHT = 0.05
# Safety factor for responses that are longer than expected.
LENGTH_FACTOR = 1.5
# Cost of a failure rate of 1.
FAILURE_COST_WEIGHT = 2.0


@dataclass(frozen=True, slots=True)
class PlacementConstraints:
    """Properties of a request that decide on which engines it can be placed."""

    prompt_tokens: int
    # Parts of the prompt and their tokens, in order.
    parts: tuple[tuple[str, int], ...]
    # Milliseconds until the first event becomes late; negative if it is late already.
    objective_left_ms: float
    # Longest pause in milliseconds that is on time.
    pause_objective_ms: float
    # Targets that have failed this request.
    excluded: tuple[str, ...]
    # Milliseconds until the request is abandoned.
    deadline_left_ms: float = float("inf")
    # Expected tokens of the response.
    output_tokens: int = 0
    # Availability zone of the member that sends the request; empty if unknown.
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Placement:
    """An engine for a request, with the predictions that led to it."""

    engine: EngineLoad
    prefill_tokens: int
    first_event_ms: float
    # Whether the first event is predicted to be on time.
    on_time: bool


def place(
    constraints: PlacementConstraints, engines: Iterable[EngineLoad], now: float
) -> Placement | None:
    """Return the best of the available engines; None if the request should wait.

    An engine with runs in flight is skipped if the prompt would pause their streams for
    longer than the pause objective.
    """
    best: tuple[tuple[bool, bool, float], Placement] | None = None
    for engine in engines:
        if engine.target in constraints.excluded:
            continue
        prefill_tokens = engine.prefill_tokens(
            constraints.parts, constraints.prompt_tokens
        )
        backlog = engine.backlog(now)
        if engine.runs and not _meets_pause_objective(
            engine, prefill_tokens, constraints, backlog
        ):
            continue
        first_ms = engine.first_event_ms(prefill_tokens, backlog)
        first_ms *= engine.machine.slowdown(now)
        on_time = first_ms <= OBJECTIVE_FRACTION * constraints.objective_left_ms
        found = Placement(engine, prefill_tokens, first_ms, on_time)
        rank = (
            not on_time,
            not _meets_deadline(found, constraints),
            _cost(found, constraints),
        )
        if best is None or rank < best[0]:
            best = (rank, found)
    return None if best is None else best[1]


def _meets_deadline(found: Placement, constraints: PlacementConstraints) -> bool:
    decode_ms = LENGTH_FACTOR * found.engine.decode_ms(constraints.output_tokens)
    return found.first_event_ms + decode_ms <= constraints.deadline_left_ms


def _meets_pause_objective(
    engine: EngineLoad,
    prefill_tokens: int,
    constraints: PlacementConstraints,
    backlog: Backlog,
) -> bool:
    return (
        engine.pause_ms(prefill_tokens, backlog)
        <= PAUSE_FRACTION * constraints.pause_objective_ms
    )


def _cost(found: Placement, constraints: PlacementConstraints) -> float:
    engine = found.engine
    objective_ms = max(200.0, constraints.objective_left_ms)
    occupancy = len(engine.runs) / max(1, engine.slots)
    return (
        # The square keeps requests of one session together while engines have room.
        occupancy**2
        + FIRST_EVENT_WEIGHT * found.first_event_ms / objective_ms
        + PREFILL_WEIGHT * engine.prefill_ms(found.prefill_tokens) / objective_ms
        + ZONE_WEIGHT * (engine.zone != constraints.zone)
        + SLOWNESS_WEIGHT * (engine.slowness - 1.0)
        + FAILURE_COST_WEIGHT * engine.failure_rate
    )
