"""Pattern: a few hundred members before one broker, each with a few requests.

Counts executed instructions, not time: what a member or the broker does for a request,
report or heartbeat must not grow with the number of members.
"""

import sys

import pytest
from scheduling_samples import account, heartbeat, placement_request, table, target

from burdockhaven_core.scheduling.broker import Broker
from burdockhaven_core.scheduling.member_list import MemberList
from burdockhaven_core.scheduling.peer_messages import (
    MemberId,
    RunReport,
    RunState,
    Verdict,
)
from burdockhaven_core.scheduling.quotas import QuotaRule

FEW, MANY = 20, 200
# Growth that is allowed between the two, for the depths of dictionaries and heaps.
MOST_GROWTH = 1.1
ACCOUNTS = tuple(account(f"a{n}", rate_per_s=1e6, burst=1e6) for n in range(19))
ENGINES = {f"i-{n}": target(f"i-{n}", slots=100) for n in range(8)}


def count_instructions(function):
    """Return how many instructions of the interpreter a call executes."""
    count = 0

    def trace(frame, event, argument):
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        function()
    finally:
        sys.settrace(previous)
    return count


def member(number):
    return MemberId(f"entry-{number}", 1)


def report(number, runs=()):
    return RunReport(member(number), tuple(runs), ())


def broker_of(members, runs=FEW):
    """Return a broker whose members have usage, and the first of them a run each."""
    broker = Broker(QuotaRule(window_s=8.0, slack=0.0))
    broker.set_table(table(accounts=ACCOUNTS))
    broker.set_targets(ENGINES, set())
    usage = [(known.name, 100) for known in ACCOUNTS]
    for number in range(members):
        broker.quotas.record_usage(member(number), usage, 0.0)
        run = RunState(1, f"i-{number % 8}", 100, 10, False)
        broker.apply_report(report(number, [run] if number < runs else []), 0.0)
    return broker


def member_list_of(members):
    """Return the list of a member that is not a hub."""
    member_list = MemberList(member(members))
    own = heartbeat(f"entry-{members}", 1, started_ms=members)
    for number in range(members):
        other = heartbeat(f"entry-{number}", 1, started_ms=number)
        member_list.record_heartbeat(other, 0.0)
    member_list.update_hubs(own, 0.1)
    return member_list, own


def submit(members):
    broker = broker_of(members)
    request = placement_request(9, member(1), account="a1")

    def run():
        assert broker.submit(request, 0.1).verdict is Verdict.GRANTED

    return run


def refuse_over_quota(members):
    broker = broker_of(members)
    small = account("a1", rate_per_s=1.0, burst=1.0)
    broker.set_table(table(accounts=(small,)))
    request = placement_request(9, member(1), account="a1")

    def run():
        assert broker.submit(request, 0.1).verdict is Verdict.OVER_QUOTA

    return run


def exhausted_accounts(members):
    broker = broker_of(members)
    return lambda: broker.exhausted_accounts(0.1)


def usage_of_a_heartbeat(members):
    broker = broker_of(members)
    usage = [(known.name, 100) for known in ACCOUNTS]
    return lambda: broker.quotas.record_usage(member(3), usage, 0.1)


def report_of_a_member(members):
    broker = broker_of(members, runs=members)
    run = RunState(1, "i-3", 100, 110, False)
    return lambda: broker.apply_report(report(3, [run]), 0.1)


def choice_of_the_broker(members):
    member_list, own = member_list_of(members)

    def run():
        assert member_list.broker(0.1, own) == "entry-0"

    return run


@pytest.mark.parametrize(
    "work",
    [
        submit,
        refuse_over_quota,
        exhausted_accounts,
        usage_of_a_heartbeat,
        report_of_a_member,
        choice_of_the_broker,
    ],
)
def test_work_does_not_grow_with_members(work):
    few, many = (count_instructions(work(members)) for members in (FEW, MANY))
    assert many <= MOST_GROWTH * few


def test_progress_of_runs_costs_no_look_at_the_engines_while_nothing_is_queued():
    def grant_queued(engines):
        broker = Broker(QuotaRule(window_s=8.0, slack=0.0))
        entries = {f"i-{n}": target(f"i-{n}") for n in range(engines)}
        broker.set_targets(entries, set())
        return lambda: broker.grant_queued(0.1)

    few, many = (count_instructions(grant_queued(engines)) for engines in (5, 50))
    assert many == few


@pytest.mark.parametrize("out_of_sync", [0, 1, 4])
def test_broker_among_hubs_is_the_first_of_the_whole_order(out_of_sync):
    member_list, own = member_list_of(FEW)
    for node in member_list.hubs[:out_of_sync]:
        view = member_list.views[node]
        lost = heartbeat(
            node, 1, started_ms=view.heartbeat.started_ms, sequence=2, in_sync=False
        )
        member_list.record_heartbeat(lost, 0.1)
    assert member_list.broker(0.1, own) == member_list.broker_order(0.1, own)[0]
    assert member_list.broker(0.1, own) == f"entry-{out_of_sync}"
