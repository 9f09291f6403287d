"""Members before targets that leave or ask for pauses, in virtual time.

The oracle is the list of arrivals at the target that gives the signal, by member.
"""

import dataclasses
import heapq
import itertools
import random

import pytest
from gateway_fixtures import ENGINE_SERVICE, PLAIN_SERVICE, routing_table, settings
from multidict import CIMultiDict, CIMultiDictProxy
from scheduling_samples import placement_request, target

from burdockhaven_core.scheduling.peer_messages import (
    RunEnd,
    RunProgress,
    RunUpdate,
    Verdict,
)
from burdockhaven_core.scheduling.target_pauses import TargetPauses
from burdockhaven_core.scheduling.target_registry import TargetRegistry
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.membership import Membership
from burdockhaven_entry.platform import read_response_head

MEMBER_COUNTS = (1, 9, 68)
HEARTBEAT_INTERVAL_S = 0.15
MESSAGE_S = 0.002
RESPONSE_S = 0.05
SLOTS = 16
# The signal begins at this time and the run of the fleet ends at the other.
SIGNAL_S = 1.0
END_S = 6.0
PAUSE_S = 3.0
# Requests per second of each member, at least, and of all together.
MIN_RATE_PER_S = 4.0
TOTAL_RATE_PER_S = 150.0
# The platform's tolerance after a refusal with a pause.
PAUSE_GRACE_S = 0.5
PAUSE_TOLERANCE = 2
# Time within which every member and broker has heard of a leave: heartbeats to the hubs
# and from them, each second interval, and their way.
HEARD_WITHIN_S = 4 * HEARTBEAT_INTERVAL_S + 0.1


class Endpoint:
    """Delivers heartbeats to the members at their addresses, a little later."""

    def __init__(self, fleet):
        self.fleet = fleet

    def send_all(self, addresses, message):
        for address in addresses:
            self.send(address, message)

    def send(self, address, message):
        receiver = self.fleet.by_address[address]
        self.fleet.at(MESSAGE_S, lambda: receiver.on_message(message))


class Fleet:
    """Members with one broker, and two targets of each service."""

    def __init__(self, members, signal, *, is_plain):
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.signal = signal
        self.service = PLAIN_SERVICE if is_plain else ENGINE_SERVICE
        self.is_plain = is_plain
        self.numbers = itertools.count(1)
        # Node and time of each arrival at the first target, and of each signal.
        self.arrivals = []
        self.told = []
        self.by_address = {}
        self.memberships = [self.create_member(number) for number in range(members)]
        self.broker = self.memberships[0].state.broker
        rate_per_s = max(MIN_RATE_PER_S, TOTAL_RATE_PER_S / members)
        for membership in self.memberships:
            state = membership.state
            for other in self.memberships:
                if other is not membership:
                    state.member_list.record_heartbeat(other.state.heartbeat(), 0.0)
            phase = state.rng.random()
            self.every(HEARTBEAT_INTERVAL_S, phase, membership.send_heartbeats)
            self.every(1 / rate_per_s, phase, lambda state=state: self.request(state))
            self.every(0.1, phase, lambda s=state: s.target_signals.expire(self.now))

    def create_member(self, number):
        member_settings = dataclasses.replace(
            settings(), node=f"e-{number:02}", ip=f"10.0.0.{number}"
        )
        state = GatewayState.from_settings(
            member_settings,
            number,
            number + 1,
            lambda: self.now,
            random.Random(number),
        )
        state.apply_table(routing_table(), b"")
        for name in ("t-0", "t-1"):
            state.registry.put(target(name, self.service, SLOTS))
        state.publish_targets()
        state.in_sync = True
        membership = Membership(
            state,
            Endpoint(self),
            None,
            None,
            on_configuration=lambda *_: None,
            spawn=lambda *_: None,
            on_origin_message=lambda *_: None,
        )
        self.by_address[state.peer_address] = membership
        return membership

    def at(self, delay_s, action):
        event = (self.now + delay_s, next(self.order), action)
        heapq.heappush(self.events, event)

    def every(self, interval_s, phase, action):
        def repeat():
            action()
            self.at(interval_s, repeat)

        self.at(phase * interval_s, repeat)

    def run(self):
        while self.events and self.events[0][0] <= END_S:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self

    def request(self, state):
        if self.is_plain:
            entries = state.usable_targets(self.service)
            entry = state.balancer.choose(entries, set(), self.now)
            if entry is not None:
                self.send(state, entry, 0)
            return
        number = next(self.numbers)
        request = placement_request(
            number,
            state.member_id,
            service=self.service,
            deadline_ms=300,
            paused=state.paused_targets(self.service),
        )
        reply = self.broker.submit(request, self.now)
        if reply.verdict is not Verdict.GRANTED:
            self.broker.cancel_placement(state.member_id, number, self.now)
            return
        self.at(MESSAGE_S, lambda: self.use_grant(state, reply))

    def use_grant(self, state, reply):
        if state.registry.is_usable(reply.target) and not state.is_paused(reply.target):
            self.send(state, state.registry.entries[reply.target], reply.number)
        else:
            self.end(state, reply.number, RunEnd.NOT_SENT)

    def end(self, state, number, end):
        progress = RunProgress(state.member_id, (RunUpdate(number, end),))
        self.at(MESSAGE_S, lambda: self.broker.apply_progress(progress, self.now))

    def send(self, state, entry, number):
        is_told = entry.id == "t-0" and self.now >= SIGNAL_S
        if is_told:
            self.arrivals.append((state.settings.node, self.now))
        status, values = self.signal if is_told else (200, {})
        head = read_response_head(status, CIMultiDictProxy(CIMultiDict(values)))
        sent_s = self.now
        state.balancer.state_of(entry.id).begin_send(sent_s)

        def respond():
            state.balancer.state_of(entry.id).end_send(sent_s)
            state.record_response(entry, head, self.now)
            if is_told:
                self.told.append((state.settings.node, self.now))
            if not self.is_plain:
                is_refused = status != 200
                self.end(
                    state, number, RunEnd.PAUSED if is_refused else RunEnd.COMPLETED
                )

        self.at(RESPONSE_S, respond)

    def after_the_leave(self):
        """Arrivals from a member that was told, and later ones from any member."""
        first = {}
        for node, told_s in self.told:
            first.setdefault(node, told_s)
        own = [a for a in self.arrivals if a[1] > first.get(a[0], END_S)]
        late = [a for a in self.arrivals if a[1] > self.told[0][1] + HEARD_WITHIN_S]
        return len(own), len(late)

    def most_in_a_pause(self):
        """The most arrivals from one member in the pause after one of its answers."""
        return max(
            sum(
                node == sender and told_s + PAUSE_GRACE_S < at_s < told_s + PAUSE_S
                for sender, at_s in self.arrivals
            )
            for node, told_s in self.told
        )


LEAVES = (200, {"Server-Leaving": "1"})
PAUSES = (503, {"Retry-After": f"{PAUSE_S:g}", "X-Burdockhaven-Not-Executed": "1"})


# Guards against rule DRAIN, for what the member itself and what other members are told.
@pytest.mark.parametrize("is_plain", [True, False])
@pytest.mark.parametrize("members", MEMBER_COUNTS)
def test_leaving_target_gets_nothing_once_members_know(members, is_plain):
    fleet = Fleet(members, LEAVES, is_plain=is_plain).run()
    assert fleet.after_the_leave() == (0, 0)


# Guards against rule BUDGET: requests within the time that a target asked for.
@pytest.mark.parametrize("is_plain", [True, False])
@pytest.mark.parametrize("members", MEMBER_COUNTS)
def test_paused_target_gets_nothing_from_the_member(members, is_plain):
    fleet = Fleet(members, PAUSES, is_plain=is_plain).run()
    assert fleet.most_in_a_pause() == 0


# Guards against a target that stays unused once its pauses are over.
@pytest.mark.parametrize("is_plain", [True, False])
def test_members_come_back_after_the_pause_over_a_time(is_plain):
    fleet = Fleet(9, PAUSES, is_plain=is_plain).run()
    returns_s = sorted(
        min((at for n, at in fleet.arrivals if n == node and at > SIGNAL_S + PAUSE_S))
        for node in {node for node, at in fleet.arrivals if at > SIGNAL_S + PAUSE_S}
    )
    assert returns_s
    assert returns_s[-1] - returns_s[0] >= 0.1


@pytest.mark.parametrize("is_plain", [True, False])
@pytest.mark.parametrize("members", [9, 68])
@pytest.mark.parametrize("is_leave", [True, False])
def test_oracle_detects_a_signal_that_is_not_read(
    members, is_plain, is_leave, monkeypatch
):
    if is_leave:
        monkeypatch.setattr(TargetRegistry, "mark_leaving", lambda *_: False)
        fleet = Fleet(members, LEAVES, is_plain=is_plain).run()
        assert min(fleet.after_the_leave()) > 0
    else:
        monkeypatch.setattr(TargetPauses, "record", lambda *_: None)
        fleet = Fleet(members, PAUSES, is_plain=is_plain).run()
        assert fleet.most_in_a_pause() > PAUSE_TOLERANCE
