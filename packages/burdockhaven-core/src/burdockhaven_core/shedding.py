"""Load shedding: refuses queued requests as soon as tier admission permits it.

A request of a tier may be shed only while no member admits a lower tier of the group.
Until tier admission confirms this, the refusal is pending and the request is parked.
"""

from burdockhaven_core.actions import DiscardBody
from burdockhaven_core.entry_state import EntryState
from burdockhaven_core.identity import RunId
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.outcome import NotRun, NotRunReason
from burdockhaven_core.run_registry import RunState


def refuse(state: EntryState, run_id: RunId, refusal: NotRun, now: float) -> None:
    """Refuse a request that has not been dispatched, and discard it."""
    record = state.run_registry.update(run_id, state=RunState.NOT_RUN, outcome=refusal)
    _discard(state, run_id)
    state.log_event(
        EventNumber.REQUEST_REFUSED,
        account=record.account,
        request_class=record.spec.name,
        reason=refusal.reason.value,
    )
    state.record_result(record, refusal.reason.value, now)
    state.answer_all(run_id, refusal)


def shed(state: EntryState, run_id: RunId, refusal: NotRun, now: float) -> None:
    """Refuse a queued request now, or once the lower tiers are closed."""
    group = state.group_by_run[run_id]
    queue = state.queue(group)
    tier = queue.requests[run_id].tier
    if state.tier_admission.can_shed(group, tier, now):
        refuse(state, run_id, refusal, now)
        return
    queue.park(run_id)
    state.pending_refusals.setdefault(run_id, refusal)
    state.actions.extend(state.tier_admission.request_shedding(group, tier, now))


def apply_pending_refusals(state: EntryState, now: float) -> None:
    """Carry out the pending refusals whose tier may now be shed."""
    for run_id, refusal in list(state.pending_refusals.items()):
        shed(state, run_id, refusal, now)


def shed_overdue(state: EntryState, now: float) -> None:
    """Shed the queued requests that can no longer meet their deadline."""
    for queue in state.queues.values():
        for request in queue.overdue(now):
            detail = "no target was available before the deadline"
            refusal = NotRun(NotRunReason.EXPIRED, detail, retry_after_s(state, now))
            shed(state, request.run_id, refusal, now)


def retry_after_s(state: EntryState, now: float) -> float:
    """Return the retry-after hint: the longest wait in the queues, at least 1 s."""
    waits = [
        now - request.arrived_s
        for queue in state.queues.values()
        for request in queue.requests.values()
    ]
    return max([1.0, *waits])


def _discard(state: EntryState, run_id: RunId) -> None:
    state.pending_refusals.pop(run_id, None)
    state.resume_deadlines_s.pop(run_id, None)
    group = state.group_by_run.pop(run_id, None)
    if group is not None:
        state.queue(group).remove(run_id)
        state.actions.append(DiscardBody(run_id))
