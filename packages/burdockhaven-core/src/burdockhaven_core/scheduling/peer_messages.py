"""Messages between members, sent as MessagePack datagrams that may be lost."""

import enum

import msgspec

from burdockhaven_core.value_ranges import NotNegative, Rate, Seconds


class MemberId(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a member."""

    node: str
    # Random number drawn when the process starts.
    incarnation: int


class AnnouncedLimit(msgspec.Struct, frozen=True, array_like=True):
    """What a member knows of the request rate that one target accepts."""

    target: str
    # Requests per second from all members together; None if a limit was lifted.
    limit_per_s: Rate | None
    # Milliseconds since the response from which it is known.
    age_ms: int


class AccusedPartNotice(msgspec.Struct, frozen=True, array_like=True):
    """What a broker knows of a prompt part that may end engines."""

    part: str
    # Ends of engines that accuse the part; 0 if a run with it has begun since.
    ends: int
    # Milliseconds since the last of these ends, or since the run began.
    age_ms: int
    # Milliseconds for which no engine gets the part; 0 if any may.
    quarantined_ms: int
    # Times that the part was quarantined.
    quarantines: int


class AccusedRequestNotice(msgspec.Struct, frozen=True, array_like=True):
    """What a member knows of a request content that may end targets."""

    # Key of the content (`content_key`).
    content: int
    # Key of each end beneath the content, and milliseconds since it.
    ends: tuple[tuple[int, int], ...]
    # Milliseconds since a request with the content was answered; None if none was since
    # these ends.
    answered_ms: int | None = None


class EntryChange(msgspec.Struct, frozen=True, array_like=True):
    """The removal of a target's entry from the store, or its return after one."""

    target: str
    # Unix milliseconds of the start that wrote the entry; 0 if unknown.
    started_ms: NotNegative
    # Era and revision of the store at which the entry was removed or written again.
    era: NotNegative
    revision: NotNegative
    # Whether the entry is in the store as of that revision.
    is_present: bool


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Announces the state of its sender at a fixed interval."""

    sender: MemberId
    sequence: NotNegative
    # Unix milliseconds of the sender's start; orders the members by age.
    started_ms: int
    # Address for datagrams, and address from which members fetch configurations.
    peer_address: str
    control_address: str
    # Address for clients.
    front_address: str
    zone: str
    ready: bool
    draining: bool
    # Version of the configuration in force; 0 if there is none yet.
    config_version: NotNegative
    # Ids of the targets that leave or have left by their own word, as far as the sender
    # knows.
    leaving: tuple[str, ...] = ()
    # Accounts whose quota is used up, as far as the sender's broker knows.
    exhausted_accounts: tuple[str, ...] = ()
    # Quota units that the sender has used within the window, by account.
    usage: tuple[tuple[str, int], ...] = ()
    # Whether the sender is in sync with the platform's store.
    in_sync: bool = True
    # Nodes that have timed out at the sender; empty unless the sender is a hub.
    timed_out_nodes: tuple[str, ...] = ()
    # The latest known limits of targets, from the responses of any member.
    limits: tuple[AnnouncedLimit, ...] = ()
    # Era of the platform's store as far as the sender knows; 0 if unknown.
    store_era: NotNegative = 0
    # Unix milliseconds of the start of each target in `leaving`; 0 if unknown.
    leaving_started_ms: tuple[NotNegative, ...] = ()
    # Prompt parts accused of ending engines, by the evidence of the sender's broker.
    accused_parts: tuple[AccusedPartNotice, ...] = ()
    # Store revision of the last change of a target's entry that the sender has applied;
    # 0 if unknown.
    targets_revision: NotNegative = 0
    # Processor capacity of the sender's VM in hundredths of a core; 0 if unknown.
    processor_percent: int = 0
    # Request contents accused of ending targets, by the evidence of all members.
    accused_requests: tuple[AccusedRequestNotice, ...] = ()
    # Recent removals and returns of targets' entries that the sender has read from the
    # store.
    entry_changes: tuple[EntryChange, ...] = ()
    # Milliseconds since the store last confirmed to the sender that its configuration
    # is the newest; None if the sender does not say.
    configuration_age_ms: int | None = None


class PausedTarget(msgspec.Struct, frozen=True, array_like=True):
    """A target to which a member must not send for some time."""

    target: str
    # Milliseconds until the member may send to it again.
    left_ms: int


class PlacementRequest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Requests a target for one request of a client."""

    sender: MemberId
    # Identifies the request at its sender; the same when this message is sent again.
    number: int
    service: str
    route: str
    # Empty for requests without an account.
    account: str
    # Priority between accounts (`RoutingTable.priority_of`), and priority of the route,
    # which orders the requests of equal accounts; 0 is the most urgent.
    priority: int
    route_priority: int
    prompt_tokens: int
    # Maximum number of tokens of the response.
    output_tokens: int
    # Parts of the prompt and their tokens, in order.
    parts: tuple[tuple[str, int], ...]
    # Milliseconds until the first event becomes late, until the client disconnects
    # without a first event, and until the request is abandoned.
    objective_ms: int
    client_timeout_ms: int
    deadline_ms: int
    # Longest pause in milliseconds between events that is on time.
    pause_objective_ms: int
    # Targets that have failed this request.
    excluded: tuple[str, ...] = ()
    # Whether the request was sent to a target before.
    is_retry: bool = False
    # Digest of the request, the same at each retry by a client; 0 if unknown.
    digest: int = 0
    # Number of tokens that the client expects of the response; 0 if not stated.
    expected_tokens: int = 0
    # Availability zone of the sender.
    zone: str = ""
    # Software version of the targets that may be used; empty for any.
    software_version: str = ""
    # Targets of the service that are paused for the sender.
    paused: tuple[PausedTarget, ...] = ()
    # Whether an engine has gone on to answer the prompt after its first event.
    has_begun: bool = False
    # Whether the client resumes a stream, of which it has events.
    is_resumption: bool = False


class Verdict(enum.IntEnum):
    """Decision of a broker on a placement request."""

    GRANTED = 1
    QUEUED = 2
    # No target will be free in time.
    OVERLOADED = 3
    # The account's quota is used up.
    OVER_QUOTA = 4
    # No target has the software version that the request needs.
    VERSION_GONE = 5


class PlacementReply(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Reply to a `PlacementRequest`."""

    number: int
    verdict: Verdict
    # Id of the target; empty unless granted.
    target: str = ""
    # Milliseconds after which the client may retry.
    retry_after_ms: int = 0
    # host:port of the target, for members that don't know it; empty unless granted.
    address: str = ""
    # Predicted milliseconds to the first event; 0 unless granted.
    predicted_ms: int = 0
    # Node of the broker; empty if the reply does not leave the process.
    broker: str = ""
    # Software version of the target; empty unless granted.
    software_version: str = ""
    # Prompt part that no engine gets, because engines end beneath it; empty unless the
    # request is refused for it.
    quarantined_part: str = ""
    # Whether the request needs more memory than any target has.
    is_too_large: bool = False


class RunEnd(enum.IntEnum):
    """How a run ended."""

    # The complete response arrived.
    COMPLETED = 1
    # The client disconnected or timed out.
    CANCELLED = 2
    # The target failed or closed the connection early.
    FAILED = 3
    # The target stated that it did not run the request.
    REJECTED = 4
    # No connection to the target could be opened.
    UNREACHABLE = 5
    # Another target has the address, or the target stated that it leaves.
    LEAVING = 6
    # The member did not send the request because it knew that the target leaves or is
    # paused for it.
    NOT_SENT = 7
    # The target closed the connection without a response, or sent no valid one.
    DISCONNECTED = 8
    # The member ended the run because the target was silent and another was granted.
    REPLACED = 9
    # The target did not run the request and asked this member for a pause.
    PAUSED = 10


class RunUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The first event or the end of one run."""

    number: int
    # None for the first event.
    end: RunEnd | None = None
    # Milliseconds from the send to the first event; 0 if none came.
    first_event_ms: int = 0
    # Lower quartile and maximum of the pauses between events in 0.1 ms; 0 if unknown.
    pause_tenth_ms: int = 0
    longest_pause_tenth_ms: int = 0
    # Time of work on the target's machine in percent of the usual one, as the target
    # reported with its response; 0 if it did not.
    machine_percent: int = 0


class BrokenPrompt(msgspec.Struct, frozen=True, array_like=True):
    """A prompt whose engine ended the connection before it went on to answer it."""

    target: str
    # The first of the prompt's parts without the last, which no other request has, for
    # a broker that did not place the request.
    parts: tuple[str, ...]
    # Number of the sender's placement request; 0 if unknown.
    number: int = 0


class RunProgress(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """First events and ends of runs since the sender's previous message."""

    sender: MemberId
    updates: tuple[RunUpdate, ...]
    broken_prompts: tuple[BrokenPrompt, ...] = ()


class RunState(msgspec.Struct, frozen=True, array_like=True):
    """A run in flight at its target."""

    number: int
    target: str
    prompt_tokens: int
    # Milliseconds since the request was sent.
    age_ms: int
    # Whether the first event has arrived.
    first_event_seen: bool


class RunReport(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """All runs in flight and open placement requests of a member."""

    sender: MemberId
    runs: tuple[RunState, ...]
    # Numbers of the placement requests that wait for a target.
    waiting: tuple[int, ...]


class CancelPlacement(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Cancels a placement request, or releases a grant that is not used."""

    sender: MemberId
    number: int


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """Which targets began a stream and may continue it."""

    service: str
    # Of the targets' software.
    software_version: str


class RecordOrigins(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Origins of streams that the sender carries, for the recipient to keep."""

    origins: tuple[StreamOrigin, ...]
    # The key of each stream and the index of its origin in `origins`.
    streams: tuple[tuple[int, int], ...]


class FindOrigin(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Asks for the origin of a stream that a client resumes."""

    sender: MemberId
    # Identifies the question at its sender.
    number: int
    # Key of the stream; 0 if the client names none.
    key: int
    # The service whose versions are asked for.
    service: str
    # Whether to reply also if the origin is not known.
    always_reply: bool


class VersionObservation(msgspec.Struct, frozen=True, array_like=True):
    """What a member knows of the software versions of a service."""

    # Those that have served while a stream that is resumed now may have begun.
    versions: tuple[str, ...]
    # Seconds for which the member has missed no change; 0 if it is out of sync.
    complete_for_s: Seconds


class OriginReply(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Reply to a `FindOrigin`."""

    node: str
    number: int
    # None if the sender does not know it.
    origin: StreamOrigin | None
    observation: VersionObservation


OriginMessage = RecordOrigins | FindOrigin | OriginReply
PeerMessage = (
    Heartbeat
    | PlacementRequest
    | PlacementReply
    | RunProgress
    | RunReport
    | CancelPlacement
    | RecordOrigins
    | FindOrigin
    | OriginReply
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> PeerMessage:
    """Decode a message; raises `msgspec.DecodeError` if the bytes hold none."""
    return _decoder.decode(data)
