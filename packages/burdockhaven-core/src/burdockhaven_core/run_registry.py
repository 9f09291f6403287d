"""Deduplication registry: one record for each request sent to this process.

A record is retained beyond the expiry of the request's assignment, so that a duplicate
that arrives late cannot start a second run. A refused request id stays refused.
"""

import dataclasses
import enum
import heapq
from dataclasses import dataclass

from burdockhaven_core.configuration import ClassSpec, TargetSpec
from burdockhaven_core.identity import AccountName, RunId
from burdockhaven_core.outcome import NotRun, Unknown


class RunState(enum.Enum):
    """Processing state of a request."""

    QUEUED = "queued"
    DISPATCHED = "dispatched"
    COMPLETED = "whole"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


# Seconds until the record of an unfinished run is checked again for expiry.
UNFINISHED_RECHECK_S = 1.0
FINAL_STATES = frozenset({RunState.COMPLETED, RunState.NOT_RUN, RunState.UNKNOWN})


@dataclass(frozen=True, slots=True)
class Record:
    """Everything that this process has recorded about one request."""

    run_id: RunId
    account: AccountName
    spec: ClassSpec
    state: RunState
    prompt_tokens: int
    arrived_s: float
    deadline_s: float
    # Earliest time at which the record may be dropped; unfinished requests stay longer.
    retain_until_s: float
    # Target of the dispatch; None before the dispatch.
    target: TargetSpec | None = None
    dispatched_s: float | None = None
    # Arrival time of the first token; None before it.
    first_token_s: float | None = None
    output_tokens: int = 0
    # Final answer other than a completed one; None while the request is unfinished.
    outcome: NotRun | Unknown | None = None


class RunRegistry:
    """Records by run, and the callers attached to each run."""

    def __init__(self) -> None:
        self.records: dict[RunId, Record] = {}
        # Requests refused by the filters, for which no record can be created.
        self.refused: dict[RunId, NotRun] = {}
        self.handles: dict[RunId, set[int]] = {}
        self.run_by_handle: dict[int, RunId] = {}
        self.unfinished: set[RunId] = set()
        self._expiries: list[tuple[float, RunId]] = []

    def add(self, record: Record, handle: int) -> None:
        """Add the record of a new request and attach its caller."""
        self.records[record.run_id] = record
        if record.state not in FINAL_STATES:
            self.unfinished.add(record.run_id)
        heapq.heappush(self._expiries, (record.retain_until_s, record.run_id))
        self.attach(record.run_id, handle)

    def refuse(self, run_id: RunId, outcome: NotRun, retain_until_s: float) -> None:
        """Record a refusal, so that no duplicate of the request is ever run."""
        self.refused[run_id] = outcome
        heapq.heappush(self._expiries, (retain_until_s, run_id))

    def attach(self, run_id: RunId, handle: int) -> None:
        """Attach one more caller to the run."""
        self.handles.setdefault(run_id, set()).add(handle)
        self.run_by_handle[handle] = run_id

    def detach(self, handle: int) -> RunId | None:
        """Detach a caller; return its run if no other caller is attached."""
        run_id = self.run_by_handle.pop(handle, None)
        if run_id is None:
            return None
        handles = self.handles.get(run_id, set())
        handles.discard(handle)
        if handles:
            return None
        self.handles.pop(run_id, None)
        return run_id

    def detach_all(self, run_id: RunId) -> tuple[int, ...]:
        """Detach all callers of a run and return their handles, oldest first."""
        handles = tuple(sorted(self.handles.pop(run_id, ())))
        for handle in handles:
            self.run_by_handle.pop(handle, None)
        return handles

    def update(self, run_id: RunId, **changes: object) -> Record:
        """Replace fields of a record; raise ValueError if its state is final."""
        record = self.records[run_id]
        if record.state in FINAL_STATES:
            raise ValueError(f"record of run {run_id} is final: {record.state.value}")
        changed = dataclasses.replace(record, **changes)  # type: ignore[arg-type]
        self.records[run_id] = changed
        if changed.state in FINAL_STATES:
            self.unfinished.discard(run_id)
        return changed

    def expire_records(self, now: float) -> None:
        """Drop the records whose retention time has passed, except unfinished runs."""
        while self._expiries and self._expiries[0][0] <= now:
            _, run_id = heapq.heappop(self._expiries)
            if run_id in self.unfinished:
                heapq.heappush(self._expiries, (now + UNFINISHED_RECHECK_S, run_id))
                continue
            self.records.pop(run_id, None)
            self.refused.pop(run_id, None)
