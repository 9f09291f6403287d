"""The way of a request through one entry."""

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
    RunFinished,
    RunLost,
    RunProgressed,
    RunRefused,
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


def test_a_request_is_sent_to_a_target_and_finishes():
    one = entry()
    (start,) = of_type(one.step(request(2, token(one, NOW)), NOW), StartRun)
    one.step(RunProgressed(start.run_id, 1), NOW + 1)
    one.step(RunFinished(start.run_id, 50), NOW + 2)
    record = one.state.run_registry.records[start.run_id]
    assert record.state is RunState.COMPLETED
    assert all(not t.runs for t in one.state.targets.states.values())


def test_sign_off_uses_a_fresh_connection():
    one = entry()
    event = request(2, token(one, NOW), class_name=SIGN_OFF)
    (start,) = of_type(one.step(event, NOW), StartRun)
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
    one = entry()
    fields = {"token": token(one, NOW)} | changes
    actions = one.step(request(2, **fields), NOW)
    ((handle, outcome),) = answers(actions)
    assert handle == 2
    assert outcome.reason is reason
    assert not of_type(actions, StartRun)


def test_a_refused_identity_is_never_run_later():
    one = entry()
    ticket = token(one, NOW)
    first = one.step(request(2, ticket, class_name=ClassName("later")), NOW)
    one.step(ConfigurationRead(configuration(2)), NOW)
    second = one.step(request(3, ticket, class_name=REVIEW), NOW)
    assert answers(first)[0][1] == answers(second)[0][1]
    assert not of_type(second, StartRun)


def test_duplicate_attaches_to_the_original_run():
    one = entry()
    ticket = token(one, NOW)
    (start,) = of_type(one.step(request(2, ticket), NOW), StartRun)
    again = one.step(request(3, ticket), NOW)
    assert of_type(again, AttachCaller) == [AttachCaller(3, start.run_id)]
    assert not of_type(again, StartRun)
    lost = one.step(RunLost(start.run_id, "cut"), NOW + 1)
    assert [handle for handle, _ in answers(lost)] == [2, 3]


def test_a_lost_run_is_unknown_and_not_sent_again():
    one = entry()
    ticket = token(one, NOW)
    (start,) = of_type(one.step(request(2, ticket), NOW), StartRun)
    one.step(RunLost(start.run_id, "cut"), NOW + 1)
    again = one.step(request(3, ticket), NOW + 2)
    ((_, outcome),) = answers(again)
    assert outcome.reason is UnknownReason.TARGET_LOST
    assert not of_type(again, StartRun)


def test_refused_run_is_dispatched_to_another_target():
    one = entry()
    (start,) = of_type(one.step(request(2, token(one, NOW)), NOW), StartRun)
    refused = RunRefused(start.run_id, start.target.name, "full")
    (second,) = of_type(one.step(refused, NOW), StartRun)
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
    one = entry()
    ticket = token(one, NOW)
    actions = one.step(request(2, ticket), NOW + age_s)
    ((_, outcome),) = answers(actions)
    assert outcome.reason is reason
    assert not of_type(actions, StartRun)


def test_record_is_retained_until_no_duplicate_can_run():
    one = entry()
    ticket = token(one, NOW)
    (start,) = of_type(one.step(request(2, ticket), NOW), StartRun)
    one.step(RunFinished(start.run_id, 1), NOW + 1)
    one.step(Tick(), NOW + 59)
    assert start.run_id in one.state.run_registry.records
    one.step(Tick(), NOW + 61)
    assert start.run_id not in one.state.run_registry.records


@pytest.mark.parametrize(
    ("class_name", "cancelled"), [(REVIEW, True), (SIGN_OFF, False)]
)
def test_abandoned_run_is_cancelled_only_if_idempotent(class_name, cancelled):
    one = entry()
    event = request(2, token(one, NOW), class_name=class_name)
    (start,) = of_type(one.step(event, NOW), StartRun)
    one.step(CallerDisconnected(2), NOW)
    assert not of_type(one.step(Tick(), NOW + 4), CancelRun)
    cancels = of_type(one.step(Tick(), NOW + 6), CancelRun)
    assert [cancel.run_id for cancel in cancels] == [start.run_id] * cancelled


def test_caller_that_resumes_in_time_keeps_its_run():
    one = entry()
    ticket = token(one, NOW)
    (start,) = of_type(one.step(request(2, ticket), NOW), StartRun)
    one.step(CallerDisconnected(2), NOW)
    resume = ResumeArrived(3, ticket, "k", ACCOUNT, REVIEW)
    assert of_type(one.step(resume, NOW + 1), AttachCaller) == [
        AttachCaller(3, start.run_id)
    ]
    assert not of_type(one.step(Tick(), NOW + 6), CancelRun)


def test_resume_dispatches_nothing():
    one = entry()
    resume = ResumeArrived(3, token(one, NOW), "k", ACCOUNT, REVIEW)
    ((_, outcome),) = answers(one.step(resume, NOW))
    assert outcome.reason is UnknownReason.NOT_SEEN


def test_overdue_queued_request_is_refused():
    one = entry()
    ticket = token(one, NOW)
    for number in range(4):
        one.step(request(10 + number, ticket, f"k{number}"), NOW)
    one.step(request(20, ticket, "late", deadline_ms=5_000), NOW)
    ((handle, outcome),) = answers(one.step(Tick(), NOW + 5))
    assert handle == 20
    assert outcome.reason is NotRunReason.EXPIRED
    assert outcome.retry_after_s is not None


def fill_slots(one, ticket):
    """Fill all slots, and the room beyond them that only the highest tier has."""
    return [
        of_type(
            one.step(request(10 + n, ticket, f"k{n}", class_name=name), NOW), StartRun
        )[0]
        for n, name in enumerate([REVIEW] * 4 + [LOOKUP])
    ]


def test_only_highest_tier_may_exceed_slots():
    one = entry()
    ticket = token(one, NOW)
    fill_slots(one, ticket)
    for name in (REVIEW, LOOKUP):
        assert not of_type(
            one.step(request(20, ticket, f"more {name}", class_name=name), NOW),
            StartRun,
        )


def test_higher_tier_is_dispatched_first():
    one = entry()
    ticket = token(one, NOW)
    first = fill_slots(one, ticket)
    one.step(request(20, ticket, "low"), NOW)
    one.step(request(21, ticket, "high", class_name=LOOKUP), NOW)
    (next_start,) = of_type(one.step(RunFinished(first[0].run_id, 1), NOW), StartRun)
    record = one.state.run_registry.records[next_start.run_id]
    assert record.spec.name == LOOKUP


def test_leaving_target_gets_no_dispatches():
    one = entry()
    one.step(LoadReported(TargetName("e1"), 0, 0, leaving=True), NOW)
    ticket = token(one, NOW)
    starts = [
        of_type(one.step(request(10 + n, ticket, f"k{n}"), NOW), StartRun)
        for n in range(4)
    ]
    assert [[s.target.name for s in sent] for sent in starts] == [["e2"]] * 2 + [[]] * 2


def test_drain_serves_valid_assignments_and_finishes_runs():
    one = entry()
    ticket = token(one, NOW)
    one.step(StopRequested(), NOW)
    (start,) = of_type(one.step(request(2, ticket), NOW + 1), StartRun)
    assert not of_type(one.step(Tick(), NOW + 40), Stopped)
    one.step(RunFinished(start.run_id, 1), NOW + 41)
    assert of_type(one.step(Tick(), NOW + 41), Stopped)


def test_a_request_for_another_process_is_never_run_here():
    one = entry("one", "1")
    two = entry("two", "2")
    ticket = token(two, NOW)
    actions = one.step(request(2, ticket, class_name=SIGN_OFF), NOW)
    ((_, outcome),) = answers(actions)
    assert outcome == Unknown(UnknownReason.ENTRY_LOST, "entry two is gone")
    assert not of_type(actions, StartRun)


def test_an_older_configuration_is_ignored():
    one = entry()
    one.step(ConfigurationRead(configuration(5, slots=3)), NOW)
    one.step(ConfigurationRead(configuration(4, slots=9)), NOW)
    assert one.state.configuration.version == 5


def test_an_entry_without_configuration_refuses():
    one = entry()
    ticket = token(one, NOW)
    one.state.replica.ready = False
    ((_, outcome),) = answers(one.step(request(2, ticket), NOW))
    assert isinstance(outcome, NotRun)
    assert outcome.reason is NotRunReason.UNAVAILABLE


def test_full_queue_evicts_newest_of_lowest_tier():
    one = entry(max_queue=2)
    ticket = token(one, NOW)
    for number in range(4):
        one.step(request(10 + number, ticket, f"k{number}"), NOW)
    one.step(request(20, ticket, "old"), NOW + 1)
    one.step(request(21, ticket, "new"), NOW + 2)
    actions = one.step(request(22, ticket, "high", class_name=LOOKUP), NOW + 3)
    ((handle, outcome),) = answers(actions)
    assert handle == 21
    assert outcome.reason is NotRunReason.OVERLOAD


def test_pending_refusal_does_not_block_its_account():
    one = entry()
    ticket = token(one, NOW)
    starts = fill_slots(one, ticket)
    one.state.membership.has_full_membership = False
    late = request(20, ticket, "late", class_name=LOOKUP, deadline_ms=3_000)
    one.step(late, NOW)
    one.step(request(21, ticket, "next", class_name=LOOKUP), NOW)
    ticked = one.step(Tick(), NOW + 2.9)
    assert not answers(ticked)
    finished = one.step(RunFinished(starts[0].run_id, 1), NOW + 3)
    (start,) = of_type(ticked + finished, StartRun)
    (attached,) = one.state.run_registry.handles[start.run_id]
    assert attached == 21


def test_request_waits_for_a_paused_target():
    one = entry()
    ticket = token(one, NOW)
    for target in one.state.targets.states.values():
        target.paused_until_s = NOW + 1
    assert not answers(one.step(request(2, ticket), NOW))
    assert of_type(one.step(Tick(), NOW + 1), StartRun)


def test_refused_run_that_is_then_shed_leaves_no_state():
    one = entry()
    (start,) = of_type(one.step(request(2, token(one, NOW)), NOW), StartRun)
    one.step(RunRefused(start.run_id, start.target.name, "busy"), NOW)
    one.step(RunRefused(start.run_id, TargetName("e2"), "busy"), NOW)
    late_s = NOW + 61.0
    one.step(Tick(), late_s)
    assert not one.state.dispatched
    one.step(Tick(), late_s + 1.0)
