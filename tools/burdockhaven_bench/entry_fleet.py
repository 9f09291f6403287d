"""Whole entries in virtual time with a network, targets and platform that fail."""

import enum
import itertools
import random
from dataclasses import dataclass, field

from result import Ok

from burdockhaven_bench.entry_oracle import Asked, Oracle
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
    RunFinished,
    RunLost,
    RunProgressed,
    RunRefused,
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

SECRET = b"a key of the fuzzing"
TICK_S = 0.1
KEEPALIVE_INTERVAL_S = 1.0
LEASE_S = 6.0
LEASE_DRIFT = 0.01
# Seconds from an event at a target to its arrival at the entry.
TARGET_DELAY_S = 0.01
SERVICE_S = 1.0
TOKENS = 20


class Fate(enum.Enum):
    """What becomes of one dispatch."""

    WHOLE = "whole"
    REFUSED = "refused"
    LOST_BEFORE_START = "lost before start"
    LOST_AT_START = "lost at start"
    LOST_MIDWAY = "lost midway"
    # Lost for the entry, and yet chunks and the end arrive later.
    LATE = "late"
    STUCK = "stuck"


@dataclass(frozen=True, slots=True)
class Ticket:
    """What a caller needs to send its request, and to send it again."""

    token: str
    key: str
    class_name: ClassName
    # The slot of the entry that the assignment names.
    slot: int


@dataclass(slots=True)
class Process:
    """One entry process and its clock."""

    slot: int
    entry: Entry
    # Local clock = offset + rate * virtual time.
    offset_s: float
    rate: float
    paused: bool = False
    # Events that arrived during a pause.
    backlog: list[Event] = field(default_factory=list)

    @property
    def member_id(self) -> MemberId:
        """The member that the process is."""
        return self.entry.state.parameters.member_id

    def clock(self, time_s: float) -> float:
        """The process's own monotonic clock at a virtual time."""
        return self.offset_s + self.rate * time_s


class EntryFleet:
    """Entries of one site; every dispatch and answer goes past the oracle."""

    def __init__(self, slots: int, seed: int, configuration: Configuration) -> None:
        self.rng = random.Random(seed)
        self.scheduler = Scheduler()
        self.oracle = Oracle()
        self.configuration = configuration
        self.account = next(iter(configuration.accounts))
        self.slots = slots
        # Targets whose answers come in one piece.
        self.services = {
            target.name
            for template in configuration.templates.values()
            for group in template.groups
            if group.kind is GroupKind.SERVICE
            for target in group.targets
        }
        self.processes: dict[int, Process] = {}
        # Slots whose VM is on the VM list, whether or not its process runs.
        self.vms = set(range(slots))
        # Ordered pairs of slots between which nothing gets through.
        self.cuts: set[tuple[int, int]] = set()
        self.loss = 0.0
        self.doubling = 0.0
        self.delay_s = 0.01
        self.kv_up = True
        self.kv_cuts: set[int] = set()
        self.leases: dict[MemberId, tuple[str, float]] = {}
        # Share of dispatches that get each fate; the rest is whole.
        self.fates: dict[Fate, float] = {}
        self.leaving: set[TargetName] = set()
        # Whether leaving targets refuse new runs, and the slots that read load reports.
        self.refusing = True
        self.reporting = set(range(slots))
        # Dispatches as (virtual time, slot, target, run).
        self.dispatches: list[tuple[float, int, TargetName, RunId]] = []
        self.tickets: list[Ticket] = []
        self.answers: dict[int, object] = {}
        self.live_handles: dict[int, int] = {}
        # Class that a look-up was made for, by handle.
        self.look_ups: dict[int, ClassName] = {}
        self.handles = itertools.count(1)
        self.keys = itertools.count(1)
        for slot in range(slots):
            self.start(slot)
        self.scheduler.every(TICK_S, TICK_S, self._tick)
        self.scheduler.every(KEEPALIVE_INTERVAL_S, 0.01, self._read_platform)

    # Faults and their end.

    def start(self, slot: int) -> None:
        """Start a new process in the slot, in place of the one there, if any."""
        self.kill(slot)
        offset_s = self.rng.uniform(0, 1e5)
        rate = 1 + self.rng.uniform(-0.004, 0.004)
        incarnation = Incarnation(f"{self.rng.getrandbits(64):x}")
        parameters = EntryParameters(
            member_id=MemberId(EntryName(f"e{slot}"), incarnation),
            zone="z1",
            caller_address=f"10.0.0.{slot + 1}:80",
            peer_address=self.address(slot),
            assignment_key=SECRET,
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
        """End the process in the slot without a word."""
        self.processes.pop(slot, None)
        for handle, at in list(self.live_handles.items()):
            if at == slot:
                del self.live_handles[handle]
                self.oracle.gone(handle)

    def stop(self, slot: int) -> None:
        """Ask the process in the slot to stop gracefully."""
        process = self.processes.get(slot)
        if process is not None:
            self.feed(process, StopRequested())

    def pause(self, slot: int) -> None:
        """Stop the process in the slot from running; its clock goes on."""
        if slot in self.processes:
            self.processes[slot].paused = True

    def resume(self, slot: int) -> None:
        """Let a paused process run again, with what arrived meanwhile."""
        process = self.processes.get(slot)
        if process is None or not process.paused:
            return
        process.paused = False
        backlog, process.backlog = process.backlog, []
        backlog.insert(self.rng.randrange(len(backlog) + 1), Tick())
        for event in backlog:
            self.feed(process, event)

    def split(self, side: set[int], from_kv: bool = False) -> None:
        """Cut the slots of a side from all others."""
        rest = set(range(self.slots)) - side
        self.cuts = {(a, b) for a in side for b in rest}
        self.cuts |= {(b, a) for a, b in self.cuts}
        if from_kv:
            self.kv_cuts = set(side)

    def set_kv(self, up: bool, keeps_leases: bool = True) -> None:
        """Take the key-value service down, or bring it back; no lease ends early."""
        if up and not self.kv_up:
            until_s = self.scheduler.now + LEASE_S
            if keeps_leases:
                for member, (address, _) in list(self.leases.items()):
                    self.leases[member] = (address, until_s)
        self.kv_up = up

    def heal(self) -> None:
        """End all faults; the VMs of dead processes leave the VM list."""
        self.vms = set(self.processes)
        self.cuts.clear()
        self.kv_cuts.clear()
        self.set_kv(True)
        self.loss = self.doubling = 0.0
        self.delay_s = 0.01
        self.fates = {}
        for slot in list(self.processes):
            self.resume(slot)

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.scheduler.run(self.scheduler.now + seconds)

    # Callers.

    def request(self, slot: int, class_name: ClassName) -> None:
        """Look up an entry at the slot, and send a request to the one named."""
        process = self.processes.get(slot)
        if process is not None:
            handle = self._handle(slot)
            self.look_ups[handle] = class_name
            self.feed(process, LookUpArrived(handle, self.account))

    def send(self, ticket: Ticket, slot: int) -> int:
        """Send a request, or a copy of it, to the slot; returns its handle."""
        handle = self._handle(slot)
        self._note_asked(handle, ticket)
        event = RequestArrived(
            handle=handle,
            token=ticket.token,
            key=ticket.key,
            account=self.account,
            class_name=ticket.class_name,
            prompt_tokens=100,
            max_output_tokens=TOKENS,
        )
        self._to_slot(slot, event, handle)
        return handle

    def ask_again(self, ticket: Ticket, slot: int) -> int:
        """Ask at the slot for the answer of a request sent before."""
        handle = self._handle(slot)
        self._note_asked(handle, ticket)
        event = ResumeArrived(
            handle, ticket.token, ticket.key, self.account, ticket.class_name
        )
        self._to_slot(slot, event, handle)
        return handle

    def hang_up(self, handle: int) -> None:
        """Close a caller's connection."""
        slot = self.live_handles.pop(handle, None)
        self.oracle.gone(handle)
        process = None if slot is None else self.processes.get(slot)
        if process is not None:
            self.feed(process, CallerDisconnected(handle))

    def unanswered(self) -> list[int]:
        """Requests at living entries that have no final answer."""
        asked = self.oracle.asked.keys() & self.live_handles.keys()
        return sorted(asked - self.oracle.answered - self.oracle.lost)

    # The inner workings.

    def address(self, slot: int) -> str:
        """The peer address of whatever process runs in the slot."""
        return f"10.0.0.{slot + 1}:7000"

    def feed(self, process: Process, event: Event) -> None:
        """Give one event to a process and do what it says."""
        if self.processes.get(process.slot) is not process:
            return
        if process.paused:
            if not isinstance(event, Tick):
                process.backlog.append(event)
            return
        now = process.clock(self.scheduler.now)
        for action in process.entry.step(event, now):
            self._perform(process, action)
        if isinstance(event, RunFinished):
            self._note_whole(process, event.run_id)

    def _note_whole(self, process: Process, run_id: RunId) -> None:
        record = process.entry.state.run_registry.records.get(run_id)
        if record is not None and record.state is RunState.COMPLETED:
            self.oracle.finished(run_id)

    def _perform(self, process: Process, action: actions.Action) -> None:
        match action:
            case actions.SendMessage(to, message):
                addresses = process.entry.state.membership.peer_addresses(0.0)
                if to in addresses:
                    self._to_peer(process, addresses[to], message)
            case actions.SendToAddress(address, message):
                self._to_peer(process, address, message)
            case actions.StartRun(run_id, target):
                self._start_run(process, run_id, target)
            case actions.StoreBody(handle, run_id) | actions.AttachCaller(
                handle, run_id
            ):
                self.oracle.joined(handle, run_id)
                self._note_whole(process, run_id)
            case actions.Answer(handle, outcome):
                self.answers[handle] = outcome
                self.oracle.answer(handle, outcome, self._running())
            case actions.AnswerLookUp(handle, _, address, token):
                slot = int(address.partition(":")[0].rpartition(".")[2]) - 1
                key = f"k{next(self.keys)}"
                ticket = Ticket(token, key, self.look_ups[handle], slot)
                self.tickets.append(ticket)
                self.send(ticket, slot)
            case actions.RecoverRun(handle):
                # What the shell answers when no engine holds the run any more.
                self.oracle.gone(handle)
            case actions.Stopped():
                self.leases.pop(process.member_id, None)
                self.kill(process.slot)

    def _running(self) -> list[tuple[Entry, float]]:
        return [
            (process.entry, process.clock(self.scheduler.now))
            for process in self.processes.values()
            if not process.paused
        ]

    def _handle(self, slot: int) -> int:
        handle = next(self.handles)
        self.live_handles[handle] = slot
        return handle

    def _note_asked(self, handle: int, ticket: Ticket) -> None:
        read = read_assignment(ticket.token, SECRET)
        assert isinstance(read, Ok)
        run_id = RequestId(read.ok_value.nonce, ticket.key).run_id
        account = self.configuration.accounts[AccountName(self.account)]
        spec = self.configuration.class_for(account, ticket.class_name)
        assert spec is not None
        self.oracle.asked[handle] = Asked(run_id, spec.group, spec.tier)

    def _to_slot(self, slot: int, event: Event, handle: int) -> None:
        process = self.processes.get(slot)
        if process is None:
            self.live_handles.pop(handle, None)
            self.oracle.gone(handle)
            return
        self.scheduler.after(0.003, lambda: self.feed(process, event))

    def _to_peer(self, sender: Process, address: str, message: PeerMessage) -> None:
        slot = int(address.partition(":")[0].rpartition(".")[2]) - 1
        if (sender.slot, slot) in self.cuts or self.rng.random() < self.loss:
            return
        event = MessageArrived(sender.member_id, message)
        for _ in range(2 if self.rng.random() < self.doubling else 1):
            self.scheduler.after(
                self.rng.uniform(0.0005, self.delay_s),
                lambda: self._arrive(slot, event),
            )

    def _arrive(self, slot: int, event: Event) -> None:
        process = self.processes.get(slot)
        if process is not None:
            self.feed(process, event)

    def _start_run(self, process: Process, run_id: RunId, target: TargetSpec) -> None:
        self.oracle.dispatched(run_id)
        now = self.scheduler.now
        self.dispatches.append((now, process.slot, target.name, run_id))
        fate = self._draw_fate()
        if target.name in self.leaving and self.refusing:
            fate = Fate.REFUSED
        if fate is Fate.REFUSED:
            self.oracle.provably_not_started(run_id)
            is_leaving = target.name in self.leaving
            event = RunRefused(run_id, target.name, "busy", is_leaving)
            self._later(process, TARGET_DELAY_S, event)
            return
        lost = RunLost(run_id, fate.value)
        if fate in {Fate.LOST_BEFORE_START, Fate.LOST_AT_START}:
            self._later(process, TARGET_DELAY_S, lost)
            return
        if target.name not in self.services:
            self._later(process, SERVICE_S / 4, RunProgressed(run_id, 1))
            self._later(process, SERVICE_S / 2, RunProgressed(run_id, TOKENS // 2))
        if fate in {Fate.LOST_MIDWAY, Fate.LATE}:
            self._later(process, SERVICE_S * 0.6, lost)
        if fate is Fate.STUCK:
            self._later(process, SERVICE_S * 12, lost)
        if fate is Fate.LATE:
            self._later(process, SERVICE_S, RunProgressed(run_id, 1))
        if fate in {Fate.WHOLE, Fate.LATE}:
            tokens = 1 if target.name in self.services else TOKENS
            self._later(process, SERVICE_S, RunFinished(run_id, tokens))

    def _later(self, process: Process, seconds: float, event: Event) -> None:
        self.scheduler.after(seconds, lambda: self.feed(process, event))

    def _draw_fate(self) -> Fate:
        drawn = self.rng.random()
        for fate, share in self.fates.items():
            if drawn < share:
                return fate
            drawn -= share
        return Fate.WHOLE

    def _tick(self) -> None:
        for process in list(self.processes.values()):
            self.feed(process, Tick())

    def _kv_reachable(self, process: Process) -> bool:
        return self.kv_up and process.slot not in self.kv_cuts

    def _read_platform(self) -> None:
        listed = frozenset(self.address(slot) for slot in self.vms)
        for process in list(self.processes.values()):
            if not process.paused:
                self.feed(process, VmListRead(listed, frozenset()))
                self._renew(process)
                if process.slot in self.reporting:
                    self._report_loads(process)

    def _report_loads(self, process: Process) -> None:
        for name in process.entry.state.targets.states:
            event = LoadReported(name, 0, 0, name in self.leaving)
            self.feed(process, event)

    def _renew(self, process: Process) -> None:
        if not self._kv_reachable(process):
            return
        now = self.scheduler.now
        self.leases = {m: le for m, le in self.leases.items() if le[1] > now}
        self.leases[process.member_id] = (self.address(process.slot), now + LEASE_S)
        members = {member: lease[0] for member, lease in self.leases.items()}
        until_s = process.clock(now) + LEASE_S * (1 - LEASE_DRIFT)
        self.feed(process, MemberLeasesRead(members, until_s))
        if process.entry.state.configuration.version < self.configuration.version:
            self.feed(process, ConfigurationRead(self.configuration))
