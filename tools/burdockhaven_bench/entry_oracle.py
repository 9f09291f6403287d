"""What must hold whatever fails, judged from outside the entries."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from burdockhaven_core.entry import Entry
from burdockhaven_core.identity import GroupName, RunId
from burdockhaven_core.outcome import NotRun, NotRunReason, Outcome
from burdockhaven_core.tier_admission import AdmissionDecision

# Refusals that count as shedding for the order of tiers.
SHEDDING = frozenset({NotRunReason.OVERLOAD, NotRunReason.EXPIRED})


@dataclass(frozen=True, slots=True)
class Asked:
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
    said_not_run: set[RunId] = field(default_factory=set)
    asked: dict[int, Asked] = field(default_factory=dict)
    # Callers that hung up or lost their entry.
    lost: set[int] = field(default_factory=set)
    # Callers that have their final answer, and callers that wait for it.
    answered: set[int] = field(default_factory=set)
    waiting: dict[RunId, set[int]] = field(default_factory=dict)
    sheds: int = 0

    def dispatched(self, run_id: RunId) -> None:
        """An entry sends a run to a target."""
        assert run_id not in self.may_have_run, f"{run_id} is dispatched twice"
        assert run_id not in self.said_not_run, f"{run_id} runs after 'not run'"
        self.may_have_run.add(run_id)

    def provably_not_started(self, run_id: RunId) -> None:
        """The target has refused the run, or no byte of it left."""
        self.may_have_run.discard(run_id)

    def joined(self, handle: int, run_id: RunId) -> None:
        """A caller is to get the answer of a run."""
        asked = self.asked[handle]
        assert asked.run_id == run_id, f"caller {handle} gets another's answer"
        if handle in self.lost:
            return
        assert handle not in self.answered, f"caller {handle} had its answer"
        self.waiting.setdefault(run_id, set()).add(handle)

    def gone(self, handle: int) -> None:
        """A caller, or the entry that it is connected to, is gone."""
        self.lost.add(handle)
        asked = self.asked.get(handle)
        if asked is not None:
            self.waiting.get(asked.run_id, set()).discard(handle)

    def finished(self, run_id: RunId) -> None:
        """The whole answer reached the entry that relays it."""
        for handle in self.waiting.pop(run_id, set()):
            self.answered.add(handle)

    def answer(
        self, handle: int, outcome: Outcome, entries: Iterable[tuple[Entry, float]]
    ) -> None:
        """A caller gets another final answer; `entries` run, with their clocks."""
        asked = self.asked.get(handle)
        if asked is None or handle in self.lost:
            return
        assert handle not in self.answered, f"caller {handle} is answered twice"
        self.answered.add(handle)
        self.waiting.get(asked.run_id, set()).discard(handle)
        if not isinstance(outcome, NotRun):
            return
        assert asked.run_id not in self.may_have_run, f"{asked.run_id} did run"
        is_new = asked.run_id not in self.said_not_run
        self.said_not_run.add(asked.run_id)
        if is_new and outcome.reason in SHEDDING:
            self._check_tiers(asked, entries)

    def _check_tiers(self, shed: Asked, entries: Iterable[tuple[Entry, float]]) -> None:
        self.sheds += 1
        for entry, now in entries:
            for tier in range(shed.tier):
                admission = entry.state.tier_admission.admission(shed.group, tier, now)
                assert admission is not AdmissionDecision.ADMIT, (
                    f"tier {shed.tier} was shed while "
                    f"{entry.state.parameters.member_id.entry} admits tier {tier}"
                )
