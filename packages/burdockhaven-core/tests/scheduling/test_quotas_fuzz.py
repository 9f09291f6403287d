"""Stateful fuzzing of quotas that several brokers enforce at once, in virtual time.

The oracle is the list of all sends with their times. A broker does not know the grants
of other brokers since the last round of heartbeats. Apart from these, no window may
exceed the quota plus slack when members end, restart or take over as broker.
"""

import pytest
from fuzz_settings import FUZZING, SEARCH
from hypothesis import seed
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)
from scheduling_samples import account

from burdockhaven_core.scheduling import shared_quotas
from burdockhaven_core.scheduling.peer_messages import MemberId
from burdockhaven_core.scheduling.quotas import QuotaRule, Quotas
from burdockhaven_core.scheduling.shared_quotas import GRANT_SETTLE_S, SharedQuotas

WINDOW_S = 8.0
RULE = QuotaRule(WINDOW_S, slack=50.0, min_slack=50.0)
ACME = account("acme", rate_per_s=100.0, burst=200.0)
LIMIT = 100 * WINDOW_S + 200 + RULE.slack
NODES = ("entry-1", "entry-2", "entry-3", "entry-4")
nodes = st.sampled_from(NODES)
UNITS = (1, 20, 150, 400)
HEARTBEAT_INTERVAL_S = 0.15


class Member:
    def __init__(self, node, incarnation, now, first):
        self.name = MemberId(node, incarnation)
        self.started_s = now
        self.own = Quotas(RULE)
        self.quotas = SharedQuotas(RULE)
        if not first:
            self.quotas.usage_known_since_s = now


class QuotaMachine(RuleBasedStateMachine):
    """Requests, heartbeats, ends and starts of members in any order."""

    @initialize()
    def begin(self):
        self.now = 0.0
        self.incarnation = 1
        self.members = {node: Member(node, 1, 0.0, first=True) for node in NODES}
        # Time and units of each send.
        self.sent = []
        # Units that each node has granted since the last round of heartbeats.
        self.unpublished = dict.fromkeys(NODES, 0)
        self.exchange_heartbeats()

    def exchange_heartbeats(self):
        for member in self.members.values():
            usage = [("acme", int(member.own.window("acme").sum(self.now)))]
            for other in self.members.values():
                other.quotas.record_usage(member.name, usage, self.now)
        self.unpublished = dict.fromkeys(NODES, 0)

    @rule(ticks=st.sampled_from([1, 2, 7, 30]))
    def wait(self, ticks):
        for _ in range(ticks):
            self.now += HEARTBEAT_INTERVAL_S
            self.exchange_heartbeats()

    def brokers(self):
        """Return the oldest node, and the nodes that have run for a window.

        Members may use the latter as brokers if the oldest does not reply.
        """
        ages = sorted((m.started_s, node) for node, m in self.members.items())
        return [
            node
            for place, (started_s, node) in enumerate(ages)
            if place == 0 or self.now - started_s >= WINDOW_S
        ]

    @rule(number=st.integers(0, 3), sender=nodes, units=st.sampled_from(UNITS))
    def attempt_send(self, number, sender, units):
        brokers = self.brokers()
        broker = brokers[number % len(brokers)]
        quotas = self.members[broker].quotas
        if not quotas.admits(ACME, units, self.now):
            return
        quotas.record_grant(self.members[sender].name, "acme", units, self.now)
        self.members[sender].own.charge("acme", units, self.now)
        self.sent.append((self.now, units))
        others = sum(u for node, u in self.unpublished.items() if node != broker)
        self.unpublished[broker] += units
        within = sum(u for at, u in self.sent if self.now - at < WINDOW_S)
        assert within <= LIMIT + others

    @rule(node=nodes)
    def end_and_start(self, node):
        """Restart a member after a round of heartbeats.

        Without the round, usage that the member has not published would be lost.
        """
        self.exchange_heartbeats()
        self.now += GRANT_SETTLE_S
        self.incarnation += 1
        self.members[node] = Member(node, self.incarnation, self.now, first=False)
        self.exchange_heartbeats()

    @rule()
    def all_end_and_start(self):
        self.now += 1.0
        self.incarnation += 1
        for node in NODES:
            self.members[node] = Member(node, self.incarnation, self.now, first=False)
        self.exchange_heartbeats()


TestQuotas = QuotaMachine.TestCase
TestQuotas.settings = FUZZING


SAFEGUARDS = {
    "usage of ended members": (
        SharedQuotas,
        "_expire",
        lambda self, now: self.members.clear(),
    ),
    "grants that no heartbeat contains": (
        SharedQuotas,
        "record_grant",
        lambda self, sender, account, units, now: None,
    ),
    "possible usage before a start": (
        SharedQuotas,
        "_unaccounted_usage",
        lambda self, account, now: 0.0,
    ),
}


@pytest.mark.parametrize("safeguard", SAFEGUARDS)
def test_oracle_detects_a_disabled_safeguard(safeguard, monkeypatch):
    owner, name, without = SAFEGUARDS[safeguard]
    monkeypatch.setattr(owner, name, without)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(seed(1)(QuotaMachine), settings=SEARCH)


def test_grants_settle_after_more_than_one_heartbeat_interval():
    assert shared_quotas.GRANT_SETTLE_S > HEARTBEAT_INTERVAL_S
