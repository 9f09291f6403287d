"""Test oracle: invariants of dispatches and answers that must hold under any fault.

No request runs twice, none runs after it was reported to its caller as not run, each
caller gets one final answer to its own request, and no tier is shed while an entry
admits a lower one. The oracle observes the entries from outside.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from burdockhaven_core.entry import Entry
from burdockhaven_core.identity import GroupName, RunId
from burdockhaven_core.outcome import NotRun, NotRunReason, Outcome
from burdockhaven_core.tier_admission import AdmissionDecision

# Refusals for overload, to which the order of tiers applies.
SHED_REASONS = frozenset({NotRunReason.OVERLOAD, NotRunReason.EXPIRED})


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request as one caller sent it to an entry."""

    run_id: RunId
    group: GroupName
    tier: int


@dataclass(slots=True)
class Oracle:
    """Observes dispatches and answers; raises `AssertionError` on a violation."""

    # Runs that a target may have executed.
    may_have_run: set[RunId] = field(default_factory=set)
    # Runs that were reported to a caller as not run.
    reported_not_run: set[RunId] = field(default_factory=set)
    requests: dict[int, SentRequest] = field(default_factory=dict)
    # Callers that disconnected or whose entry stopped.
    disconnected: set[int] = field(default_factory=set)
    # Callers with a final answer.
    answered: set[int] = field(default_factory=set)
    # Callers that wait for the answer, by run.
    waiting_callers: dict[RunId, set[int]] = field(default_factory=dict)
    shed_count: int = 0

    def record_dispatch(self, run_id: RunId) -> None:
        """Record that an entry sent a run to a target."""
        assert run_id not in self.may_have_run, f"{run_id} was dispatched twice"
        assert run_id not in self.reported_not_run, (
            f"{run_id} was dispatched after it was reported as not run"
        )
        self.may_have_run.add(run_id)

    def record_not_started(self, run_id: RunId) -> None:
        """Record that the target rejected the run or that nothing was sent."""
        self.may_have_run.discard(run_id)

    def add_waiting_caller(self, handle: int, run_id: RunId) -> None:
        """Record that a caller waits for the answer of a run."""
        request = self.requests[handle]
        assert request.run_id == run_id, f"caller {handle} gets another's answer"
        if handle in self.disconnected:
            return
        assert handle not in self.answered, (
            f"caller {handle} already had its final answer"
        )
        self.waiting_callers.setdefault(run_id, set()).add(handle)

    def record_disconnect(self, handle: int) -> None:
        """Record that a caller disconnected or that its entry stopped."""
        self.disconnected.add(handle)
        request = self.requests.get(handle)
        if request is not None:
            self.waiting_callers.get(request.run_id, set()).discard(handle)

    def record_completion(self, run_id: RunId) -> None:
        """Record that the complete answer reached the entry that relays it."""
        for handle in self.waiting_callers.pop(run_id, set()):
            self.answered.add(handle)

    def record_outcome(
        self, handle: int, outcome: Outcome, entries: Iterable[tuple[Entry, float]]
    ) -> None:
        """Record a final answer other than a complete one.

        `entries` are the running entries, each with its local time.
        """
        request = self.requests.get(handle)
        if request is None or handle in self.disconnected:
            return
        assert handle not in self.answered, f"caller {handle} was answered twice"
        self.answered.add(handle)
        self.waiting_callers.get(request.run_id, set()).discard(handle)
        if not isinstance(outcome, NotRun):
            return
        assert request.run_id not in self.may_have_run, (
            f"{request.run_id} was reported as not run but did run"
        )
        is_new = request.run_id not in self.reported_not_run
        self.reported_not_run.add(request.run_id)
        if is_new and outcome.reason in SHED_REASONS:
            self._check_tier_order(request, entries)

    def _check_tier_order(
        self, shed: SentRequest, entries: Iterable[tuple[Entry, float]]
    ) -> None:
        self.shed_count += 1
        for entry, now in entries:
            for tier in range(shed.tier):
                admission = entry.state.tier_admission.admission(shed.group, tier, now)
                assert admission is not AdmissionDecision.ADMIT, (
                    f"tier {shed.tier} was shed while "
                    f"{entry.state.parameters.member_id.entry} admits tier {tier}"
                )
