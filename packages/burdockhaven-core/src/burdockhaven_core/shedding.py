"""Gives up requests: at once when that is allowed, else as soon as it is.

A request of a tier may be shed only while no member admits a lower tier of the group;
the floor says when that holds.
"""

from burdockhaven_core.actions import Drop
from burdockhaven_core.entry_state import EntryState
from burdockhaven_core.identity import RunId
from burdockhaven_core.ledger import RunState
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.outcome import NotRun, NotRunReason


def refuse(state: EntryState, run_id: RunId, refusal: NotRun, now: float) -> None:
    """Answer a request that has not been dispatched, and keep it from ever being."""
    record = state.ledger.change(run_id, state=RunState.NOT_RUN, outcome=refusal)
    _drop(state, run_id)
    state.note(
        EventNumber.REQUEST_REFUSED,
        account=record.account,
        request_class=record.spec.name,
        reason=refusal.reason.value,
    )
    state.record_result(record, refusal.reason.value, now)
    state.answer_all(run_id, refusal)


def shed(state: EntryState, run_id: RunId, refusal: NotRun, now: float) -> None:
    """Refuse a queued request for overload, as soon as lower tiers are closed."""
    group = state.group_of[run_id]
    queue = state.queue(group)
    tier = queue.requests[run_id].tier
    if state.tier_admission.can_shed(group, tier, now):
        refuse(state, run_id, refusal, now)
        return
    queue.park(run_id)
    state.doomed.setdefault(run_id, refusal)
    state.out.extend(state.tier_admission.request_shedding(group, tier, now))


def settle_doomed(state: EntryState, now: float) -> None:
    """Refuse the doomed requests whose tier may be shed by now."""
    for run_id, refusal in list(state.doomed.items()):
        shed(state, run_id, refusal, now)


def shed_overdue(state: EntryState, now: float) -> None:
    """Give up the queued requests that can no longer be in time."""
    for queue in state.queues.values():
        for request in queue.overdue(now):
            detail = "no target came free in time"
            late = NotRun(NotRunReason.EXPIRED, detail, retry_after_s(state, now))
            shed(state, request.run_id, late, now)


def retry_after_s(state: EntryState, now: float) -> float:
    """Seconds until the queues of this entry are likely to be shorter."""
    waits = [
        now - request.arrived_s
        for queue in state.queues.values()
        for request in queue.requests.values()
    ]
    return max([1.0, *waits])


def _drop(state: EntryState, run_id: RunId) -> None:
    state.doomed.pop(run_id, None)
    state.abandoned.pop(run_id, None)
    group = state.group_of.pop(run_id, None)
    if group is not None:
        state.queue(group).remove(run_id)
        state.out.append(Drop(run_id))
