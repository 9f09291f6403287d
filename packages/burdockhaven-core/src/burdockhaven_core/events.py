"""What can happen to an entry: the inputs of `Entry.step`."""

from dataclasses import dataclass

from burdockhaven_core.configuration import Configuration
from burdockhaven_core.identity import (
    AccountName,
    ClassName,
    MemberId,
    RunId,
    TargetName,
)
from burdockhaven_core.messages import PeerMessage


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller sent a request; each arrival gets one final answer."""

    # Chosen by the shell; answers to the caller name it.
    handle: int
    # The signed assignment, as the caller presented it.
    token: str
    # The caller's key under the assignment.
    key: str
    # The account whose key the caller has shown.
    account: AccountName
    class_name: ClassName
    prompt_tokens: int
    # The longest answer that the caller wants, in tokens.
    max_output_tokens: int
    # A digest of the first part of the prompt; empty when there is no prompt.
    prefix: str = ""
    # Milliseconds that the caller gives; None means the class's deadline.
    deadline_ms: int | None = None


@dataclass(frozen=True, slots=True)
class LookUpArrived:
    """A caller asks which entry to use."""

    handle: int
    account: AccountName


@dataclass(frozen=True, slots=True)
class ResumeArrived:
    """A caller asks for the answer of a request sent before; nothing is dispatched."""

    handle: int
    token: str
    key: str
    account: AccountName
    class_name: ClassName


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller's connection closed before its answer was whole."""

    handle: int


@dataclass(frozen=True, slots=True)
class RunRefused:
    """The run was provably not started: no byte left, or the target said so."""

    run_id: RunId
    target: TargetName
    detail: str
    # Whether the target said that it is leaving.
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class RunProgressed:
    """Tokens of the answer arrived; the first event of a run marks its first token."""

    run_id: RunId
    # Tokens since the event before.
    tokens: int


@dataclass(frozen=True, slots=True)
class RunFinished:
    """The whole answer arrived."""

    run_id: RunId
    # Length of the whole answer, in tokens.
    output_tokens: int
    # Prompt tokens that the target found in its prefix cache.
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class RunLost:
    """The target or the connection failed after the dispatch may have left."""

    run_id: RunId
    detail: str


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A target told its load, some time ago."""

    target: TargetName
    # Requests in the target's batch.
    running: int
    # Requests that wait in the target.
    waiting: int
    # Whether the target is leaving.
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class VmListRead:
    """The platform's list of VMs, which lags."""

    # Addresses (IP:port or IP) of the VMs that live.
    live: frozenset[str]
    # Addresses of the VMs that are on their way out.
    leaving: frozenset[str]


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A message of another member."""

    sender: MemberId
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """A configuration came from the key-value service or from a member."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class MemberLeasesRead:
    """The member leases that stand in the key-value service."""

    # Peer address by member.
    members: dict[MemberId, str]
    # Monotonic time up to which the entry's own lease stands for certain: its lifetime
    # counted from when its last renewal was sent, as known when this read was sent.
    # 0 means that the own lease is not known to stand.
    own_lease_until_s: float = 0.0


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The operator or the platform asked the process to stop gracefully."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; sent at a fixed interval by the timer service."""


Event = (
    RequestArrived
    | LookUpArrived
    | ResumeArrived
    | CallerDisconnected
    | RunRefused
    | RunProgressed
    | RunFinished
    | RunLost
    | LoadReported
    | VmListRead
    | MessageArrived
    | ConfigurationRead
    | MemberLeasesRead
    | StopRequested
    | Tick
)
