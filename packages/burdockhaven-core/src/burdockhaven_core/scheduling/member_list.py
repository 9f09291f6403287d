"""The other members as this one sees them.

Few members greet each other at each beat. Many would spend most of their time on that,
so above `FULL_MESH_MEMBERS` the oldest few are hubs: all greet the hubs, the hubs greet
all and say whom they have lost, and the rest greet each other now and then
(`greetings.py`).
"""

from dataclasses import dataclass

from burdockhaven_core.scheduling.peer_messages import Heartbeat, MemberId

# Seconds without a message after which a member is not named to clients any more.
MEMBER_TIMEOUT_S = 0.9
# Seconds without a message after which a member is no broker any more.
BROKER_TIMEOUT_S = 0.45
# Seconds without a message after which a member is forgotten.
MEMBER_EXPIRY_S = 30.0
# Members up to which each greets all others. At 87 that took a tenth of a core each and
# 15 MB a second between zones (docs/CAPACITY.md).
FULL_MESH_MAX_MEMBERS = 16
# Members that hear and greet all others where there are more.
HUB_COUNT = 4
# Seconds without a message after which a member that is no hub is not named to clients
# any more, unless a hub has lost it before; the others greet it every four seconds.
SPARSE_MEMBER_TIMEOUT_S = 9.0
# Seconds in which a member that has become a hub hears all others.
HUB_SETTLE_S = 1.5


@dataclass(slots=True)
class MemberView:
    """What is known of one member."""

    heartbeat: Heartbeat
    # Monotonic time of its last message.
    last_seen_s: float
    # Until when it is not asked for placements, after it failed to answer.
    suspect_until_s: float = 0.0

    @property
    def node(self) -> str:
        """Name of its VM."""
        return self.heartbeat.sender.node


class MemberList:
    """All members that were heard, this one excluded."""

    def __init__(self, member_id: MemberId) -> None:
        self.member_id = member_id
        self.views: dict[str, MemberView] = {}
        # Peer addresses that were read in the store or the settings but not heard yet.
        self.candidates: dict[str, float] = {}
        # Nodes of the hubs, the oldest first; empty while everyone greets everyone.
        self.hubs: tuple[str, ...] = ()
        # Since when each of them has been one.
        self.hub_since_s: dict[str, float] = {}
        # Hubs that fell silent, and when they were last heard.
        self.failed_hub_seen_s: dict[str, float] = {}

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take in a member's message; True if this start of it was not known."""
        known = self.views.get(heartbeat.sender.node)
        if (
            known is not None
            and known.heartbeat.sender.incarnation == heartbeat.sender.incarnation
        ):
            if heartbeat.sequence >= known.heartbeat.sequence:
                known.heartbeat = heartbeat
            known.last_seen_s = now
            return False
        if known is not None and known.heartbeat.started_ms > heartbeat.started_ms:
            return False
        self.views[heartbeat.sender.node] = MemberView(heartbeat, now)
        self.candidates.pop(heartbeat.peer_address, None)
        return True

    def record_message(self, sender: MemberId, now: float) -> None:
        """Any message of a member is a sign of life."""
        view = self.views.get(sender.node)
        if view is not None and view.heartbeat.sender.incarnation == sender.incarnation:
            view.last_seen_s = now

    def update_hubs(self, own: Heartbeat, now: float) -> None:
        """Decide anew who the hubs are; to be called at each beat."""
        self.hubs = self._select_hubs(own, now)
        for node in self.hubs:
            self.hub_since_s.setdefault(node, now)
        for node in [node for node in self.hub_since_s if node not in self.hubs]:
            del self.hub_since_s[node]
            view = self.views.get(node)
            if view is not None and now - view.last_seen_s > MEMBER_TIMEOUT_S:
                self.failed_hub_seen_s[node] = view.last_seen_s

    def _select_hubs(self, own: Heartbeat, now: float) -> tuple[str, ...]:
        """The members to be hubs; none while everyone greets everyone."""
        if len(self.views) + 1 <= FULL_MESH_MAX_MEMBERS:
            return ()
        ages = [
            (view.heartbeat.draining, view.heartbeat.started_ms, view.node)
            for view in self.live_members(now)
        ]
        ages.append((own.draining, own.started_ms, own.sender.node))
        return tuple(node for _, _, node in sorted(ages)[:HUB_COUNT])

    def live_members(
        self, now: float, timeout_s: float = MEMBER_TIMEOUT_S
    ) -> list[MemberView]:
        """The members that were heard lately, or are not lost as far as hubs know."""
        if not self.hubs or self._has_full_view(now):
            return [v for v in self.views.values() if now - v.last_seen_s <= timeout_s]
        timed_out_nodes = self.nodes_timed_out_at_hubs(now)
        return [
            view
            for view in self.views.values()
            if now - view.last_seen_s
            <= self._timeout_s(view, timed_out_nodes, timeout_s, now)
        ]

    def _timeout_s(
        self, view: MemberView, timed_out_nodes: set[str], timeout_s: float, now: float
    ) -> float:
        """Silence after which a member does not count as alive."""
        hub_since_s = self.hub_since_s.get(view.node)
        is_settled_hub = (
            hub_since_s is not None and now - hub_since_s > MEMBER_TIMEOUT_S
        )
        is_failed_hub = view.last_seen_s <= self.failed_hub_seen_s.get(
            view.node, float("-inf")
        )
        if is_settled_hub or is_failed_hub or view.node in timed_out_nodes:
            return timeout_s
        return SPARSE_MEMBER_TIMEOUT_S

    def timed_out_nodes(self, now: float) -> tuple[str, ...]:
        """The nodes that this member, a hub, tells the others to have lost."""
        if not self._has_full_view(now):
            return ()
        return tuple(
            view.node
            for view in self.views.values()
            if MEMBER_TIMEOUT_S < now - view.last_seen_s <= SPARSE_MEMBER_TIMEOUT_S
        )

    def nodes_timed_out_at_hubs(self, now: float) -> set[str]:
        """The nodes that some hub has lost; this member hears that hub."""
        hubs = [self.views[node] for node in self.hubs if node in self.views]
        return {
            node
            for view in hubs
            if now - view.last_seen_s <= MEMBER_TIMEOUT_S
            for node in view.heartbeat.timed_out_nodes
        }

    def _has_full_view(self, now: float) -> bool:
        """Whether this member has been a hub for long enough to hear everyone."""
        since_s = self.hub_since_s.get(self.member_id.node)
        return since_s is not None and now - since_s >= HUB_SETTLE_S

    def serving(self, now: float) -> list[MemberView]:
        """The members that clients may connect to."""
        return [
            v
            for v in self.live_members(now)
            if v.heartbeat.ready and not v.heartbeat.draining
        ]

    def serving_count(self, now: float) -> int:
        """Members that serve, this one included."""
        return len(self.serving(now)) + 1

    def quota_share(self, now: float) -> float:
        """Part of the quotas for the members that hear each other.

        A minority that is cut off keeps to its part. The larger side uses all: most
        members that fall silent have ended and send nothing.
        """
        known = len(self.views) + 1
        live = len(self.live_members(now)) + 1
        return 1.0 if 2 * live >= known else live / known

    def broker_order(self, now: float, own: Heartbeat) -> list[str]:
        """Nodes in the order in which they are asked for placements.

        The member that has run longest comes first, so that a start or restart moves
        nothing. Members that are out of step with the store come last: they do not know
        new targets and those that leave.
        """
        # Hubs greet half as often as members do where all greet all.
        timeout_s = MEMBER_TIMEOUT_S if self.hubs else BROKER_TIMEOUT_S
        candidates = [
            (
                not view.heartbeat.in_sync,
                view.heartbeat.started_ms,
                view.heartbeat.sender.node,
            )
            for view in self.live_members(now, timeout_s)
            if view.heartbeat.ready
            and not view.heartbeat.draining
            and view.suspect_until_s <= now
        ]
        if own.ready and not own.draining:
            candidates.append((not own.in_sync, own.started_ms, own.sender.node))
        return [node for _, _, node in sorted(candidates)]

    def expire_members(self, now: float) -> None:
        """Drop members that have been silent for long."""
        for node, view in list(self.views.items()):
            if now - view.last_seen_s > MEMBER_EXPIRY_S:
                del self.views[node]
                self.failed_hub_seen_s.pop(node, None)
