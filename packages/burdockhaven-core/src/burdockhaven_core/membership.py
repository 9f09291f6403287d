"""Membership and failure detection from heartbeats, key-value leases and the VM list.

No source is sufficient alone. A heartbeat shows that a process runs and can be reached.
A lease in the key-value service shows that the process was alive a few seconds ago. The
VM list shows, with a delay, which machines exist.

The membership answers two separate questions:

- `live`: which members callers may be sent to. A wrong answer costs a retry.
- `view`: which members must promise a closure and grant an admission lease before this
  member acts. A wrong answer violates the order of tiers, so a member is excluded from
  the view only on proof (see docs/DESIGN-tiers.md for the argument).

Admission leases are mutual and carried by heartbeats. Member B's heartbeat to A echoes
the newest `clock_s` received from A, and A holds a lease from B until that time plus
`ADMISSION_LEASE_S`. Both times are read from A's clock, so a delayed message shortens
the lease and never extends it. After a heartbeat from A, B keeps A in its view for at
least the member timeout, which is longer than the lease. The lease is valid only if A
knows every member in B's view, so B repeats its member list until A's echo acknowledges
the version of that list.
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

# Lifetime of an admission lease, counted from when the echoed heartbeat was sent.
ADMISSION_LEASE_S = 2.0
# Time without a heartbeat after which a member counts as silent. A silent member is
# excluded from the view only with further proof.
MEMBER_TIMEOUT_S = 3.0
# Time after the process start during which only the highest tier is admitted. Longer
# than `PROMISE_DURATION_S`, so that promises of an earlier process have expired.
STARTUP_HOLD_S = 3.0
# How long before the expiry of this member's own lease the exclusions that rely on the
# lease end. Longer than `ADMISSION_LEASE_S`.
LEASE_MARGIN_S = 2.5
# Upper bound of the relative drift between the clocks of two members.
MAX_CLOCK_DRIFT = 0.01
# Upper bound of the delay with which a running VM appears on the VM list.
VM_LIST_LAG_S = 30.0
# Time after which a listed VM that neither answers nor holds a lease is assumed to run
# no entry. Longer than the lifetime of a member's lease plus its renewal interval.
UNIDENTIFIED_VM_TIMEOUT_S = 10.0
# How long the tombstone of a terminated process is kept.
TOMBSTONE_RETENTION_S = 3_600.0
# Entries sampled for each caller, of which the least loaded one is picked.
LOAD_BALANCING_CHOICES = 2


@dataclass(frozen=True, slots=True)
class MemberParameters:
    """Identity, addresses and timeouts of this process."""

    member_id: MemberId
    zone: str
    # Addresses (host:port) for callers and for other members.
    caller_address: str
    peer_address: str
    # Monotonic time of the process start; `clock_s` counts from here.
    started_s: float
    # Time without a heartbeat after which a member counts as silent.
    member_timeout_s: float = MEMBER_TIMEOUT_S
    # Time after the start during which only the highest tier is admitted.
    startup_hold_s: float = STARTUP_HOLD_S


@dataclass(slots=True)
class Membership:
    """The other members, as known to this process."""

    parameters: MemberParameters
    records: dict[MemberId, MemberRecord] = field(default_factory=dict)
    # Terminated processes, with the time at which the termination was learned.
    tombstones: dict[MemberId, float] = field(default_factory=dict)
    leaving: LeavingTargets = field(default_factory=LeavingTargets)
    # Address (host:port) of each configured target.
    target_addresses: dict[TargetName, str] = field(default_factory=dict)
    # Whether this process has received the complete member list from another member, or
    # has established that it is the only member.
    has_full_membership: bool = False
    # The member list in this process's newest heartbeat, and its version, which grows
    # with each change of the list.
    announced_peers: tuple[PeerStatus, ...] = ()
    view_version: int = 0
    # The newest heartbeat of this process; None before the first one.
    own_heartbeat: Heartbeat | None = None
    # Addresses of live VMs on the newest VM list; None before the first list was read.
    listed_addresses: frozenset[str] | None = None
    # When each of the listed addresses first appeared on the VM list.
    listed_since_s: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_config(cls, parameters: MemberParameters) -> "Membership":
        """Create the membership of a process that knows no other member yet."""
        return cls(parameters)

    def on_configuration(self, configuration: Configuration) -> None:
        """Update the target addresses, by which targets are found on the VM list."""
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
        """Create the next heartbeat, with the full member list and without an echo.

        `heartbeat_for` adapts it to each receiver that is a known member.
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
        """Adapt the heartbeat to one member.

        Adds the echo, and omits the member list if the receiver has acknowledged it.
        """
        record = self.records[member]
        echo = None
        if record.heartbeat is not None:
            peer_clock_s = record.heartbeat.clock_s
            echo = Echo(member.incarnation, peer_clock_s, record.view_version)
        has_latest_peers = record.acked_view_version == heartbeat.view_version
        peers = None if has_latest_peers else heartbeat.peers
        return msgspec.structs.replace(heartbeat, echo=echo, peers=peers)

    def on_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Merge another member's heartbeat; older and duplicate ones are ignored."""
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
        """Merge the member leases read from the key-value service.

        Silent members without a lease are excluded from the view, but only until
        shortly before this member's own lease expires. Another member can exclude this
        one only after it has seen that lease expire, and by then this member's view
        includes the excluded members again.

        A process that has received no complete member list has the full membership
        once it holds a lease, has read the leases and finds no unresolved address on
        the VM list. The list also contains targets, which can't be distinguished from
        entries before the first configuration, so an unidentified address delays
        joining only for `UNIDENTIFIED_VM_TIMEOUT_S`.
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
        """Merge the platform's VM list, which lags behind by `VM_LIST_LAG_S`."""
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
        """Record that a target has reported that it is leaving."""
        self.leaving.record_leaving(target, now)

    def record_live(self, target: TargetName, now: float) -> None:
        """Record that a target has reported that it is not leaving."""
        self.leaving.record_live(target, now)

    def leaving_targets(self, now: float) -> frozenset[TargetName]:
        """Return the targets that must not receive new requests."""
        return self.leaving.names(now)

    def live(self, now: float) -> tuple[MemberView, ...]:
        """Return the other members whose heartbeat arrived within the timeout."""
        return tuple(
            make_member_view(member, record)
            for member, record in self.records.items()
            if record.heartbeat is not None and not self._is_silent(record, now)
        )

    def view(self, now: float) -> tuple[MemberId, ...]:
        """Return the other processes that may still admit or shed, silent or not."""
        return tuple(
            member
            for member, record in self.records.items()
            if not self._is_excluded(member, record, now)
        )

    def known_members(self) -> tuple[MemberId, ...]:
        """Return all other processes, to which heartbeats are sent."""
        return tuple(self.records)

    def peer_addresses(self, now: float) -> dict[MemberId, str]:
        """Return the peer address of each process that heartbeats are sent to."""
        return {member: record.peer_address for member, record in self.records.items()}

    def unidentified_addresses(self) -> tuple[str, ...]:
        """Return listed addresses that belong to no known member or target.

        A process that starts during an outage of the key-value service discovers the
        other members by sending heartbeats to these addresses.
        """
        addresses = {
            address for address in self.listed_addresses or () if ":" in address
        }
        addresses.difference_update(r.peer_address for r in self.records.values())
        addresses.difference_update(self.target_addresses.values())
        addresses.discard(self.parameters.peer_address)
        return tuple(sorted(addresses))

    def _unresolved_addresses(self, now: float) -> tuple[str, ...]:
        """Return the unidentified addresses that may still belong to entries."""
        return tuple(
            address
            for address in self.unidentified_addresses()
            if now - self.listed_since_s[address] < UNIDENTIFIED_VM_TIMEOUT_S
        )

    def has_joined(self, now: float) -> bool:
        """Whether this process has the full membership and the startup hold is over."""
        started_s = self.parameters.started_s
        return (
            self.has_full_membership
            and now - started_s >= self.parameters.startup_hold_s
        )

    def can_admit_lower_tiers(self, now: float) -> bool:
        """Whether this process holds an admission lease from each member in its view.

        Without these leases it may admit only requests of the highest tier.
        """
        return self.has_joined(now) and all(
            self.records[member].lease_until_s > now for member in self.view(now)
        )

    def find_live(self, member: MemberId, now: float) -> MemberView | None:
        """Return the member if it is live, None otherwise."""
        record = self.records.get(member)
        if record is None or record.heartbeat is None:
            return None
        if self._is_silent(record, now):
            return None
        return make_member_view(member, record)

    def clock_lower_bound_s(self, member: MemberId, now: float) -> float | None:
        """Return a lower bound of the member's current clock.

        Returns None if no heartbeat of the member has arrived.
        """
        record = self.records.get(member)
        if record is None or record.heartbeat is None:
            return None
        elapsed_s = max(0.0, now - record.last_seen_s)
        return record.heartbeat.clock_s + elapsed_s * (1.0 - MAX_CLOCK_DRIFT)

    def pick_entry(self, now: float, rng: random.Random) -> MemberView | None:
        """Pick the entry for a caller by power of two choices.

        The less loaded of two random entries is picked, which spreads callers evenly
        although the known loads are up to a heartbeat interval old. Returns None if no
        entry accepts requests.
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
        """Whether this is another process that is not known to have terminated.

        A process at this process's own address is an earlier one and has terminated.
        """
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
        """Whether the process is excluded from the view.

        A process that does not know this one needs no admission lease from it, so its
        silence proves nothing unless a live member has excluded it as well.
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
        """Mark silent processes as terminated if a live one has their address."""
        live_addresses = {
            record.peer_address
            for record in self.records.values()
            if not self._is_silent(record, now) and record.heartbeat is not None
        }
        for member, record in list(self.records.items()):
            if self._is_silent(record, now) and record.peer_address in live_addresses:
                self._mark_terminated(member, now)
