"""Event handlers for targets: progress and outcome of runs, load reports."""

from burdockhaven_core.configuration import GroupKind
from burdockhaven_core.entry_state import EntryState
from burdockhaven_core.events import (
    LoadReported,
    RunCompleted,
    RunLost,
    RunProgressed,
    RunRejected,
)
from burdockhaven_core.identity import RunId, TargetName
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.outcome import Unknown, UnknownReason
from burdockhaven_core.run_registry import Record, RunState
from burdockhaven_core.targets import REJECTION_BACKOFF_S, LoadReport, TargetState

MS_PER_S = 1_000.0
# Predicted length of a call whose class has no samples yet.
DEFAULT_CALL_MS = 1


def on_run_rejected(state: EntryState, event: RunRejected, now: float) -> None:
    """Return the request to the queue: the target has provably not started it."""
    record = _dispatched_record(state, event.run_id)
    if record is None:
        return
    request = state.dispatched.pop(event.run_id)
    target = _release_slot(state, record)
    if target is not None:
        target.paused_until_s = now + REJECTION_BACKOFF_S
    if event.leaving:
        _mark_leaving(state, event.target, now)
    state.run_registry.update(
        event.run_id, state=RunState.QUEUED, target=None, dispatched_s=None
    )
    state.queue(state.group_by_run[event.run_id]).add(request)


def on_run_progressed(state: EntryState, event: RunProgressed, now: float) -> None:
    """Update the target's measured speed and the record of the run."""
    record = _dispatched_record(state, event.run_id)
    if record is None or record.target is None or record.dispatched_s is None:
        return
    target = state.targets.states.get(record.target.name)
    if record.first_token_s is None:
        if target is not None:
            target.observe_prefill(record.prompt_tokens, now - record.dispatched_s)
        record = state.run_registry.update(event.run_id, first_token_s=now)
    elif target is not None:
        target.observe_decode(event.run_id, event.tokens, now)
    if target is not None:
        target.last_token_s[event.run_id] = now
    state.run_registry.update(
        event.run_id, output_tokens=record.output_tokens + event.tokens
    )


def on_run_completed(state: EntryState, event: RunCompleted, now: float) -> None:
    """Record a completed answer."""
    record = _dispatched_record(state, event.run_id)
    if record is None:
        return
    target = _release_slot(state, record)
    if target is not None and record.dispatched_s is not None:
        _observe_completed_run(state, record, target, event, now)
    record = state.run_registry.update(
        event.run_id, state=RunState.COMPLETED, output_tokens=event.output_tokens
    )
    state.record_result(record, "whole", now)
    _discard_run_state(state, event.run_id)
    state.run_registry.detach_all(event.run_id)


def _observe_completed_run(
    state: EntryState,
    record: Record,
    target: TargetState,
    event: RunCompleted,
    now: float,
) -> None:
    """Update the measured speed and the length prediction from a completed run."""
    seconds = now - (record.dispatched_s or now)
    target.observe_run_duration(seconds)
    group = record.spec.group
    if state.targets.kinds[group] is not GroupKind.SERVICE:
        state.length_predictor.observe(
            record.account, record.spec.name, event.output_tokens
        )
        return
    predicted_ms = state.dispatched[event.run_id].output_tokens
    if predicted_ms > DEFAULT_CALL_MS:
        target.observe_call(predicted_ms, seconds, now)
    speed_ratio = state.targets.fastest_interval_s(group) / target.token_interval_s
    length_ms = round(seconds * MS_PER_S * speed_ratio)
    state.length_predictor.observe(record.account, record.spec.name, length_ms)


def on_run_lost(state: EntryState, event: RunLost, now: float) -> None:
    """Answer the callers with an unknown outcome; a lost run is never retried."""
    record = _dispatched_record(state, event.run_id)
    if record is None:
        return
    state.log_event(
        EventNumber.RUN_LOST,
        run_id=event.run_id,
        target=record.target.name if record.target else "",
        detail=event.detail,
    )
    finish_unknown(state, record, Unknown(UnknownReason.TARGET_LOST, event.detail), now)


def finish_unknown(
    state: EntryState, record: Record, outcome: Unknown, now: float
) -> None:
    """Finish a dispatched run whose outcome cannot be determined."""
    _release_slot(state, record)
    record = state.run_registry.update(
        record.run_id, state=RunState.UNKNOWN, outcome=outcome
    )
    state.record_result(record, outcome.reason.value, now)
    _discard_run_state(state, record.run_id)
    state.answer_all(record.run_id, outcome)


def on_load_reported(state: EntryState, event: LoadReported, now: float) -> None:
    """Store the load that a target reports, and whether it is leaving."""
    target = state.targets.states.get(event.target)
    if target is None:
        return
    target.report = LoadReport(event.running, event.waiting, now)
    if event.leaving:
        _mark_leaving(state, event.target, now)
    else:
        state.membership.record_live(event.target, now)


def _mark_leaving(state: EntryState, target: TargetName, now: float) -> None:
    if target not in state.membership.leaving_targets(now):
        state.log_event(EventNumber.TARGET_LEAVING, target=target)
    state.membership.record_leaving(target, now)


def _dispatched_record(state: EntryState, run_id: RunId) -> Record | None:
    record = state.run_registry.records.get(run_id)
    if record is None or record.state is not RunState.DISPATCHED:
        return None
    return record


def _release_slot(state: EntryState, record: Record) -> TargetState | None:
    if record.target is None:
        return None
    target = state.targets.states.get(record.target.name)
    if target is not None:
        target.release_slot(record.run_id)
    return target


def _discard_run_state(state: EntryState, run_id: RunId) -> None:
    state.dispatched.pop(run_id, None)
    state.group_by_run.pop(run_id, None)
    state.resume_deadlines_s.pop(run_id, None)
