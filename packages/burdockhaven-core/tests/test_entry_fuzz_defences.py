"""The fuzzing of whole entries finds each defence that is taken out."""

import pytest
from fuzz_settings import SEARCH
from hypothesis import seed
from hypothesis.stateful import run_state_machine_as_test
from samples import SIGN_OFF
from test_entry_fuzz import EntryMachine
from test_fault_matrix import fate, key_value_outage, restart, run_request

from burdockhaven_bench.entry_fleet import Fate
from burdockhaven_core import entry as entry_module
from burdockhaven_core import events, intake, runs
from burdockhaven_core.ledger import Ledger
from burdockhaven_core.outcome import NotRun, NotRunReason
from burdockhaven_core.tier_admission import AdmissionDecision, TierAdmission


def handle_event(patch, kind, handler):
    patch.setitem(entry_module.HANDLERS, kind, handler)


def send_a_lost_run_again(patch):
    handle_event(patch, events.RunLost, runs.on_run_refused)
    original = runs.on_run_refused

    def on_run_lost(state, event, now):
        target = state.ledger.records[event.run_id].target
        name = "" if target is None else target.name
        refused = events.RunRefused(event.run_id, name, event.detail)
        original(state, refused, now)

    handle_event(patch, events.RunLost, on_run_lost)


def call_a_lost_run_not_run(patch):
    original = runs.end_unknown

    def end_unknown(state, record, outcome, now):
        not_run = NotRun(NotRunReason.REFUSED_BY_TARGET)
        original(state, record, not_run, now)

    patch.setattr(runs, "end_unknown", end_unknown)


def dispatch_for_an_earlier_process(patch):
    original = intake._point_elsewhere

    def point_elsewhere(state, event, identified, now):
        is_same_entry = identified.assignment.entry == state.parameters.member_id.entry
        if isinstance(event, events.ResumeArrived) or not is_same_entry:
            original(state, event, identified, now)
        elif not intake._answer_again(state, event.handle, identified.run_id):
            intake._admit(state, event, identified, now)

    patch.setattr(intake, "_point_elsewhere", point_elsewhere)


def dispatch_for_another_entry(patch):
    original = intake._point_elsewhere

    def point_elsewhere(state, event, identified, now):
        if isinstance(event, events.ResumeArrived):
            original(state, event, identified, now)
        elif not intake._answer_again(state, event.handle, identified.run_id):
            intake._admit(state, event, identified, now)

    patch.setattr(intake, "_point_elsewhere", point_elsewhere)


def forget_records_early(patch):
    original = Ledger.forget
    patch.setattr(Ledger, "forget", lambda self, now: original(self, now + 55.0))


def admit_whatever_the_floor(patch):
    def admission(self, group, tier, now):
        return AdmissionDecision.ADMIT

    patch.setattr(TierAdmission, "admission", admission)


def shed_whatever_the_floor(patch):
    patch.setattr(TierAdmission, "can_shed", lambda self, group, tier, now: True)


def give_a_caller_any_run(patch):
    original = intake._answer_again

    def answer_again(state, handle, run_id):
        others = list(state.ledger.records)
        return original(state, handle, others[0] if others else run_id)

    patch.setattr(intake, "_answer_again", answer_again)


@pytest.mark.parametrize(
    ("take_out", "broken_rule"),
    [
        (admit_whatever_the_floor, "was shed while"),
        (shed_whatever_the_floor, "was shed while"),
        (give_a_caller_any_run, "another's answer"),
    ],
)
def test_the_fuzzing_fails_without(take_out, broken_rule, monkeypatch):
    take_out(monkeypatch)
    machine = type("Machine", (EntryMachine,), {})
    with pytest.raises(AssertionError, match=broken_rule):
        run_state_machine_as_test(seed(1)(machine), settings=SEARCH)


@pytest.mark.parametrize(
    ("take_out", "step", "fault", "broken_rule"),
    [
        (send_a_lost_run_again, "on the way", fate(Fate.LOST_MIDWAY), "twice"),
        (call_a_lost_run_not_run, "on the way", fate(Fate.LOST_MIDWAY), "did run"),
        (dispatch_for_an_earlier_process, "streaming", restart, "twice"),
        (dispatch_for_another_entry, "finished", key_value_outage, "twice"),
        (forget_records_early, "finished", key_value_outage, "twice"),
    ],
)
def test_the_matrix_fails_without(take_out, step, fault, broken_rule, monkeypatch):
    take_out(monkeypatch)
    with pytest.raises(AssertionError, match=broken_rule):
        run_request(step, fault, SIGN_OFF)
