"""Many members greet each other in virtual time; some end, freeze or are cut off."""

from dataclasses import dataclass, field

import pytest
from scheduling_samples import hello

from burdockhaven_core.scheduling.greetings import Greetings
from burdockhaven_core.scheduling.peer_messages import MemberName
from burdockhaven_core.scheduling.roster import (
    FULL_MESH_MEMBERS,
    HUBS,
    SPARSE_SILENT_AFTER_S,
    Roster,
)

BEAT_S = 0.15


def node(number):
    return f"entry-{number}"


@dataclass
class Member:
    number: int
    boot: int = 1
    started_ms: int = 0
    greetings: Greetings = field(default_factory=Greetings)
    sequence: int = 0

    def __post_init__(self):
        self.started_ms = self.started_ms or 1_000 + self.number
        self.roster = Roster(MemberName(node(self.number), self.boot))

    def hello(self, now):
        return hello(
            node(self.number),
            self.boot,
            started_ms=self.started_ms,
            sequence=self.sequence,
            lost=self.roster.lost(now),
        )


class Crowd:
    """Members that all know each other at the start."""

    def __init__(self, size):
        self.members = {node(n): Member(n) for n in range(size)}
        self.down = set()
        self.cut = set()
        self.now = 0.0
        self.sent = 0
        for member in self.members.values():
            for other in self.members.values():
                if other is not member:
                    member.roster.hear(other.hello(0.0), 0.0)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += BEAT_S
            for name, member in self.members.items():
                if name not in self.down:
                    self._beat(name, member)

    def _beat(self, name, member):
        member.sequence += 1
        said = member.hello(self.now)
        member.roster.choose_hubs(said, self.now)
        for view in member.greetings.recipients(member.roster):
            self.sent += 1
            reached = view.node not in self.down
            if reached and (name in self.cut) == (view.node in self.cut):
                self.members[view.node].roster.hear(said, self.now)
        member.roster.forget(self.now)

    def seen_by(self, name):
        return {view.node for view in self.members[name].roster.serving(self.now)}

    def restart(self, number):
        """It comes back as the youngest and is greeted by all, as in a real start."""
        started_ms = int(1e6 + self.now * 1e3)
        made = Member(number, boot=2, started_ms=started_ms)
        self.members[node(number)] = made
        self.down.discard(node(number))
        for name, other in self.members.items():
            if name != node(number) and name not in self.down:
                other.roster.hear(made.hello(self.now), self.now)
                made.roster.hear(other.hello(self.now), self.now)

    def all_see(self, expected):
        return all(self.seen_by(name) == expected - {name} for name in expected)


def names(numbers):
    return {node(number) for number in numbers}


@pytest.mark.parametrize("size", [2, FULL_MESH_MEMBERS, FULL_MESH_MEMBERS + 1, 40, 87])
def test_all_members_stay_known_to_all(size):
    crowd = Crowd(size)
    for _ in range(10):
        crowd.run(2.0)
        assert crowd.all_see(names(range(size)))


def test_few_members_greet_all_and_have_no_hubs():
    crowd = Crowd(FULL_MESH_MEMBERS)
    crowd.run(19.5 * BEAT_S)
    assert crowd.members[node(0)].roster.hubs == ()
    assert crowd.sent == 20 * FULL_MESH_MEMBERS * (FULL_MESH_MEMBERS - 1)


def test_many_members_send_a_tenth_of_what_greeting_all_would_take():
    crowd = Crowd(87)
    crowd.run(9.0)
    assert crowd.sent < 60 * 87 * 86 / 10


@pytest.mark.parametrize("ended", [(30,), (0,), (1, 2), range(20), range(30, 40)])
def test_members_that_end_are_not_named_after_two_seconds(ended):
    crowd = Crowd(40)
    crowd.run(6.0)
    crowd.down = names(ended)
    crowd.run(2.0)
    left = names(range(40)) - crowd.down
    gone_seen = [crowd.seen_by(name) & crowd.down for name in left]
    if len(crowd.down & names(range(HUBS))) < HUBS:
        assert not any(gone_seen)
    crowd.run(4.0)
    assert crowd.all_see(left)


def test_all_hubs_that_end_at_once_are_replaced_within_two_seconds():
    crowd = Crowd(40)
    crowd.run(6.0)
    crowd.down = names(range(HUBS))
    crowd.run(2.0)
    expected = tuple(node(number) for number in range(HUBS, 2 * HUBS))
    assert all(
        member.roster.hubs == expected
        for name, member in crowd.members.items()
        if name not in crowd.down
    )


def test_no_sound_member_is_lost_while_the_hubs_change():
    crowd = Crowd(40)
    crowd.run(6.0)
    crowd.down = names(range(HUBS))
    left = names(range(HUBS, 40))
    for _ in range(40):
        crowd.run(BEAT_S)
        for name in left:
            assert left - {name} <= crowd.seen_by(name)


def test_a_member_that_starts_again_is_known_at_once():
    crowd = Crowd(40)
    crowd.run(6.0)
    crowd.down = names([1, 30])
    crowd.run(3.0)
    crowd.restart(1)
    crowd.restart(30)
    crowd.run(1.0)
    assert crowd.all_see(names(range(40)))


def test_a_hub_that_starts_again_is_no_hub():
    crowd = Crowd(40)
    crowd.run(6.0)
    crowd.down = names([0])
    crowd.run(2.0)
    crowd.restart(0)
    crowd.run(2.0)
    assert crowd.members[node(9)].roster.hubs == tuple(node(n) for n in (1, 2, 3, 4))


@pytest.mark.parametrize("size", [5, 20])
def test_both_sides_of_a_cut_find_hubs_of_their_own_and_come_together(size):
    crowd = Crowd(40)
    crowd.run(6.0)
    crowd.cut = names(range(size))
    crowd.run(SPARSE_SILENT_AFTER_S + 2.0)
    for name in crowd.members:
        side = crowd.cut if name in crowd.cut else names(range(40)) - crowd.cut
        assert crowd.seen_by(name) == side - {name}
    crowd.cut = set()
    crowd.run(SPARSE_SILENT_AFTER_S)
    assert crowd.all_see(names(range(40)))


def test_the_broker_that_is_asked_is_the_oldest_hub():
    crowd = Crowd(40)
    crowd.run(6.0)
    for name, member in crowd.members.items():
        order = member.roster.brokers(crowd.now, member.hello(crowd.now))
        assert order[0] == node(0), name
