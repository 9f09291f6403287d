"""The record of each request that was sent to this process.

A record outlives the assignment of its request, so that no copy of the request that
may still arrive can start a second run. A refused identity stays refused.
"""

import dataclasses
import enum
import heapq
from dataclasses import dataclass

from burdockhaven_core.configuration import ClassSpec, TargetSpec
from burdockhaven_core.identity import AccountName, RunId
from burdockhaven_core.outcome import NotRun, Unknown


class RunState(enum.Enum):
    """How far a request has come."""

    QUEUED = "queued"
    DISPATCHED = "dispatched"
    COMPLETED = "whole"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


# Seconds after which an overdue record of an unfinished run is looked at again.
UNFINISHED_RECHECK_S = 1.0
FINAL_STATES = frozenset({RunState.COMPLETED, RunState.NOT_RUN, RunState.UNKNOWN})


@dataclass(frozen=True, slots=True)
class Record:
    """What this process knows of one request."""

    run_id: RunId
    account: AccountName
    spec: ClassSpec
    state: RunState
    prompt_tokens: int
    arrived_s: float
    deadline_s: float
    # When the record may be dropped, provided that the request is finished.
    retain_until_s: float
    # The target of the dispatch; None before it.
    target: TargetSpec | None = None
    dispatched_s: float | None = None
    # Arrival of the first token; None before it.
    first_token_s: float | None = None
    output_tokens: int = 0
    # The final answer; None before it and for a whole answer.
    outcome: NotRun | Unknown | None = None


class RunRegistry:
    """Records by run, with the callers that wait for each."""

    def __init__(self) -> None:
        self.records: dict[RunId, Record] = {}
        # Requests that were refused before they were known well enough for a record.
        self.rejected: dict[RunId, NotRun] = {}
        self.handles: dict[RunId, set[int]] = {}
        self.run_of_handle: dict[int, RunId] = {}
        self.unfinished: set[RunId] = set()
        self._expiries: list[tuple[float, RunId]] = []

    def add(self, record: Record, handle: int) -> None:
        """Start the record of a new request."""
        self.records[record.run_id] = record
        if record.state not in FINAL_STATES:
            self.unfinished.add(record.run_id)
        heapq.heappush(self._expiries, (record.retain_until_s, record.run_id))
        self.attach(record.run_id, handle)

    def reject(self, run_id: RunId, outcome: NotRun, retain_until_s: float) -> None:
        """Keep a refused identity from ever being run."""
        self.rejected[run_id] = outcome
        heapq.heappush(self._expiries, (retain_until_s, run_id))

    def attach(self, run_id: RunId, handle: int) -> None:
        """Let one more caller wait for the run."""
        self.handles.setdefault(run_id, set()).add(handle)
        self.run_of_handle[handle] = run_id

    def detach(self, handle: int) -> RunId | None:
        """Forget a caller; returns its run if nobody else waits for it."""
        run_id = self.run_of_handle.pop(handle, None)
        if run_id is None:
            return None
        handles = self.handles.get(run_id, set())
        handles.discard(handle)
        if handles:
            return None
        self.handles.pop(run_id, None)
        return run_id

    def detach_all(self, run_id: RunId) -> tuple[int, ...]:
        """Forget the callers of a run and return them, oldest first."""
        handles = tuple(sorted(self.handles.pop(run_id, ())))
        for handle in handles:
            self.run_of_handle.pop(handle, None)
        return handles

    def update(self, run_id: RunId, **changes: object) -> Record:
        """Replace fields of a record; a final record is never changed again."""
        record = self.records[run_id]
        if record.state in FINAL_STATES:
            raise ValueError(f"run {run_id} is final: {record.state.value}")
        changed = dataclasses.replace(record, **changes)  # type: ignore[arg-type]
        self.records[run_id] = changed
        if changed.state in FINAL_STATES:
            self.unfinished.discard(run_id)
        return changed

    def expire_records(self, now: float) -> None:
        """Drop the records whose time is over."""
        while self._expiries and self._expiries[0][0] <= now:
            _, run_id = heapq.heappop(self._expiries)
            if run_id in self.unfinished:
                heapq.heappush(self._expiries, (now + UNFINISHED_RECHECK_S, run_id))
                continue
            self.records.pop(run_id, None)
            self.rejected.pop(run_id, None)
