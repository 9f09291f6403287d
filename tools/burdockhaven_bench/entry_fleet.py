"""Deterministic simulation of complete entries under fault injection.

Each entry runs with its own clock in virtual time. The network, the targets, the
key-value service and the VM list are simulated and fail as a test demands.
"""

import enum
import itertools
import random
from dataclasses import dataclass, field

from result import Ok

from burdockhaven_bench.entry_oracle import Oracle, SentRequest
from burdockhaven_bench.virtual_time import Scheduler
from burdockhaven_core import actions
from burdockhaven_core.assignment import read_assignment
from burdockhaven_core.configuration import Configuration, GroupKind, TargetSpec
from burdockhaven_core.entry import Entry
from burdockhaven_core.entry_state import EntryParameters
from burdockhaven_core.events import (
    CallerDisconnected,
    ConfigurationRead,
    Event,
    LoadReported,
    LookUpArrived,
    MemberLeasesRead,
    MessageArrived,
    RequestArrived,
    ResumeArrived,
    RunCompleted,
    RunLost,
    RunProgressed,
    RunRejected,
    StopRequested,
    Tick,
    VmListRead,
)
from burdockhaven_core.identity import (
    AccountName,
    ClassName,
    EntryName,
    Incarnation,
    MemberId,
    RequestId,
    RunId,
    TargetName,
)
from burdockhaven_core.messages import PeerMessage
from burdockhaven_core.run_registry import RunState

ASSIGNMENT_KEY = b"a key of the fuzzing"
TICK_S = 0.1
KEEPALIVE_INTERVAL_S = 1.0
LEASE_TTL_S = 6.0
LEASE_SAFETY_SHARE = 0.01
# Delay until an entry learns that a run was rejected, or lost at or before its start.
TARGET_DELAY_S = 0.01
SERVICE_TIME_S = 1.0
OUTPUT_TOKENS = 20


class DispatchResult(enum.Enum):
    """Outcome of one dispatch, as a test injects it."""

    COMPLETED = "whole"
    REJECTED = "refused"
    LOST_BEFORE_START = "lost before start"
    LOST_AT_START = "lost at start"
    LOST_MIDWAY = "lost midway"
    # Reported as lost, but the remaining chunks and the end arrive later.
    COMPLETED_AFTER_LOSS = "late"
    STUCK = "stuck"


@dataclass(frozen=True, slots=True)
class AssignedRequest:
    """A request with its assignment, as a caller sends and resends it."""

    token: str
    key: str
    class_name: ClassName
    # Slot of the entry that owns the assignment.
    slot: int


@dataclass(slots=True)
class Process:
    """An entry process with its local clock."""

    slot: int
    entry: Entry
    # Local clock = offset + rate * virtual time.
    offset_s: float
    rate: float
    paused: bool = False
    # Events received while the process is paused, delivered when it resumes.
    backlog: list[Event] = field(default_factory=list)

    @property
    def member_id(self) -> MemberId:
        """Identity of this process as a member."""
        return self.entry.state.parameters.member_id

    def local_time_s(self, time_s: float) -> float:
        """The reading of the process's monotonic clock at a virtual time."""
        return self.offset_s + self.rate * time_s


class EntryFleet:
    """Entries of one site; the oracle checks every dispatch and answer."""

    def __init__(self, slots: int, seed: int, configuration: Configuration) -> None:
        self.rng = random.Random(seed)
        self.scheduler = Scheduler()
        self.oracle = Oracle()
        self.configuration = configuration
        self.account = next(iter(configuration.accounts))
        self.slots = slots
        # Targets that do not stream: each answer arrives as a single event.
        self.service_targets = {
            target.name
            for template in configuration.templates.values()
            for group in template.groups
            if group.kind is GroupKind.SERVICE
            for target in group.targets
        }
        self.processes: dict[int, Process] = {}
        # Slots whose VM is on the VM list, even if no process runs there.
        self.vms = set(range(slots))
        # Ordered (sender, receiver) pairs of slots whose messages are dropped.
        self.blocked_links: set[tuple[int, int]] = set()
        self.loss_rate = 0.0
        self.duplication_rate = 0.0
        self.max_delay_s = 0.01
        self.kv_up = True
        self.kv_blocked_slots: set[int] = set()
        self.leases: dict[MemberId, tuple[str, float]] = {}
        # Share of dispatches with each injected result; the others complete.
        self.result_shares: dict[DispatchResult, float] = {}
        self.leaving_targets: set[TargetName] = set()
        # Whether leaving targets reject new runs.
        self.leaving_targets_reject = True
        # Slots whose entries receive load reports.
        self.load_reporting_slots = set(range(slots))
        # Dispatches as (virtual time, slot, target, run).
        self.dispatches: list[tuple[float, int, TargetName, RunId]] = []
        self.assigned_requests: list[AssignedRequest] = []
        self.final_outcomes: dict[int, object] = {}
        self.slot_by_handle: dict[int, int] = {}
        # Request class of each look-up, by handle.
        self.class_by_look_up: dict[int, ClassName] = {}
        self.handles = itertools.count(1)
        self.keys = itertools.count(1)
        for slot in range(slots):
            self.start(slot)
        self.scheduler.every(TICK_S, TICK_S, self._tick)
        self.scheduler.every(KEEPALIVE_INTERVAL_S, 0.01, self._read_platform)

    # Fault injection and recovery.

    def start(self, slot: int) -> None:
        """Start a new process in the slot, replacing any process there."""
        self.kill(slot)
        offset_s = self.rng.uniform(0, 1e5)
        rate = 1 + self.rng.uniform(-0.004, 0.004)
        incarnation = Incarnation(f"{self.rng.getrandbits(64):x}")
        parameters = EntryParameters(
            member_id=MemberId(EntryName(f"e{slot}"), incarnation),
            zone="z1",
            caller_address=f"10.0.0.{slot + 1}:80",
            peer_address=self.address(slot),
            assignment_key=ASSIGNMENT_KEY,
            max_queue=12,
        )
        now = offset_s + rate * self.scheduler.now
        entry = Entry.from_config(
            parameters, random.Random(self.rng.getrandbits(32)), now
        )
        process = Process(slot, entry, offset_s, rate)
        self.vms.add(slot)
        self.processes[slot] = process
        if self._kv_reachable(process):
            self.feed(process, ConfigurationRead(self.configuration))

    def kill(self, slot: int) -> None:
        """Crash the process in the slot; it notifies nobody."""
        self.processes.pop(slot, None)
        for handle, owner_slot in list(self.slot_by_handle.items()):
            if owner_slot == slot:
                del self.slot_by_handle[handle]
                self.oracle.record_disconnect(handle)

    def stop(self, slot: int) -> None:
        """Ask the process in the slot to stop gracefully."""
        process = self.processes.get(slot)
        if process is not None:
            self.feed(process, StopRequested())

    def pause(self, slot: int) -> None:
        """Suspend the process in the slot; its clock keeps running."""
        if slot in self.processes:
            self.processes[slot].paused = True

    def resume(self, slot: int) -> None:
        """Resume a paused process and deliver the events it missed."""
        process = self.processes.get(slot)
        if process is None or not process.paused:
            return
        process.paused = False
        backlog, process.backlog = process.backlog, []
        backlog.insert(self.rng.randrange(len(backlog) + 1), Tick())
        for event in backlog:
            self.feed(process, event)

    def split(self, side: set[int], from_kv: bool = False) -> None:
        """Partition the slots of one side from all others."""
        others = set(range(self.slots)) - side
        self.blocked_links = {(a, b) for a in side for b in others}
        self.blocked_links |= {(b, a) for a, b in self.blocked_links}
        if from_kv:
            self.kv_blocked_slots = set(side)

    def set_kv(self, up: bool, keeps_leases: bool = True) -> None:
        """Stop or restart the key-value service; leases persist across a restart.

        With `keeps_leases`, a restart grants each lease its full lifetime again;
        otherwise the leases that expired during the outage are removed.
        """
        if up and not self.kv_up:
            until_s = self.scheduler.now + LEASE_TTL_S
            if keeps_leases:
                for member, (address, _) in list(self.leases.items()):
                    self.leases[member] = (address, until_s)
        self.kv_up = up

    def heal(self) -> None:
        """Clear all faults; VMs without a process leave the VM list."""
        self.vms = set(self.processes)
        self.blocked_links.clear()
        self.kv_blocked_slots.clear()
        self.set_kv(True)
        self.loss_rate = self.duplication_rate = 0.0
        self.max_delay_s = 0.01
        self.result_shares = {}
        for slot in list(self.processes):
            self.resume(slot)

    def advance(self, seconds: float) -> None:
        """Advance virtual time."""
        self.scheduler.run(self.scheduler.now + seconds)

    # Callers.

    def look_up_and_send(self, slot: int, class_name: ClassName) -> None:
        """Look up an entry at the slot, then send a request to the entry found."""
        process = self.processes.get(slot)
        if process is not None:
            handle = self._new_handle(slot)
            self.class_by_look_up[handle] = class_name
            self.feed(process, LookUpArrived(handle, self.account))

    def send(self, request: AssignedRequest, slot: int) -> int:
        """Send a request or a duplicate to the slot and return the caller's handle."""
        handle = self._new_handle(slot)
        self._record_request(handle, request)
        event = RequestArrived(
            handle=handle,
            token=request.token,
            key=request.key,
            account=self.account,
            class_name=request.class_name,
            prompt_tokens=100,
            max_output_tokens=OUTPUT_TOKENS,
        )
        self._send_to_slot(slot, event, handle)
        return handle

    def resume_request(self, request: AssignedRequest, slot: int) -> int:
        """Ask the slot to resume the answer to an earlier request."""
        handle = self._new_handle(slot)
        self._record_request(handle, request)
        event = ResumeArrived(
            handle, request.token, request.key, self.account, request.class_name
        )
        self._send_to_slot(slot, event, handle)
        return handle

    def disconnect_caller(self, handle: int) -> None:
        """Close the connection of a caller."""
        slot = self.slot_by_handle.pop(handle, None)
        self.oracle.record_disconnect(handle)
        process = None if slot is None else self.processes.get(slot)
        if process is not None:
            self.feed(process, CallerDisconnected(handle))

    def unanswered_handles(self) -> list[int]:
        """Handles of requests at live entries without a final answer."""
        requests = self.oracle.requests.keys() & self.slot_by_handle.keys()
        return sorted(requests - self.oracle.answered - self.oracle.disconnected)

    # Simulation internals.

    def address(self, slot: int) -> str:
        """Peer address of the slot; a restarted process keeps it."""
        return f"10.0.0.{slot + 1}:7000"

    def feed(self, process: Process, event: Event) -> None:
        """Pass an event to a process and perform the actions it returns.

        A paused process queues the event; a replaced process ignores it.
        """
        if self.processes.get(process.slot) is not process:
            return
        if process.paused:
            if not isinstance(event, Tick):
                process.backlog.append(event)
            return
        now = process.local_time_s(self.scheduler.now)
        for action in process.entry.step(event, now):
            self._perform(process, action)
        if isinstance(event, RunCompleted):
            self._record_completed(process, event.run_id)

    def _record_completed(self, process: Process, run_id: RunId) -> None:
        record = process.entry.state.run_registry.records.get(run_id)
        if record is not None and record.state is RunState.COMPLETED:
            self.oracle.record_completion(run_id)

    def _perform(self, process: Process, action: actions.Action) -> None:
        match action:
            case actions.SendMessage(to, message):
                addresses = process.entry.state.membership.peer_addresses(0.0)
                if to in addresses:
                    self._send_to_peer(process, addresses[to], message)
            case actions.SendToAddress(address, message):
                self._send_to_peer(process, address, message)
            case actions.StartRun(run_id, target):
                self._start_run(process, run_id, target)
            case actions.StoreBody(handle, run_id) | actions.AttachCaller(
                handle, run_id
            ):
                self.oracle.add_waiting_caller(handle, run_id)
                self._record_completed(process, run_id)
            case actions.Answer(handle, outcome):
                self.final_outcomes[handle] = outcome
                self.oracle.record_outcome(handle, outcome, self._running_entries())
            case actions.AnswerLookUp(handle, _, address, token):
                slot = int(address.partition(":")[0].rpartition(".")[2]) - 1
                key = f"k{next(self.keys)}"
                request = AssignedRequest(
                    token, key, self.class_by_look_up[handle], slot
                )
                self.assigned_requests.append(request)
                self.send(request, slot)
            case actions.RecoverRun(handle):
                # Models the daemon's answer when no engine has the run any more.
                self.oracle.record_disconnect(handle)
            case actions.Stopped():
                self.leases.pop(process.member_id, None)
                self.kill(process.slot)

    def _running_entries(self) -> list[tuple[Entry, float]]:
        return [
            (process.entry, process.local_time_s(self.scheduler.now))
            for process in self.processes.values()
            if not process.paused
        ]

    def _new_handle(self, slot: int) -> int:
        handle = next(self.handles)
        self.slot_by_handle[handle] = slot
        return handle

    def _record_request(self, handle: int, request: AssignedRequest) -> None:
        read = read_assignment(request.token, ASSIGNMENT_KEY)
        assert isinstance(read, Ok)
        run_id = RequestId(read.ok_value.nonce, request.key).run_id
        account = self.configuration.accounts[AccountName(self.account)]
        spec = self.configuration.class_for(account, request.class_name)
        assert spec is not None
        self.oracle.requests[handle] = SentRequest(run_id, spec.group, spec.tier)

    def _send_to_slot(self, slot: int, event: Event, handle: int) -> None:
        process = self.processes.get(slot)
        if process is None:
            self.slot_by_handle.pop(handle, None)
            self.oracle.record_disconnect(handle)
            return
        self.scheduler.after(0.003, lambda: self.feed(process, event))

    def _send_to_peer(
        self, sender: Process, address: str, message: PeerMessage
    ) -> None:
        slot = int(address.partition(":")[0].rpartition(".")[2]) - 1
        if (
            sender.slot,
            slot,
        ) in self.blocked_links or self.rng.random() < self.loss_rate:
            return
        event = MessageArrived(sender.member_id, message)
        for _ in range(2 if self.rng.random() < self.duplication_rate else 1):
            self.scheduler.after(
                self.rng.uniform(0.0005, self.max_delay_s),
                lambda: self._deliver(slot, event),
            )

    def _deliver(self, slot: int, event: Event) -> None:
        process = self.processes.get(slot)
        if process is not None:
            self.feed(process, event)

    def _start_run(self, process: Process, run_id: RunId, target: TargetSpec) -> None:
        self.oracle.record_dispatch(run_id)
        now = self.scheduler.now
        self.dispatches.append((now, process.slot, target.name, run_id))
        result = self._draw_result()
        if target.name in self.leaving_targets and self.leaving_targets_reject:
            result = DispatchResult.REJECTED
        if result is DispatchResult.REJECTED:
            self.oracle.record_not_started(run_id)
            is_leaving = target.name in self.leaving_targets
            event = RunRejected(run_id, target.name, "busy", is_leaving)
            self._feed_after(process, TARGET_DELAY_S, event)
            return
        lost = RunLost(run_id, result.value)
        if result in {DispatchResult.LOST_BEFORE_START, DispatchResult.LOST_AT_START}:
            self._feed_after(process, TARGET_DELAY_S, lost)
            return
        if target.name not in self.service_targets:
            self._feed_after(process, SERVICE_TIME_S / 4, RunProgressed(run_id, 1))
            self._feed_after(
                process, SERVICE_TIME_S / 2, RunProgressed(run_id, OUTPUT_TOKENS // 2)
            )
        if result in {DispatchResult.LOST_MIDWAY, DispatchResult.COMPLETED_AFTER_LOSS}:
            self._feed_after(process, SERVICE_TIME_S * 0.6, lost)
        if result is DispatchResult.STUCK:
            self._feed_after(process, SERVICE_TIME_S * 12, lost)
        if result is DispatchResult.COMPLETED_AFTER_LOSS:
            self._feed_after(process, SERVICE_TIME_S, RunProgressed(run_id, 1))
        if result in {DispatchResult.COMPLETED, DispatchResult.COMPLETED_AFTER_LOSS}:
            tokens = 1 if target.name in self.service_targets else OUTPUT_TOKENS
            self._feed_after(process, SERVICE_TIME_S, RunCompleted(run_id, tokens))

    def _feed_after(self, process: Process, seconds: float, event: Event) -> None:
        self.scheduler.after(seconds, lambda: self.feed(process, event))

    def _draw_result(self) -> DispatchResult:
        drawn = self.rng.random()
        for result, share in self.result_shares.items():
            if drawn < share:
                return result
            drawn -= share
        return DispatchResult.COMPLETED

    def _tick(self) -> None:
        for process in list(self.processes.values()):
            self.feed(process, Tick())

    def _kv_reachable(self, process: Process) -> bool:
        return self.kv_up and process.slot not in self.kv_blocked_slots

    def _read_platform(self) -> None:
        listed = frozenset(self.address(slot) for slot in self.vms)
        for process in list(self.processes.values()):
            if not process.paused:
                self.feed(process, VmListRead(listed, frozenset()))
                self._renew_lease(process)
                if process.slot in self.load_reporting_slots:
                    self._report_loads(process)

    def _report_loads(self, process: Process) -> None:
        for name in process.entry.state.targets.states:
            event = LoadReported(name, 0, 0, name in self.leaving_targets)
            self.feed(process, event)

    def _renew_lease(self, process: Process) -> None:
        if not self._kv_reachable(process):
            return
        now = self.scheduler.now
        self.leases = {m: le for m, le in self.leases.items() if le[1] > now}
        self.leases[process.member_id] = (self.address(process.slot), now + LEASE_TTL_S)
        members = {member: lease[0] for member, lease in self.leases.items()}
        until_s = process.local_time_s(now) + LEASE_TTL_S * (1 - LEASE_SAFETY_SHARE)
        self.feed(process, MemberLeasesRead(members, until_s))
        if process.entry.state.configuration.version < self.configuration.version:
            self.feed(process, ConfigurationRead(self.configuration))
