import pytest
from scheduling_samples import ENGINES, ME, account, ask, table, target

from burdockhaven_core.scheduling.broker import Broker
from burdockhaven_core.scheduling.peer_messages import (
    MemberName,
    Progress,
    Report,
    RunEnd,
    RunNews,
    RunState,
    Verdict,
)
from burdockhaven_core.scheduling.quotas import QuotaRule
from burdockhaven_core.scheduling.run_book import GRANT_SETTLE_S


def broker(targets=("i-1", "i-2"), accounts=(), slots=2):
    made = Broker(QuotaRule(8.0, 0.0))
    made.set_table(table(accounts=accounts, slots=slots))
    entries = {name: target(name, slots=slots) for name in targets}
    made.set_targets(entries, set())
    return made


def ended(number, end=RunEnd.WHOLE, sender=ME):
    return Progress(sender, (RunNews(number, end),))


def test_slots_are_filled_and_then_requests_wait_for_an_end():
    made = broker()
    verdicts = [made.ask(ask(n), 0.0).verdict for n in range(5)]
    assert verdicts == [Verdict.GRANTED] * 4 + [Verdict.QUEUED]
    assert made.pump(0.1) == []
    made.progress(ended(0), 0.2)
    (answered,) = made.pump(0.2)
    assert answered.reply.number == 4
    assert answered.reply.verdict is Verdict.GRANTED


def test_a_question_that_is_sent_again_is_answered_alike():
    made = broker()
    first = made.ask(ask(1), 0.0)
    again = made.ask(ask(1), 0.1)
    assert (again.verdict, again.target) == (first.verdict, first.target)
    assert len(made.runs.granted) == 1


def test_the_urgent_tier_goes_first_and_returners_before_newcomers():
    made = broker(targets=("i-1",), slots=1)
    made.ask(ask(1), 0.0)
    made.ask(ask(2, priority=1), 0.1)
    made.ask(ask(3, priority=0), 0.2)
    made.ask(ask(4, priority=0, returning=True), 0.3)
    order = []
    for last in (1, 4, 3):
        made.progress(ended(last), 0.5)
        order += [a.reply.number for a in made.pump(0.5)]
    assert order == [4, 3, 2]


def test_a_request_that_can_only_be_late_waits_behind_those_still_on_time():
    made = broker(targets=("i-1",), slots=1)
    made.ask(ask(1), 0.0)
    made.ask(ask(2, objective_ms=-1), 0.1)
    made.ask(ask(3), 0.2)
    made.progress(ended(1), 0.3)
    assert [a.reply.number for a in made.pump(0.3)] == [3]


def test_a_request_that_can_not_be_served_in_time_is_refused_at_once():
    made = broker(targets=("i-1",), slots=1)
    made.ask(ask(1), 0.0)
    reply = made.ask(ask(2, deadline_ms=300), 0.0)
    assert reply.verdict is Verdict.OVERLOADED
    assert reply.retry_after_ms >= 300


def test_a_waiting_request_is_refused_when_its_time_runs_out():
    made = broker(targets=("i-1",), slots=1)
    made.costs.costs = {"r": 1.0}
    made.ask(ask(1), 0.0)
    made.ask(ask(2, deadline_ms=6_500), 0.0)
    assert made.pump(0.3) == made.refuse_hopeless(0.3) == []
    (answered,) = made.refuse_hopeless(6.4)
    assert answered.reply.verdict is Verdict.OVERLOADED
    assert made.queue == {}


def test_a_quota_is_kept_and_the_refusal_says_when_to_come_back():
    acme = account(rate_per_s=200.0)
    made = broker(accounts=(acme,))
    question = {"account": "acme", "prompt_tokens": 1_000, "output_tokens": 500}
    assert made.ask(ask(1, **question), 0.0).verdict is Verdict.GRANTED
    made.quotas.hear(ME, [("acme", 1_500)], 0.2)
    reply = made.ask(ask(2, **question), 1.0)
    assert reply.verdict is Verdict.OVER_QUOTA
    assert reply.retry_after_ms > 0
    made.quotas.hear(ME, [], 8.5)
    assert made.ask(ask(3, **question), 8.6).verdict is not Verdict.OVER_QUOTA


def test_a_new_broker_learns_from_reports_what_is_under_way():
    made = broker(targets=("i-1",), slots=2)
    runs = (RunState(7, "i-1", 500, 100, True), RunState(8, "i-1", 500, 50, False))
    made.report(Report(ME, runs, ()), 1.0)
    assert made.ask(ask(9), 1.0).verdict is Verdict.QUEUED
    made.progress(ended(7), 1.1)
    assert [a.reply.number for a in made.pump(1.1)] == [9]


def test_a_lost_grant_or_end_is_found_by_the_next_report():
    made = broker(targets=("i-1",), slots=1)
    made.ask(ask(1), 0.0)
    made.report(Report(ME, (), (1,)), 0.1)
    assert len(made.runs.granted) == 1
    made.report(Report(ME, (), ()), GRANT_SETTLE_S + 0.1)
    assert made.runs.granted == {}


@pytest.mark.parametrize("boot", [1, 2])
def test_the_runs_of_an_earlier_start_of_a_member_are_forgotten(boot):
    made = broker(targets=("i-1",), slots=1)
    made.ask(ask(1), 0.0)
    made.report(Report(MemberName(ME.node, boot), (), ()), 0.1)
    assert bool(made.runs.granted) is (boot == ME.boot)


def test_a_target_that_can_not_be_reached_gets_nothing_for_a_while():
    made = broker(targets=("i-1", "i-2"), slots=4)
    first = made.ask(ask(1), 0.0).target
    made.progress(ended(1, RunEnd.UNREACHABLE), 0.1)
    assert {made.ask(ask(n), 0.1).target for n in (2, 3)} == {"i-1", "i-2"} - {first}


def test_a_target_whose_first_event_is_overdue_gets_nothing_more():
    made = broker(targets=("i-1", "i-2"), slots=4)
    silent = made.ask(ask(1), 0.0).target
    assert made.ask(ask(2), 5.0).target != silent


def test_a_withdrawn_question_frees_its_slot():
    made = broker(targets=("i-1",), slots=1)
    made.ask(ask(1), 0.0)
    made.ask(ask(2), 0.0)
    made.withdraw(ME, 1)
    assert [a.reply.number for a in made.pump(0.1)] == [2]


def test_targets_that_leave_are_not_used_and_their_slots_not_counted():
    made = broker(targets=("i-1",), slots=1)
    made.set_targets({"i-1": target("i-1", draining=True)}, set())
    assert made.ask(ask(1), 0.0).verdict is Verdict.QUEUED
    assert ENGINES not in made.runs.open_by_service


def test_a_run_that_went_elsewhere_frees_the_slot_that_was_granted_for_it():
    """Such a slot was never freed, and its engine counted as stalled for good."""
    made = broker(targets=("i-1", "i-2"), slots=1)
    granted = made.ask(ask(1), 0.0).target
    (other,) = {"i-1", "i-2"} - {granted}
    made.report(Report(ME, (RunState(1, other, 1_000, 10, True),), ()), 0.1)
    assert made.runs.engines[granted].runs == {}
    assert made.ask(ask(2), 5.0).target == granted


def test_a_member_that_is_gone_holds_no_slots():
    made = broker(targets=("i-1",), slots=1)
    made.ask(ask(1, sender=MemberName("entry-9", 9)), 0.0)
    made.forget_absent({ME.node}, 0.1)
    assert made.ask(ask(2), 0.1).verdict is Verdict.GRANTED


def test_a_late_request_is_refused_while_newcomers_take_all_engines():
    """It was held until its client left, since each newcomer went before it."""
    made = broker(targets=("i-1",), slots=1)
    made.costs.costs = {"r": 1.0}
    made.ask(ask(0), 0.0)
    made.set_targets({"i-1": target("i-1", slots=4)}, set())
    made.runs.engines["i-1"].slots = 4
    for number in range(10, 13):
        made.ask(ask(number), 0.0)
    late = {"objective_ms": -1, "deadline_ms": 4_000}
    assert made.ask(ask(1, **late), 2.0).verdict is Verdict.QUEUED
    for number in range(2, 7):
        made.ask(ask(number), 2.1)
    refused = [answered.reply.number for answered in made.refuse_hopeless(2.2)]
    assert refused == [1]


def test_targets_that_are_known_before_the_configuration_get_its_limits():
    """A broker that started so took each event of a stream for one token."""
    made = Broker(QuotaRule(8.0, 0.0))
    entries = {"i-1": target("i-1", slots=2)}
    made.set_targets(entries, set())
    made.set_table(table(slots=2))
    made.set_targets(entries, set())
    assert made.runs.engines["i-1"].tokens_per_event == 6
    assert made.runs.engines["i-1"].cache_tokens == 800_000


def test_a_request_whose_client_would_leave_before_its_turn_is_refused_at_once():
    """Such requests were held in the queue until their clients had gone."""
    made = broker(targets=("i-1",), slots=1)
    made.costs.costs = {"r": 4.0}
    made.ask(ask(1), 0.0)
    reply = made.ask(ask(2, patience_ms=2_400), 0.0)
    assert reply.verdict is Verdict.OVERLOADED


def test_a_grant_names_the_address_for_members_that_do_not_know_the_target():
    assert broker().ask(ask(1), 0.0).address == "10.0.0.1:80"


def test_among_accounts_of_one_rank_the_routes_rank_decides():
    """All accounts had one rank, so that the urgent routes waited like the others."""
    made = broker(targets=("i-1",), slots=1)
    made.ask(ask(1, priority=1), 0.0)
    made.ask(ask(2, priority=1, route_priority=2), 0.1)
    made.ask(ask(3, priority=1, route_priority=0), 0.2)
    made.progress(ended(1), 0.3)
    assert [a.reply.number for a in made.pump(0.3)] == [3]


def test_runs_of_a_member_that_reports_elsewhere_do_not_stall_an_engine():
    """A fallback broker kept them for ever and took every engine for stalled."""
    made = broker(targets=("i-1",), slots=4)
    made.report(Report(ME, (RunState(1, "i-1", 500, 10, False),), ()), 0.0)
    made.forget_absent({ME.node}, 5.0)
    assert made.ask(ask(2), 5.0).verdict is Verdict.GRANTED


def test_a_short_request_goes_before_a_long_one_of_like_weight():
    """Triage runs take a tenth of a summary's time and starved behind summaries."""
    made = broker(targets=("i-1",), slots=1)
    made.costs.costs = {"review": 1.2, "summary": 0.9, "triage": 0.13}
    made.ask(ask(1, route="review"), 0.0)
    made.ask(ask(2, route="summary", route_priority=1), 0.1)
    made.ask(ask(3, route="triage", route_priority=2), 0.1)
    made.ask(ask(4, route="review", route_priority=0), 0.1)
    order = []
    for last in (1, 4, 3):
        made.progress(ended(last), 0.3)
        order += [a.reply.number for a in made.pump(0.3)]
    assert order == [4, 3, 2]


def test_a_higher_account_rank_goes_first_whatever_the_costs():
    made = broker(targets=("i-1",), slots=1)
    made.costs.costs = {"r": 1.0, "long": 0.5, "short": 0.1}
    made.ask(ask(1), 0.0)
    made.ask(ask(2, route="short", priority=1), 0.1)
    made.ask(ask(3, route="long", priority=0, route_priority=2), 0.1)
    made.progress(ended(1), 0.3)
    assert [a.reply.number for a in made.pump(0.3)] == [3]


def test_the_cost_of_a_route_is_learned_for_an_ordinary_engine():
    made = broker(targets=("i-1",), slots=1)
    made.runs.engines["i-1"].slowness = 2.0
    made.ask(ask(1, route="review"), 0.0)
    made.progress(ended(1), 3.0)
    assert made.costs.of("review") == pytest.approx(1.5)


def test_a_client_that_was_refused_goes_before_late_newcomers_when_it_comes_back():
    """Only the member that refused it knew, and clients come back to another one."""
    made = broker(targets=("i-1",), slots=1)
    made.costs.costs = {"r": 1.0}
    made.ask(ask(1), 0.0)
    refused = made.ask(ask(2, patience_ms=300, digest=77), 0.1)
    assert refused.verdict is Verdict.OVERLOADED
    made.ask(ask(3, objective_ms=-100), 0.2)
    other = MemberName("entry-5", 5)
    made.ask(ask(1, sender=other, objective_ms=-100, digest=77), 0.3)
    made.progress(ended(1), 0.4)
    (answered,) = made.pump(0.4)
    assert answered.to == other


def test_a_request_that_every_target_has_failed_is_refused_at_once():
    """It was held in the queue until its deadline."""
    made = broker(targets=("i-1", "i-2"))
    reply = made.ask(ask(1, excluded=("i-1", "i-2")), 0.0)
    assert reply.verdict is Verdict.OVERLOADED


def test_a_grant_that_is_told_again_names_the_address_too():
    made = broker()
    first = made.ask(ask(1), 0.0)
    assert made.ask(ask(1), 0.1).address == first.address


def test_the_record_of_arrivals_does_not_grow_with_the_learned_costs():
    """Each new average made a new class, and each look walked all of them."""
    made = broker(targets=("i-1",), slots=4)
    for number in range(200):
        now = number * 0.1
        made.ask(ask(number), now)
        made.progress(ended(number), now + 0.01 * (number % 7))
    assert len(made.waits.arrivals) <= 2
