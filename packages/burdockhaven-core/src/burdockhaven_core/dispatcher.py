"""Work-conserving dispatch of queued requests to targets.

It runs after every event that can free a slot or add a request, and goes on until no
candidate of an admitted tier has a target that is free and fast enough.
"""

import itertools

from burdockhaven_core.actions import StartRun
from burdockhaven_core.entry_state import EntryState
from burdockhaven_core.identity import GroupName
from burdockhaven_core.outcome import NotRun, NotRunReason
from burdockhaven_core.queueing import GroupQueue, QueuedRequest
from burdockhaven_core.run_registry import RunState
from burdockhaven_core.shedding import retry_after_s, shed
from burdockhaven_core.target_selection import NoTarget, Selection
from burdockhaven_core.targets import TargetState
from burdockhaven_core.tier_admission import AdmissionDecision


def dispatch_queued(state: EntryState, now: float) -> None:
    """Dispatch as many requests as possible, highest tier of each group first."""
    for group, queue in state.queues.items():
        if queue:
            _dispatch_group(state, group, queue, now)


def _dispatch_group(
    state: EntryState, group: GroupName, queue: GroupQueue, now: float
) -> None:
    targets = state.available_targets(group, now)
    for tier in queue.tiers():
        admission = state.tier_admission.admission(group, tier, now)
        if admission is AdmissionDecision.HOLD:
            continue
        if admission is AdmissionDecision.REFUSE:
            _shed_tier(state, queue, tier, now)
            continue
        if not _dispatch_tier(state, group, queue, tier, targets, now):
            return


def _shed_tier(state: EntryState, queue: GroupQueue, tier: int, now: float) -> None:
    refusal = NotRun(
        NotRunReason.OVERLOAD,
        "only higher tiers are admitted now",
        retry_after_s(state, now),
    )
    for request in list(queue.requests.values()):
        if request.tier == tier:
            shed(state, request.run_id, refusal, now)


def _dispatch_tier(
    state: EntryState,
    group: GroupName,
    queue: GroupQueue,
    tier: int,
    targets: list[TargetState],
    now: float,
) -> bool:
    """Dispatch requests of one tier; return False once every target is full."""
    while True:
        sent = False
        for request in itertools.chain(queue.heads(tier), queue.newest(tier)):
            selection = _select_target(state, request, targets, now)
            if isinstance(selection, TargetState):
                dispatch_request(state, group, queue, request, selection, now)
                sent = True
                break
            if selection is NoTarget.FULL and request.targets is None:
                return False
        if not sent:
            return True


def _select_target(
    state: EntryState,
    request: QueuedRequest,
    targets: list[TargetState],
    now: float,
) -> Selection:
    allowed = request.targets
    if allowed is not None:
        targets = [target for target in targets if target.spec.name in allowed]
    return state.select_target(request, targets, now)


def dispatch_request(
    state: EntryState,
    group: GroupName,
    queue: GroupQueue,
    request: QueuedRequest,
    target: TargetState,
    now: float,
) -> None:
    """Take one request from the queue and send it to its target."""
    run_id = request.run_id
    queue.take_for_dispatch(run_id)
    state.pending_refusals.pop(run_id, None)
    state.run_registry.update(
        run_id, state=RunState.DISPATCHED, target=target.spec, dispatched_s=now
    )
    target.runs.add(run_id)
    state.dispatched[run_id] = request
    state.actions.append(
        StartRun(
            run_id=run_id,
            target=target.spec,
            fresh_connection=request.fresh_connection,
            deadline_s=request.deadline_s,
        )
    )
