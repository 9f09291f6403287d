"""Events that drive an entry: the inputs of `Entry.step`."""

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
    """A caller sent a request. Each arrival receives exactly one final answer."""

    # Identifies the caller's exchange; assigned by the code that drives the entry.
    handle: int
    # Signed assignment as presented by the caller.
    token: str
    # Idempotency key chosen by the caller, unique under the assignment.
    key: str
    # Authenticated client account.
    account: AccountName
    class_name: ClassName
    prompt_tokens: int
    # Limit of the answer's length requested by the caller, in tokens.
    max_output_tokens: int
    # Digest of the first part of the prompt; empty if there is no prompt.
    prefix: str = ""
    # Deadline set by the caller; None means the deadline of the class.
    deadline_ms: int | None = None


@dataclass(frozen=True, slots=True)
class LookUpArrived:
    """A caller requested an assignment to an entry."""

    handle: int
    account: AccountName


@dataclass(frozen=True, slots=True)
class ResumeArrived:
    """A caller requested the answer of an earlier request; nothing is dispatched."""

    handle: int
    token: str
    key: str
    account: AccountName
    class_name: ClassName


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller's connection closed before its answer was complete."""

    handle: int


@dataclass(frozen=True, slots=True)
class RunRejected:
    """The run provably did not start: nothing was sent, or the target rejected it."""

    run_id: RunId
    target: TargetName
    detail: str
    # Whether the target reported that it is leaving.
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class RunProgressed:
    """Tokens of the answer arrived; a run's first event marks its first token."""

    run_id: RunId
    # Number of tokens since the previous event.
    tokens: int


@dataclass(frozen=True, slots=True)
class RunCompleted:
    """The answer is complete."""

    run_id: RunId
    # Length of the answer, in tokens.
    output_tokens: int
    # Prompt tokens served from the target's prefix cache.
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class RunLost:
    """The run failed at a point at which the target may have started it."""

    run_id: RunId
    detail: str


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A load report of a target was read; it may be stale."""

    target: TargetName
    # Requests in the target's batch.
    running: int
    # Requests queued at the target.
    waiting: int
    # Whether the target is leaving.
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class VmListRead:
    """The platform's VM list was read; it lags behind the VMs' actual state."""

    # Addresses (IP:port or IP) of the live VMs.
    live: frozenset[str]
    # Addresses of the VMs that are leaving.
    leaving: frozenset[str]


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A message of another member arrived."""

    sender: MemberId
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """A configuration was read from the key-value service or from a member."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class MemberLeasesRead:
    """The member leases in the key-value service were read."""

    # Peer address by member.
    members: dict[MemberId, str]
    # Monotonic time until which the entry's own lease is certainly valid: its TTL after
    # the sending of the last successful renewal, as known when this read was sent.
    # 0 if that lease is not known to be valid.
    own_lease_until_s: float = 0.0


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The operator or the platform requested a graceful stop."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic timer event."""


Event = (
    RequestArrived
    | LookUpArrived
    | ResumeArrived
    | CallerDisconnected
    | RunRejected
    | RunProgressed
    | RunCompleted
    | RunLost
    | LoadReported
    | VmListRead
    | MessageArrived
    | ConfigurationRead
    | MemberLeasesRead
    | StopRequested
    | Tick
)
