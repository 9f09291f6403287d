"""Test harness around one real entry among simulated members.

The harness supplies the entry's clock, configuration, leases and heartbeats, so that
the probes measure single steps of an entry that admits every tier.
"""

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
    RunCompleted,
    RunProgressed,
    Tick,
)
from burdockhaven_core.identity import MemberId, TargetName
from burdockhaven_core.messages import Echo, GroupDemand, Heartbeat, PeerStatus

# The measured entry is member 0.
OWN_NUMBER = 0
SECRET = b"the assignment key of the capacity bench"
# Monotonic time, in seconds, at which the start-up delay of the entry has passed.
READY_S = 10.0
# Expiry of the entry's own lease, beyond the end of every probe.
LEASE_EXPIRY_S = 1e12
ASSIGNMENT_LIFETIME_S = 30.0
# Duration of a run in seconds, short enough that neither assignments nor heartbeats
# expire during a probe.
RUN_S = 0.0001
PROMPT_TOKENS = 400
OUTPUT_TOKENS = 64
# Tokens between two progress reports of a run, as in the daemon.
PROGRESS_TOKENS = 16
# Targets of a group at which one member has requests, if the group has that many.
BUSY_TARGETS_PER_GROUP = 20


@dataclass(slots=True)
class EntryHarness:
    """One entry with the simulated clock and the request handles that drive it."""

    entry: Entry
    now: float = READY_S
    handles: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    sequence: int = 1

    @classmethod
    def from_sizes(cls, members: int, targets: int, accounts: int) -> "EntryHarness":
        """Create an entry that admits every tier, as one of `members` members."""
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
        """Run one step of the entry at the simulated time."""
        return self.entry.step(event, self.now)

    def issue_assignment(self, account: int = 0) -> str:
        """Sign an assignment to this entry, issued at the simulated time."""
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
        """Submit one request to the entry."""
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
        """Run one request from its arrival to its completion after `RUN_S` seconds."""
        actions = self.submit_request(token, number, account)
        (start,) = (a for a in actions if isinstance(a, StartRun))
        self.now += RUN_S
        self.step(RunProgressed(start.run_id, 1))
        for _ in range(OUTPUT_TOKENS // PROGRESS_TOKENS):
            self.step(RunProgressed(start.run_id, PROGRESS_TOKENS))
        self.step(RunCompleted(start.run_id, OUTPUT_TOKENS))


def make_leases(members: int) -> dict[MemberId, str]:
    """Return the valid leases of all members."""
    return {
        make_member_id(number): make_peer_address(number) for number in range(members)
    }


def make_heartbeat(
    number: int, members: int, targets: int, *, with_peers: bool = False
) -> MessageArrived:
    """Create a heartbeat of a busy member, as it arrives at the measured entry.

    With `with_peers` it lists the other members, as heartbeats do until the receiver
    knows these members.
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
    """Create the demand of a busy member for all groups."""
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
    """Return the VM list addresses of all members and targets."""
    addresses = {make_peer_address(number) for number in range(members)}
    addresses.update(
        f"10.2.{number // 250}.{number % 250 + 1}:{FIRST_TARGET_PORT}"
        for number in range(targets)
    )
    return frozenset(addresses)
