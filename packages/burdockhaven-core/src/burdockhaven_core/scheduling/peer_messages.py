"""Messages between members, encoded as MessagePack; each may be lost."""

import enum

import msgspec


class MemberId(msgspec.Struct, frozen=True, array_like=True):
    """One start of one member."""

    node: str
    # Random number drawn at the start.
    incarnation: int


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Sent to each member at a fixed interval."""

    sender: MemberId
    sequence: int
    # Wall-clock milliseconds of the start; orders the members by age.
    started_ms: int
    # Where members send datagrams, and where they fetch configurations.
    peer_address: str
    control_address: str
    # Where clients connect.
    front_address: str
    zone: str
    ready: bool
    draining: bool
    # Version of the configuration in force; 0 while there is none.
    config_version: int
    # Ids of targets that the sender knows to leave or to have left.
    leaving: tuple[str, ...] = ()
    # Accounts whose quota is used up, as far as the sender's broker knows.
    exhausted_accounts: tuple[str, ...] = ()
    # Quota units that the sender has sent within the window, by account.
    usage: tuple[tuple[str, int], ...] = ()
    # Whether the sender is in step with the platform's store.
    in_sync: bool = True
    # Nodes that the sender, a hub, has not heard lately; empty from others.
    timed_out_nodes: tuple[str, ...] = ()


class PlacementRequest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Asks for a target for one request."""

    sender: MemberId
    # Names the request; the same when the question is sent again.
    number: int
    service: str
    route: str
    # Empty for requests without an account.
    account: str
    # The account's rank, or the route's where the account has none, and the rank of the
    # route, which orders the requests of one account; 0 is the most urgent.
    priority: int
    route_priority: int
    prompt_tokens: int
    # The most tokens that the answer may have.
    output_tokens: int
    # Parts of the prompt and their tokens, in order.
    parts: tuple[tuple[str, int], ...]
    # Milliseconds until the first event is late, until the client leaves without one,
    # and until the request is given up.
    objective_ms: int
    client_timeout_ms: int
    deadline_ms: int
    # Longest pause between events that is on time.
    pause_objective_ms: int
    # Targets that have failed this request.
    excluded: tuple[str, ...] = ()
    # Whether the request is sent again.
    is_retry: bool = False
    # Names what is asked for, the same at each try of a client; 0 if not known.
    digest: int = 0
    # Tokens that the client expects the answer to have; 0 if it does not say.
    expected_tokens: int = 0


class Verdict(enum.IntEnum):
    """What a broker says to a question."""

    GRANTED = 1
    QUEUED = 2
    # No target is free in time.
    OVERLOADED = 3
    # The account's quota is used up.
    OVER_QUOTA = 4


class PlacementReply(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Answers an `Ask`."""

    number: int
    verdict: Verdict
    # Id of the target; empty unless granted.
    target: str = ""
    # Milliseconds after which the client may come back.
    retry_after_ms: int = 0
    # host:port of the target, for members that do not know it; empty unless granted.
    address: str = ""
    # Milliseconds in which the first event is predicted; 0 unless granted.
    predicted_ms: int = 0
    # Node that answers; empty where the answer does not leave the process.
    broker: str = ""


class RunEnd(enum.IntEnum):
    """How a run left its target."""

    # The whole answer arrived.
    COMPLETED = 1
    # The client left or gave up.
    CANCELLED = 2
    # The target failed, or broke off.
    FAILED = 3
    # The target said that it did not run the request.
    REJECTED = 4
    # No connection could be opened.
    UNREACHABLE = 5
    # Another target has the address, or the target said that it leaves.
    LEAVING = 6
    # The member knows that the target leaves, and sent nothing.
    NOT_SENT = 7


class RunUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The first event or the end of one run."""

    number: int
    # None for the first event.
    end: RunEnd | None = None
    # Milliseconds from the send to the first event; 0 if none came.
    first_event_ms: int = 0
    # Lower quartile of the pauses between events in 0.1 ms; 0 if not known.
    pause_tenth_ms: int = 0


class RunProgress(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """What happened to runs since the last such message."""

    sender: MemberId
    updates: tuple[RunUpdate, ...]


class RunState(msgspec.Struct, frozen=True, array_like=True):
    """A run that is under way at its target."""

    number: int
    target: str
    prompt_tokens: int
    # Milliseconds since it was sent.
    age_ms: int
    # Whether its first event has come.
    first_event_seen: bool


class RunReport(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """All runs of a member, for the broker that it asks."""

    sender: MemberId
    runs: tuple[RunState, ...]
    # Numbers of the questions that wait for a target.
    waiting: tuple[int, ...]


class CancelPlacement(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The sender does not want an answer to a question any more."""

    sender: MemberId
    number: int


PeerMessage = (
    Heartbeat
    | PlacementRequest
    | PlacementReply
    | RunProgress
    | RunReport
    | CancelPlacement
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """The message as it goes over the wire."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> PeerMessage:
    """The message that the bytes hold; raises `msgspec.DecodeError` otherwise."""
    return _decoder.decode(data)
