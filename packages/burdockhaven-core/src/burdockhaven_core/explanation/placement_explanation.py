"""Explains what a broker would decide on a placement request now, and why.

The decision is the broker's own (`Broker.decide`), so that the explanation agrees with
the next real placement as long as nothing changes in between.
"""

import enum

import msgspec

from burdockhaven_core.scheduling.broker import Broker, Decision
from burdockhaven_core.scheduling.engine_load import EngineLoad
from burdockhaven_core.scheduling.peer_messages import PlacementRequest
from burdockhaven_core.scheduling.queue_order import QueuedRequest


class CandidateState(enum.StrEnum):
    """Whether an engine may get the request now, or the first reason against it."""

    CHOSEN = "chosen"
    POSSIBLE = "possible"
    EXCLUDED = "excluded: has failed the request"
    OTHER_VERSION = "another software version"
    EJECTED = "ejected after failures"
    STALLED = "stalled: a first event is overdue"
    FULL = "no free slot"
    PACED = "paced after its start or recovery"
    OVER_LIMIT = "at the rate that it has named"
    NO_MEMORY = "no memory for the request"
    PAUSES_STREAMS = "its streams would pause for too long"


class Candidate(msgspec.Struct, frozen=True):
    """One engine of the service."""

    target: str
    state: CandidateState
    runs: int
    slots: int
    # Tokens of the prompt that it would have to prefill.
    prefill_tokens: int
    # Predicted milliseconds to the first event.
    first_event_ms: int
    # Time of a decoding step relative to the median engine.
    slowness: float


class PlacementExplanation(msgspec.Struct, frozen=True):
    """What a broker would decide, and what speaks for it."""

    # Node of the member whose broker decides.
    broker: str
    # "granted", "queued" or "refused", and why.
    verdict: str
    reason: str
    # Empty unless granted.
    target: str
    # Queued requests of the service that would go ahead, and predicted seconds to wait.
    queued_ahead: int
    wait_s: float
    # Fraction of its quota that the account has used; None without a quota.
    quota_used: float | None
    candidates: tuple[Candidate, ...]


def explain_placement(
    broker: Broker, request: PlacementRequest, node: str, now: float
) -> PlacementExplanation:
    """Return what the broker would decide on a request; changes nothing."""
    queued = QueuedRequest.from_request(
        request,
        was_refused=False,
        now=now,
        is_overdrawn=broker.is_overdrawn(request, now),
    )
    part = broker.quarantined_part(request, now)
    over_quota_s = broker.over_quota_wait_s(request, now)
    if part:
        decision = Decision(is_refused=True)
        reason = f"engines end beneath part {part} of its prompt"
    elif over_quota_s is not None:
        decision = Decision(is_refused=True, wait_s=over_quota_s)
        reason = "the account's quota is used up"
    else:
        decision = broker.decide(queued, now)
        reason = _reason(decision)
    found = decision.found
    verdict = "queued"
    if found is not None:
        verdict = "granted"
    elif decision.is_refused:
        verdict = "refused"
    return PlacementExplanation(
        broker=node,
        verdict=verdict,
        reason=reason,
        target="" if found is None else found.engine.target,
        queued_ahead=decision.count_ahead,
        wait_s=round(decision.wait_s, 3),
        quota_used=_quota_used(broker, request, now),
        candidates=tuple(
            _candidate(broker, queued, engine, decision, now)
            for engine in broker.runs.open_engines(request.service)
        ),
    )


def _reason(decision: Decision) -> str:
    if decision.found is not None:
        when = "on time" if decision.found.on_time else "late"
        return f"best of the engines that may get it; first event {when}"
    if decision.is_too_large:
        return "no engine has the memory for it"
    if decision.is_refused:
        return "no engine is expected to be free in time"
    if decision.is_held:
        return "another request shows first whether its prompt ends engines"
    return "waits for an engine, in the order of the queue"


def _quota_used(broker: Broker, request: PlacementRequest, now: float) -> float | None:
    account = broker.accounts.get(request.account)
    if account is None or account.rate_per_s <= 0:
        return None
    return round(broker.quotas.used(account, now) / broker.quotas.limit(account), 3)


def _candidate(
    broker: Broker,
    queued: QueuedRequest,
    engine: EngineLoad,
    decision: Decision,
    now: float,
) -> Candidate:
    request = queued.request
    prefill_tokens = engine.prefill_tokens(request.parts, request.prompt_tokens)
    first_ms = engine.first_event_ms(prefill_tokens, engine.backlog(now))
    return Candidate(
        target=engine.target,
        state=_state(broker, queued, engine, decision, now),
        runs=len(engine.runs),
        slots=engine.slots,
        prefill_tokens=prefill_tokens,
        first_event_ms=round(first_ms * engine.machine.slowdown(now)),
        slowness=round(engine.slowness, 2),
    )


def _state(
    broker: Broker,
    queued: QueuedRequest,
    engine: EngineLoad,
    decision: Decision,
    now: float,
) -> CandidateState:
    request = queued.request
    if decision.found is not None and decision.found.engine is engine:
        return CandidateState.CHOSEN
    if engine.target in queued.unavailable(now):
        return CandidateState.EXCLUDED
    if request.software_version not in ("", engine.software_version):
        return CandidateState.OTHER_VERSION
    if engine.ejected_until_s > now:
        return CandidateState.EJECTED
    if engine.is_stalled(now):
        return CandidateState.STALLED
    if len(engine.runs) >= engine.slots:
        return CandidateState.FULL
    if engine.free_slots() <= 0:
        return CandidateState.PACED
    if not broker.limiters.admits(engine.target, now):
        return CandidateState.OVER_LIMIT
    if not broker.has_memory(engine, request):
        return CandidateState.NO_MEMORY
    if broker.find_placement(queued, [engine], now) is None:
        return CandidateState.PAUSES_STREAMS
    return CandidateState.POSSIBLE
