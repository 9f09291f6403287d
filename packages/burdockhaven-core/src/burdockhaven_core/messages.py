"""Messages between entry processes, encoded as MessagePack."""

import enum

import msgspec

from burdockhaven_core.identity import EntryName, GroupName, Incarnation, TargetName


class GroupDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand of one entry for a group: its queued and in-flight requests."""

    group: GroupName
    # Number of queued requests by tier, the lowest tier first.
    queued_by_tier: tuple[int, ...]
    # Number of requests in flight by target.
    in_flight_by_target: dict[TargetName, int]
    # Number of requests in flight by tier, the lowest tier first.
    in_flight_by_tier: tuple[int, ...] = ()
    # Recently measured token intervals in microseconds, 0 for none, in the order of the
    # group's targets at the configuration version of the heartbeat.
    token_intervals_us: tuple[int, ...] = ()


class PeerState(enum.IntEnum):
    """State of another process in the view of the sender of a heartbeat."""

    # The process may admit and shed requests.
    ACTIVE = 0
    # The process is excluded from the sender's view and may do neither of these.
    EXCLUDED = 1
    # The process has ended for good.
    TERMINATED = 2


class PeerStatus(msgspec.Struct, frozen=True, array_like=True):
    """Entry of the member list in a heartbeat."""

    entry: EntryName
    incarnation: Incarnation
    # Address (host:port) of the process for other members; empty if it has terminated.
    peer_address: str
    state: PeerState = PeerState.ACTIVE


class Echo(msgspec.Struct, frozen=True, array_like=True):
    """Acknowledges the newest heartbeat that the sender received from the receiver."""

    # The process whose heartbeat is acknowledged; a restarted one may have taken its
    # address since.
    incarnation: Incarnation
    # `clock_s` of the acknowledged heartbeat.
    clock_s: float
    # Version of the receiver's newest `peers` that the sender has; -1 if none.
    view_version: int


class LeavingTarget(msgspec.Struct, frozen=True, array_like=True):
    """A target that accepts no new requests."""

    target: TargetName
    # Seconds since the target or the VM list last reported that it is leaving.
    age_s: float


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Announces a member's state; sent to each other member at a fixed interval."""

    entry: EntryName
    incarnation: Incarnation
    # Increases by one with each heartbeat of this member.
    sequence: int
    # The member's monotonic clock, in seconds since the start of the process.
    clock_s: float
    # Address (host:port) of the member for callers.
    caller_address: str
    # Address (host:port) of the member for other members.
    peer_address: str
    zone: str
    # Whether the member accepts new requests.
    ready: bool
    # Whether the member is draining before it stops.
    draining: bool
    # Version of the configuration in force at the member.
    config_version: int
    demand: tuple[GroupDemand, ...]
    # Targets that the member has recorded as leaving.
    leaving: tuple[LeavingTarget, ...]
    # The sender's member list; None if the receiver has acknowledged this version.
    peers: tuple[PeerStatus, ...] | None = None
    # Version of the sender's member list; increases with each change of the list.
    view_version: int = 0
    # None if the sender has received no heartbeat from the receiver. An echo extends
    # the receiver's admission lease if the receiver has `peers` of this version.
    echo: Echo | None = None
    # Whether the sender has permanently stopped admitting and dispatching requests.
    resigned: bool = False
    # Whether the sender's member list is complete, so that the receiver can join with
    # it.
    has_full_membership: bool = False


class CloseRequest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Requests that a member close a group below a tier."""

    entry: EntryName
    incarnation: Incarnation
    group: GroupName
    tier: int
    # Identifies the request; the promise repeats it.
    request_number: int


class ClosePromise(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Reply to `CloseRequest`: the group stays closed for a limited time."""

    entry: EntryName
    incarnation: Incarnation
    group: GroupName
    tier: int
    request_number: int
    # Seconds for which the group stays closed, counted from receipt of the request.
    duration_s: float


class ShareGrant(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Slots of one group that the coordinator grants to one member."""

    entry: EntryName
    incarnation: Incarnation
    group: GroupName
    # Number of slots that the receiver may fill, by target.
    slots: dict[TargetName, int]
    # Seconds from receipt after which the grant expires.
    duration_s: float


class ConfigurationOffer(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A configuration, sent to a member that has requested a newer version."""

    entry: EntryName
    incarnation: Incarnation
    version: int
    # The index and the parts that the receiver is missing, see `configuration_parts`.
    body: bytes


class ConfigurationRequest(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Requests a member's configuration if it is newer than `held_version`."""

    entry: EntryName
    incarnation: Incarnation
    held_version: int
    # Digests of the parts that the requester has.
    digests: tuple[str, ...] = ()


PeerMessage = (
    Heartbeat | CloseRequest | ClosePromise | ShareGrant | ConfigurationOffer
) | ConfigurationRequest

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Encode the message for the wire."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> PeerMessage:
    """Decode a message; raises `msgspec.DecodeError` if it is malformed."""
    return _decoder.decode(data)
