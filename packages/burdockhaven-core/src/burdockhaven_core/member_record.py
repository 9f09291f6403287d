"""What is known of one other member."""

from dataclasses import dataclass

from burdockhaven_core.identity import MemberId
from burdockhaven_core.messages import GroupDemand, Heartbeat


@dataclass(frozen=True, slots=True)
class MemberView:
    """What is known of one member that was heard lately."""

    member: MemberId
    peer_address: str
    caller_address: str
    zone: str
    # Whether the member takes new requests.
    ready: bool
    # Whether the member or its VM is on its way out.
    draining: bool
    config_version: int
    demand: tuple[GroupDemand, ...]

    @property
    def load(self) -> int:
        """Requests that the member has queued or under way."""
        return sum(
            sum(group.queued_by_tier) + sum(group.in_flight_by_target.values())
            for group in self.demand
        )


@dataclass(slots=True)
class MemberRecord:
    """Everything known of one other process, heard or only heard of."""

    peer_address: str
    # When the process was first heard of.
    first_seen_s: float
    # When the process was last heard, or first heard of.
    last_seen_s: float
    # The newest heartbeat; None if none arrived.
    heartbeat: Heartbeat | None = None
    # This member's admission lease from the process ends at this time.
    lease_until_s: float = float("-inf")
    # The process is out of the view up to this time.
    excluded_until_s: float = float("-inf")
    # The newest version of the process's member list that is known here, and that of
    # the own list that is known there; -1 if none.
    view_version: int = -1
    acked_view_version: int = -1
    # Whether the process has shown that it knows this one.
    has_acknowledged: bool = False
    # The processes that it says are out of its view.
    excluded_peers: frozenset[MemberId] = frozenset()
    # Whether the VM list has named the address.
    was_listed: bool = False
    # Whether the VM list calls the VM leaving.
    is_vm_leaving: bool = False


def accepts_callers(view: MemberView) -> bool:
    """Whether callers may be sent to the member."""
    return view.ready and not view.draining


def is_listed(address: str, listing: frozenset[str]) -> bool:
    """Whether the address, or its IP number, is on a list of VMs."""
    return address in listing or address.rpartition(":")[0] in listing


def make_member_view(member: MemberId, record: MemberRecord) -> MemberView:
    """What others may know of the member."""
    heartbeat = record.heartbeat
    return MemberView(
        member=member,
        peer_address=record.peer_address,
        caller_address="" if heartbeat is None else heartbeat.caller_address,
        zone="" if heartbeat is None else heartbeat.zone,
        ready=heartbeat is not None and heartbeat.ready,
        draining=record.is_vm_leaving or (heartbeat is not None and heartbeat.draining),
        config_version=0 if heartbeat is None else heartbeat.config_version,
        demand=() if heartbeat is None else heartbeat.demand,
    )
