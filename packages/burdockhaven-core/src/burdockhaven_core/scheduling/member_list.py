"""Member list with a heartbeat failure detector.

In a small cluster each member sends heartbeats to all others. In a large one that would
take most of the members' time, so above `FULL_MESH_MAX_MEMBERS` the oldest members act
as hubs: all members send heartbeats to the hubs, the hubs send heartbeats to all and
list the nodes that timed out, and the other members exchange heartbeats at a low rate
(`heartbeat_schedule.py`).
"""

from dataclasses import dataclass

from burdockhaven_core.scheduling.peer_messages import Heartbeat, MemberId

# Seconds without a message after which a member is no longer offered to clients.
MEMBER_TIMEOUT_S = 0.9
# Seconds without a message after which a member is no longer used as a broker.
BROKER_TIMEOUT_S = 0.45
# Seconds without a message after which a member is removed from the list.
MEMBER_EXPIRY_S = 30.0
# Largest cluster in which each member sends heartbeats to all others. With 87 members
# that took a tenth of a core per member and 15 MB/s between zones (docs/CAPACITY.md).
FULL_MESH_MAX_MEMBERS = 16
# Number of hubs in larger clusters.
HUB_COUNT = 4
# Replaces `MEMBER_TIMEOUT_S` for members that are not hubs and that no hub reports as
# timed out; other members receive their heartbeats only every four seconds.
SPARSE_MEMBER_TIMEOUT_S = 9.0
# Seconds within which a new hub has received heartbeats from all other members.
HUB_SETTLE_S = 1.5


@dataclass(slots=True)
class MemberView:
    """Last known state of one member."""

    heartbeat: Heartbeat
    # Monotonic time of the member's last message.
    last_seen_s: float
    # Until when the member gets no placement requests, after it failed to reply to one.
    suspect_until_s: float = 0.0

    @property
    def node(self) -> str:
        """Name of the member's VM."""
        return self.heartbeat.sender.node


class MemberList:
    """All other members that have sent a heartbeat."""

    def __init__(self, member_id: MemberId) -> None:
        self.member_id = member_id
        self.views: dict[str, MemberView] = {}
        # Peer addresses from the store or the settings that have sent no heartbeat yet.
        self.candidates: dict[str, float] = {}
        # Nodes of the hubs, the oldest first; empty in a full mesh.
        self.hubs: tuple[str, ...] = ()
        # When each hub was selected, by node.
        self.hub_since_s: dict[str, float] = {}
        # Time of the last message of each former hub that timed out, by node.
        self.failed_hub_seen_s: dict[str, float] = {}

    @property
    def is_follower(self) -> bool:
        """Whether other members are the hubs, which inform this one."""
        return bool(self.hubs) and self.member_id.node not in self.hubs

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; return True for a member or incarnation that is new."""
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
        """Record that a member is alive, because it sent a message."""
        view = self.views.get(sender.node)
        if view is not None and view.heartbeat.sender.incarnation == sender.incarnation:
            view.last_seen_s = now

    def update_hubs(self, own: Heartbeat, now: float) -> None:
        """Select the hubs again; called at each heartbeat interval."""
        self.hubs = self._select_hubs(own, now)
        for node in self.hubs:
            self.hub_since_s.setdefault(node, now)
        for node in [node for node in self.hub_since_s if node not in self.hubs]:
            del self.hub_since_s[node]
            view = self.views.get(node)
            if view is not None and now - view.last_seen_s > MEMBER_TIMEOUT_S:
                self.failed_hub_seen_s[node] = view.last_seen_s

    def _select_hubs(self, own: Heartbeat, now: float) -> tuple[str, ...]:
        """Return the oldest nodes, draining ones last; none in a full mesh."""
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
        """Return the members that have not timed out.

        In a large cluster, members that are not hubs apply a longer timeout, except to
        hubs and to nodes that a hub announces as timed out.
        """
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
        """Return the seconds without a message after which a member has timed out."""
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
        """Return the nodes to announce as timed out; empty unless a settled hub."""
        if not self._has_full_view(now):
            return ()
        return tuple(
            view.node
            for view in self.views.values()
            if MEMBER_TIMEOUT_S < now - view.last_seen_s <= SPARSE_MEMBER_TIMEOUT_S
        )

    def nodes_timed_out_at_hubs(self, now: float) -> set[str]:
        """Return the nodes that any live hub announces as timed out."""
        hubs = [self.views[node] for node in self.hubs if node in self.views]
        return {
            node
            for view in hubs
            if now - view.last_seen_s <= MEMBER_TIMEOUT_S
            for node in view.heartbeat.timed_out_nodes
        }

    def _has_full_view(self, now: float) -> bool:
        """Whether this member is settled: a hub for at least `HUB_SETTLE_S`."""
        since_s = self.hub_since_s.get(self.member_id.node)
        return since_s is not None and now - since_s >= HUB_SETTLE_S

    def serving(self, now: float) -> list[MemberView]:
        """Return the members that clients may connect to."""
        return [
            v
            for v in self.live_members(now)
            if v.heartbeat.ready and not v.heartbeat.draining
        ]

    def newest_version(self) -> int:
        """Return the newest configuration version that members announce, or 0."""
        return max((v.heartbeat.config_version for v in self.views.values()), default=0)

    def serving_count(self, now: float) -> int:
        """Return the number of serving members, including this one."""
        return len(self.serving(now)) + 1

    def is_complete(self, now: float) -> bool:
        """Whether no known member has timed out."""
        return len(self.live_members(now)) == len(self.views)

    def quota_share(self, now: float) -> float:
        """Return the fraction of the quotas that this side of a partition may use.

        A minority uses a fraction in proportion to its members. A majority uses the
        full quotas, because most members that time out have ended and send nothing.
        """
        known = len(self.views) + 1
        live = len(self.live_members(now)) + 1
        return 1.0 if 2 * live >= known else live / known

    def broker_order(self, now: float, own: Heartbeat) -> list[str]:
        """Return the nodes to send placement requests to, in order of preference.

        The member that has run longest comes first, so that the start or restart of a
        member does not change the broker. Members that are out of sync with the store
        come last, because they don't know of new or leaving targets.
        """
        # Hubs send heartbeats half as often as members of a full mesh.
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
        """Remove the members without a message for `MEMBER_EXPIRY_S`."""
        for node, view in list(self.views.items()):
            if now - view.last_seen_s > MEMBER_EXPIRY_S:
                del self.views[node]
                self.failed_hub_seen_s.pop(node, None)
