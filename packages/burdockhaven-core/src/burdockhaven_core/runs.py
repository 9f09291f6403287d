"""Handles what happens to the runs at the targets."""

from burdockhaven_core.configuration import GroupKind
from burdockhaven_core.entry_state import EntryState
from burdockhaven_core.events import (
    LoadReported,
    RunFinished,
    RunLost,
    RunProgressed,
    RunRefused,
)
from burdockhaven_core.identity import RunId, TargetName
from burdockhaven_core.ledger import Record, RunState
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.outcome import Unknown, UnknownReason
from burdockhaven_core.targets import REFUSAL_PAUSE_S, LoadReport, TargetState

MS_PER_S = 1_000.0
# Predicted length of a call whose class has not been seen yet.
UNSEEN_CALL_MS = 1


def on_run_refused(state: EntryState, event: RunRefused, now: float) -> None:
    """Queue the request again: the target has provably not started it."""
    record = _dispatched(state, event.run_id)
    if record is None:
        return
    request = state.dispatched.pop(event.run_id)
    target = _free_slot(state, record)
    if target is not None:
        target.paused_until_s = now + REFUSAL_PAUSE_S
    if event.leaving:
        _note_leaving(state, event.target, now)
    state.ledger.change(
        event.run_id, state=RunState.QUEUED, target=None, dispatched_s=None
    )
    state.queue(state.group_of[event.run_id]).put(request)


def on_run_progressed(state: EntryState, event: RunProgressed, now: float) -> None:
    """Learn the target's speed from the tokens of an answer."""
    record = _dispatched(state, event.run_id)
    if record is None or record.target is None or record.dispatched_s is None:
        return
    target = state.targets.states.get(record.target.name)
    if record.first_token_s is None:
        if target is not None:
            target.learn_prefill(record.prompt_tokens, now - record.dispatched_s)
        record = state.ledger.change(event.run_id, first_token_s=now)
    elif target is not None:
        target.learn_decode(event.run_id, event.tokens, now)
    if target is not None:
        target.progressed_s[event.run_id] = now
    state.ledger.change(event.run_id, output_tokens=record.output_tokens + event.tokens)


def on_run_finished(state: EntryState, event: RunFinished, now: float) -> None:
    """Record a whole answer."""
    record = _dispatched(state, event.run_id)
    if record is None:
        return
    target = _free_slot(state, record)
    if target is not None and record.dispatched_s is not None:
        _learn(state, record, target, event, now)
    record = state.ledger.change(
        event.run_id, state=RunState.WHOLE, output_tokens=event.output_tokens
    )
    state.record_result(record, "whole", now)
    _forget_run(state, event.run_id)
    state.ledger.release(event.run_id)


def _learn(
    state: EntryState,
    record: Record,
    target: TargetState,
    event: RunFinished,
    now: float,
) -> None:
    """Learn the target's speed and the length of such answers from a whole one."""
    seconds = now - (record.dispatched_s or now)
    target.learn_hold(seconds)
    group = record.spec.group
    if state.targets.kinds[group] is not GroupKind.SERVICE:
        state.lengths.learn(record.account, record.spec.name, event.output_tokens)
        return
    predicted_ms = state.dispatched[event.run_id].output_tokens
    if predicted_ms > UNSEEN_CALL_MS:
        target.learn_call(predicted_ms, seconds, now)
    part = state.targets.fastest_interval_s(group) / target.token_interval_s
    length_ms = round(seconds * MS_PER_S * part)
    state.lengths.learn(record.account, record.spec.name, length_ms)


def on_run_lost(state: EntryState, event: RunLost, now: float) -> None:
    """Tell the callers that the outcome is lost; the request is not sent again."""
    record = _dispatched(state, event.run_id)
    if record is None:
        return
    state.note(
        EventNumber.RUN_LOST,
        run_id=event.run_id,
        target=record.target.name if record.target else "",
        detail=event.detail,
    )
    end_unknown(state, record, Unknown(UnknownReason.TARGET_LOST, event.detail), now)


def end_unknown(
    state: EntryState, record: Record, outcome: Unknown, now: float
) -> None:
    """Finish a dispatched run whose outcome nobody will learn."""
    _free_slot(state, record)
    record = state.ledger.change(record.run_id, state=RunState.UNKNOWN, outcome=outcome)
    state.record_result(record, outcome.reason.value, now)
    _forget_run(state, record.run_id)
    state.answer_all(record.run_id, outcome)


def on_load_reported(state: EntryState, event: LoadReported, now: float) -> None:
    """Keep a target's own word on its load."""
    target = state.targets.states.get(event.target)
    if target is None:
        return
    target.report = LoadReport(event.running, event.waiting, now)
    if event.leaving:
        _note_leaving(state, event.target, now)
    else:
        state.membership.record_live(event.target, now)


def _note_leaving(state: EntryState, target: TargetName, now: float) -> None:
    if target not in state.membership.leaving_targets(now):
        state.note(EventNumber.TARGET_LEAVING, target=target)
    state.membership.record_leaving(target, now)


def _dispatched(state: EntryState, run_id: RunId) -> Record | None:
    record = state.ledger.records.get(run_id)
    if record is None or record.state is not RunState.DISPATCHED:
        return None
    return record


def _free_slot(state: EntryState, record: Record) -> TargetState | None:
    if record.target is None:
        return None
    target = state.targets.states.get(record.target.name)
    if target is not None:
        target.forget(record.run_id)
    return target


def _forget_run(state: EntryState, run_id: RunId) -> None:
    state.dispatched.pop(run_id, None)
    state.group_of.pop(run_id, None)
    state.abandoned.pop(run_id, None)
