"""Member list with a heartbeat failure detector.

In a small cluster each member sends heartbeats to all others. In a large one that would
take most of the members' time, so above `FULL_MESH_MAX_MEMBERS` the oldest members on
strong VMs act as hubs. All members send heartbeats to the hubs; the hubs send them to
all and list the nodes that timed out. The other members exchange heartbeats at a low
rate (`heartbeat_schedule.py`).
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from burdockhaven_core.scheduling.peer_messages import Heartbeat, MemberId

# Seconds without a message after which a member is no longer offered to clients.
MEMBER_TIMEOUT_S = 0.9
# Seconds without a message after which a member is no longer used as a broker.
BROKER_TIMEOUT_S = 0.45
# Seconds for which a message of an earlier start of a member may be under way.
LATE_MESSAGE_S = 2.0
# Shortest time in seconds without a message after which a member is removed from the
# list, if it is no longer registered in the store.
MEMBER_EXPIRY_S = 30.0
# Seconds for which reads of the registered members have to lack a silent one before it
# has ended. A member whose lease was lost in an outage of the store notices that with
# the next renewal and registers again.
REGISTRATION_GRACE_S = 6.0
# Most seconds between two reads of the registered members that show that the store was
# reachable all the time.
MAX_READ_GAP_S = 6.0
# Seconds for which a majority of the members keeps its part of the quotas without the
# store, where it can't renew its leases, and after which a minority that reads the
# store may take that part over.
MAJORITY_LEASE_S = 120.0
# Largest cluster in which each member sends heartbeats to all others. With 87 members
# that took a tenth of a core per member and 15 MB/s between zones (docs/CAPACITY.md).
FULL_MESH_MAX_MEMBERS = 16
# Number of hubs in larger clusters.
HUB_COUNT = 4
# Members whose VMs have a smaller fraction of the processor capacity of the largest one
# become hub or broker only if no others are left.
STRONG_FRACTION = 0.75
# Replaces `MEMBER_TIMEOUT_S` for members that are not hubs and that no hub reports as
# timed out; other members receive their heartbeats only every four seconds.
SPARSE_MEMBER_TIMEOUT_S = 9.0
# Number of members for which it holds. Where there are more, each member still sends as
# many heartbeats a second, so that a round and this timeout last longer.
SPARSE_ROUND_MEMBERS = 81
# Timeouts after which a silent member is removed from the list.
EXPIRY_TIMEOUTS = 1.25
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
    # Monotonic time at which the store last confirmed the member's configuration.
    configuration_confirmed_s: float = -math.inf
    # Name of the member's VM.
    node: str = field(init=False)

    def __post_init__(self) -> None:
        self.node = self.heartbeat.sender.node
        self.record_confirmation(self.last_seen_s)

    def record_confirmation(self, now: float) -> None:
        """Record what the last heartbeat says of the member's configuration."""
        if self.heartbeat.in_sync:
            age_ms = self.heartbeat.configuration_age_ms or 0
            self.configuration_confirmed_s = now - age_ms / 1e3


class _BrokerCandidate(NamedTuple):
    """A member that may be the broker; the fields are in order of importance."""

    is_out_of_sync: bool
    is_weak: bool
    started_ms: int
    node: str


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
        # Nodes that were registered in the store when it was last read, but have sent
        # no heartbeat yet.
        self.unheard: set[str] = set()
        # Whether the registered members are still to be read: until then, a member that
        # hears nobody can't tell that it is alone.
        self.awaits_registry = False
        # When the registered members were last read, and since when such reads have
        # succeeded without a gap.
        self.registered_s = -math.inf
        self.reads_since_s = math.inf
        # Since when the lease on this member's own registration may have expired, so
        # that others may take its part of the quotas over; None while it is held.
        self.lapsed_since_s: float | None = None
        # Fraction of the quotas that the platform tolerates beyond them, and the
        # seconds of their window.
        self.quota_excess = 0.0
        self.quota_window_s = 0.0
        # Until when the parts of members that were counted out are left to them: one
        # that was cut off may have used its part until its lease expired.
        self.released_s: dict[str, float] = {}
        # Since when reads of the registered members lack each silent node.
        self.unregistered_since_s: dict[str, float] = {}
        # Processor capacity in hundredths of a core below which a VM counts as weak.
        self.strong_percent = 0.0

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
                known.record_confirmation(now)
            known.last_seen_s = now
            return False
        # The clock of a VM may step back between two starts, so the order of their
        # times counts only while messages of the earlier one may still be under way.
        is_recent = known is not None and now - known.last_seen_s <= LATE_MESSAGE_S
        if (
            known is not None
            and is_recent
            and known.heartbeat.started_ms > heartbeat.started_ms
        ):
            return False
        self.views[heartbeat.sender.node] = MemberView(heartbeat, now)
        self.candidates.pop(heartbeat.peer_address, None)
        self.unheard.discard(heartbeat.sender.node)
        self.released_s.pop(heartbeat.sender.node, None)
        return True

    def record_message(self, sender: MemberId, now: float) -> None:
        """Record that a member is alive, because it sent a message."""
        view = self.views.get(sender.node)
        if view is not None and view.heartbeat.sender.incarnation == sender.incarnation:
            view.last_seen_s = now

    def update_hubs(self, own: Heartbeat, now: float) -> None:
        """Select the hubs again; called at each heartbeat interval."""
        live = [*(view.heartbeat for view in self.live_members(now)), own]
        largest = max(heartbeat.processor_percent for heartbeat in live)
        self.strong_percent = STRONG_FRACTION * largest
        self.hubs = self._select_hubs(live)
        for node in self.hubs:
            self.hub_since_s.setdefault(node, now)
        for node in [node for node in self.hub_since_s if node not in self.hubs]:
            del self.hub_since_s[node]
            view = self.views.get(node)
            if view is not None and now - view.last_seen_s > MEMBER_TIMEOUT_S:
                self.failed_hub_seen_s[node] = view.last_seen_s

    def _select_hubs(self, live: Iterable[Heartbeat]) -> tuple[str, ...]:
        """Return the oldest nodes on strong VMs, draining ones last; none in a mesh."""
        if len(self.views) + 1 <= FULL_MESH_MAX_MEMBERS:
            return ()
        candidates = [
            (
                heartbeat.draining,
                self._is_weak(heartbeat),
                heartbeat.started_ms,
                heartbeat.sender.node,
            )
            for heartbeat in live
        ]
        return tuple(node for *_, node in sorted(candidates)[:HUB_COUNT])

    def _is_weak(self, heartbeat: Heartbeat) -> bool:
        return heartbeat.processor_percent < self.strong_percent

    @property
    def sparse_timeout_s(self) -> float:
        """Seconds without a message after which a member that is no hub times out."""
        rounds = len(self.views) / SPARSE_ROUND_MEMBERS
        return SPARSE_MEMBER_TIMEOUT_S * max(1.0, rounds)

    def live_members(
        self, now: float, timeout_s: float = MEMBER_TIMEOUT_S
    ) -> list[MemberView]:
        """Return the members that have not timed out.

        In a large cluster, members that are not hubs apply a longer timeout, except to
        hubs and to nodes that a hub announces as timed out.
        """
        return self._live(self.views.values(), now, timeout_s)

    def _live(
        self, views: Iterable[MemberView], now: float, timeout_s: float
    ) -> list[MemberView]:
        if not self.hubs or self._has_full_view(now):
            return [view for view in views if now - view.last_seen_s <= timeout_s]
        close_nodes = self._closely_watched_nodes(now)
        sparse_timeout_s = self.sparse_timeout_s
        return [
            view
            for view in views
            if now - view.last_seen_s
            <= (timeout_s if view.node in close_nodes else sparse_timeout_s)
        ]

    def _closely_watched_nodes(self, now: float) -> set[str]:
        """Return the nodes to which the short timeout applies."""
        nodes = self.nodes_timed_out_at_hubs(now)
        nodes.update(
            node
            for node, since_s in self.hub_since_s.items()
            if now - since_s > MEMBER_TIMEOUT_S
        )
        nodes.update(
            node
            for node, seen_s in self.failed_hub_seen_s.items()
            if node in self.views and self.views[node].last_seen_s <= seen_s
        )
        return nodes

    def timed_out_nodes(self, now: float) -> tuple[str, ...]:
        """Return the nodes to announce as timed out; empty unless a settled hub."""
        if not self._has_full_view(now):
            return ()
        sparse_timeout_s = self.sparse_timeout_s
        return tuple(
            view.node
            for view in self.views.values()
            if MEMBER_TIMEOUT_S < now - view.last_seen_s <= sparse_timeout_s
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

    def configuration_confirmed_s(self, version: int, now: float) -> float:
        """Return when the store last confirmed a version to a live member."""
        return max(
            (
                view.configuration_confirmed_s
                for view in self.live_members(now)
                if view.heartbeat.in_sync and view.heartbeat.config_version == version
            ),
            default=-math.inf,
        )

    def serving_count(self, now: float) -> int:
        """Return the number of serving members, including this one."""
        return len(self.serving(now)) + 1

    def known_count(self) -> int:
        """Return the number of members that may be running, including this one.

        Silent members count until they are removed from the list: they may be cut off.
        Those that have registered in the store may never have sent a heartbeat here.
        """
        return 1 + len(self.views) + len(self.unheard)

    def record_registered(self, nodes: Collection[str], now: float) -> list[str]:
        """Record which nodes, with this one, are registered in the store.

        Silent members that have ended are removed; returns their nodes. A member that
        is cut off from this one but reaches the store stays registered.
        """
        self.awaits_registry = False
        if now - self.registered_s > MAX_READ_GAP_S:
            self.reads_since_s = now
        self.registered_s = now
        self.unheard = set(nodes) - self.views.keys() - {self.member_id.node}
        silent = {view.node for view in self.silent_members(now)}
        self.unregistered_since_s = {
            node: self.unregistered_since_s.get(node, now)
            for node in silent - set(nodes)
        }
        ended = [
            node for node in self.unregistered_since_s if self._has_ended(node, now)
        ]
        self.released_s = {n: s for n, s in self.released_s.items() if s > now}
        for node in ended:
            if not self.views[node].heartbeat.draining:
                self.released_s[node] = now + self.quota_window_s
            del self.views[node]
            self.failed_hub_seen_s.pop(node, None)
        return ended

    def record_registry_loss(self) -> None:
        """Record that the store could not be read, or has lost leases."""
        self.registered_s = -math.inf
        self.unregistered_since_s.clear()

    def _has_ended(self, node: str, now: float) -> bool:
        """Whether a silent, unregistered member may be counted out.

        Its lease has expired, so that it keeps to the little that is left to members
        without one. A majority may have lost the store alone and keeps its part longer.
        A member that drained has ended its registration itself.
        """
        if self.views[node].heartbeat.draining:
            return True
        missing_s = now - self.unregistered_since_s[node]
        if not self._is_majority(now):
            return missing_s >= MAJORITY_LEASE_S
        is_seen_throughout = self.reads_since_s <= self.views[node].last_seen_s
        return is_seen_throughout or missing_s >= REGISTRATION_GRACE_S

    def _is_majority(self, now: float) -> bool:
        """Whether this member and those that it hears are more than half."""
        return 2 * (len(self.live_members(now)) + 1) > self.known_count()

    def record_lease(self, is_held: bool, now: float) -> None:
        """Record whether this member's registration is certainly in the store."""
        if is_held:
            self.lapsed_since_s = None
        elif self.lapsed_since_s is None:
            self.lapsed_since_s = now

    def silent_members(self, now: float) -> list[MemberView]:
        """Return the members that have timed out."""
        live = {view.node for view in self.live_members(now)}
        return [view for view in self.views.values() if view.node not in live]

    def has_expired_members(self, now: float) -> bool:
        """Whether members have been silent for long, so that they may have ended."""
        return any(self._is_expired(node, now) for node in self.views)

    def _is_expired(self, node: str, now: float) -> bool:
        expiry_s = max(MEMBER_EXPIRY_S, EXPIRY_TIMEOUTS * self.sparse_timeout_s)
        return now - self.views[node].last_seen_s > expiry_s

    def is_complete(self, now: float) -> bool:
        """Whether all members that may be running are heard."""
        is_heard = not self.awaits_registry and not self.unheard
        return is_heard and len(self.live_members(now)) == len(self.views)

    def is_cut_off(self, now: float) -> bool:
        """Whether this member hears less than half of those that may be running."""
        return 2 * (len(self.live_members(now)) + 1) < self.known_count()

    def quota_share(self, now: float) -> float:
        """Return the fraction of the quotas that this side of a partition may use.

        It is in proportion to the members, so that the parts add up to one quota
        whatever the shape of the partition. Members that ended are removed from the
        list when their registration expires; the others then have the whole quota.

        A part whose own registrations may have expired keeps only its fraction of what
        the platform tolerates beyond a quota: others may have taken its part over. A
        member that hears nobody and has not read who is registered uses nothing: it may
        be one of many.
        """
        if self.awaits_registry and not self.views:
            return 0.0
        live = len(self.live_members(now)) + 1
        released = sum(until_s > now for until_s in self.released_s.values())
        known = self.known_count() + released
        if live >= known:
            return 1.0
        share = live / known
        return self.quota_excess * share if self._is_counted_out(now) else share

    def _is_counted_out(self, now: float) -> bool:
        """Whether others may have taken the part of this side over."""
        if self.lapsed_since_s is None:
            return False
        kept_s = MAJORITY_LEASE_S if self._is_majority(now) else 0.0
        return now - self.lapsed_since_s >= kept_s

    def broker(self, now: float, own: Heartbeat) -> str:
        """Return the node of the broker to use.

        The hubs are the first in this order, so the first of them that is in sync with
        the store is found without a look at the others.
        """
        hubs = [self.views[node] for node in self.hubs if node in self.views]
        candidates = self._broker_candidates(hubs, now, own)
        has_found = bool(candidates) and candidates[0].node in self.hubs
        if not has_found or candidates[0].is_out_of_sync:
            candidates = self._broker_candidates(self.views.values(), now, own)
        return candidates[0].node if candidates else own.sender.node

    def broker_order(self, now: float, own: Heartbeat) -> list[str]:
        """Return the nodes to send placement requests to, in order of preference.

        The member on a strong VM that has run longest comes first, so that the start or
        restart of a member does not change the broker; on a weak VM it would delay all
        members. Members that are out of sync with the store come last, because they
        don't know of new or leaving targets.
        """
        candidates = self._broker_candidates(self.views.values(), now, own)
        return [candidate.node for candidate in candidates]

    def _broker_candidates(
        self, views: Iterable[MemberView], now: float, own: Heartbeat
    ) -> list[_BrokerCandidate]:
        """Return which of these members, and this one, may be the broker, in order."""
        # Hubs send heartbeats half as often as members of a full mesh.
        timeout_s = MEMBER_TIMEOUT_S if self.hubs else BROKER_TIMEOUT_S
        heartbeats = [
            view.heartbeat
            for view in self._live(views, now, timeout_s)
            if view.suspect_until_s <= now
        ]
        return sorted(
            _BrokerCandidate(
                not heartbeat.in_sync,
                self._is_weak(heartbeat),
                heartbeat.started_ms,
                heartbeat.sender.node,
            )
            for heartbeat in (*heartbeats, own)
            if heartbeat.ready and not heartbeat.draining
        )
