"""Fault matrix: every fault at every step of a request, of a join and of a shutdown.

`EntryFleet` passes each dispatch and answer to the oracle. The oracle raises if a run
is dispatched twice, if a run is falsely reported as not run, if a caller gets the
answer of another request, or if a tier is shed while a lower one is admitted.
"""

import pytest
from samples import LOOKUP, REVIEW, SIGN_OFF
from test_entry_fuzz import URGENT, tiered_configuration

from burdockhaven_bench.entry_fleet import DispatchResult, EntryFleet
from burdockhaven_core.identity import TargetName

SLOTS = 3
OWNER = 0
# Seconds from the look-up to the fault, and whether the targets are full.
REQUEST_STEPS = {
    "before the look-up": (None, False),
    "on the way": (0.001, False),
    "queued": (0.3, True),
    "dispatched": (0.008, False),
    "streaming": (0.6, False),
    "finished": (1.5, False),
}
JOIN_STEPS_S = (0.0, 0.4, 2.9, 3.2, 6.5)
LEAVE_STEPS_S = (0.0, 0.6, 5.0, 31.0)


def restart(fleet, slot):
    fleet.kill(slot)
    fleet.start(slot)


def pause_past_leases(fleet, slot):
    fleet.pause(slot)
    fleet.advance(9.0)
    fleet.resume(slot)


def isolate_past_leases(fleet, slot):
    fleet.split({slot}, from_kv=True)
    fleet.advance(9.0)


def lose_messages(fleet, slot):
    fleet.loss_rate, fleet.duplication_rate, fleet.max_delay_s = 0.3, 0.3, 2.0


def key_value_outage(fleet, slot):
    fleet.set_kv(False)


def outage_and_kill(fleet, slot):
    fleet.set_kv(False)
    fleet.kill(slot)


def isolate_and_restart(fleet, slot):
    fleet.split({slot}, from_kv=True)
    restart(fleet, slot)


def disconnect_caller(fleet, slot):
    for handle in list(fleet.slot_by_handle)[-1:]:
        fleet.disconnect_caller(handle)


def target_fault(kind):
    def inject(fleet, slot):
        fleet.result_shares = {kind: 1.0}

    inject.__name__ = f"targets: {kind.value}"
    return inject


MEMBER_FAULTS = (
    EntryFleet.kill,
    restart,
    pause_past_leases,
    isolate_past_leases,
    lose_messages,
    key_value_outage,
    outage_and_kill,
    isolate_and_restart,
)
REQUEST_FAULTS = (
    *MEMBER_FAULTS,
    EntryFleet.stop,
    disconnect_caller,
    *(
        target_fault(kind)
        for kind in DispatchResult
        if kind is not DispatchResult.COMPLETED
    ),
)


def cases(steps, faults):
    return [
        pytest.param(step, fault, id=f"{step}-{fault.__name__}")
        for step in steps
        for fault in faults
    ]


def running_fleet(seed=5):
    fleet = EntryFleet(SLOTS, seed, tiered_configuration())
    fleet.advance(10.0)
    return fleet


def send_load(fleet, number=4):
    """Send requests of all tiers to all entries, more than the targets can serve."""
    for slot in range(SLOTS):
        for _ in range(number):
            for kind in (REVIEW, LOOKUP, URGENT):
                fleet.look_up_and_send(slot, kind)


def send_copies(fleet):
    """Send duplicates and resumes of the latest requests to all entries."""
    for request in fleet.assigned_requests[-6:]:
        for slot in range(SLOTS):
            fleet.send(request, slot)
            fleet.resume_request(request, slot)


def settle(fleet):
    send_copies(fleet)
    fleet.advance(4.0)
    fleet.heal()
    send_copies(fleet)
    fleet.advance(45.0)
    assert fleet.unanswered_handles() == []


def run_request(step, fault, kind):
    delay_s, is_full = REQUEST_STEPS[step]
    fleet = running_fleet()
    if is_full:
        send_load(fleet)
        fleet.advance(0.1)
    if delay_s is None:
        fault(fleet, OWNER)
        delay_s = 0.0
        fleet.look_up_and_send(OWNER, kind)
    else:
        fleet.look_up_and_send(OWNER, kind)
        fleet.advance(delay_s)
        owner = fleet.assigned_requests[-1].slot if fleet.assigned_requests else OWNER
        fault(fleet, owner)
    fleet.advance(0.5)
    settle(fleet)
    return fleet


@pytest.mark.parametrize("kind", [URGENT, SIGN_OFF])
@pytest.mark.parametrize(("step", "fault"), cases(REQUEST_STEPS, REQUEST_FAULTS))
def test_request_path_fault(step, fault, kind):
    run_request(step, fault, kind)


@pytest.mark.parametrize(("step", "fault"), cases(JOIN_STEPS_S, MEMBER_FAULTS))
@pytest.mark.parametrize("faulty_slot", [OWNER, 1], ids=["newcomer", "another"])
def test_joining_under_load(step, fault, faulty_slot):
    fleet = running_fleet()
    send_load(fleet)
    restart(fleet, OWNER)
    fleet.advance(step)
    send_load(fleet)
    fault(fleet, faulty_slot)
    send_load(fleet)
    fleet.advance(3.0)
    settle(fleet)


@pytest.mark.parametrize(("step", "fault"), cases(LEAVE_STEPS_S, MEMBER_FAULTS))
@pytest.mark.parametrize("faulty_slot", [OWNER, 1], ids=["leaver", "another"])
def test_leaving_under_load(step, fault, faulty_slot):
    fleet = running_fleet()
    send_load(fleet)
    fleet.stop(OWNER)
    fleet.advance(step)
    send_load(fleet)
    fault(fleet, faulty_slot)
    send_load(fleet)
    fleet.advance(3.0)
    settle(fleet)


def test_graceful_stop_loses_and_refuses_nothing():
    fleet = running_fleet()
    for slot in range(SLOTS):
        fleet.stop(slot)
        for _ in range(400):
            fleet.look_up_and_send(slot if slot in fleet.processes else 1, URGENT)
            fleet.advance(0.5)
            fleet.look_up_and_send((slot + 1) % SLOTS, SIGN_OFF)
            if slot not in fleet.processes:
                break
        assert slot not in fleet.processes
        fleet.start(slot)
        fleet.advance(10.0)
    fleet.advance(10.0)
    assert fleet.final_outcomes == {}
    assert fleet.unanswered_handles() == []


@pytest.mark.parametrize("reporting_slot", range(SLOTS))
@pytest.mark.parametrize("kv_up", [True, False])
def test_a_leaving_target_gets_no_new_work_after_two_seconds(reporting_slot, kv_up):
    fleet = running_fleet()
    fleet.set_kv(kv_up)
    fleet.advance(8.0)
    fleet.load_reporting_slots = {reporting_slot}
    fleet.leaving_targets_reject = False
    fleet.leaving_targets = {TargetName("e1")}
    begin_s = fleet.scheduler.now
    for _ in range(60):
        for slot in range(SLOTS):
            fleet.look_up_and_send(slot, URGENT)
        fleet.advance(0.2)
    late = [
        (at_s - begin_s, slot)
        for at_s, slot, target, _ in fleet.dispatches
        if target == "e1" and at_s > begin_s + 2.0
    ]
    assert late == []
    assert len(fleet.dispatches) > 30
