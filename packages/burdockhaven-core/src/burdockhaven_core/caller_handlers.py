"""Event handlers for callers: new requests, resumed requests, lost connections.

Each request passes a chain of filters (identify, authorise, check limits, plan), then
admission control, then enters the queue of its group. The refusal of a request with a
valid assignment to this process is recorded under its request id, so that a duplicate
receives the same answer and is never run.
"""

import dataclasses

from result import Err, Result

from burdockhaven_core.actions import AttachCaller, RecoverRun, StoreBody
from burdockhaven_core.assignment import Assignment
from burdockhaven_core.configuration import GroupKind, GroupSpec
from burdockhaven_core.entry_state import EntryState, unavailable_refusal
from burdockhaven_core.events import (
    CallerDisconnected,
    RequestArrived,
    ResumeArrived,
)
from burdockhaven_core.filters import (
    Authorised,
    Identified,
    authorise,
    check_limits,
    identify,
    plan,
)
from burdockhaven_core.identity import GroupName, RunId
from burdockhaven_core.length_prediction import LengthEstimate
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.outcome import (
    NotRun,
    NotRunReason,
    Redirect,
    Unknown,
    UnknownReason,
)
from burdockhaven_core.queueing import QueuedRequest
from burdockhaven_core.run_registry import Record, RunState
from burdockhaven_core.shedding import refuse, shed
from burdockhaven_core.wait_prediction import exceeds_wait_budget, predict_wait_s

# Retry-after hint for requests that are evicted from a full queue.
QUEUE_FULL_RETRY_AFTER_S = 2.0


def on_request(state: EntryState, event: RequestArrived, now: float) -> None:
    """Queue or refuse a new request; attach a duplicate to the original run."""
    identified = _identify_new(state, event, now)
    if identified is not None:
        _admit(state, event, identified, now)


def on_resume(state: EntryState, event: ResumeArrived, now: float) -> None:
    """Attach a caller to an earlier request; never start a run."""
    if _identify_new(state, event, now) is not None:
        not_seen = Unknown(UnknownReason.NOT_SEEN, "no such request has arrived yet")
        state.answer(event.handle, not_seen)


def _identify_new(
    state: EntryState, event: RequestArrived | ResumeArrived, now: float
) -> Identified | None:
    """Identify a new request of this process; answer all others and return None."""
    identified = _identify(state, event)
    if identified is None:
        return None
    if identified.assignment.member != state.parameters.member_id:
        _redirect_or_recover(state, event, identified, now)
        return None
    if _answer_duplicate(state, event.handle, identified.run_id):
        return None
    refusal = _expired_answer(state, identified.assignment, now)
    if refusal is not None:
        state.answer(event.handle, refusal)
        return None
    return identified


def on_caller_disconnected(
    state: EntryState, event: CallerDisconnected, now: float
) -> None:
    """Start the resume grace period of a run that has lost its last caller."""
    run_id = state.run_registry.detach(event.handle)
    if run_id is None or run_id not in state.run_registry.unfinished:
        return
    state.resume_deadlines_s[run_id] = now + state.parameters.resume_grace_s


def _answer_duplicate(state: EntryState, handle: int, run_id: RunId) -> bool:
    """Answer or attach a duplicate; return False if the request is new."""
    refused = state.run_registry.refused.get(run_id)
    if refused is not None:
        state.answer(handle, refused)
        return True
    record = state.run_registry.records.get(run_id)
    if record is None:
        return False
    if record.outcome is not None:
        state.answer(handle, record.outcome)
        return True
    state.resume_deadlines_s.pop(run_id, None)
    if record.state is not RunState.COMPLETED:
        state.run_registry.attach(run_id, handle)
    state.actions.append(AttachCaller(handle, run_id))
    return True


def _identify(
    state: EntryState, event: RequestArrived | ResumeArrived
) -> Identified | None:
    secret = state.parameters.assignment_key
    identified = identify(event.token, event.key, event.account, secret)
    if isinstance(identified, Err):
        refusal = identified.err_value
        if refusal.reason is NotRunReason.BAD_ASSIGNMENT:
            state.log_event(
                EventNumber.ASSIGNMENT_FORGED,
                account=event.account,
                detail=refusal.detail,
            )
        state.answer(event.handle, refusal)
        return None
    return identified.ok_value


def _expired_answer(
    state: EntryState, assignment: Assignment, now: float
) -> NotRun | Unknown | None:
    """Return the answer to a request without a record whose assignment has expired.

    Returns None if it has not expired. Within the retention time a record of the
    request would still exist, so the request has provably not run. After that the
    record may have been dropped, so the outcome is unknown.
    """
    age_s = state.clock_s(now) - assignment.expires_s
    if age_s >= state.parameters.record_retention_s:
        detail = "records of requests this old are no longer retained"
        return Unknown(UnknownReason.RECORD_EXPIRED, detail)
    if age_s >= 0:
        detail = "the assignment has expired; look up an entry again"
        return NotRun(NotRunReason.ASSIGNMENT_EXPIRED, detail, retry_after_s=0.0)
    return None


def _redirect_or_recover(
    state: EntryState,
    event: RequestArrived | ResumeArrived,
    identified: Identified,
    now: float,
) -> None:
    """Redirect the caller to the owner of its request, or recover the run.

    A silent owner may still be running the request, so the answer is never `NotRun`.
    Only runs on model targets can be recovered.
    """
    owner = identified.assignment.member
    view = state.membership.find_live(owner, now)
    if view is not None:
        state.answer(event.handle, Redirect(owner.entry, view.caller_address))
        return
    entry_lost = Unknown(
        UnknownReason.ENTRY_LOST, f"entry {owner.entry} is unreachable"
    )
    authorised = authorise(state.configuration, event.account, event.class_name)
    if isinstance(authorised, Err):
        state.answer(event.handle, entry_lost)
        return
    group = authorised.ok_value.group
    if group.kind is not GroupKind.MODEL:
        state.answer(event.handle, entry_lost)
        return
    state.actions.append(RecoverRun(event.handle, identified.run_id, group.targets))


def _admit(
    state: EntryState, event: RequestArrived, identified: Identified, now: float
) -> None:
    retain_until_s = _retain_until_s(state, identified)
    accepted = _authorise_and_limit(state, event)
    if isinstance(accepted, Err):
        state.run_registry.refuse(identified.run_id, accepted.err_value, retain_until_s)
        state.log_event(
            EventNumber.REQUEST_REFUSED,
            account=event.account,
            request_class=event.class_name,
            reason=accepted.err_value.reason.value,
        )
        state.answer(event.handle, accepted.err_value)
        return
    authorised = accepted.ok_value
    planned = plan(
        event,
        identified.run_id,
        authorised,
        state.non_leaving_targets(authorised.group.name, now),
        _predicted_length(state, authorised.group, event),
        now,
    )
    _add_record(state, event, identified.run_id, authorised, retain_until_s, now)
    if isinstance(planned, Err):
        refuse(state, identified.run_id, planned.err_value, now)
        return
    state.actions.append(StoreBody(event.handle, identified.run_id))
    _enqueue(state, planned.ok_value.request, authorised.group.name, now)


def _predicted_length(
    state: EntryState, group: GroupSpec, event: RequestArrived
) -> LengthEstimate:
    if group.kind is GroupKind.SERVICE:
        return state.length_predictor.predict_call_ms(event.account, event.class_name)
    limit = max(1, event.max_output_tokens)
    return state.length_predictor.predict_tokens(event.account, event.class_name, limit)


def _authorise_and_limit(
    state: EntryState, event: RequestArrived
) -> Result[Authorised, NotRun]:
    """Apply the filters that need only the configuration."""
    if not state.ready:
        return Err(unavailable_refusal("the entry accepts no requests"))
    authorised = authorise(state.configuration, event.account, event.class_name)
    if isinstance(authorised, Err):
        return authorised
    limited = check_limits(event, authorised.ok_value.spec)
    if isinstance(limited, Err):
        return limited
    return authorised


def _enqueue(
    state: EntryState, request: QueuedRequest, group: GroupName, now: float
) -> None:
    state.run_registry.update(request.run_id, deadline_s=request.deadline_s)
    state.group_by_run[request.run_id] = group
    queue = state.queue(group)
    targets = state.available_targets(group, now)
    in_flight_by_tier = state.average_in_flight.get(group, ())
    elsewhere = state.shares.queued_elsewhere(group, request.tier, now)
    top_tier = state.tier_admission.top_tiers.get(group, 0)
    if 0 < top_tier <= request.tier:
        request = dataclasses.replace(request, may_exceed_limit=True)
    wait_s = predict_wait_s(request, queue, targets, in_flight_by_tier, elsewhere)
    queue.add(request)
    if exceeds_wait_budget(request, wait_s, now):
        detail = f"the predicted wait is about {wait_s:.1f} s"
        refusal = NotRun(NotRunReason.OVERLOAD, detail, retry_after_s=wait_s)
        shed(state, request.run_id, refusal, now)
        return
    if state.queued_count() > state.parameters.max_queue:
        _evict(state, now)


def _evict(state: EntryState, now: float) -> None:
    """Evict the newest queued request of the lowest tier over all groups."""
    queues = state.queues.values()
    candidates = [queue.newest_of_lowest_tier() for queue in queues if queue]
    evictable = [request for request in candidates if request is not None]
    if not evictable:
        return
    request = min(evictable, key=lambda r: (r.tier, -r.arrived_s))
    detail = f"the queue is full: {state.parameters.max_queue} requests"
    refusal = NotRun(NotRunReason.OVERLOAD, detail, QUEUE_FULL_RETRY_AFTER_S)
    shed(state, request.run_id, refusal, now)


def _retain_until_s(state: EntryState, identified: Identified) -> float:
    expires_s = state.started_s + identified.assignment.expires_s
    return expires_s + state.parameters.record_retention_s


def _add_record(
    state: EntryState,
    event: RequestArrived,
    run_id: RunId,
    authorised: Authorised,
    retain_until_s: float,
    now: float,
) -> None:
    record = Record(
        run_id=run_id,
        account=event.account,
        spec=authorised.spec,
        state=RunState.QUEUED,
        prompt_tokens=event.prompt_tokens,
        arrived_s=now,
        deadline_s=now,
        retain_until_s=retain_until_s,
    )
    state.run_registry.add(record, event.handle)
