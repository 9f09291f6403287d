"""The other members as this one sees them.

Few members greet each other at each beat. Many would spend most of their time on that,
so above `FULL_MESH_MEMBERS` the oldest few are hubs: all greet the hubs, the hubs greet
all and say whom they have lost, and the rest greet each other now and then
(`greetings.py`).
"""

from dataclasses import dataclass

from burdockhaven_core.scheduling.peer_messages import Hello, MemberName

# Seconds without a message after which a member is not named to clients any more.
SILENT_AFTER_S = 0.9
# Seconds without a message after which a member is no broker any more.
BROKER_SILENT_AFTER_S = 0.45
# Seconds without a message after which a member is forgotten.
FORGET_AFTER_S = 30.0
# Members up to which each greets all others. At 87 that took a tenth of a core each and
# 15 MB a second between zones (docs/CAPACITY.md).
FULL_MESH_MEMBERS = 16
# Members that hear and greet all others where there are more.
HUBS = 4
# Seconds without a message after which a member that is no hub is not named to clients
# any more, unless a hub has lost it before; the others greet it every four seconds.
SPARSE_SILENT_AFTER_S = 9.0
# Seconds in which a member that has become a hub hears all others.
HUB_SETTLE_S = 1.5


@dataclass(slots=True)
class MemberView:
    """What is known of one member."""

    hello: Hello
    # Monotonic time of its last message.
    heard_s: float
    # Until when it is not asked for placements, after it failed to answer.
    suspect_until_s: float = 0.0

    @property
    def node(self) -> str:
        """Name of its VM."""
        return self.hello.name.node


class Roster:
    """All members that were heard, this one excluded."""

    def __init__(self, member_id: MemberName) -> None:
        self.member_id = member_id
        self.views: dict[str, MemberView] = {}
        # Peer addresses that were read in the store or the settings but not heard yet.
        self.candidates: dict[str, float] = {}
        # Nodes of the hubs, the oldest first; empty while everyone greets everyone.
        self.hubs: tuple[str, ...] = ()
        # Since when each of them has been one.
        self.chosen_s: dict[str, float] = {}
        # Hubs that fell silent, and when they were last heard.
        self.given_up_s: dict[str, float] = {}

    def hear(self, hello: Hello, now: float) -> bool:
        """Take in a member's message; True if this start of it was not known."""
        known = self.views.get(hello.name.node)
        if known is not None and known.hello.name.boot == hello.name.boot:
            if hello.sequence >= known.hello.sequence:
                known.hello = hello
            known.heard_s = now
            return False
        if known is not None and known.hello.started_ms > hello.started_ms:
            return False
        self.views[hello.name.node] = MemberView(hello, now)
        self.candidates.pop(hello.peer_address, None)
        return True

    def hear_from(self, name: MemberName, now: float) -> None:
        """Any message of a member is a sign of life."""
        view = self.views.get(name.node)
        if view is not None and view.hello.name.boot == name.boot:
            view.heard_s = now

    def choose_hubs(self, own: Hello, now: float) -> None:
        """Decide anew who the hubs are; to be called at each beat."""
        self.hubs = self._oldest(own, now)
        for node in self.hubs:
            self.chosen_s.setdefault(node, now)
        for node in [node for node in self.chosen_s if node not in self.hubs]:
            del self.chosen_s[node]
            view = self.views.get(node)
            if view is not None and now - view.heard_s > SILENT_AFTER_S:
                self.given_up_s[node] = view.heard_s

    def _oldest(self, own: Hello, now: float) -> tuple[str, ...]:
        """The members to be hubs; none while everyone greets everyone."""
        if len(self.views) + 1 <= FULL_MESH_MEMBERS:
            return ()
        ages = [
            (view.hello.draining, view.hello.started_ms, view.node)
            for view in self.alive(now)
        ]
        ages.append((own.draining, own.started_ms, own.name.node))
        return tuple(node for _, _, node in sorted(ages)[:HUBS])

    def alive(self, now: float, within_s: float = SILENT_AFTER_S) -> list[MemberView]:
        """The members that were heard lately, or are not lost as far as hubs know."""
        if not self.hubs or self._hears_all(now):
            return [v for v in self.views.values() if now - v.heard_s <= within_s]
        lost = self.lost_by_hubs(now)
        return [
            view
            for view in self.views.values()
            if now - view.heard_s <= self._silence_s(view, lost, within_s, now)
        ]

    def _silence_s(
        self, view: MemberView, lost: set[str], within_s: float, now: float
    ) -> float:
        """Silence after which a member does not count as alive."""
        chosen_s = self.chosen_s.get(view.node)
        greets_us = chosen_s is not None and now - chosen_s > SILENT_AFTER_S
        given_up = view.heard_s <= self.given_up_s.get(view.node, float("-inf"))
        if greets_us or given_up or view.node in lost:
            return within_s
        return SPARSE_SILENT_AFTER_S

    def lost(self, now: float) -> tuple[str, ...]:
        """The nodes that this member, a hub, tells the others to have lost."""
        if not self._hears_all(now):
            return ()
        return tuple(
            view.node
            for view in self.views.values()
            if SILENT_AFTER_S < now - view.heard_s <= SPARSE_SILENT_AFTER_S
        )

    def lost_by_hubs(self, now: float) -> set[str]:
        """The nodes that some hub has lost; this member hears that hub."""
        hubs = [self.views[node] for node in self.hubs if node in self.views]
        return {
            node
            for view in hubs
            if now - view.heard_s <= SILENT_AFTER_S
            for node in view.hello.lost
        }

    def _hears_all(self, now: float) -> bool:
        """Whether this member has been a hub for long enough to hear everyone."""
        since_s = self.chosen_s.get(self.member_id.node)
        return since_s is not None and now - since_s >= HUB_SETTLE_S

    def serving(self, now: float) -> list[MemberView]:
        """The members that clients may connect to."""
        return [v for v in self.alive(now) if v.hello.ready and not v.hello.draining]

    def count(self, now: float) -> int:
        """Members that serve, this one included."""
        return len(self.serving(now)) + 1

    def quota_share(self, now: float) -> float:
        """Part of the quotas for the members that hear each other.

        A minority that is cut off keeps to its part. The larger side uses all: most
        members that fall silent have ended and send nothing.
        """
        known = len(self.views) + 1
        heard = len(self.alive(now)) + 1
        return 1.0 if 2 * heard >= known else heard / known

    def brokers(self, now: float, own: Hello) -> list[str]:
        """Nodes in the order in which they are asked for placements.

        The member that has run longest comes first, so that a start or restart moves
        nothing. Members that are out of step with the store come last: they do not know
        new targets and those that leave.
        """
        # Hubs greet half as often as members do where all greet all.
        silence_s = SILENT_AFTER_S if self.hubs else BROKER_SILENT_AFTER_S
        candidates = [
            (not view.hello.in_step, view.hello.started_ms, view.hello.name.node)
            for view in self.alive(now, silence_s)
            if view.hello.ready
            and not view.hello.draining
            and view.suspect_until_s <= now
        ]
        if own.ready and not own.draining:
            candidates.append((not own.in_step, own.started_ms, own.name.node))
        return [node for _, _, node in sorted(candidates)]

    def forget(self, now: float) -> None:
        """Drop members that have been silent for long."""
        for node, view in list(self.views.items()):
            if now - view.heard_s > FORGET_AFTER_S:
                del self.views[node]
                self.given_up_s.pop(node, None)
