"""State of one entry process, shared by its event handlers."""

import random
from dataclasses import dataclass

from burdockhaven_core.actions import Action, Answer, LogEvent, RecordRequest
from burdockhaven_core.configuration import Configuration
from burdockhaven_core.configuration_replica import ConfigurationReplica
from burdockhaven_core.identity import (
    AccountName,
    EntryName,
    GroupName,
    MemberId,
    RunId,
)
from burdockhaven_core.length_prediction import LengthPredictor
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.membership import MemberParameters, Membership
from burdockhaven_core.outcome import NotRun, NotRunReason, Outcome, Unknown
from burdockhaven_core.queueing import GroupQueue, QueuedRequest
from burdockhaven_core.run_registry import Record, RunRegistry
from burdockhaven_core.slot_shares import SlotShares
from burdockhaven_core.target_selection import TargetPolicy
from burdockhaven_core.targets import TargetState, TargetTable
from burdockhaven_core.tier_admission import TierAdmission


@dataclass(frozen=True, slots=True)
class EntryParameters:
    """Static parameters of an entry process, from its settings."""

    member_id: MemberId
    zone: str
    # Addresses for callers and for other members, as host:port.
    caller_address: str
    peer_address: str
    # HMAC key for assignments, shared by all entries.
    assignment_key: bytes
    # Seconds for which a caller may use the answer to a look-up.
    assignment_lifetime_s: float = 30.0
    # Seconds for which a record is retained after its assignment has expired.
    record_retention_s: float = 30.0
    heartbeat_interval_s: float = 0.5
    # Seconds without a heartbeat after which a member is considered silent.
    member_timeout_s: float = 3.0
    # Seconds for which an abandoned request waits for its caller to resume it.
    resume_grace_s: float = 5.0
    # Capacity of the queues of all groups together.
    max_queue: int = 4_096

    def member_parameters(self, started_s: float) -> MemberParameters:
        """Return the parameters of this process as a member."""
        return MemberParameters(
            member_id=self.member_id,
            zone=self.zone,
            caller_address=self.caller_address,
            peer_address=self.peer_address,
            started_s=started_s,
            member_timeout_s=self.member_timeout_s,
        )


class EntryState:
    """Mutable state of one entry process, and the actions of the current step."""

    def __init__(
        self,
        parameters: EntryParameters,
        select_target: TargetPolicy,
        rng: random.Random,
        now: float,
    ) -> None:
        self.parameters = parameters
        self.select_target = select_target
        self.rng = rng
        self.started_s = now
        self.replica = ConfigurationReplica(parameters.member_id)
        # Client account by the SHA-256 digest of its key.
        self.account_by_key_digest: dict[str, AccountName] = {}
        self.membership = Membership.from_config(parameters.member_parameters(now))
        self.tier_admission = TierAdmission.from_config(self.membership)
        self.run_registry = RunRegistry()
        self.targets = TargetTable()
        self.shares = SlotShares.from_config(parameters.member_id, self.targets)
        self.length_predictor = LengthPredictor()
        self.queues: dict[GroupName, GroupQueue] = {}
        # Group of each queued or dispatched run.
        self.group_by_run: dict[RunId, GroupName] = {}
        # EWMA of the requests in flight by group and tier, lowest tier first.
        self.average_in_flight: dict[GroupName, tuple[float, ...]] = {}
        # Requests in flight, as they were queued.
        self.dispatched: dict[RunId, QueuedRequest] = {}
        # Queued requests to be shed as soon as tier admission permits it.
        self.pending_refusals: dict[RunId, NotRun] = {}
        # Time at which an abandoned run is cancelled unless its caller has resumed it.
        self.resume_deadlines_s: dict[RunId, float] = {}
        self.next_heartbeat_s = now
        # Earliest time at which a draining process may stop; None if not draining.
        self.drain_until_s: float | None = None
        self.stopped = False
        self.actions: list[Action] = []

    @property
    def configuration(self) -> Configuration:
        """The configuration in force at this entry."""
        return self.replica.configuration

    @property
    def ready(self) -> bool:
        """Whether the entry has a configuration and accepts requests."""
        return self.replica.ready and not self.stopped

    @property
    def draining(self) -> bool:
        """Whether a graceful stop has been requested."""
        return self.drain_until_s is not None

    def clock_s(self, now: float) -> float:
        """Return the seconds since the process start; assignments use this clock."""
        return now - self.started_s

    def queue(self, group: GroupName) -> GroupQueue:
        """Return the queue of a group, creating it on first use."""
        return self.queues.setdefault(group, GroupQueue())

    def queued_count(self) -> int:
        """Return the number of queued requests over all groups."""
        return sum(len(queue) for queue in self.queues.values())

    def non_leaving_targets(self, group: GroupName, now: float) -> list[TargetState]:
        """Return the targets of a group that are not leaving."""
        leaving = self.membership.leaving_targets(now)
        targets = self.targets.of_group(group)
        return [target for target in targets if target.spec.name not in leaving]

    def available_targets(self, group: GroupName, now: float) -> list[TargetState]:
        """Return the targets of a group that are neither leaving nor paused."""
        remaining = self.non_leaving_targets(group, now)
        return [target for target in remaining if target.paused_until_s <= now]

    def log_event(self, number: EventNumber, **fields: str | int | float) -> None:
        """Add an action that logs a numbered event."""
        self.actions.append(LogEvent(int(number), fields))

    def answer(self, handle: int, outcome: Outcome) -> None:
        """Give one caller its final answer and detach it from its run."""
        self.run_registry.detach(handle)
        self.actions.append(Answer(handle, outcome))

    def answer_all(self, run_id: RunId, outcome: NotRun | Unknown) -> None:
        """Give the final answer to all callers of a run and detach them."""
        for handle in self.run_registry.detach_all(run_id):
            self.actions.append(Answer(handle, outcome))

    def record_result(self, record: Record, result: str, now: float) -> None:
        """Add a finished request to the metrics."""
        started_s = record.dispatched_s
        first_s = record.first_token_s
        wasted = record.prompt_tokens if started_s is not None else 0
        self.actions.append(
            RecordRequest(
                account=record.account,
                class_name=record.spec.name,
                tier=record.spec.tier,
                result=result,
                in_time=result == "whole" and now <= record.deadline_s,
                queued_s=(now if started_s is None else started_s) - record.arrived_s,
                first_token_s=None if first_s is None else first_s - record.arrived_s,
                total_s=now - record.arrived_s,
                wasted_prompt_tokens=0 if result == "whole" else wasted,
                prompt_tokens=record.prompt_tokens,
                service_s=0.0 if started_s is None else now - started_s,
            )
        )


def unavailable_refusal(detail: str, entry: EntryName | None = None) -> NotRun:
    """Return the refusal by an entry that accepts no requests."""
    text = detail if entry is None else f"{detail}; use {entry}"
    return NotRun(NotRunReason.UNAVAILABLE, text, retry_after_s=0.0)
