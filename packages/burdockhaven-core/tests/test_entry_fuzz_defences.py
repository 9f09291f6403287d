"""Mutation tests: the fuzzing and the fault matrix detect each disabled defence.

Each case disables one defence of the entry and expects the oracle to report the rule
that this breaks.
"""

import pytest
from fuzz_settings import SEARCH
from hypothesis import seed
from hypothesis.stateful import run_state_machine_as_test
from samples import SIGN_OFF
from test_entry_fuzz import EntryMachine
from test_fault_matrix import key_value_outage, restart, run_request, target_fault

from burdockhaven_bench.entry_fleet import DispatchResult
from burdockhaven_core import caller_handlers, events, run_handlers
from burdockhaven_core import entry as entry_module
from burdockhaven_core.outcome import NotRun, NotRunReason
from burdockhaven_core.run_registry import RunRegistry
from burdockhaven_core.tier_admission import AdmissionDecision, TierAdmission


def handle_event(patch, kind, handler):
    patch.setitem(entry_module.HANDLERS, kind, handler)


def retry_lost_run(patch):
    handle_event(patch, events.RunLost, run_handlers.on_run_rejected)
    original = run_handlers.on_run_rejected

    def on_run_lost(state, event, now):
        target = state.run_registry.records[event.run_id].target
        name = "" if target is None else target.name
        refused = events.RunRejected(event.run_id, name, event.detail)
        original(state, refused, now)

    handle_event(patch, events.RunLost, on_run_lost)


def report_lost_run_as_not_run(patch):
    original = run_handlers.finish_unknown

    def finish_unknown(state, record, outcome, now):
        not_run = NotRun(NotRunReason.REJECTED_BY_TARGET)
        original(state, record, not_run, now)

    patch.setattr(run_handlers, "finish_unknown", finish_unknown)


def dispatch_for_an_earlier_process(patch):
    original = caller_handlers._redirect_or_recover

    def redirect_or_recover(state, event, identified, now):
        is_same_entry = identified.assignment.entry == state.parameters.member_id.entry
        if isinstance(event, events.ResumeArrived) or not is_same_entry:
            original(state, event, identified, now)
        elif not caller_handlers._answer_duplicate(
            state, event.handle, identified.run_id
        ):
            caller_handlers._admit(state, event, identified, now)

    patch.setattr(caller_handlers, "_redirect_or_recover", redirect_or_recover)


def dispatch_for_another_entry(patch):
    original = caller_handlers._redirect_or_recover

    def redirect_or_recover(state, event, identified, now):
        if isinstance(event, events.ResumeArrived):
            original(state, event, identified, now)
        elif not caller_handlers._answer_duplicate(
            state, event.handle, identified.run_id
        ):
            caller_handlers._admit(state, event, identified, now)

    patch.setattr(caller_handlers, "_redirect_or_recover", redirect_or_recover)


def expire_records_early(patch):
    original = RunRegistry.expire_records
    patch.setattr(
        RunRegistry, "expire_records", lambda self, now: original(self, now + 55.0)
    )


def admit_every_tier(patch):
    def admission(self, group, tier, now):
        return AdmissionDecision.ADMIT

    patch.setattr(TierAdmission, "admission", admission)


def shed_without_permission(patch):
    patch.setattr(TierAdmission, "can_shed", lambda self, group, tier, now: True)


def attach_caller_to_any_run(patch):
    original = caller_handlers._answer_duplicate

    def answer_duplicate(state, handle, run_id):
        others = list(state.run_registry.records)
        return original(state, handle, others[0] if others else run_id)

    patch.setattr(caller_handlers, "_answer_duplicate", answer_duplicate)


@pytest.mark.parametrize(
    ("disable_defence", "broken_rule"),
    [
        (admit_every_tier, "was shed while"),
        (shed_without_permission, "was shed while"),
        (attach_caller_to_any_run, "another's answer"),
    ],
)
def test_fuzzing_detects_disabled_defence(disable_defence, broken_rule, monkeypatch):
    disable_defence(monkeypatch)
    machine = type("Machine", (EntryMachine,), {})
    with pytest.raises(AssertionError, match=broken_rule):
        run_state_machine_as_test(seed(1)(machine), settings=SEARCH)


@pytest.mark.parametrize(
    ("disable_defence", "step", "fault", "broken_rule"),
    [
        (
            retry_lost_run,
            "on the way",
            target_fault(DispatchResult.LOST_MIDWAY),
            "twice",
        ),
        (
            report_lost_run_as_not_run,
            "on the way",
            target_fault(DispatchResult.LOST_MIDWAY),
            "did run",
        ),
        (dispatch_for_an_earlier_process, "streaming", restart, "twice"),
        (dispatch_for_another_entry, "finished", key_value_outage, "twice"),
        (expire_records_early, "finished", key_value_outage, "twice"),
    ],
)
def test_matrix_detects_disabled_defence(
    disable_defence, step, fault, broken_rule, monkeypatch
):
    disable_defence(monkeypatch)
    with pytest.raises(AssertionError, match=broken_rule):
        run_request(step, fault, SIGN_OFF)
