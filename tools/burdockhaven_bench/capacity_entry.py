"""An entry of a given surroundings, and the messages that its peers send it."""

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from burdockhaven_bench.capacity_inputs import (
    FIRST_TARGET_PORT,
    MODELS,
    TIERS,
    account_name,
    class_name,
    group_name,
    make_configuration,
    make_member_id,
    make_peer_address,
)
from burdockhaven_core.actions import Action, StartRun
from burdockhaven_core.assignment import Assignment, sign_assignment
from burdockhaven_core.entry import Entry
from burdockhaven_core.entry_state import EntryParameters
from burdockhaven_core.events import (
    ConfigurationRead,
    Event,
    MemberLeasesRead,
    MessageArrived,
    RequestArrived,
    RunFinished,
    RunProgressed,
    Tick,
)
from burdockhaven_core.identity import MemberId, TargetName
from burdockhaven_core.messages import Echo, GroupDemand, Heartbeat, PeerStatus

# The measured entry is member 0.
OWN_NUMBER = 0
SECRET = b"the assignment key of the capacity bench"
# Monotonic seconds at which the entry is past its start hold.
READY_S = 10.0
# An own lease that outlasts every probe.
LEASE_EXPIRY_S = 1e12
ASSIGNMENT_LIFETIME_S = 30.0
# Seconds that a run takes: so short that neither assignments nor heartbeats get old
# while a probe runs.
RUN_S = 0.0001
PROMPT_TOKENS = 400
OUTPUT_TOKENS = 64
# Tokens between two reports of a run's progress, as the daemon has it.
PROGRESS_TOKENS = 16
# Targets of a group that one member has requests at, as far as there are so many.
BUSY_TARGETS_PER_GROUP = 20


@dataclass(slots=True)
class EntryHarness:
    """One entry with the clock and the handles that drive it."""

    entry: Entry
    now: float = READY_S
    handles: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    sequence: int = 1

    @classmethod
    def from_sizes(cls, members: int, targets: int, accounts: int) -> "EntryHarness":
        """An entry that admits all tiers among so many members."""
        member_id = make_member_id(OWN_NUMBER)
        parameters = EntryParameters(
            member_id=member_id,
            zone="zone-0",
            caller_address="10.1.0.1:8100",
            peer_address=make_peer_address(OWN_NUMBER),
            assignment_key=SECRET,
        )
        entry = Entry.from_config(parameters, random.Random(11), 0.0)
        harness = cls(entry)
        harness.step(ConfigurationRead(make_configuration(accounts, targets)))
        harness.step(MemberLeasesRead(make_leases(members), LEASE_EXPIRY_S))
        harness.step(Tick())
        for number in range(1, members):
            arrived = make_heartbeat(number, members, targets, with_peers=True)
            harness.step(arrived)
        return harness

    def step(self, event: Event) -> list[Action]:
        """One step of the real code."""
        return self.entry.step(event, self.now)

    def issue_assignment(self, account: int = 0) -> str:
        """An assignment to this very entry, fresh at the bench's time."""
        member_id = make_member_id(OWN_NUMBER)
        issued_s = self.entry.state.clock_s(self.now)
        assignment = Assignment(
            entry=member_id.entry,
            incarnation=member_id.incarnation,
            account=account_name(account),
            nonce=f"{next(self.handles):032x}",
            issued_s=issued_s,
            expires_s=issued_s + ASSIGNMENT_LIFETIME_S,
        )
        return sign_assignment(assignment, SECRET)

    def submit_request(self, token: str, number: int, account: int = 0) -> list[Action]:
        """One request arrives."""
        arrival = RequestArrived(
            handle=next(self.handles),
            token=token,
            key=str(number),
            account=account_name(account),
            class_name=class_name(number % TIERS),
            prompt_tokens=PROMPT_TOKENS,
            max_output_tokens=OUTPUT_TOKENS,
            prefix="0123456789abcdef",
        )
        return self.step(arrival)

    def run_request(self, token: str, number: int, account: int = 0) -> None:
        """One request from its arrival to its end, shortly after."""
        actions = self.submit_request(token, number, account)
        (start,) = (a for a in actions if isinstance(a, StartRun))
        self.now += RUN_S
        self.step(RunProgressed(start.run_id, 1))
        for _ in range(OUTPUT_TOKENS // PROGRESS_TOKENS):
            self.step(RunProgressed(start.run_id, PROGRESS_TOKENS))
        self.step(RunFinished(start.run_id, OUTPUT_TOKENS))


def make_leases(members: int) -> dict[MemberId, str]:
    """The leases that stand, of all members."""
    return {
        make_member_id(number): make_peer_address(number) for number in range(members)
    }


def make_heartbeat(
    number: int, members: int, targets: int, *, with_peers: bool = False
) -> MessageArrived:
    """A heartbeat, to the measured entry, of a busy member that knows all others.

    Each names the others only while the receiver does not know them yet.
    """
    member = make_member_id(number)
    peers = tuple(
        PeerStatus(
            make_member_id(other).entry,
            make_member_id(other).incarnation,
            make_peer_address(other),
        )
        for other in range(members)
        if other != number
    )
    heartbeat = Heartbeat(
        entry=member.entry,
        incarnation=member.incarnation,
        sequence=1,
        clock_s=READY_S,
        caller_address=make_peer_address(number).replace(":8300", ":8100"),
        peer_address=make_peer_address(number),
        zone=f"zone-{number % 3}",
        ready=True,
        draining=False,
        config_version=1,
        demand=make_demand(targets),
        leaving=(),
        peers=peers if with_peers else None,
        view_version=1,
        echo=Echo(make_member_id(OWN_NUMBER).incarnation, READY_S, 1),
        has_full_membership=True,
    )
    return MessageArrived(member, heartbeat)


def make_demand(targets: int) -> tuple[GroupDemand, ...]:
    """The demand of a busy member."""
    return tuple(
        GroupDemand(
            group_name(model),
            queued_by_tier=(0, 1, 0, 2, 0),
            in_flight_by_target={
                TargetName(f"engine-{number:04}"): 3
                for number in range(model, targets, MODELS)[:BUSY_TARGETS_PER_GROUP]
            },
            in_flight_by_tier=(20, 10, 10, 10, 10),
        )
        for model in range(MODELS)
    )


def vm_addresses(members: int, targets: int) -> frozenset[str]:
    """Addresses on the VM list of all members and targets."""
    addresses = {make_peer_address(number) for number in range(members)}
    addresses.update(
        f"10.2.{number // 250}.{number % 250 + 1}:{FIRST_TARGET_PORT}"
        for number in range(targets)
    )
    return frozenset(addresses)
