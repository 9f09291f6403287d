"""Life cycle of requests in a single entry, driven event by event."""

import pytest
from samples import (
    ACCOUNT,
    LOOKUP,
    OTHER_ACCOUNT,
    READY_S,
    REVIEW,
    SIGN_OFF,
    configuration,
    entry,
    request,
    token,
)

from burdockhaven_core.actions import Answer, AttachCaller, CancelRun, StartRun, Stopped
from burdockhaven_core.events import (
    CallerDisconnected,
    ConfigurationRead,
    LoadReported,
    ResumeArrived,
    RunCompleted,
    RunLost,
    RunProgressed,
    RunRejected,
    StopRequested,
    Tick,
)
from burdockhaven_core.identity import ClassName, TargetName
from burdockhaven_core.outcome import (
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)
from burdockhaven_core.run_registry import RunState

NOW = READY_S + 1.0


def of_type(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def answers(actions):
    return [(a.handle, a.outcome) for a in of_type(actions, Answer)]


def test_request_is_dispatched_and_completes():
    node = entry()
    (start,) = of_type(node.step(request(2, token(node, NOW)), NOW), StartRun)
    node.step(RunProgressed(start.run_id, 1), NOW + 1)
    node.step(RunCompleted(start.run_id, 50), NOW + 2)
    record = node.state.run_registry.records[start.run_id]
    assert record.state is RunState.COMPLETED
    assert all(not t.runs for t in node.state.targets.states.values())


def test_sign_off_uses_a_fresh_connection():
    node = entry()
    event = request(2, token(node, NOW), class_name=SIGN_OFF)
    (start,) = of_type(node.step(event, NOW), StartRun)
    assert start.fresh_connection
    assert start.target.name == "s1"


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"token": "forged.token"}, NotRunReason.BAD_ASSIGNMENT),
        ({"key": ""}, NotRunReason.BAD_REQUEST),
        ({"key": "k" * 129}, NotRunReason.BAD_REQUEST),
        ({"account": OTHER_ACCOUNT}, NotRunReason.BAD_ASSIGNMENT),
        ({"class_name": ClassName("no such")}, NotRunReason.UNKNOWN_CLASS),
        ({"prompt_tokens": 10**6}, NotRunReason.TOO_LARGE),
        ({"max_output_tokens": 10**6}, NotRunReason.TOO_LARGE),
        ({"deadline_ms": 0}, NotRunReason.BAD_REQUEST),
        ({"deadline_ms": 10}, NotRunReason.INFEASIBLE),
    ],
)
def test_bad_requests_are_refused_with_a_reason(changes, reason):
    node = entry()
    fields = {"token": token(node, NOW)} | changes
    actions = node.step(request(2, **fields), NOW)
    ((handle, outcome),) = answers(actions)
    assert handle == 2
    assert outcome.reason is reason
    assert not of_type(actions, StartRun)


def test_refused_request_id_is_never_run():
    node = entry()
    assignment = token(node, NOW)
    first = node.step(request(2, assignment, class_name=ClassName("later")), NOW)
    node.step(ConfigurationRead(configuration(2)), NOW)
    second = node.step(request(3, assignment, class_name=REVIEW), NOW)
    assert answers(first)[0][1] == answers(second)[0][1]
    assert not of_type(second, StartRun)


def test_duplicate_attaches_to_the_original_run():
    node = entry()
    assignment = token(node, NOW)
    (start,) = of_type(node.step(request(2, assignment), NOW), StartRun)
    again = node.step(request(3, assignment), NOW)
    assert of_type(again, AttachCaller) == [AttachCaller(3, start.run_id)]
    assert not of_type(again, StartRun)
    lost = node.step(RunLost(start.run_id, "cut"), NOW + 1)
    assert [handle for handle, _ in answers(lost)] == [2, 3]


def test_lost_run_is_unknown_and_not_retried():
    node = entry()
    assignment = token(node, NOW)
    (start,) = of_type(node.step(request(2, assignment), NOW), StartRun)
    node.step(RunLost(start.run_id, "cut"), NOW + 1)
    again = node.step(request(3, assignment), NOW + 2)
    ((_, outcome),) = answers(again)
    assert outcome.reason is UnknownReason.TARGET_LOST
    assert not of_type(again, StartRun)


def test_refused_run_is_dispatched_to_another_target():
    node = entry()
    (start,) = of_type(node.step(request(2, token(node, NOW)), NOW), StartRun)
    refused = RunRejected(start.run_id, start.target.name, "full")
    (second,) = of_type(node.step(refused, NOW), StartRun)
    assert second.run_id == start.run_id
    assert second.target.name != start.target.name


@pytest.mark.parametrize(
    ("age_s", "reason"),
    [
        (31.0, NotRunReason.ASSIGNMENT_EXPIRED),
        (61.0, UnknownReason.RECORD_EXPIRED),
    ],
)
def test_expired_assignment_dispatches_nothing(age_s, reason):
    node = entry()
    assignment = token(node, NOW)
    actions = node.step(request(2, assignment), NOW + age_s)
    ((_, outcome),) = answers(actions)
    assert outcome.reason is reason
    assert not of_type(actions, StartRun)


def test_record_is_retained_until_no_duplicate_can_run():
    node = entry()
    assignment = token(node, NOW)
    (start,) = of_type(node.step(request(2, assignment), NOW), StartRun)
    node.step(RunCompleted(start.run_id, 1), NOW + 1)
    node.step(Tick(), NOW + 59)
    assert start.run_id in node.state.run_registry.records
    node.step(Tick(), NOW + 61)
    assert start.run_id not in node.state.run_registry.records


@pytest.mark.parametrize(
    ("class_name", "cancelled"), [(REVIEW, True), (SIGN_OFF, False)]
)
def test_abandoned_run_is_cancelled_only_if_idempotent(class_name, cancelled):
    node = entry()
    event = request(2, token(node, NOW), class_name=class_name)
    (start,) = of_type(node.step(event, NOW), StartRun)
    node.step(CallerDisconnected(2), NOW)
    assert not of_type(node.step(Tick(), NOW + 4), CancelRun)
    cancels = of_type(node.step(Tick(), NOW + 6), CancelRun)
    assert [cancel.run_id for cancel in cancels] == [start.run_id] * cancelled


def test_caller_that_resumes_in_time_keeps_its_run():
    node = entry()
    assignment = token(node, NOW)
    (start,) = of_type(node.step(request(2, assignment), NOW), StartRun)
    node.step(CallerDisconnected(2), NOW)
    resume = ResumeArrived(3, assignment, "k", ACCOUNT, REVIEW)
    assert of_type(node.step(resume, NOW + 1), AttachCaller) == [
        AttachCaller(3, start.run_id)
    ]
    assert not of_type(node.step(Tick(), NOW + 6), CancelRun)


def test_resume_dispatches_nothing():
    node = entry()
    resume = ResumeArrived(3, token(node, NOW), "k", ACCOUNT, REVIEW)
    ((_, outcome),) = answers(node.step(resume, NOW))
    assert outcome.reason is UnknownReason.NOT_SEEN


def test_overdue_queued_request_is_refused():
    node = entry()
    assignment = token(node, NOW)
    for number in range(4):
        node.step(request(10 + number, assignment, f"k{number}"), NOW)
    node.step(request(20, assignment, "late", deadline_ms=5_000), NOW)
    ((handle, outcome),) = answers(node.step(Tick(), NOW + 5))
    assert handle == 20
    assert outcome.reason is NotRunReason.EXPIRED
    assert outcome.retry_after_s is not None


def fill_slots(node, assignment):
    """Fill all slots and the excess that only the highest tier may use."""
    return [
        of_type(
            node.step(request(10 + n, assignment, f"k{n}", class_name=name), NOW),
            StartRun,
        )[0]
        for n, name in enumerate([REVIEW] * 4 + [LOOKUP])
    ]


def test_only_highest_tier_may_exceed_slots():
    node = entry()
    assignment = token(node, NOW)
    fill_slots(node, assignment)
    for name in (REVIEW, LOOKUP):
        assert not of_type(
            node.step(request(20, assignment, f"more {name}", class_name=name), NOW),
            StartRun,
        )


def test_higher_tier_is_dispatched_first():
    node = entry()
    assignment = token(node, NOW)
    first = fill_slots(node, assignment)
    node.step(request(20, assignment, "low"), NOW)
    node.step(request(21, assignment, "high", class_name=LOOKUP), NOW)
    (next_start,) = of_type(node.step(RunCompleted(first[0].run_id, 1), NOW), StartRun)
    record = node.state.run_registry.records[next_start.run_id]
    assert record.spec.name == LOOKUP


def test_leaving_target_gets_no_dispatches():
    node = entry()
    node.step(LoadReported(TargetName("e1"), 0, 0, leaving=True), NOW)
    assignment = token(node, NOW)
    starts = [
        of_type(node.step(request(10 + n, assignment, f"k{n}"), NOW), StartRun)
        for n in range(4)
    ]
    assert [[s.target.name for s in sent] for sent in starts] == [["e2"]] * 2 + [[]] * 2


def test_drain_serves_valid_assignments_and_finishes_runs():
    node = entry()
    assignment = token(node, NOW)
    node.step(StopRequested(), NOW)
    (start,) = of_type(node.step(request(2, assignment), NOW + 1), StartRun)
    assert not of_type(node.step(Tick(), NOW + 40), Stopped)
    node.step(RunCompleted(start.run_id, 1), NOW + 41)
    assert of_type(node.step(Tick(), NOW + 41), Stopped)


def test_a_request_for_another_process_is_never_run_here():
    node = entry("one", "1")
    other_node = entry("two", "2")
    assignment = token(other_node, NOW)
    actions = node.step(request(2, assignment, class_name=SIGN_OFF), NOW)
    ((_, outcome),) = answers(actions)
    assert outcome == Unknown(UnknownReason.ENTRY_LOST, "entry two is unreachable")
    assert not of_type(actions, StartRun)


def test_an_older_configuration_is_ignored():
    node = entry()
    node.step(ConfigurationRead(configuration(5, slots=3)), NOW)
    node.step(ConfigurationRead(configuration(4, slots=9)), NOW)
    assert node.state.configuration.version == 5


def test_an_entry_without_configuration_refuses():
    node = entry()
    assignment = token(node, NOW)
    node.state.replica.ready = False
    ((_, outcome),) = answers(node.step(request(2, assignment), NOW))
    assert isinstance(outcome, NotRun)
    assert outcome.reason is NotRunReason.UNAVAILABLE


def test_full_queue_evicts_newest_of_lowest_tier():
    node = entry(max_queue=2)
    assignment = token(node, NOW)
    for number in range(4):
        node.step(request(10 + number, assignment, f"k{number}"), NOW)
    node.step(request(20, assignment, "old"), NOW + 1)
    node.step(request(21, assignment, "new"), NOW + 2)
    actions = node.step(request(22, assignment, "high", class_name=LOOKUP), NOW + 3)
    ((handle, outcome),) = answers(actions)
    assert handle == 21
    assert outcome.reason is NotRunReason.OVERLOAD


def test_pending_refusal_does_not_block_its_account():
    node = entry()
    assignment = token(node, NOW)
    starts = fill_slots(node, assignment)
    node.state.membership.has_full_membership = False
    late = request(20, assignment, "late", class_name=LOOKUP, deadline_ms=3_000)
    node.step(late, NOW)
    node.step(request(21, assignment, "next", class_name=LOOKUP), NOW)
    ticked = node.step(Tick(), NOW + 2.9)
    assert not answers(ticked)
    finished = node.step(RunCompleted(starts[0].run_id, 1), NOW + 3)
    (start,) = of_type(ticked + finished, StartRun)
    (attached,) = node.state.run_registry.handles[start.run_id]
    assert attached == 21


def test_request_waits_for_a_paused_target():
    node = entry()
    assignment = token(node, NOW)
    for target in node.state.targets.states.values():
        target.paused_until_s = NOW + 1
    assert not answers(node.step(request(2, assignment), NOW))
    assert of_type(node.step(Tick(), NOW + 1), StartRun)


def test_refused_run_that_is_then_shed_leaves_no_state():
    node = entry()
    (start,) = of_type(node.step(request(2, token(node, NOW)), NOW), StartRun)
    node.step(RunRejected(start.run_id, start.target.name, "busy"), NOW)
    node.step(RunRejected(start.run_id, TargetName("e2"), "busy"), NOW)
    late_s = NOW + 61.0
    node.step(Tick(), late_s)
    assert not node.state.dispatched
    node.step(Tick(), late_s + 1.0)
