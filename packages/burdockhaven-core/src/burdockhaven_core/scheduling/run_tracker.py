"""Tracks which runs are in flight at which engine, as seen by one broker.

Grants and run updates may be lost, so members also report all their runs, and the
tracker is reconciled with each report.
"""

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass
from typing import cast

from burdockhaven_core.capacity import Pace, PaceChange, PaceChanges, PaceReason
from burdockhaven_core.scheduling.crash_attribution import CrashAttribution
from burdockhaven_core.scheduling.engine_load import EngineLoad, Run
from burdockhaven_core.scheduling.engine_speed import ServiceSpeed
from burdockhaven_core.scheduling.peer_messages import (
    MemberId,
    RunEnd,
    RunState,
    RunUpdate,
)
from burdockhaven_core.scheduling.request_queue import RequestKey
from burdockhaven_core.scheduling.route_costs import RouteCosts
from burdockhaven_core.scheduling.routing import RoutingTable
from burdockhaven_core.scheduling.target_registry import TargetEntry

# Seconds for which a grant may be missing from its member's reports before it counts as
# lost; a report may have been sent before the grant arrived.
GRANT_SETTLE_S = 0.4
# Seconds for which a member's report is valid; members send several a second.
REPORT_TTL_S = 1.2
# Seconds for which a target is ejected if its address belongs to another target or if
# it states that it leaves.
LEAVING_EJECTION_S = 60.0
# Engine limits assumed for a service whose configuration states none.
DEFAULT_CACHE_TOKENS = 500_000
DEFAULT_TOKENS_PER_EVENT = 1
# Starts of engines that are remembered for each service.
MAX_KNOWN_STARTS = 10_000
# Ends of runs that show that an engine does not take more requests.
FAILED_ENDS = frozenset(
    {
        RunEnd.UNREACHABLE,
        RunEnd.DISCONNECTED,
        RunEnd.FAILED,
        RunEnd.REJECTED,
        RunEnd.REPLACED,
        RunEnd.PAUSED,
    }
)


class RunTracker:
    """The engines, and their runs in flight."""

    def __init__(self, costs: RouteCosts, crashes: CrashAttribution) -> None:
        self.costs = costs
        self.crashes = crashes
        self.engines: dict[str, EngineLoad] = {}
        # Learned times, by service.
        self.speeds: dict[str, ServiceSpeed] = {}
        # Engines that accept new requests, by service.
        self.open_by_service: dict[str, list[EngineLoad]] = {}
        # host:port by target.
        self.addresses: dict[str, str] = {}
        # The target granted to each request; changed by `_put` and `_pop` only.
        self.granted: dict[RequestKey, str] = {}
        # Whether engines of every service are paced; those of a service whose targets
        # report the speed of their machines are in any case.
        self.paces_all = False
        self.pace_changes = PaceChanges()
        self.pace_reasons: dict[str, PaceReason] = {}
        # Last known start of each engine by service, in Unix milliseconds. Engines that
        # were away from the store for a moment have not started.
        self.known_starts: dict[str, dict[str, int]] = {}
        # The same requests by the node of their member, in the order of their grants.
        # With them, a report of one member costs no look at the runs of all.
        self.granted_by_node: dict[str, dict[RequestKey, None]] = {}
        # When each member last reported its runs.
        self.reported_s: dict[str, float] = {}

    def set_targets(
        self,
        entries: Mapping[str, TargetEntry],
        leaving: set[str],
        table: RoutingTable | None,
    ) -> None:
        """Replace the set of targets; runs at all other targets are discarded."""
        for target in self.engines.keys() - entries.keys():
            del self.engines[target]
        self.open_by_service = {}
        self.addresses = {entry.id: entry.address for entry in entries.values()}
        for entry in entries.values():
            engine = self._engine(entry, table)
            engine.has_started |= self._has_started(entry)
            if not entry.draining and entry.id not in leaving:
                self.open_by_service.setdefault(entry.service, []).append(engine)
        for speed in self.speeds.values():
            speed.retain(set(entries))
        self._note_starts(entries)

    def open_engines(self, service: str) -> list[EngineLoad]:
        """Return the engines of a service that accept new requests."""
        return self.open_by_service.get(service, [])

    def add_run(
        self,
        key: RequestKey,
        engine: EngineLoad,
        run: Run,
        parts: tuple[tuple[str, int], ...],
    ) -> None:
        """Record the grant of an engine to a request."""
        self._pace_if_started(engine)
        self._put(key, engine.target)
        engine.add_run(run, parts)

    def _put(self, key: RequestKey, target: str) -> None:
        self.granted[key] = target
        self.granted_by_node.setdefault(key[0], {})[key] = None

    def _pop(self, key: RequestKey) -> str | None:
        target = self.granted.pop(key, None)
        if target is not None:
            keys = self.granted_by_node[key[0]]
            del keys[key]
            if not keys:
                del self.granted_by_node[key[0]]
        return target

    def apply_update(self, key: RequestKey, update: RunUpdate, now: float) -> None:
        """Apply the first event or the end of a run."""
        engine = self.engines.get(self.granted.get(key, ""))
        if engine is None:
            self._pop(key)
        elif update.end is None:
            self._apply_first_event(engine, key, update, now)
        else:
            self._apply_end(engine, key, update, now)

    def release(self, key: RequestKey) -> None:
        """Remove a run, if there is one, and free its slot."""
        target = self._pop(key)
        engine = self.engines.get(target) if target is not None else None
        if engine is not None:
            engine.runs.pop(key, None)

    def cancel(self, key: RequestKey, now: float) -> None:
        """Remove a run that was cancelled; eject its engine if the run had stalled.

        Otherwise a silent engine would look idle once its clients have given up.
        """
        engine = self.engines.get(self.granted.get(key, ""))
        run = engine.runs.get(key) if engine is not None else None
        if engine is not None and run is not None and engine.is_run_stalled(run, now):
            engine.eject(now)
        self.release(key)

    def apply_report(
        self, member: MemberId, runs: Iterable[RunState], now: float
    ) -> list[RequestKey]:
        """Reconcile with a member's list of runs and return the keys of added runs."""
        self.reported_s[member.node] = now
        listed = {run.number: run for run in runs}
        adopted = [
            (member.node, member.incarnation, run.number)
            for run in listed.values()
            if self._adopt(member, run, now)
        ]
        for key in list(self.granted_by_node.get(member.node, ())):
            if key[1] != member.incarnation or key[2] not in listed:
                self._release_unlisted(key, member, now)
        return adopted

    def discard_absent(self, present: set[str], now: float) -> None:
        """Release the runs of members that are not present.

        The runs of members whose last report has expired are released too, because
        these members report to another broker and their runs are stale here.
        """
        for key in list(self.granted):
            reported_s = self.reported_s.get(key[0], now)
            if key[0] not in present or now - reported_s > REPORT_TTL_S:
                self.release(key)

    def occupancy(self, services: set[str], now: float) -> tuple[int, int]:
        """Return the runs and the slots of the engines that accept requests now."""
        engines = [
            engine
            for service in services
            for engine in self.open_engines(service)
            if engine.ejected_until_s <= now and not engine.is_stalled(now)
        ]
        return (
            sum(len(engine.runs) for engine in engines),
            sum(engine.slots for engine in engines),
        )

    def describe(self, now: float) -> list[str]:
        """Return a log line for each open engine with runs or a measured speed."""
        return [
            engine.describe(now)
            for engines in self.open_by_service.values()
            for engine in engines
            if engine.runs or engine.is_speed_measured
        ]

    def _engine(self, entry: TargetEntry, table: RoutingTable | None) -> EngineLoad:
        service = table.services.get(entry.service) if table else None
        limits = service.engine if service else None
        cache_tokens = limits.cache_tokens if limits else DEFAULT_CACHE_TOKENS
        per_event = limits.tokens_per_event if limits else DEFAULT_TOKENS_PER_EVENT
        speed = self.speeds.setdefault(entry.service, ServiceSpeed())
        engine = self.engines.get(entry.id)
        if engine is None:
            engine = EngineLoad(
                entry.id,
                entry.slots,
                cache_tokens,
                speed,
                entry.zone,
                started_ms=entry.started_ms,
            )
            self.engines[entry.id] = engine
        elif engine.started_ms != entry.started_ms:
            engine.begin_new_start(entry.started_ms)
        # A start of an engine with the same id may have another version.
        engine.software_version = entry.software_version
        # A target may be known before the configuration that describes its service.
        speed.tokens_per_event = per_event
        engine.cache_tokens = cache_tokens
        return engine

    def _note_starts(self, entries: Mapping[str, TargetEntry]) -> None:
        for entry in entries.values():
            starts = self.known_starts.setdefault(entry.service, {})
            starts.pop(entry.id, None)
            starts[entry.id] = entry.started_ms
            if len(starts) > MAX_KNOWN_STARTS:
                del starts[next(iter(starts))]

    def _is_paced(self, engine: EngineLoad) -> bool:
        return self.paces_all or engine.speed.slow_machines.has_reports

    def _has_started(self, entry: TargetEntry) -> bool:
        """Whether a target has started since this process first saw its service."""
        starts = self.known_starts.get(entry.service)
        return starts is not None and starts.get(entry.id) != entry.started_ms

    def _pace_if_started(self, engine: EngineLoad) -> None:
        """Pace an engine that gets its first run here after its start.

        Only the broker in use grants runs, so the others have no paces that never end.
        """
        if engine.has_started and engine.pace is None and self._is_paced(engine):
            self._begin_pace(engine, PaceReason.STARTED)
        engine.has_started = False

    def _pace_if_recovered(self, engine: EngineLoad) -> None:
        """Pace an engine whose run progresses after others had failed."""
        has_failed = bool(engine.ejections) or engine.has_broken_off
        if has_failed and engine.pace is None and self._is_paced(engine):
            self._begin_pace(engine, PaceReason.RECOVERED)

    def _begin_pace(self, engine: EngineLoad, reason: PaceReason) -> None:
        engine.pace = Pace(engine.slots)
        self.pace_reasons[engine.target] = reason
        self.pace_changes.add(PaceChange(engine.target, reason, is_over=False))

    def _end_pace_if_over(self, engine: EngineLoad) -> None:
        pace = engine.pace
        if pace is None or not pace.is_over:
            return
        engine.pace = None
        reason = self.pace_reasons.pop(engine.target, PaceReason.STARTED)
        self.pace_changes.add(
            PaceChange(engine.target, reason, True, pace.timely, pace.late)
        )

    def undecided(self, now: float) -> Container[RequestKey]:
        """Return the runs whose first event is neither known nor overdue."""
        return _UndecidedRuns(self, now)

    def parts_of(self, key: RequestKey) -> tuple[str, ...]:
        """Return the prompt parts, but the last, of a run that this broker granted."""
        engine = self.engines.get(self.granted.get(key, ""))
        run = None if engine is None else engine.runs.get(key)
        return () if run is None else run.parts

    def start_of(self, target: str) -> str:
        """Return an identifier of the last known start of an engine."""
        engine = self.engines.get(target)
        return target if engine is None else f"{target}/{engine.started_ms}"

    def _apply_first_event(
        self, engine: EngineLoad, key: RequestKey, update: RunUpdate, now: float
    ) -> None:
        run = engine.runs.get(key)
        if run is not None and not run.first_event_seen:
            run.first_event_seen = True
            self.crashes.record_first_event(key, run.parts, now)
            if update.machine_percent:
                engine.record_machine(update.machine_percent / 100, now)
            engine.record_first_event(run, update.first_event_ms, now)
            self._pace_if_recovered(engine)
            engine.record_progress(now)
            if engine.pace is not None and update.first_event_ms:
                engine.pace.record_response(
                    run.granted_s, update.first_event_ms, run.predicted_ms, now
                )
                self._end_pace_if_over(engine)

    def _apply_end(
        self, engine: EngineLoad, key: RequestKey, update: RunUpdate, now: float
    ) -> None:
        run = engine.runs.get(key)
        if update.end is RunEnd.CANCELLED:
            self.cancel(key, now)
        self.release(key)
        if run is not None and run.route and update.end is RunEnd.COMPLETED:
            self.costs.record_run(run.route, now - run.granted_s, engine.slowness)
        if run is not None:
            engine.record_pauses(
                run, update.pause_tenth_ms / 10, update.longest_pause_tenth_ms / 10
            )
        if run is not None and engine.pace is not None and update.end in FAILED_ENDS:
            engine.pace.record_failure(run.granted_s, now)
        if update.end is RunEnd.COMPLETED:
            self.crashes.record_completed(key, now)
            engine.record_progress(now)
            engine.record_success()
        elif update.end is RunEnd.UNREACHABLE:
            engine.eject(now)
        elif update.end is RunEnd.DISCONNECTED:
            engine.record_disconnect(now)
        elif update.end is RunEnd.FAILED:
            engine.record_broken_run()
        elif update.end in (RunEnd.REJECTED, RunEnd.REPLACED):
            engine.record_failure()
        elif update.end is RunEnd.PAUSED:
            engine.record_pause()
        elif update.end is RunEnd.LEAVING:
            engine.ejected_until_s = now + LEAVING_EJECTION_S

    def _adopt(self, member: MemberId, run: RunState, now: float) -> bool:
        """Add a reported run; False if it is known already or its engine is unknown."""
        key = (member.node, member.incarnation, run.number)
        engine = self.engines.get(run.target)
        if engine is None:
            return False
        known = engine.runs.get(key)
        if known is not None:
            if run.first_event_seen and not known.first_event_seen:
                known.first_event_seen = True
                self.crashes.record_first_event(key, known.parts, now)
            return False
        # Another broker may have placed the request at a different engine.
        self.release(key)
        self._put(key, run.target)
        engine.runs[key] = Run(
            sender=member.node,
            incarnation=member.incarnation,
            number=run.number,
            prompt_tokens=run.prompt_tokens,
            prefill_tokens=run.prompt_tokens,
            granted_s=now - run.age_ms / 1e3,
            predicted_ms=engine.first_event_ms(run.prompt_tokens, engine.backlog(now)),
            first_event_seen=run.first_event_seen,
        )
        return True

    def _release_unlisted(self, key: RequestKey, member: MemberId, now: float) -> None:
        """Release a run that its member does not list, unless the grant is recent."""
        engine = self.engines.get(self.granted[key])
        run = engine.runs.get(key) if engine is not None else None
        if (
            run is None
            or key[1] != member.incarnation
            or now - run.granted_s > GRANT_SETTLE_S
        ):
            self.release(key)


@dataclass(frozen=True, slots=True)
class _UndecidedRuns(Container[RequestKey]):
    """Membership of a run among the undecided ones, without a list of all runs."""

    tracker: RunTracker
    now: float

    def __contains__(self, key: object) -> bool:
        # The annotation of the base class allows any key.
        target = self.tracker.granted.get(cast(RequestKey, key), "")
        engine = self.tracker.engines.get(target)
        run = None if engine is None else engine.runs.get(cast(RequestKey, key))
        return run is not None and not (
            run.first_event_seen or run.is_overdue(self.now)
        )
