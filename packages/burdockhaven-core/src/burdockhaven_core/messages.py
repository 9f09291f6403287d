"""Messages between entry processes, encoded as MessagePack."""

import enum

import msgspec

from burdockhaven_core.identity import EntryName, GroupName, Incarnation, TargetName


class GroupDemand(msgspec.Struct, frozen=True, array_like=True):
    """What one entry wants of a group and what it has under way there."""

    group: GroupName
    # Requests queued, by tier, the lowest first.
    queued_by_tier: tuple[int, ...]
    # Requests under way, by target.
    in_flight_by_target: dict[TargetName, int]
    # Requests under way, by tier, the lowest first.
    in_flight_by_tier: tuple[int, ...] = ()
    # Token intervals measured lately in microseconds, 0 for none, in the order of the
    # group's targets at the configuration version of the heartbeat.
    token_intervals_us: tuple[int, ...] = ()


class PeerState(enum.IntEnum):
    """How the sender of a heartbeat sees another process."""

    # It may admit and shed.
    ACTIVE = 0
    # It was taken out: it can do neither while the sender keeps it out.
    EXCLUDED = 1
    # It has ended for good.
    TERMINATED = 2


class PeerStatus(msgspec.Struct, frozen=True, array_like=True):
    """What the sender of a heartbeat says of another process."""

    entry: EntryName
    incarnation: Incarnation
    # Where other members reach that member, as host:port; empty if it has ended.
    peer_address: str
    state: PeerState = PeerState.ACTIVE


class Echo(msgspec.Struct, frozen=True, array_like=True):
    """What the sender of a heartbeat has heard from its receiver."""

    # The process that was heard; another one may have taken its address since.
    incarnation: Incarnation
    # The newest `clock_s` heard from it.
    clock_s: float
    # The newest version of the receiver's `peers` that the sender has; -1 if none.
    view_version: int


class LeavingTarget(msgspec.Struct, frozen=True, array_like=True):
    """A target that accepts no new work."""

    target: TargetName
    # Seconds since the target or the VM list last said so.
    age_s: float


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Sent by each member to each other one at a fixed interval."""

    entry: EntryName
    incarnation: Incarnation
    # Grows by one with each heartbeat of this member.
    sequence: int
    # The member's own monotonic clock, in seconds since its start.
    clock_s: float
    # Where callers reach the member, as host:port.
    caller_address: str
    # Where other members reach the member, as host:port.
    peer_address: str
    zone: str
    # Whether the member takes new requests.
    ready: bool
    # Whether the member is on its way out.
    draining: bool
    # Version of the configuration in force at the member.
    config_version: int
    demand: tuple[GroupDemand, ...]
    # Targets that the member knows to be leaving.
    leaving: tuple[LeavingTarget, ...]
    # The processes that the sender knows; None if the receiver has this version.
    peers: tuple[PeerStatus, ...] | None = None
    # Grows whenever the sender's view of the others changes.
    view_version: int = 0
    # None if the sender has not heard the receiver. An echo extends the receiver's
    # lease on admission, if the receiver has the sender's `peers` of this version.
    echo: Echo | None = None
    # Whether the sender will admit and dispatch nothing any more, for good.
    resigned: bool = False
    # Whether the sender knows all members, so that it can introduce others.
    has_full_membership: bool = False


class CloseRequest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Asks a member to admit nothing below a tier in a group."""

    entry: EntryName
    incarnation: Incarnation
    group: GroupName
    tier: int
    # Names the question; the promise repeats it.
    request_number: int


class ClosePromise(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Answers `CloseAsk`: the member stays closed below the tier for a while."""

    entry: EntryName
    incarnation: Incarnation
    group: GroupName
    tier: int
    request_number: int
    # Seconds from the member's receipt of the question for which it stays closed.
    duration_s: float


class ShareGrant(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The coordinator's allotment of slots of one group to one member."""

    entry: EntryName
    incarnation: Incarnation
    group: GroupName
    # Slots that the receiver may fill, by target.
    slots: dict[TargetName, int]
    # Seconds from receipt after which the allotment lapses.
    duration_s: float


class ConfigurationOffer(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A configuration, sent to a member that has an older one."""

    entry: EntryName
    incarnation: Incarnation
    version: int
    # The index and the parts that the receiver lacks, see `configuration_parts`.
    body: bytes


class ConfigurationRequest(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Asks a member for its configuration, if newer than the version named."""

    entry: EntryName
    incarnation: Incarnation
    held_version: int
    # Digests of the parts that the asker has.
    digests: tuple[str, ...] = ()


PeerMessage = (
    Heartbeat | CloseRequest | ClosePromise | ShareGrant | ConfigurationOffer
) | ConfigurationRequest

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """The message as it goes over the wire."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> PeerMessage:
    """The message that the bytes hold; raises `msgspec.DecodeError` otherwise."""
    return _decoder.decode(data)
