"""What must hold whatever fails, judged from outside the entries."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from burdockhaven_core.entry import Entry
from burdockhaven_core.identity import GroupName, RunId
from burdockhaven_core.outcome import NotRun, NotRunReason, Outcome
from burdockhaven_core.tier_admission import AdmissionDecision

# Refusals that count as shedding for the order of tiers.
SHED_REASONS = frozenset({NotRunReason.OVERLOAD, NotRunReason.EXPIRED})


@dataclass(frozen=True, slots=True)
class SentRequest:
    """One arrival of a request at an entry."""

    run_id: RunId
    group: GroupName
    tier: int


@dataclass(slots=True)
class Oracle:
    """Sees dispatches and answers only; raises `AssertionError` on a broken rule."""

    # Runs that a target may have started.
    may_have_run: set[RunId] = field(default_factory=set)
    # Runs of which a caller was told that they were not run.
    reported_not_run: set[RunId] = field(default_factory=set)
    requests: dict[int, SentRequest] = field(default_factory=dict)
    # Callers that hung up or lost their entry.
    disconnected: set[int] = field(default_factory=set)
    # Callers that have their final answer, and callers that wait for it.
    answered: set[int] = field(default_factory=set)
    waiting_callers: dict[RunId, set[int]] = field(default_factory=dict)
    shed_count: int = 0

    def record_dispatch(self, run_id: RunId) -> None:
        """An entry sends a run to a target."""
        assert run_id not in self.may_have_run, f"{run_id} is dispatched twice"
        assert run_id not in self.reported_not_run, f"{run_id} runs after 'not run'"
        self.may_have_run.add(run_id)

    def record_not_started(self, run_id: RunId) -> None:
        """The target has refused the run, or no byte of it left."""
        self.may_have_run.discard(run_id)

    def add_waiting_caller(self, handle: int, run_id: RunId) -> None:
        """A caller is to get the answer of a run."""
        request = self.requests[handle]
        assert request.run_id == run_id, f"caller {handle} gets another's answer"
        if handle in self.disconnected:
            return
        assert handle not in self.answered, f"caller {handle} had its answer"
        self.waiting_callers.setdefault(run_id, set()).add(handle)

    def record_disconnect(self, handle: int) -> None:
        """A caller, or the entry that it is connected to, is gone."""
        self.disconnected.add(handle)
        request = self.requests.get(handle)
        if request is not None:
            self.waiting_callers.get(request.run_id, set()).discard(handle)

    def record_completion(self, run_id: RunId) -> None:
        """The whole answer reached the entry that relays it."""
        for handle in self.waiting_callers.pop(run_id, set()):
            self.answered.add(handle)

    def record_outcome(
        self, handle: int, outcome: Outcome, entries: Iterable[tuple[Entry, float]]
    ) -> None:
        """A caller gets another final answer; `entries` run, with their clocks."""
        request = self.requests.get(handle)
        if request is None or handle in self.disconnected:
            return
        assert handle not in self.answered, f"caller {handle} is answered twice"
        self.answered.add(handle)
        self.waiting_callers.get(request.run_id, set()).discard(handle)
        if not isinstance(outcome, NotRun):
            return
        assert request.run_id not in self.may_have_run, f"{request.run_id} did run"
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
