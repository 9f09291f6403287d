"""Deterministic simulation of tier admission over several members.

Each process has a membership, a tier admission and a clock that drifts. The network
loses, duplicates, delays and partitions messages; the key-value service fails.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from burdockhaven_core.identity import EntryName, GroupName, Incarnation, MemberId
from burdockhaven_core.membership import MemberParameters, Membership
from burdockhaven_core.messages import Heartbeat, PeerMessage
from burdockhaven_core.tier_admission import AdmissionDecision, TierAdmission

GROUP = GroupName("g")
TOP_TIER = 2
TICK_S = 0.05
HEARTBEAT_INTERVAL_S = 0.5
KEEPALIVE_INTERVAL_S = 1.0
LEASE_TTL_S = 6.0
# Share by which a process shortens its own lease, since clocks drift.
LEASE_SAFETY_SHARE = 0.01


@dataclass(slots=True)
class Process:
    """The parts of an entry process that decide on tier admission."""

    slot: int
    membership: Membership
    tier_admission: TierAdmission
    # Local clock = offset + rate * virtual time.
    offset_s: float
    rate: float
    paused: bool = False
    next_heartbeat_s: float = 0.0
    next_keepalive_s: float = 0.0
    # Tier that the process requests to shed at each tick; 0 for none.
    shedding_tier: int = 0
    inbox: list[tuple[MemberId, PeerMessage]] = field(default_factory=list)

    @property
    def member_id(self) -> MemberId:
        """Identity of this process as a member."""
        return self.membership.parameters.member_id

    def local_time_s(self, time_s: float) -> float:
        """The reading of the process's monotonic clock at a virtual time."""
        return self.offset_s + self.rate * time_s


class TierAdmissionFleet:
    """Processes, the network between them, the key-value service and the VM list."""

    def __init__(self, slots: int, seed: int, max_drift: float = 0.004) -> None:
        self.rng = random.Random(seed)
        self.max_drift = max_drift
        self.time_s = 0.0
        self.send_numbers = itertools.count()
        self.processes: dict[int, Process] = {}
        self.in_transit: list[tuple[float, int, int, MemberId, PeerMessage]] = []
        # Ordered (sender, receiver) pairs of slots whose messages are dropped.
        self.blocked_links: set[tuple[int, int]] = set()
        self.loss_rate = 0.0
        self.duplication_rate = 0.0
        self.max_delay_s = 0.01
        self.kv_up = True
        self.kv_blocked_slots: set[int] = set()
        # Peer address and expiry, in virtual time, of each lease.
        self.leases: dict[MemberId, tuple[str, float]] = {}
        # Number of checks in which a process could shed; while it is zero, no check has
        # tested the invariant.
        self.shed_count = 0
        self.slots = slots
        # Slots whose VM is on the VM list, even if no process runs there.
        self.vms = set(range(slots))
        for slot in range(slots):
            self.start(slot)

    def address(self, slot: int) -> str:
        """Peer address of the slot; a restarted process keeps it."""
        return f"10.0.0.{slot + 1}:7000"

    def start(self, slot: int) -> None:
        """Start a new process in the slot, replacing any process there."""
        offset_s = self.rng.uniform(0, 1e5)
        rate = 1 + self.rng.uniform(-self.max_drift, self.max_drift)
        incarnation = Incarnation(f"{self.rng.getrandbits(64):x}")
        member_id = MemberId(EntryName(f"e{slot}"), incarnation)
        started_s = offset_s + rate * self.time_s
        address = self.address(slot)
        parameters = MemberParameters(member_id, "z", address, address, started_s)
        membership = Membership.from_config(parameters)
        tier_admission = TierAdmission.from_config(membership)
        tier_admission.top_tiers = {GROUP: TOP_TIER}
        self.vms.add(slot)
        self.processes[slot] = Process(slot, membership, tier_admission, offset_s, rate)

    def kill(self, slot: int) -> None:
        """Crash the process in the slot; it notifies nobody."""
        self.processes.pop(slot, None)

    def resign(self, slot: int) -> None:
        """Stop the process gracefully; its last heartbeat announces the stop."""
        process = self.processes.get(slot)
        if process is not None and not process.paused:
            self._heartbeat(process, resigned=True)
            if self._kv_reachable(process):
                self.leases.pop(process.member_id, None)
            self.kill(slot)

    def set_kv(self, up: bool, keeps_leases: bool = True) -> None:
        """Stop or restart the key-value service; leases persist across a restart.

        With `keeps_leases`, a restart grants each lease its full lifetime again;
        otherwise the leases that expired during the outage are removed.
        """
        if up and not self.kv_up:
            if keeps_leases:
                self._renew_all_leases()
            self._expire_leases(during_outage=True)
        self.kv_up = up

    def advance(self, seconds: float) -> None:
        """Advance virtual time and check the invariant after each step of a process."""
        for _ in range(max(1, round(seconds / TICK_S))):
            self.time_s += TICK_S
            self._deliver()
            for process in list(self.processes.values()):
                if not process.paused:
                    self._tick(process)
                    self.check()
        self._expire_leases()

    def check(self) -> None:
        """Check that no process admits a tier below one that any process may shed."""
        running = [p for p in self.processes.values() if not p.paused]
        for shedder in running:
            now = shedder.local_time_s(self.time_s)
            tiers = range(1, TOP_TIER + 1)
            shed = [t for t in tiers if shedder.tier_admission.can_shed(GROUP, t, now)]
            if not shed:
                continue
            self.shed_count += 1
            for other in running:
                self._check_admission(shedder, other, max(shed))

    def heal(self) -> None:
        """Clear all faults; VMs without a process leave the VM list."""
        self.vms = set(self.processes)
        self.blocked_links.clear()
        self.kv_blocked_slots.clear()
        self.set_kv(True)
        self.loss_rate = self.duplication_rate = 0.0
        self.max_delay_s = 0.01
        for process in self.processes.values():
            process.paused = False

    def _check_admission(self, shedder: Process, other: Process, tier: int) -> None:
        now = other.local_time_s(self.time_s)
        for lower in range(tier):
            admission = other.tier_admission.admission(GROUP, lower, now)
            assert admission is not AdmissionDecision.ADMIT, (
                f"at {self.time_s:.2f} slot {shedder.slot} may shed tier {tier} "
                f"while slot {other.slot} admits tier {lower}"
            )

    def _tick(self, process: Process) -> None:
        inbox, process.inbox = process.inbox, []
        for sender, message in inbox:
            self._receive(process, sender, message)
        now = process.local_time_s(self.time_s)
        if self.time_s >= process.next_keepalive_s:
            process.next_keepalive_s = self.time_s + KEEPALIVE_INTERVAL_S
            self._keepalive(process)
        if self.time_s >= process.next_heartbeat_s:
            process.next_heartbeat_s = self.time_s + HEARTBEAT_INTERVAL_S
            self._heartbeat(process)
        sends = process.tier_admission.on_tick(now)
        if process.shedding_tier:
            sends += process.tier_admission.request_shedding(
                GROUP, process.shedding_tier, now
            )
        for send in sends:
            self._send(process, send.to, send.message)

    def _receive(
        self, process: Process, sender: MemberId, message: PeerMessage
    ) -> None:
        now = process.local_time_s(self.time_s)
        if isinstance(message, Heartbeat):
            process.membership.on_heartbeat(message, now)
            return
        for send in process.tier_admission.on_message(sender, message, now):
            self._send(process, send.to, send.message)

    def _heartbeat(self, process: Process, resigned: bool = False) -> None:
        now = process.local_time_s(self.time_s)
        listed = frozenset(self.address(slot) for slot in self.vms)
        process.membership.on_vm_list(listed, frozenset(), now)
        heartbeat = process.membership.heartbeat(
            now, ready=True, draining=False, config_version=1, resigned=resigned
        )
        for member in process.membership.known_members():
            message = process.membership.heartbeat_for(member, heartbeat)
            self._send(process, member, message)
        for address in process.membership.unidentified_addresses():
            self._send_to_slot(process, _slot_of(address), heartbeat)

    def _send(self, process: Process, to: MemberId, message: PeerMessage) -> None:
        record = process.membership.records.get(to)
        if record is not None:
            slot = _slot_of(record.peer_address)
            self._send_to_slot(process, slot, message)

    def _send_to_slot(self, process: Process, slot: int, message: PeerMessage) -> None:
        if (
            process.slot,
            slot,
        ) in self.blocked_links or self.rng.random() < self.loss_rate:
            return
        copies = 2 if self.rng.random() < self.duplication_rate else 1
        for _ in range(copies):
            due_s = self.time_s + self.rng.uniform(0, self.max_delay_s)
            item = (due_s, next(self.send_numbers), slot, process.member_id, message)
            heapq.heappush(self.in_transit, item)

    def _deliver(self) -> None:
        while self.in_transit and self.in_transit[0][0] <= self.time_s:
            _, _, slot, sender, message = heapq.heappop(self.in_transit)
            process = self.processes.get(slot)
            if process is None:
                continue
            if process.paused:
                process.inbox.append((sender, message))
            else:
                self._receive(process, sender, message)

    def _kv_reachable(self, process: Process) -> bool:
        return self.kv_up and process.slot not in self.kv_blocked_slots

    def _keepalive(self, process: Process) -> None:
        if not self._kv_reachable(process):
            return
        self._expire_leases()
        address = process.membership.parameters.peer_address
        self.leases[process.member_id] = (address, self.time_s + LEASE_TTL_S)
        now = process.local_time_s(self.time_s)
        own_lease_until_s = now + LEASE_TTL_S * (1 - LEASE_SAFETY_SHARE)
        members = {member: lease[0] for member, lease in self.leases.items()}
        process.membership.on_leases(members, own_lease_until_s, now)

    def _expire_leases(self, during_outage: bool = False) -> None:
        if not self.kv_up and not during_outage:
            return
        for member, (_, until_s) in list(self.leases.items()):
            if until_s <= self.time_s:
                del self.leases[member]

    def _renew_all_leases(self) -> None:
        for member, (address, _) in list(self.leases.items()):
            self.leases[member] = (address, self.time_s + LEASE_TTL_S)


def _slot_of(address: str) -> int:
    return int(address.partition(":")[0].rpartition(".")[2]) - 1
