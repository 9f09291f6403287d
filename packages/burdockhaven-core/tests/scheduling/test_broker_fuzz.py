"""Stateful fuzzing of two brokers and their members over a network that loses messages.

The oracle is each member's own list of runs. After lost or late messages and changes of
the broker, a broker that receives the members' reports must track exactly their runs.
"""

import random

from fuzz_settings import FUZZING
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from scheduling_samples import placement_request, table, target

from burdockhaven_core.scheduling.broker import Broker
from burdockhaven_core.scheduling.peer_messages import (
    MemberId,
    RunEnd,
    RunProgress,
    RunReport,
    RunState,
    RunUpdate,
    Verdict,
)
from burdockhaven_core.scheduling.quotas import QuotaRule
from burdockhaven_core.scheduling.run_tracker import GRANT_SETTLE_S

SLOTS = 1
TARGETS = ("i-1", "i-2")
MEMBERS = ("entry-1", "entry-2", "entry-3")
members = st.sampled_from(MEMBERS)
brokers = st.sampled_from([0, 1])
losses = st.booleans()


class Member:
    """A member's own requests and runs."""

    def __init__(self, node):
        self.name = MemberId(node, 1)
        self.number = 0
        # Placement requests without a final reply, and the target of each run.
        self.waiting = {}
        self.runs = {}


class BrokerMachine(RuleBasedStateMachine):
    """Requests, grants, ends of runs, lost messages and restarts in any order."""

    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.members = {node: Member(node) for node in MEMBERS}
        self.brokers = []
        for _ in range(2):
            broker = Broker(QuotaRule(8.0, 0.0))
            broker.set_table(table(slots=SLOTS))
            entries = {name: target(name, slots=SLOTS) for name in TARGETS}
            broker.set_targets(entries, set())
            self.brokers.append(broker)

    @rule(seconds=st.sampled_from([0.01, 0.2, 1.0, 5.0]))
    def wait(self, seconds):
        self.now += seconds
        for broker in self.brokers:
            for answered in broker.refuse_infeasible(self.now) + broker.grant_queued(
                self.now
            ):
                self.deliver(answered.recipient, answered.reply, lost=False)

    @rule(node=members, index=brokers, lost=losses)
    def add_request(self, node, index, lost):
        member = self.members[node]
        member.number += 1
        request = placement_request(member.number, sender=member.name)
        member.waiting[member.number] = request
        self.deliver(member.name, self.brokers[index].submit(request, self.now), lost)

    @precondition(lambda self: any(m.waiting for m in self.members.values()))
    @rule(index=brokers, lost=losses)
    def add_resubmission(self, index, lost):
        waiting = [m for m in self.members.values() if m.waiting]
        member = self.rng.choice(waiting)
        request = self.rng.choice(list(member.waiting.values()))
        self.deliver(member.name, self.brokers[index].submit(request, self.now), lost)

    @precondition(lambda self: any(m.runs for m in self.members.values()))
    @rule(index=brokers, lost=losses, end=st.sampled_from(list(RunEnd)))
    def end(self, index, lost, end):
        member = self.rng.choice([m for m in self.members.values() if m.runs])
        number = self.rng.choice(list(member.runs))
        del member.runs[number]
        if not lost:
            updates = (RunUpdate(number, end),)
            self.brokers[index].apply_progress(
                RunProgress(member.name, updates), self.now
            )

    @rule(node=members, index=brokers)
    def report(self, node, index):
        self.brokers[index].apply_report(self.report_of(node), self.now)

    @rule(node=members)
    def restart(self, node):
        member = self.members[node]
        member.name = MemberId(node, member.name.incarnation + 1)
        member.waiting, member.runs = {}, {}

    @rule(index=brokers)
    def settle(self, index):
        """After one round of reports, the broker tracks exactly the members' runs."""
        self.now += GRANT_SETTLE_S + 0.1
        broker = self.brokers[index]
        for node in MEMBERS:
            broker.apply_report(self.report_of(node), self.now)
        tracked_runs = {
            (run.sender, run.incarnation, run.number): name
            for name, engine in broker.runs.engines.items()
            for run in engine.runs.values()
        }
        actual_runs = {
            (node, member.name.incarnation, number): name
            for node, member in self.members.items()
            for number, name in member.runs.items()
        }
        assert tracked_runs == actual_runs
        assert broker.runs.granted == actual_runs

    @invariant()
    def runs_match_grants_and_are_not_queued(self):
        for broker in getattr(self, "brokers", ()):
            in_flight = {key for e in broker.runs.engines.values() for key in e.runs}
            assert in_flight == set(broker.runs.granted)
            assert not in_flight & set(broker.queue)

    def deliver(self, to, reply, lost):
        member = self.members[to.node]
        if lost or member.name != to or reply.number not in member.waiting:
            return
        if reply.verdict is Verdict.GRANTED:
            del member.waiting[reply.number]
            member.runs[reply.number] = reply.target
        elif reply.verdict is not Verdict.QUEUED:
            del member.waiting[reply.number]

    def report_of(self, node):
        member = self.members[node]
        runs = tuple(
            RunState(number, name, 100, 50, False)
            for number, name in member.runs.items()
        )
        return RunReport(member.name, runs, tuple(member.waiting))


TestBroker = BrokerMachine.TestCase
TestBroker.settings = FUZZING
