"""State of one other member as this process has observed it."""

from dataclasses import dataclass

from burdockhaven_core.identity import MemberId
from burdockhaven_core.messages import GroupDemand, Heartbeat


@dataclass(frozen=True, slots=True)
class MemberView:
    """Immutable snapshot of a live member, as used by scheduling and reports."""

    member: MemberId
    peer_address: str
    caller_address: str
    zone: str
    # Whether the member accepts new requests.
    ready: bool
    # Whether the member is draining or its VM is about to be removed.
    draining: bool
    config_version: int
    demand: tuple[GroupDemand, ...]

    @property
    def load(self) -> int:
        """Number of requests queued or in flight at the member."""
        return sum(
            sum(group.queued_by_tier) + sum(group.in_flight_by_target.values())
            for group in self.demand
        )


@dataclass(slots=True)
class MemberRecord:
    """Observations of one other process, from its heartbeats or other sources."""

    peer_address: str
    # When this process first learned of the other one.
    first_seen_s: float
    # When the newest heartbeat arrived; `first_seen_s` if none did.
    last_seen_s: float
    # The newest heartbeat; None if none has arrived.
    heartbeat: Heartbeat | None = None
    # When the admission lease granted by the process expires.
    lease_until_s: float = float("-inf")
    # The process may be excluded from the view until this time.
    excluded_until_s: float = float("-inf")
    # Version of the newest member list received from the process; -1 if none.
    view_version: int = -1
    # Version of this process's member list that the process has acknowledged; -1 if
    # none.
    acked_view_version: int = -1
    # Whether the process has echoed a heartbeat of this one.
    has_acknowledged: bool = False
    # Processes that the process excludes from its own view, by its newest member list.
    excluded_peers: frozenset[MemberId] = frozenset()
    # Whether the address has ever been on the VM list.
    was_listed: bool = False
    # Whether the newest VM list shows the VM as leaving.
    is_vm_leaving: bool = False


def accepts_callers(view: MemberView) -> bool:
    """Whether callers may be assigned to the member."""
    return view.ready and not view.draining


def is_listed(address: str, listing: frozenset[str]) -> bool:
    """Whether the list of VMs contains the address, or its host without the port."""
    return address in listing or address.rpartition(":")[0] in listing


def make_member_view(member: MemberId, record: MemberRecord) -> MemberView:
    """Create the snapshot of a member from its record."""
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
