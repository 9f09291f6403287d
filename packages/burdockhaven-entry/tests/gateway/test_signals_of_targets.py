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
from burdockhaven_core.scheduling.plain_balancer import PlainBalancer
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
# When a member is killed and starts again, or the broker changes: before all have heard
# of the signal, and after that.
EARLY_CHANGE_S, LATE_CHANGE_S = SIGNAL_S + 0.2, SIGNAL_S + 1.0
# A process that starts accepts no clients for this time at most, unless it has learned
# from others before what they know.
START_S = 0.8
# Time for which a target refuses requests and after which it takes them again, and the
# rate at which its members return to it.
REFUSAL_S = 0.3
RETURN_RATE_PER_S = 1500.0


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
    """Members with one broker, before targets of one service.

    The first target gives the signal, from a time on or for a time.
    """

    def __init__(
        self,
        members,
        signal,
        *,
        is_plain,
        targets=("t-0", "t-1"),
        signal_end_s=END_S,
        total_rate_per_s=TOTAL_RATE_PER_S,
    ):
        self.now = 0.0
        self.targets = targets
        self.signal_end_s = signal_end_s
        self.rate_per_s = max(MIN_RATE_PER_S, total_rate_per_s / members)
        self.events = []
        self.order = itertools.count()
        self.signal = signal
        self.service = PLAIN_SERVICE if is_plain else ENGINE_SERVICE
        self.is_plain = is_plain
        self.numbers = itertools.count(1)
        # Process and time of each arrival at the first target, and of each signal.
        self.arrivals = []
        self.told = []
        # By process that was told: sends to the first target since the end of the pause
        # that are in flight, and the most of them before one has succeeded.
        self.probes = {}
        self.most_probes = {}
        self.killed = set()
        self.by_address = {}
        self.memberships = [self.create_member(number, 0) for number in range(members)]
        self.broker = self.memberships[0].state.broker
        for membership in self.memberships:
            self.start(membership, 0.0)

    def start(self, membership, serves_after_s):
        state = membership.state
        for other in self.memberships:
            if other is not membership:
                state.member_list.record_heartbeat(other.state.heartbeat(), self.now)
        phase = state.rng.random()

        def is_alive():
            return state.member_id not in self.killed

        self.every(HEARTBEAT_INTERVAL_S, phase, membership.send_heartbeats, is_alive)
        self.every(0.1, phase, lambda: state.target_signals.expire(self.now), is_alive)
        self.at(
            serves_after_s,
            lambda: self.every(
                1 / self.rate_per_s, phase, lambda: self.request(state), is_alive
            ),
        )

    def restart_last_member(self):
        """Kill the last member and start it again; it knows nothing."""
        number = len(self.memberships) - 1
        before = self.memberships[number]
        self.killed.add(before.state.member_id)
        self.memberships[number] = self.create_member(number, 1000)
        if self.broker is before.state.broker:
            self.broker = self.memberships[number].state.broker
        self.start(self.memberships[number], START_S)

    def change_broker(self):
        """Let the last member be the broker, which has queued and granted nothing."""
        self.broker = self.memberships[-1].state.broker

    def create_member(self, number, start):
        member_settings = dataclasses.replace(
            settings(), node=f"e-{number:02}", ip=f"10.0.0.{number}"
        )
        state = GatewayState.from_settings(
            member_settings,
            start + number,
            start + number + 1,
            lambda: self.now,
            random.Random(number),
        )
        state.apply_table(routing_table(), b"")
        for name in self.targets:
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

    def every(self, interval_s, phase, action, is_alive):
        def repeat():
            if is_alive():
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
        process = state.member_id
        is_told = entry.id == "t-0" and SIGNAL_S <= self.now < self.signal_end_s
        if entry.id == "t-0" and self.now >= SIGNAL_S:
            self.arrivals.append((process, self.now))
        is_probe = entry.id == "t-0" and not is_told and process in self.probes
        if is_probe:
            self.probes[process] += 1
            most = max(self.most_probes.get(process, 0), self.probes[process])
            self.most_probes[process] = most
        status, values = self.signal if is_told else (200, {})
        head = read_response_head(status, CIMultiDictProxy(CIMultiDict(values)))
        sent_s = self.now
        state.balancer.state_of(entry.id).begin_send(entry.started_ms, sent_s)

        def respond():
            if process in self.killed:
                return
            state.balancer.state_of(entry.id).end_send(entry.started_ms, sent_s)
            state.record_response(entry, head, self.now)
            if is_told:
                self.told.append((process, self.now))
                self.probes[process] = 0
            elif status == 200:
                state.balancer.record_success(entry, sent_s, self.now)
            if is_probe:
                self.probes.pop(process, None)
            if not self.is_plain:
                is_refused = status != 200
                self.end(
                    state, number, RunEnd.PAUSED if is_refused else RunEnd.COMPLETED
                )

        self.at(RESPONSE_S, respond)

    def after_the_leave(self):
        """Arrivals from a process that was told, and later ones from any member."""
        first = {}
        for process, told_s in self.told:
            first.setdefault(process, told_s)
        own = [a for a in self.arrivals if a[1] > first.get(a[0], END_S)]
        late = [a for a in self.arrivals if a[1] > self.told[0][1] + HEARD_WITHIN_S]
        return len(own), len(late)

    def most_in_a_pause(self):
        """The most arrivals from one process in the pause after one of its answers."""
        return max(
            sum(
                process == sender and told_s + PAUSE_GRACE_S < at_s < told_s + PAUSE_S
                for sender, at_s in self.arrivals
            )
            for process, told_s in self.told
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


def play_change(members, signal, is_plain, change_s, change):
    fleet = Fleet(members, signal, is_plain=is_plain)
    fleet.at(change_s, lambda: change(fleet))
    return fleet.run()


# Guards against rules DRAIN and BUDGET where a member that starts knows no signals.
@pytest.mark.parametrize("is_plain", [True, False])
@pytest.mark.parametrize(
    ("members", "change_s"),
    [
        (1, EARLY_CHANGE_S),
        (1, LATE_CHANGE_S),
        (9, EARLY_CHANGE_S),
        (9, LATE_CHANGE_S),
        (68, LATE_CHANGE_S),
    ],
)
def test_member_that_starts_heeds_the_signals(members, change_s, is_plain):
    change = Fleet.restart_last_member
    fleet = play_change(members, LEAVES, is_plain, change_s, change)
    own, late = fleet.after_the_leave()
    assert own == 0
    # A member that is alone forgets the leave; the target tells it again.
    assert late <= (SLOTS if members == 1 else 0)
    fleet = play_change(members, PAUSES, is_plain, change_s, change)
    assert fleet.most_in_a_pause() == 0


# For engines the broker, which was told itself, would hold such a member back.
@pytest.mark.parametrize("members", [9, 68])
def test_oracle_detects_a_member_that_starts_and_is_not_told(members, monkeypatch):
    monkeypatch.setattr(GatewayState, "record_announced_leaving", lambda *_: None)
    change = Fleet.restart_last_member
    fleet = play_change(members, LEAVES, True, LATE_CHANGE_S, change)
    assert fleet.after_the_leave()[1] > 0


# Guards against rules DRAIN and BUDGET where a new broker has not heard of a signal.
@pytest.mark.parametrize(
    ("members", "change_s"),
    [(9, EARLY_CHANGE_S), (9, LATE_CHANGE_S), (68, EARLY_CHANGE_S)],
)
def test_signals_are_heeded_after_a_change_of_the_broker(members, change_s):
    change = Fleet.change_broker
    fleet = play_change(members, LEAVES, False, change_s, change)
    assert fleet.after_the_leave() == (0, 0)
    fleet = play_change(members, PAUSES, False, change_s, change)
    assert fleet.most_in_a_pause() == 0


def play_return(members):
    """The only target of a plain service refuses for a moment and is there again."""
    return Fleet(
        members,
        PAUSES,
        is_plain=True,
        targets=("t-0",),
        signal_end_s=SIGNAL_S + REFUSAL_S,
        total_rate_per_s=RETURN_RATE_PER_S,
    ).run()


# Guards against a herd at a plain target whose pauses end.
@pytest.mark.parametrize("members", MEMBER_COUNTS)
def test_each_member_returns_to_a_plain_target_by_one_request(members):
    fleet = play_return(members)
    assert fleet.most_in_a_pause() == 0
    assert set(fleet.most_probes.values()) == {1}
    assert len(fleet.most_probes) == members


@pytest.mark.parametrize("members", MEMBER_COUNTS)
def test_oracle_detects_a_herd_at_the_return(members, monkeypatch):
    monkeypatch.setattr(PlainBalancer, "record_pause", lambda *_: None)
    assert max(play_return(members).most_probes.values()) > 1


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
