"""The state of one entry process, shared by the functions that handle its events."""

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
    """What an entry process learns from its settings."""

    member_id: MemberId
    zone: str
    # Where callers and other members reach the process, as host:port.
    caller_address: str
    peer_address: str
    # Signs and checks assignments; the same on every entry.
    assignment_key: bytes
    # Seconds for which a caller may keep the answer to a look-up.
    assignment_lifetime_s: float = 30.0
    # Seconds that a record is kept after its assignment has expired.
    record_retention_s: float = 30.0
    heartbeat_interval_s: float = 0.5
    # Seconds without a heartbeat after which a member counts as gone.
    member_timeout_s: float = 3.0
    # Seconds for which a request whose caller went away is kept for its return.
    resume_grace_s: float = 5.0
    # Requests that may be queued over all groups.
    max_queue: int = 4_096

    def member_parameters(self, started_s: float) -> MemberParameters:
        """How the process describes itself to the other members."""
        return MemberParameters(
            member_id=self.member_id,
            zone=self.zone,
            caller_address=self.caller_address,
            peer_address=self.peer_address,
            started_s=started_s,
            member_timeout_s=self.member_timeout_s,
        )


class EntryState:
    """Everything that one entry process knows."""

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
        # Client account by the SHA-256 of its key.
        self.account_by_key_digest: dict[str, AccountName] = {}
        self.membership = Membership.from_config(parameters.member_parameters(now))
        self.tier_admission = TierAdmission.from_config(self.membership)
        self.run_registry = RunRegistry()
        self.targets = TargetTable()
        self.shares = SlotShares.from_config(parameters.member_id, self.targets)
        self.length_predictor = LengthPredictor()
        self.queues: dict[GroupName, GroupQueue] = {}
        # The group of each queued or dispatched run.
        self.group_by_run: dict[RunId, GroupName] = {}
        # Moving average of the requests under way by tier, the lowest first.
        self.average_in_flight: dict[GroupName, tuple[float, ...]] = {}
        # Requests under way at a target, as they were queued.
        self.dispatched: dict[RunId, QueuedRequest] = {}
        # Queued requests that are to be shed as soon as the floor allows it.
        self.pending_refusals: dict[RunId, NotRun] = {}
        # When a run without a caller is given up, by run.
        self.resume_deadlines_s: dict[RunId, float] = {}
        self.next_heartbeat_s = now
        # When the process may stop; None while it isn't asked to.
        self.drain_until_s: float | None = None
        self.stopped = False
        self.actions: list[Action] = []

    @property
    def configuration(self) -> Configuration:
        """The configuration in force here."""
        return self.replica.configuration

    @property
    def ready(self) -> bool:
        """Whether the entry has a configuration and takes new requests."""
        return self.replica.ready and not self.stopped

    @property
    def draining(self) -> bool:
        """Whether the entry was asked to stop."""
        return self.drain_until_s is not None

    def clock_s(self, now: float) -> float:
        """The process's own clock, in which assignments are expressed."""
        return now - self.started_s

    def queue(self, group: GroupName) -> GroupQueue:
        """The queue of a group, made on first use."""
        return self.queues.setdefault(group, GroupQueue())

    def queued_count(self) -> int:
        """Requests that wait, over all groups."""
        return sum(len(queue) for queue in self.queues.values())

    def non_leaving_targets(self, group: GroupName, now: float) -> list[TargetState]:
        """The targets of a group that are not leaving."""
        leaving = self.membership.leaving_targets(now)
        targets = self.targets.of_group(group)
        return [target for target in targets if target.spec.name not in leaving]

    def available_targets(self, group: GroupName, now: float) -> list[TargetState]:
        """The targets of a group that take new work now."""
        remaining = self.non_leaving_targets(group, now)
        return [target for target in remaining if target.paused_until_s <= now]

    def log_event(self, number: EventNumber, **fields: str | int | float) -> None:
        """Log a numbered event."""
        self.actions.append(LogEvent(int(number), fields))

    def answer(self, handle: int, outcome: Outcome) -> None:
        """Give one caller its final answer."""
        self.run_registry.detach(handle)
        self.actions.append(Answer(handle, outcome))

    def answer_all(self, run_id: RunId, outcome: NotRun | Unknown) -> None:
        """Give the final answer to all callers of a run."""
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
    """The answer of an entry that takes no new requests."""
    text = detail if entry is None else f"{detail}; use {entry}"
    return NotRun(NotRunReason.UNAVAILABLE, text, retry_after_s=0.0)
