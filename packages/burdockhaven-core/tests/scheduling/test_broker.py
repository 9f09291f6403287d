import sys
from collections import Counter

import pytest
from scheduling_samples import ENGINES, ME, account, placement_request, table, target

from burdockhaven_core.scheduling.broker import (
    MAX_GRANT_ATTEMPTS,
    Broker,
    RouteCounts,
)
from burdockhaven_core.scheduling.crash_attribution import QUARANTINE_ENDS
from burdockhaven_core.scheduling.peer_messages import (
    AccusedPartNotice,
    BrokenPrompt,
    MemberId,
    PausedTarget,
    RunEnd,
    RunProgress,
    RunReport,
    RunState,
    RunUpdate,
    Verdict,
)
from burdockhaven_core.scheduling.quotas import QuotaRule
from burdockhaven_core.scheduling.run_tracker import GRANT_SETTLE_S
from burdockhaven_core.scheduling.served_shares import GUARANTEED_RATIO


def make_broker(targets=("i-1", "i-2"), accounts=(), slots=2):
    broker = Broker(QuotaRule(8.0, 0.0))
    broker.set_table(table(accounts=accounts, slots=slots))
    entries = {name: target(name, slots=slots) for name in targets}
    broker.set_targets(entries, set())
    return broker


def ended(number, end=RunEnd.COMPLETED, sender=ME):
    return RunProgress(sender, (RunUpdate(number, end),))


def test_requests_queue_once_all_slots_are_taken():
    broker = make_broker()
    verdicts = [broker.submit(placement_request(n), 0.0).verdict for n in range(5)]
    assert verdicts == [Verdict.GRANTED] * 4 + [Verdict.QUEUED]
    assert broker.grant_queued(0.1) == []
    broker.apply_progress(ended(0), 0.2)
    (answered,) = broker.grant_queued(0.2)
    assert answered.reply.number == 4
    assert answered.reply.verdict is Verdict.GRANTED


def test_resubmitted_request_gets_the_same_grant():
    broker = make_broker()
    first = broker.submit(placement_request(1), 0.0)
    again = broker.submit(placement_request(1), 0.1)
    assert (again.verdict, again.target) == (first.verdict, first.target)
    assert len(broker.runs.granted) == 1


def test_urgent_priority_goes_first_and_retries_precede_new_requests():
    broker = make_broker(targets=("i-1",), slots=1)
    broker.submit(placement_request(1), 0.0)
    broker.submit(placement_request(2, priority=1), 0.1)
    broker.submit(placement_request(3, priority=0), 0.2)
    broker.submit(placement_request(4, priority=0, is_retry=True), 0.3)
    order = []
    for last in (1, 4, 3):
        broker.apply_progress(ended(last), 0.5)
        order += [a.reply.number for a in broker.grant_queued(0.5)]
    assert order == [4, 3, 2]


def test_late_requests_wait_behind_those_that_can_be_on_time():
    broker = make_broker(targets=("i-1",), slots=1)
    broker.submit(placement_request(1), 0.0)
    broker.submit(placement_request(2, objective_ms=-1), 0.1)
    broker.submit(placement_request(3), 0.2)
    broker.apply_progress(ended(1), 0.3)
    assert [a.reply.number for a in broker.grant_queued(0.3)] == [3]


def test_infeasible_request_is_refused_immediately():
    broker = make_broker(targets=("i-1",), slots=1)
    broker.submit(placement_request(1), 0.0)
    reply = broker.submit(placement_request(2, deadline_ms=300), 0.0)
    assert reply.verdict is Verdict.OVERLOADED
    assert reply.retry_after_ms >= 300


def test_queued_request_is_refused_when_it_becomes_infeasible():
    broker = make_broker(targets=("i-1",), slots=1)
    broker.costs.costs = {"r": 1.0}
    broker.submit(placement_request(1), 0.0)
    broker.submit(placement_request(2, deadline_ms=6_500), 0.0)
    assert broker.grant_queued(0.3) == broker.refuse_infeasible(0.3) == []
    (answered,) = broker.refuse_infeasible(6.4)
    assert answered.reply.verdict is Verdict.OVERLOADED
    assert broker.queue == {}


def test_exceeded_quota_is_refused_with_retry_after():
    acme = account(rate_per_s=200.0)
    broker = make_broker(accounts=(acme,))
    request = {"account": "acme", "prompt_tokens": 1_000, "output_tokens": 500}
    assert (
        broker.submit(placement_request(1, **request), 0.0).verdict is Verdict.GRANTED
    )
    broker.quotas.record_usage(ME, [("acme", 1_500)], 0.2)
    reply = broker.submit(placement_request(2, **request), 1.0)
    assert reply.verdict is Verdict.OVER_QUOTA
    assert reply.retry_after_ms > 0
    broker.quotas.record_usage(ME, [], 8.5)
    assert (
        broker.submit(placement_request(3, **request), 8.6).verdict
        is not Verdict.OVER_QUOTA
    )


def test_new_broker_rebuilds_runs_from_member_reports():
    broker = make_broker(targets=("i-1",), slots=2)
    runs = (RunState(7, "i-1", 500, 100, True), RunState(8, "i-1", 500, 50, False))
    broker.apply_report(RunReport(ME, runs, ()), 1.0)
    assert broker.submit(placement_request(9), 1.0).verdict is Verdict.QUEUED
    broker.apply_progress(ended(7), 1.1)
    assert [a.reply.number for a in broker.grant_queued(1.1)] == [9]


def test_report_corrects_a_lost_grant_or_completion():
    broker = make_broker(targets=("i-1",), slots=1)
    broker.submit(placement_request(1), 0.0)
    broker.apply_report(RunReport(ME, (), (1,)), 0.1)
    assert len(broker.runs.granted) == 1
    broker.apply_report(RunReport(ME, (), ()), GRANT_SETTLE_S + 0.1)
    assert broker.runs.granted == {}


@pytest.mark.parametrize("incarnation", [1, 2])
def test_runs_of_an_earlier_incarnation_are_discarded(incarnation):
    broker = make_broker(targets=("i-1",), slots=1)
    broker.submit(placement_request(1), 0.0)
    broker.apply_report(RunReport(MemberId(ME.node, incarnation), (), ()), 0.1)
    assert bool(broker.runs.granted) is (incarnation == ME.incarnation)


def test_unreachable_target_is_ejected_temporarily():
    broker = make_broker(targets=("i-1", "i-2"), slots=4)
    first = broker.submit(placement_request(1), 0.0).target
    broker.apply_progress(ended(1, RunEnd.UNREACHABLE), 0.1)
    assert {broker.submit(placement_request(n), 0.1).target for n in (2, 3)} == {
        "i-1",
        "i-2",
    } - {first}


def test_stalled_target_gets_no_new_requests():
    broker = make_broker(targets=("i-1", "i-2"), slots=4)
    stalled = broker.submit(placement_request(1), 0.0).target
    assert broker.submit(placement_request(2), 5.0).target != stalled


def test_cancelled_request_frees_its_slot():
    broker = make_broker(targets=("i-1",), slots=1)
    broker.submit(placement_request(1), 0.0)
    broker.submit(placement_request(2), 0.0)
    broker.cancel_placement(ME, 1, 0.1)
    assert [a.reply.number for a in broker.grant_queued(0.1)] == [2]


def test_leaving_targets_are_excluded_from_placement_and_capacity():
    broker = make_broker(targets=("i-1",), slots=1)
    broker.set_targets({"i-1": target("i-1", draining=True)}, set())
    assert broker.submit(placement_request(1), 0.0).verdict is Verdict.QUEUED
    assert ENGINES not in broker.runs.open_by_service


def test_run_reported_at_another_target_frees_the_granted_slot():
    """If the slot stayed granted, its engine would count as stalled permanently."""
    broker = make_broker(targets=("i-1", "i-2"), slots=1)
    granted = broker.submit(placement_request(1), 0.0).target
    (other,) = {"i-1", "i-2"} - {granted}
    broker.apply_report(RunReport(ME, (RunState(1, other, 1_000, 10, True),), ()), 0.1)
    assert broker.runs.engines[granted].runs == {}
    assert broker.submit(placement_request(2), 5.0).target == granted


def test_runs_of_an_absent_member_are_released():
    broker = make_broker(targets=("i-1",), slots=1)
    broker.submit(placement_request(1, sender=MemberId("entry-9", 9)), 0.0)
    broker.discard_absent({ME.node}, 0.1)
    assert broker.submit(placement_request(2), 0.1).verdict is Verdict.GRANTED


def broker_with_late_request():
    """Return a broker whose four slots are taken, and the number of a late request."""
    broker = make_broker(targets=("i-1",), slots=4)
    broker.costs.costs = {"r": 1.0}
    for number in range(10, 14):
        broker.submit(placement_request(number), 0.0)
    late = {"objective_ms": -1, "deadline_ms": 8_000, "client_timeout_ms": 8_000}
    assert broker.submit(placement_request(1, **late), 0.0).verdict is Verdict.QUEUED
    return broker, 1


def test_late_request_is_refused_while_new_requests_take_all_capacity():
    """New requests go ahead of a late one, so it would wait past its client timeout."""
    broker, late = broker_with_late_request()
    for tick in range(25):
        new = placement_request(100 + tick, objective_ms=9_000)
        broker.submit(new, 4.0 * tick / 25)
    refused = [answered.reply.number for answered in broker.refuse_infeasible(4.0)]
    assert refused == [late]


def test_late_request_survives_a_short_burst_of_new_requests():
    """Capacity is free again before its client timeout."""
    broker, _ = broker_with_late_request()
    for number in range(2, 8):
        broker.submit(placement_request(number, objective_ms=9_000), 0.1)
    assert broker.refuse_infeasible(0.2) == []


def test_request_is_queued_until_the_engines_are_known():
    """After a restart of all members, clients arrive before the engines are read."""
    broker = make_broker(targets=())
    assert broker.submit(placement_request(1), 0.0).verdict is Verdict.QUEUED
    assert broker.refuse_infeasible(0.1) == []
    broker.set_targets({"i-1": target("i-1", slots=4)}, set())
    assert [a.reply.number for a in broker.grant_queued(0.2)] == [1]


def test_targets_known_before_the_configuration_get_its_limits():
    """With the default limits, each event of a stream would count as one token."""
    broker = Broker(QuotaRule(8.0, 0.0))
    entries = {"i-1": target("i-1", slots=2)}
    broker.set_targets(entries, set())
    broker.set_table(table(slots=2))
    broker.set_targets(entries, set())
    assert broker.runs.speeds[ENGINES].tokens_per_event == 6
    assert broker.runs.engines["i-1"].cache_tokens == 800_000


def test_request_is_refused_if_its_client_would_time_out_in_the_queue():
    """The request would otherwise stay queued until its client has disconnected."""
    broker = make_broker(targets=("i-1",), slots=1)
    broker.costs.costs = {"r": 4.0}
    broker.submit(placement_request(1), 0.0)
    reply = broker.submit(placement_request(2, client_timeout_ms=2_400), 0.0)
    assert reply.verdict is Verdict.OVERLOADED


def test_grant_includes_the_target_address():
    assert make_broker().submit(placement_request(1), 0.0).address == "10.0.0.1:80"


def test_route_priority_orders_requests_of_equal_account_priority():
    """Account priority alone would not separate urgent routes from the others."""
    broker = make_broker(targets=("i-1",), slots=1)
    broker.submit(placement_request(1, priority=1), 0.0)
    broker.submit(placement_request(2, priority=1, route_priority=2), 0.1)
    broker.submit(placement_request(3, priority=1, route_priority=0), 0.2)
    broker.apply_progress(ended(1), 0.3)
    assert [a.reply.number for a in broker.grant_queued(0.3)] == [3]


def test_stale_reports_do_not_mark_an_engine_stalled():
    """Runs whose member reports to another broker are never updated here.

    A fallback broker that keeps them would consider every engine stalled.
    """
    broker = make_broker(targets=("i-1",), slots=4)
    broker.apply_report(RunReport(ME, (RunState(1, "i-1", 500, 10, False),), ()), 0.0)
    broker.discard_absent({ME.node}, 5.0)
    assert broker.submit(placement_request(2), 5.0).verdict is Verdict.GRANTED


def test_cost_of_routes_does_not_change_their_order():
    """The measured cost changes with the load; routes would change places."""
    broker = make_broker(targets=("i-1",), slots=1)
    broker.costs.costs = {"review": 1.2, "summary": 0.9, "triage": 0.13}
    broker.submit(placement_request(1, route="review"), 0.0)
    broker.submit(placement_request(2, route="summary", route_priority=1), 0.1)
    broker.submit(placement_request(3, route="triage", route_priority=2), 0.1)
    broker.submit(placement_request(4, route="review", route_priority=0), 0.1)
    order = []
    for last in (1, 4, 2):
        broker.apply_progress(ended(last), 0.3)
        order += [a.reply.number for a in broker.grant_queued(0.3)]
    assert order == [4, 2, 3]


def test_account_priority_outranks_route_cost():
    broker = make_broker(targets=("i-1",), slots=1)
    broker.costs.costs = {"r": 1.0, "long": 0.5, "short": 0.1}
    broker.submit(placement_request(1), 0.0)
    broker.submit(placement_request(2, route="short", priority=1), 0.1)
    broker.submit(placement_request(3, route="long", priority=0, route_priority=2), 0.1)
    broker.apply_progress(ended(1), 0.3)
    assert [a.reply.number for a in broker.grant_queued(0.3)] == [3]


def test_route_cost_is_normalized_by_engine_speed():
    broker = make_broker(targets=("i-1",), slots=1)
    speed = broker.runs.speeds[ENGINES]
    speed.step_ms_by_engine["i-1"] = 2.0 * speed.nominal_step_ms
    broker.submit(placement_request(1, route="review"), 0.0)
    broker.apply_progress(ended(1), 3.0)
    assert broker.costs.average_s("review") == pytest.approx(1.5)


def test_refused_client_precedes_late_new_requests_on_retry():
    """The broker records refusals, because clients retry at another member."""
    broker = make_broker(targets=("i-1",), slots=1)
    broker.costs.costs = {"r": 1.0}
    broker.submit(placement_request(1), 0.0)
    refused = broker.submit(placement_request(2, client_timeout_ms=300, digest=77), 0.1)
    assert refused.verdict is Verdict.OVERLOADED
    broker.submit(placement_request(3, objective_ms=-100), 0.2)
    other = MemberId("entry-5", 5)
    broker.submit(placement_request(1, sender=other, objective_ms=-100, digest=77), 0.3)
    broker.apply_progress(ended(1), 0.4)
    (answered,) = broker.grant_queued(0.4)
    assert answered.recipient == other


def test_request_with_all_targets_excluded_is_refused():
    """The request would otherwise stay queued until its deadline."""
    broker = make_broker(targets=("i-1", "i-2"))
    reply = broker.submit(placement_request(1, excluded=("i-1", "i-2")), 0.0)
    assert reply.verdict is Verdict.OVERLOADED


def test_repeated_grant_includes_the_target_address():
    broker = make_broker()
    first = broker.submit(placement_request(1), 0.0)
    assert broker.submit(placement_request(1), 0.1).address == first.address


def test_arrival_windows_do_not_grow_with_learned_costs():
    """Queue classes must not contain the route's average cost, which changes often.

    Otherwise each new average creates a class, and each estimate iterates over all.
    """
    broker = make_broker(targets=("i-1",), slots=4)
    for number in range(200):
        now = number * 0.1
        broker.submit(placement_request(number), now)
        broker.apply_progress(ended(number), now + 0.01 * (number % 7))
    assert len(broker.wait_estimator.arrivals) <= 2


def test_silent_engine_stays_out_when_its_clients_give_up():
    """Without the ejection, each client that gives up would make room for another."""
    broker = make_broker(targets=("i-1",), slots=1)
    assert broker.submit(placement_request(1), 0.0).verdict is Verdict.GRANTED
    broker.cancel_placement(ME, 1, 2.4)
    assert broker.submit(placement_request(2), 2.4).verdict is Verdict.QUEUED


def test_engine_of_a_client_that_leaves_early_stays_in():
    broker = make_broker(targets=("i-1",), slots=1)
    broker.submit(placement_request(1), 0.0)
    broker.cancel_placement(ME, 1, 0.1)
    assert broker.submit(placement_request(2), 0.1).verdict is Verdict.GRANTED


def test_account_beyond_its_quota_is_refused_while_others_wait():
    limited = account("acme", rate_per_s=100.0, burst=200.0)
    rule = QuotaRule(8.0, slack=500.0, min_slack=0.0)
    broker = Broker(rule)
    broker.set_table(table(accounts=(limited,), slots=1))
    broker.set_targets({"i-1": target("i-1", slots=1)}, set())
    broker.quotas.is_usage_complete = True
    within = {"account": "acme", "prompt_tokens": 1_000, "output_tokens": 0}
    beyond = {"account": "acme", "prompt_tokens": 100, "output_tokens": 0}
    assert broker.submit(placement_request(1, **within), 0.0).verdict is Verdict.GRANTED
    assert broker.submit(placement_request(2), 0.0).verdict is Verdict.QUEUED
    refused = broker.submit(placement_request(3, **beyond), 0.0)
    assert refused.verdict is Verdict.OVER_QUOTA


def test_decisions_are_counted_by_route_until_they_are_taken():
    broker = make_broker(targets=("i-1",), slots=1)
    broker.submit(placement_request(1, route="a"), 0.0)
    broker.submit(placement_request(2, route="a"), 0.0)
    broker.submit(placement_request(3, route="b", deadline_ms=300), 0.0)
    counts = broker.take_route_counts()
    assert counts == {"a": RouteCounts(2, 1, 0), "b": RouteCounts(1, 0, 1)}
    assert broker.take_route_counts() == {}


def test_occupancy_leaves_out_engines_that_accept_nothing():
    broker = make_broker(targets=("i-1", "i-2"), slots=2)
    broker.submit(placement_request(1), 0.0)
    assert broker.runs.occupancy({ENGINES}, 0.0) == (1, 4)
    idle = next(e for e in broker.runs.open_engines(ENGINES) if not e.runs)
    idle.eject(0.0)
    assert broker.runs.occupancy({ENGINES}, 0.1) == (1, 2)
    assert broker.runs.occupancy({"other"}, 0.1) == (0, 0)


# Guards against incident SHORT: triage must not starve behind summaries.
def test_route_of_low_rank_gets_its_guaranteed_share():
    broker = make_broker(targets=("i-1",), slots=1)
    broker.submit(placement_request(0), 0.0)
    granted, last = [], 0
    for step in range(1, 40):
        now = 0.05 * step
        broker.submit(
            placement_request(2 * step, route="summary", route_priority=1), now
        )
        broker.submit(
            placement_request(2 * step + 1, route="triage", route_priority=2), now
        )
        broker.apply_progress(ended(last), now)
        (answered,) = broker.grant_queued(now)
        last = answered.reply.number
        granted.append(last)
    triage = sum(number % 2 for number in granted)
    assert GUARANTEED_RATIO / 2 <= triage / (len(granted) - triage) <= 1.0


# Guards against a burst of requests to an engine that has just crashed.
@pytest.mark.parametrize("end", [RunEnd.FAILED, RunEnd.DISCONNECTED])
def test_engine_that_broke_a_run_off_gets_one_request_until_a_run_progresses(end):
    broker = make_broker(targets=("i-1",), slots=4)
    broker.submit(placement_request(1), 0.0)
    broker.apply_progress(ended(1, end), 0.1)
    verdicts = [broker.submit(placement_request(n), 0.2).verdict for n in (2, 3)]
    assert verdicts == [Verdict.GRANTED, Verdict.QUEUED]
    broker.apply_progress(RunProgress(ME, (RunUpdate(2, None, 50),)), 0.3)
    assert [a.reply.number for a in broker.grant_queued(0.3)] == [3]


def calls_of_submission(queue_length):
    """Return the function calls that one submission takes at this queue length."""
    broker = make_broker(targets=("i-1",), slots=1)
    broker.costs.costs = {"r": 0.001}
    for number in range(queue_length + 1):
        broker.submit(placement_request(number), 0.0)
    assert len(broker.queue) == queue_length
    calls = 0

    def count(frame, event, argument):
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        broker.submit(placement_request(queue_length + 1), 0.1)
    finally:
        sys.setprofile(None)
    return calls


# Guards against a broker that is too busy to reply once its queue is long.
def test_work_of_a_submission_does_not_grow_with_the_queue():
    assert calls_of_submission(1_000) <= 1.5 * calls_of_submission(50)


# Guards against refusals of other requests, because streams that wait for another
# engine are placed again and again and each refused placement counts as an arrival.
@pytest.mark.parametrize("repeats", [0, 25], ids=["without", "with repeats"])
def test_refused_repeats_do_not_count_as_load(repeats):
    broker = make_broker(targets=("i-1",), slots=4)
    for number in range(4):
        assert broker.submit(placement_request(number), 0.0).verdict is Verdict.GRANTED
    number = 100
    for step in range(repeats):
        for _ in range(8):
            number += 1
            reply = broker.submit(
                placement_request(number, is_retry=True, excluded=("i-1",)), step * 0.2
            )
            assert reply.verdict is Verdict.OVERLOADED
    other = placement_request(
        99, route="other", route_priority=1, client_timeout_ms=4_000
    )
    assert broker.submit(other, 5.0).verdict is Verdict.QUEUED


def make_mixed_broker(versions=("v1", "v2"), slots=1):
    broker = Broker(QuotaRule(8.0, 0.0))
    broker.set_table(table(slots=slots))
    entries = {
        f"i-{number}": target(f"i-{number}", slots=slots, software_version=version)
        for number, version in enumerate(versions)
    }
    broker.set_targets(entries, set())
    return broker


# Guards against ORDER: a request that needs a software version is granted another.
def test_needed_software_version_is_granted_and_named():
    broker = make_mixed_broker(("v1", "v2", "v1", "v2"))
    for number in range(2):
        reply = broker.submit(placement_request(number, software_version="v2"), 0.0)
        assert (reply.verdict, reply.software_version) == (Verdict.GRANTED, "v2")
        assert reply.target in ("i-1", "i-3")


# Guards against ORDER: a queued request is granted an engine of another version.
def test_queued_request_waits_for_its_software_version():
    broker = make_mixed_broker()
    broker.submit(placement_request(1), 0.0)
    broker.submit(placement_request(2), 0.0)
    needing = placement_request(3, software_version="v2")
    assert broker.submit(needing, 0.0).verdict is Verdict.QUEUED
    broker.apply_progress(ended(1), 0.1)
    assert broker.grant_queued(0.1) == []
    broker.apply_progress(ended(2), 0.2)
    (answered,) = broker.grant_queued(0.2)
    assert (answered.reply.number, answered.reply.target) == (3, "i-1")


# Guards against new streams that wait although engines are free, because many resumed
# ones ahead of them need another version.
def test_requests_for_a_busy_version_do_not_hold_up_the_others():
    broker = make_mixed_broker(("v1", "v2"))
    broker.submit(placement_request(0, software_version="v1"), 0.0)
    broker.submit(placement_request(1, software_version="v2"), 0.0)
    for number in range(2, 2 + 2 * MAX_GRANT_ATTEMPTS):
        request = placement_request(number, software_version="v1", is_retry=True)
        broker.submit(request, 0.0)
    broker.submit(placement_request(1_000), 0.1)
    broker.apply_progress(ended(1), 0.2)
    assert [a.reply.number for a in broker.grant_queued(0.2)] == [1_000]


# Guards against a resumed stream that waits for its deadline although no engine of its
# version is left.
@pytest.mark.parametrize("is_queued", [False, True])
def test_request_for_a_version_that_is_gone_is_refused_at_once(is_queued):
    broker = make_mixed_broker()
    if is_queued:
        for number in range(2):
            broker.submit(placement_request(number), 0.0)
        request = placement_request(9, software_version="v2")
        assert broker.submit(request, 0.0).verdict is Verdict.QUEUED
    broker.set_targets({"i-0": target("i-0", slots=1, software_version="v1")}, set())
    if is_queued:
        (answered,) = broker.refuse_infeasible(0.1)
        assert answered.reply.verdict is Verdict.VERSION_GONE
    else:
        request = placement_request(9, software_version="v2")
        assert broker.submit(request, 0.0).verdict is Verdict.VERSION_GONE


def test_needed_version_is_awaited_while_no_engine_is_known():
    broker = make_mixed_broker(())
    request = placement_request(1, software_version="v1")
    assert broker.submit(request, 0.0).verdict is Verdict.QUEUED


# Guards against ORDER: an engine restarts under its id with another version.
def test_engine_that_restarts_with_another_version_counts_as_that():
    broker = make_mixed_broker(("v1",))
    later = target("i-0", slots=1, started_ms=2, software_version="v2")
    broker.set_targets({"i-0": later}, set())
    request = placement_request(1, software_version="v1")
    assert broker.submit(request, 0.0).verdict is Verdict.VERSION_GONE
    assert broker.submit(placement_request(2), 0.0).software_version == "v2"


# Guards against a resumed stream that is queued although its version's few engines will
# not be free in time, while many of another version are.
def test_wait_for_a_version_counts_only_its_engines():
    broker = make_mixed_broker(("v1", *["v2"] * 20))
    for number in range(21):
        broker.submit(placement_request(number), 0.0)
    reply = broker.submit(
        placement_request(99, software_version="v1", objective_ms=100, deadline_ms=900),
        0.0,
    )
    assert reply.verdict is Verdict.OVERLOADED


def served_shares_in_overload(new_per_s, resumed_per_s, versions):
    """Simulate ten seconds; return the granted shares of new and resumed requests.

    Each run takes one second; the resumed requests need the software version v1.
    """
    broker = make_mixed_broker(versions, slots=4)
    ends, granted, sent = [], Counter(), Counter()
    number = 0

    def count(reply, now):
        if reply.verdict is Verdict.GRANTED:
            granted[kind_of[reply.number]] += 1
            ends.append((now + 1.0, reply.number))

    kind_of = {}
    for step in range(1_000):
        now = step / 100
        due = [number for end_s, number in ends if end_s <= now]
        ends = [entry for entry in ends if entry[0] > now]
        for ended_number in due:
            broker.apply_progress(ended(ended_number), now)
        for kind, per_s in (("new", new_per_s), ("resumed", resumed_per_s)):
            if int(now * per_s) > int((now - 0.01) * per_s):
                number += 1
                kind_of[number] = kind
                sent[kind] += 1
                needs = {"software_version": "v1", "is_retry": True}
                request = placement_request(
                    number,
                    client_timeout_ms=2_400,
                    **(needs if kind == "resumed" else {}),
                )
                count(broker.submit(request, now), now)
        for addressed in broker.grant_queued(now):
            count(addressed.reply, now)
        broker.refuse_infeasible(now)
    return {kind: granted[kind] / sent[kind] for kind in sent}


# Guards against LOST: fewer than half as many resumed streams go on as new ones begin,
# while two engines of their version serve.
@pytest.mark.parametrize("new_per_s", [20, 30, 48])
@pytest.mark.parametrize("resumed_per_s", [2, 6])
def test_resumed_streams_are_served_as_often_as_new_ones_begin(
    new_per_s, resumed_per_s
):
    versions = ("v1", "v1", "v2", "v2", "v2", "v2")
    shares = served_shares_in_overload(new_per_s, resumed_per_s, versions)
    assert shares["resumed"] > shares["new"] / 2
    assert shares["new"] > 0.3


# Guards against a new start that gets no request because the one before it has left.
def test_engine_that_left_is_granted_again_once_it_has_started_anew():
    broker = make_broker(targets=("i-1",))
    broker.submit(placement_request(1), 0.0)
    broker.apply_progress(ended(1, RunEnd.LEAVING), 0.1)
    assert broker.submit(placement_request(2), 0.2).verdict is Verdict.QUEUED
    broker.set_targets({"i-1": target("i-1", started_ms=9)}, set())
    (answered,) = broker.grant_queued(0.3)
    assert answered.reply.target == "i-1"


def paused(**left_ms):
    return tuple(
        PausedTarget(name.replace("_", "-"), ms) for name, ms in left_ms.items()
    )


# Guards against rule BUDGET: the broker granted a target that is paused for a member.
def test_target_that_is_paused_for_a_member_is_not_granted_to_it():
    broker = make_broker(slots=12)
    replies = [
        broker.submit(placement_request(n, paused=paused(i_1=5_000)), 0.0)
        for n in range(8)
    ]
    assert {reply.target for reply in replies} == {"i-2"}
    other = [
        broker.submit(placement_request(n, MemberId("entry-2", 2)), 0.0).target
        for n in range(8)
    ]
    assert "i-1" in other


def test_request_waits_for_the_end_of_a_pause_that_comes_in_time():
    broker = make_broker(targets=("i-1",))
    request = placement_request(1, paused=paused(i_1=1_000))
    assert broker.submit(request, 0.0).verdict is Verdict.QUEUED
    assert broker.grant_queued(0.99) == []
    assert broker.refuse_infeasible(0.99) == []
    (answered,) = broker.grant_queued(1.01)
    assert answered.reply.target == "i-1"


def test_queued_request_that_is_sent_again_names_the_pauses_anew():
    broker = make_broker(targets=("i-1",), slots=1)
    broker.submit(placement_request(1), 0.0)
    broker.submit(placement_request(2), 0.0)
    again = broker.submit(placement_request(2, paused=paused(i_1=3_000)), 0.1)
    assert again.verdict is Verdict.QUEUED
    broker.apply_progress(ended(1), 0.2)
    assert broker.grant_queued(0.2) == []
    assert len(broker.grant_queued(3.2)) == 1


# Guards against a refusal whose time to return is earlier than any target's.
def test_request_is_refused_until_the_first_pause_ends_if_all_last_too_long():
    broker = make_broker()
    waits_ms = [
        broker.submit(
            placement_request(
                n, deadline_ms=1_000, paused=paused(i_1=2_000, i_2=3_000)
            ),
            0.0,
        ).retry_after_ms
        for n in range(1, 9)
    ]
    assert 2_000 <= min(waits_ms) < max(waits_ms) <= 2_500
    assert len(set(waits_ms)) == 8


def test_request_turned_away_for_a_time_is_no_failure_of_its_engine():
    broker = make_broker(targets=("i-1",), slots=4)
    broker.submit(placement_request(1), 0.0)
    broker.apply_progress(ended(1, RunEnd.PAUSED), 0.1)
    engine = broker.runs.engines["i-1"]
    assert engine.failure_rate == 0.0
    assert engine.runs == {}
    # The next request shows whether the engine takes requests again.
    assert engine.free_slots() == 1


def prompt(number, *parts, **changes):
    named = tuple((part, 100) for part in (*parts, f"own-{number}"))
    return placement_request(number, parts=named, **changes)


def end_engine(broker, number, target, now, sender=ME):
    """Let an engine end beneath the prompt of a run that had not begun."""
    run = broker.runs.engines[target].runs[sender.node, sender.incarnation, number]
    message = RunProgress(
        sender,
        (RunUpdate(number, RunEnd.FAILED),),
        (BrokenPrompt(target, run.parts),),
    )
    broker.apply_progress(message, now)


def begun(number, sender=ME):
    return RunProgress(sender, (RunUpdate(number),))


def quarantine_part(broker, part="bad"):
    """Let engines end beneath the part, as seen by several members."""
    for number in range(QUARANTINE_ENDS):
        if broker.crashes.quarantined(float(number)):
            return
        sender = MemberId(f"entry-{number}", 1)
        reply = broker.submit(
            prompt(1, "all", part, sender=sender, excluded=tuple(broker_ended(broker))),
            float(number),
        )
        end_engine(broker, 1, reply.target, float(number), sender)
        sound = broker.submit(prompt(100 + number, "all"), number + 0.5)
        broker.apply_progress(begun(100 + number), number + 0.6)
        broker.apply_progress(ended(100 + number), number + 0.6)
        assert sound.verdict is Verdict.GRANTED


def broker_ended(broker):
    return [e.target for e in broker.runs.engines.values() if e.has_broken_off]


# Requests with one part ended engine after engine, at any member and without end.
def test_request_with_a_quarantined_part_is_refused_for_good():
    broker = make_broker(targets=[f"i-{n}" for n in range(6)])
    quarantine_part(broker)
    reply = broker.submit(prompt(50, "all", "bad"), 4.0)
    assert (reply.verdict, reply.quarantined_part) == (Verdict.OVERLOADED, "bad")
    assert reply.retry_after_ms == 0
    assert broker.submit(prompt(51, "all"), 4.0).verdict is Verdict.GRANTED


# The last part of a prompt is its own; sessions with a part of the same name share it.
def test_last_part_of_a_prompt_is_not_accused():
    broker = make_broker(targets=[f"i-{n}" for n in range(6)])
    quarantine_part(broker)
    last = placement_request(50, parts=(("all", 100), ("bad", 100)))
    assert broker.submit(last, 4.0).verdict is Verdict.GRANTED


def test_stream_that_has_begun_is_continued_in_spite_of_a_quarantine():
    broker = make_broker(targets=[f"i-{n}" for n in range(6)])
    quarantine_part(broker)
    resumed = prompt(50, "all", "bad", is_retry=True, has_begun=True)
    assert broker.submit(resumed, 4.0).verdict is Verdict.GRANTED


def test_queued_request_is_refused_once_its_part_is_quarantined():
    broker = make_broker(targets=("i-1",), slots=1)
    broker.submit(prompt(1, "all"), 0.0)
    assert broker.submit(prompt(2, "bad"), 0.0).verdict is Verdict.QUEUED
    broker.crashes.apply_notice(
        AccusedPartNotice("bad", QUARANTINE_ENDS, 100, 9_000, 1), "entry-2", 0.1
    )
    broker.apply_progress(ended(1), 0.2)
    assert broker.grant_queued(0.2) == []
    (refused,) = broker.refuse_infeasible(0.2)
    assert refused.reply.quarantined_part == "bad"
    assert broker.queue == {}


# One prompt, sent again and again, took several engines down at the same time.
def test_accused_part_is_at_one_engine_at_a_time():
    broker = make_broker(targets=("i-1", "i-2", "i-3"))
    first = broker.submit(prompt(1, "bad"), 0.0)
    end_engine(broker, 1, first.target, 0.2)
    trial = broker.submit(prompt(2, "bad", excluded=(first.target,)), 0.3)
    assert trial.verdict is Verdict.GRANTED
    assert broker.submit(prompt(3, "bad"), 0.3).verdict is Verdict.QUEUED
    broker.submit(prompt(4, "sound"), 0.3)
    (sound,) = broker.grant_queued(0.32)
    assert (sound.reply.number, sound.reply.target != trial.target) == (4, True)
    broker.apply_progress(begun(2), 0.4)
    (granted,) = broker.grant_queued(0.4)
    assert granted.reply.number == 3


# The runs beside an accused prompt were lost with its engine.
def test_accused_prompt_runs_alone_until_it_begins():
    broker = make_broker(targets=("i-1", "i-2", "i-3"), slots=4)
    first = broker.submit(prompt(1, "bad"), 0.0)
    end_engine(broker, 1, first.target, 0.2)
    busy = broker.submit(prompt(2, "sound"), 0.3)
    broker.apply_progress(begun(2), 0.35)
    trial = broker.submit(prompt(3, "bad", excluded=(first.target,)), 0.4)
    assert trial.target not in (first.target, busy.target)
    others = [broker.submit(prompt(n, "sound"), 0.4).target for n in range(4, 8)]
    assert trial.target not in others
    broker.apply_progress(begun(3), 0.5)
    assert broker.runs.engines[trial.target].free_slots() == 3


@pytest.mark.parametrize("end", [RunEnd.CANCELLED, RunEnd.REJECTED, RunEnd.NOT_SENT])
def test_next_request_tries_an_accused_part_if_the_first_shows_nothing(end):
    broker = make_broker(targets=("i-1", "i-2", "i-3"))
    first = broker.submit(prompt(1, "bad"), 0.0)
    end_engine(broker, 1, first.target, 0.2)
    broker.submit(prompt(2, "bad"), 0.3)
    assert broker.submit(prompt(3, "bad"), 0.3).verdict is Verdict.QUEUED
    broker.apply_progress(ended(2, end), 0.4)
    (granted,) = broker.grant_queued(0.4)
    assert granted.reply.number == 3
