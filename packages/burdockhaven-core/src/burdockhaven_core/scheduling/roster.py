"""The other members as this one sees them."""

from dataclasses import dataclass

from burdockhaven_core.scheduling.peer_messages import Hello, MemberName

# Seconds without a message after which a member is not named to clients any more.
SILENT_AFTER_S = 0.9
# Seconds without a message after which a member is no broker any more.
BROKER_SILENT_AFTER_S = 0.45
# Seconds without a message after which a member is forgotten.
FORGET_AFTER_S = 30.0


@dataclass(slots=True)
class MemberView:
    """What is known of one member."""

    hello: Hello
    # Monotonic time of its last message.
    heard_s: float
    # Until when it is not asked for placements, after it failed to answer.
    suspect_until_s: float = 0.0


class Roster:
    """All members that were heard, this one excluded."""

    def __init__(self, me: MemberName) -> None:
        self.me = me
        self.views: dict[str, MemberView] = {}
        # Peer addresses that were read in the store or the settings but not heard yet.
        self.candidates: dict[str, float] = {}

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

    def alive(self, now: float, within_s: float = SILENT_AFTER_S) -> list[MemberView]:
        """The members that were heard lately."""
        return [v for v in self.views.values() if now - v.heard_s <= within_s]

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
        candidates = [
            (not view.hello.in_step, view.hello.started_ms, view.hello.name.node)
            for view in self.alive(now, BROKER_SILENT_AFTER_S)
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
