"""Who the members are: heartbeats, key-value leases and the VM list, merged.

Each source says something different, and none is trusted alone. A heartbeat shows that
a process runs and can be reached. A lease in the key-value service shows that the
process was alive a few seconds ago. The VM list shows, late, which machines exist.

Two questions are kept apart:

- `live`: whom to send callers to. A wrong answer costs a retry.
- `view`: whose promise and whose admission lease this member needs. A wrong answer
  breaks the order of tiers, so a member leaves the view only on proof (docs/DESIGN-
  tiers.md has the argument).

Admission leases are mutual and ride on heartbeats: member B's heartbeat to A repeats
the newest `clock_s` it heard from A, and A holds a lease from B until that clock plus
`ADMISSION_LEASE_S`. Only A's clock is involved, so delay shortens the lease and never
lengthens it. B reckons with A for at least the longer member timeout after hearing it.
The lease counts only if A knows all members that B reckons with; B sends that list
again until A's echo names its version.
"""

import random
from dataclasses import dataclass, field

import msgspec

from burdockhaven_core.configuration import Configuration
from burdockhaven_core.identity import MemberId, TargetName
from burdockhaven_core.leaving_targets import LeavingTargets
from burdockhaven_core.member_record import (
    MemberRecord,
    MemberView,
    accepts_callers,
    is_listed,
    make_member_view,
)
from burdockhaven_core.messages import (
    Echo,
    GroupDemand,
    Heartbeat,
    PeerState,
    PeerStatus,
)

# Seconds, from the sending of a heartbeat, for which its echo permits admission.
ADMISSION_LEASE_S = 2.0
# Seconds of silence after which a member may be taken out of the view, given proof.
MEMBER_TIMEOUT_S = 3.0
# Seconds after the process start in which only the highest tier is admitted. Longer
# than any promise that an earlier process of this entry may have given.
STARTUP_HOLD_S = 3.0
# Seconds before the end of the own lease at which members that were taken out on the
# strength of it come back. Longer than an admission lease.
LEASE_MARGIN_S = 2.5
# Clocks of two members drift apart by at most this share.
MAX_CLOCK_DRIFT = 0.01
# Seconds within which every running VM is on the VM list.
VM_LIST_LAG_S = 30.0
# Seconds after which a VM on the list that neither answers nor holds a lease is taken
# for one that runs no entry. Longer than a member's lease and its renewal.
UNIDENTIFIED_VM_TIMEOUT_S = 10.0
# Seconds for which a process that is gone for good is remembered.
TOMBSTONE_RETENTION_S = 3_600.0
# Entries compared when a caller is sent to the less loaded one.
LOAD_BALANCING_CHOICES = 2


@dataclass(frozen=True, slots=True)
class MemberParameters:
    """How this process describes itself to the other members."""

    member_id: MemberId
    zone: str
    # Where callers and other members reach the process, as host:port.
    caller_address: str
    peer_address: str
    # Monotonic time of the process start; `clock_s` counts from here.
    started_s: float
    # Seconds of silence after which a member may be taken out.
    member_timeout_s: float = MEMBER_TIMEOUT_S
    # Seconds after the start in which only the highest tier is admitted.
    startup_hold_s: float = STARTUP_HOLD_S


@dataclass(slots=True)
class Membership:
    """The members as this process knows them."""

    parameters: MemberParameters
    records: dict[MemberId, MemberRecord] = field(default_factory=dict)
    # Processes that are gone for good, and when that was learned.
    tombstones: dict[MemberId, float] = field(default_factory=dict)
    leaving: LeavingTargets = field(default_factory=LeavingTargets)
    # Base address (host:port) of each configured target.
    target_addresses: dict[TargetName, str] = field(default_factory=dict)
    # Whether a source that knows all members has shown them to this process.
    has_full_membership: bool = False
    # What the newest heartbeat said of the others, and how often that has changed.
    announced_peers: tuple[PeerStatus, ...] = ()
    view_version: int = 0
    # The newest heartbeat of this process; None before the first.
    own_heartbeat: Heartbeat | None = None
    # Addresses that the VM list last called live; None before it was read.
    listed_addresses: frozenset[str] | None = None
    # When each of these addresses was first seen there.
    listed_since_s: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_config(cls, parameters: MemberParameters) -> "Membership":
        """A member that knows nobody yet."""
        return cls(parameters)

    def on_configuration(self, configuration: Configuration) -> None:
        """Learn the addresses of the targets, to read the VM list by."""
        self.target_addresses = {
            target.name: target.address.rpartition("//")[2].rstrip("/")
            for template in configuration.templates.values()
            for group in template.groups
            for target in group.targets
        }

    def heartbeat(
        self,
        now: float,
        *,
        ready: bool,
        draining: bool,
        config_version: int,
        demand: tuple[GroupDemand, ...] = (),
        resigned: bool = False,
    ) -> Heartbeat:
        """The next heartbeat, as for a process that knows nothing of this one.

        To be sent to members as `heartbeat_for` shortens it.
        """
        parameters = self.parameters
        announced_peers = self._peer_statuses(now)
        if announced_peers != self.announced_peers:
            self.announced_peers = announced_peers
            self.view_version += 1
        sequence = 1 if self.own_heartbeat is None else self.own_heartbeat.sequence + 1
        self.own_heartbeat = Heartbeat(
            entry=parameters.member_id.entry,
            incarnation=parameters.member_id.incarnation,
            sequence=sequence,
            clock_s=now - parameters.started_s,
            caller_address=parameters.caller_address,
            peer_address=parameters.peer_address,
            zone=parameters.zone,
            ready=ready,
            draining=draining,
            config_version=config_version,
            demand=demand,
            leaving=self.leaving.gossip_entries(now),
            peers=announced_peers,
            view_version=self.view_version,
            resigned=resigned,
            has_full_membership=self.has_full_membership,
        )
        return self.own_heartbeat

    def heartbeat_for(self, member: MemberId, heartbeat: Heartbeat) -> Heartbeat:
        """The heartbeat as it goes to one member: its echo, and only news of others."""
        record = self.records[member]
        echo = None
        if record.heartbeat is not None:
            peer_clock_s = record.heartbeat.clock_s
            echo = Echo(member.incarnation, peer_clock_s, record.view_version)
        has_latest_peers = record.acked_view_version == heartbeat.view_version
        peers = None if has_latest_peers else heartbeat.peers
        return msgspec.structs.replace(heartbeat, echo=echo, peers=peers)

    def on_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Take in what another member says of itself and of the others."""
        member = MemberId(heartbeat.entry, heartbeat.incarnation)
        if not self._may_be_running(member, heartbeat.peer_address, now):
            return
        record = self._ensure_record(member, heartbeat.peer_address, now)
        newest = record.heartbeat
        if newest is not None and newest.sequence >= heartbeat.sequence:
            return
        record.heartbeat = heartbeat
        record.last_seen_s = now
        record.peer_address = heartbeat.peer_address
        record.excluded_until_s = float("-inf")
        for target in heartbeat.leaving:
            self.leaving.record_leaving(target.target, now, target.age_s)
        if heartbeat.peers is not None:
            record.view_version = heartbeat.view_version
            self._merge_peers(record, heartbeat.peers, now)
        if heartbeat.echo is not None:
            self._on_echo(record, heartbeat, heartbeat.echo)
        if heartbeat.resigned:
            self._mark_terminated(member, now)
        self._remove_superseded(now)

    def on_leases(
        self, members: dict[MemberId, str], own_lease_until_s: float, now: float
    ) -> None:
        """Take in the leases that stand in the key-value service.

        Silent members without a lease leave the view, but only for as long as this
        member's own lease stands: whoever takes this member out later must have seen
        its lease gone, and by then the member so taken out is back in the view.
        A process that no member has introduced knows all members once its lease
        stands, the leases are read and nobody else is on the VM list. The list names
        targets too, and before the first configuration nothing tells them from
        entries: an address that stays unknown is waited for a while only.
        """
        has_own_lease = self.parameters.member_id in members and own_lease_until_s > now
        for member, address in members.items():
            if self._may_be_running(member, address, now):
                record = self._ensure_record(member, address, now)
                record.excluded_until_s = float("-inf")
        if not has_own_lease:
            return
        is_only_member = (
            self.listed_addresses is not None and not self._unresolved_addresses(now)
        )
        self.has_full_membership = self.has_full_membership or is_only_member
        for member, record in self.records.items():
            if member not in members and self._is_silent(record, now):
                record.excluded_until_s = own_lease_until_s - LEASE_MARGIN_S

    def on_vm_list(
        self, live: frozenset[str], leaving: frozenset[str], now: float
    ) -> None:
        """Take in the platform's list of VMs, which lags."""
        self.listed_addresses = live
        previous = self.listed_since_s
        self.listed_since_s = {address: previous.get(address, now) for address in live}
        for name, address in self.target_addresses.items():
            if is_listed(address, leaving):
                self.leaving.record_leaving(name, now)
            elif is_listed(address, live):
                self.leaving.record_live(name, now)
        for member, record in list(self.records.items()):
            record.is_vm_leaving = is_listed(record.peer_address, leaving)
            if record.is_vm_leaving or is_listed(record.peer_address, live):
                record.was_listed = True
            elif self._is_silent(record, now) and (
                record.was_listed or now - record.first_seen_s >= VM_LIST_LAG_S
            ):
                self._mark_terminated(member, now)

    def record_leaving(self, target: TargetName, now: float) -> None:
        """Record that a target said of itself that it is leaving."""
        self.leaving.record_leaving(target, now)

    def record_live(self, target: TargetName, now: float) -> None:
        """Record that a target said of itself that it is not leaving."""
        self.leaving.record_live(target, now)

    def leaving_targets(self, now: float) -> frozenset[TargetName]:
        """The targets that must get no new work."""
        return self.leaving.names(now)

    def live(self, now: float) -> tuple[MemberView, ...]:
        """The other members that were heard within the member timeout."""
        return tuple(
            make_member_view(member, record)
            for member, record in self.records.items()
            if record.heartbeat is not None and not self._is_silent(record, now)
        )

    def view(self, now: float) -> tuple[MemberId, ...]:
        """The other processes that may still admit or shed, heard lately or not."""
        return tuple(
            member
            for member, record in self.records.items()
            if not self._is_excluded(member, record, now)
        )

    def known_members(self) -> tuple[MemberId, ...]:
        """Every other process that heartbeats are sent to."""
        return tuple(self.records)

    def peer_addresses(self, now: float) -> dict[MemberId, str]:
        """Peer address by member, of every process that heartbeats are sent to."""
        return {member: record.peer_address for member, record in self.records.items()}

    def unidentified_addresses(self) -> tuple[str, ...]:
        """Addresses on the VM list of neither a known member nor a known target.

        A process that starts while the key-value service is down finds the others here.
        """
        addresses = {
            address for address in self.listed_addresses or () if ":" in address
        }
        addresses.difference_update(r.peer_address for r in self.records.values())
        addresses.difference_update(self.target_addresses.values())
        addresses.discard(self.parameters.peer_address)
        return tuple(sorted(addresses))

    def _unresolved_addresses(self, now: float) -> tuple[str, ...]:
        """The strangers that may still turn out to be entries."""
        return tuple(
            address
            for address in self.unidentified_addresses()
            if now - self.listed_since_s[address] < UNIDENTIFIED_VM_TIMEOUT_S
        )

    def has_joined(self, now: float) -> bool:
        """Whether this process knows the members it has to reckon with."""
        started_s = self.parameters.started_s
        return (
            self.has_full_membership
            and now - started_s >= self.parameters.startup_hold_s
        )

    def can_admit_lower_tiers(self, now: float) -> bool:
        """Whether this process may admit requests below the highest tier."""
        return self.has_joined(now) and all(
            self.records[member].lease_until_s > now for member in self.view(now)
        )

    def find_live(self, member: MemberId, now: float) -> MemberView | None:
        """The member if it was heard lately; None otherwise."""
        record = self.records.get(member)
        if record is None or record.heartbeat is None:
            return None
        if self._is_silent(record, now):
            return None
        return make_member_view(member, record)

    def clock_lower_bound_s(self, member: MemberId, now: float) -> float | None:
        """A lower bound of the member's own clock; None if it was never heard."""
        record = self.records.get(member)
        if record is None or record.heartbeat is None:
            return None
        elapsed_s = max(0.0, now - record.last_seen_s)
        return record.heartbeat.clock_s + elapsed_s * (1.0 - MAX_CLOCK_DRIFT)

    def pick_entry(self, now: float, rng: random.Random) -> MemberView | None:
        """The entry that a caller is sent to; None if no entry takes requests.

        Two entries are drawn and the less loaded one is taken, which spreads callers
        although the loads are a heartbeat old.
        """
        candidates = [view for view in self.live(now) if accepts_callers(view)]
        own = self._own_view()
        is_own_eligible = not candidates or self.can_admit_lower_tiers(now)
        if own is not None and accepts_callers(own) and is_own_eligible:
            candidates.append(own)
        if not candidates:
            return None
        sampled = rng.sample(candidates, min(LOAD_BALANCING_CHOICES, len(candidates)))
        return min(sampled, key=lambda view: view.load)

    def _own_view(self) -> MemberView | None:
        if self.own_heartbeat is None:
            return None
        record = MemberRecord(
            self.own_heartbeat.peer_address, 0.0, 0.0, self.own_heartbeat
        )
        return make_member_view(self.parameters.member_id, record)

    def _peer_statuses(self, now: float) -> tuple[PeerStatus, ...]:
        statuses = []
        for member, record in self.records.items():
            is_excluded = self._is_excluded(member, record, now)
            state = PeerState.EXCLUDED if is_excluded else PeerState.ACTIVE
            address = record.peer_address
            statuses.append(
                PeerStatus(member.entry, member.incarnation, address, state)
            )
        for member in self.tombstones:
            statuses.append(
                PeerStatus(member.entry, member.incarnation, "", PeerState.TERMINATED)
            )
        return tuple(statuses)

    def _merge_peers(
        self, sender: MemberRecord, peers: tuple[PeerStatus, ...], now: float
    ) -> None:
        excluded_peers = set()
        for peer in peers:
            member = MemberId(peer.entry, peer.incarnation)
            if peer.state is PeerState.TERMINATED:
                if member not in self.tombstones:
                    self._mark_terminated(member, now)
                continue
            if not self._may_be_running(member, peer.peer_address, now):
                continue
            self._ensure_record(member, peer.peer_address, now)
            if peer.state is PeerState.EXCLUDED:
                excluded_peers.add(member)
        sender.excluded_peers = frozenset(excluded_peers)

    def _on_echo(self, sender: MemberRecord, heartbeat: Heartbeat, echo: Echo) -> None:
        if echo.incarnation != self.parameters.member_id.incarnation:
            return
        sender.has_acknowledged = True
        sender.acked_view_version = max(sender.acked_view_version, echo.view_version)
        if sender.view_version != heartbeat.view_version:
            return
        echoed_s = self.parameters.started_s + echo.clock_s
        sender.lease_until_s = max(sender.lease_until_s, echoed_s + ADMISSION_LEASE_S)
        self.has_full_membership = (
            self.has_full_membership or heartbeat.has_full_membership
        )

    def _may_be_running(self, member: MemberId, address: str, now: float) -> bool:
        """Whether this is another process that may still run."""
        if member == self.parameters.member_id or member in self.tombstones:
            return False
        if address == self.parameters.peer_address:
            self._mark_terminated(member, now)
            return False
        return True

    def _ensure_record(
        self, member: MemberId, address: str, now: float
    ) -> MemberRecord:
        return self.records.setdefault(member, MemberRecord(address, now, now))

    def _is_excluded(self, member: MemberId, record: MemberRecord, now: float) -> bool:
        """Whether the process is kept out of the view.

        A process that never knew this one needs no lease of it, so its silence proves
        nothing, unless a member that it does know keeps it out too.
        """
        if record.excluded_until_s <= now:
            return False
        return record.has_acknowledged or any(
            member in other.excluded_peers and other.lease_until_s > now
            for other in self.records.values()
        )

    def _is_silent(self, record: MemberRecord, now: float) -> bool:
        return now - record.last_seen_s >= self.parameters.member_timeout_s

    def _mark_terminated(self, member: MemberId, now: float) -> None:
        self.records.pop(member, None)
        self.tombstones[member] = now
        for other, terminated_s in list(self.tombstones.items()):
            if now - terminated_s >= TOMBSTONE_RETENTION_S:
                del self.tombstones[other]

    def _remove_superseded(self, now: float) -> None:
        """Drop silent processes whose address another process answers at now."""
        live_addresses = {
            record.peer_address
            for record in self.records.values()
            if not self._is_silent(record, now) and record.heartbeat is not None
        }
        for member, record in list(self.records.items()):
            if self._is_silent(record, now) and record.peer_address in live_addresses:
                self._mark_terminated(member, now)
