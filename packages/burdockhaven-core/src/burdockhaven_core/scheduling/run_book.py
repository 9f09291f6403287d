"""Which requests run at which engine, as one broker believes."""

from collections.abc import Iterable, Mapping

from burdockhaven_core.scheduling.engine_load import EngineLoad, Run
from burdockhaven_core.scheduling.peer_messages import (
    MemberName,
    RunEnd,
    RunNews,
    RunState,
)
from burdockhaven_core.scheduling.route_costs import RouteCosts
from burdockhaven_core.scheduling.routing import RoutingTable
from burdockhaven_core.scheduling.target_registry import TargetEntry

# Seconds that a grant may be missing from its member's reports before it counts as
# lost; a report may have left before the grant arrived.
GRANT_SETTLE_S = 0.4
# Seconds for which a member's report counts; it sends several a second.
REPORT_VALID_S = 1.2
# Seconds for which a target whose address belongs to another one gets nothing.
LEFT_S = 60.0
# Engine limits assumed for a service whose configuration states none.
DEFAULT_CACHE_TOKENS = 500_000
DEFAULT_TOKENS_PER_EVENT = 1

# Node and start of the member that asked, and its number for the request.
AskKey = tuple[str, int, int]


class RunBook:
    """The engines and their runs."""

    def __init__(self, costs: RouteCosts) -> None:
        self.costs = costs
        self.engines: dict[str, EngineLoad] = {}
        # Engines that take new work, by service.
        self.open_by_service: dict[str, list[EngineLoad]] = {}
        # host:port by target.
        self.addresses: dict[str, str] = {}
        # The target of each run.
        self.granted: dict[AskKey, str] = {}
        # When each member last reported its runs.
        self.reported_s: dict[str, float] = {}

    def set_targets(
        self,
        entries: Mapping[str, TargetEntry],
        leaving: set[str],
        table: RoutingTable | None,
    ) -> None:
        """Use these targets; what is under way at others is forgotten."""
        for target in self.engines.keys() - entries.keys():
            del self.engines[target]
        self.open_by_service = {}
        self.addresses = {entry.id: entry.address for entry in entries.values()}
        for entry in entries.values():
            engine = self._engine(entry, table)
            if not entry.draining and entry.id not in leaving:
                self.open_by_service.setdefault(entry.service, []).append(engine)

    def open_engines(self, service: str) -> list[EngineLoad]:
        """The engines of a service that take new work."""
        return self.open_by_service.get(service, [])

    def start(
        self,
        key: AskKey,
        engine: EngineLoad,
        run: Run,
        parts: tuple[tuple[str, int], ...],
    ) -> None:
        """A request is granted a place."""
        self.granted[key] = engine.target
        engine.start(run, parts)

    def news(self, key: AskKey, news: RunNews, now: float) -> None:
        """A run has begun or ended."""
        engine = self.engines.get(self.granted.get(key, ""))
        if engine is None:
            self.granted.pop(key, None)
        elif news.end is None:
            self._begun(engine, key, now)
        else:
            self._ended(engine, key, news, now)

    def release(self, key: AskKey) -> None:
        """A request runs nowhere any more."""
        target = self.granted.pop(key, None)
        engine = self.engines.get(target) if target is not None else None
        if engine is not None:
            engine.runs.pop(key, None)

    def report(
        self, name: MemberName, runs: Iterable[RunState], now: float
    ) -> list[AskKey]:
        """Agree with a member's own list; gives the runs that were not known here."""
        self.reported_s[name.node] = now
        listed = {run.number: run for run in runs}
        adopted = [
            (name.node, name.boot, run.number)
            for run in listed.values()
            if self._adopt(name, run, now)
        ]
        for key in [k for k in self.granted if k[0] == name.node]:
            if key[1] != name.boot or key[2] not in listed:
                self._release_settled(key, name, now)
        return adopted

    def forget_absent(self, present: set[str], now: float) -> None:
        """Members other than these are gone, and so are their runs.

        Those that report to another broker are not heard here either: what is believed
        of their runs is too old to count.
        """
        for key in list(self.granted):
            reported_s = self.reported_s.get(key[0], now)
            if key[0] not in present or now - reported_s > REPORT_VALID_S:
                self.release(key)

    def describe(self, now: float) -> list[str]:
        """One line for each engine that takes work, for the log."""
        return [
            engine.describe(now)
            for engines in self.open_by_service.values()
            for engine in engines
            if engine.runs or engine.measured
        ]

    def _engine(self, entry: TargetEntry, table: RoutingTable | None) -> EngineLoad:
        service = table.services.get(entry.service) if table else None
        limits = service.engine if service else None
        cache_tokens = limits.cache_tokens if limits else DEFAULT_CACHE_TOKENS
        per_event = limits.tokens_per_event if limits else DEFAULT_TOKENS_PER_EVENT
        engine = self.engines.get(entry.id)
        if engine is None:
            engine = EngineLoad(entry.id, entry.slots, per_event, cache_tokens)
            self.engines[entry.id] = engine
        # A target may be known before the configuration that describes its service.
        engine.tokens_per_event = per_event
        engine.cache_tokens = cache_tokens
        return engine

    def _begun(self, engine: EngineLoad, key: AskKey, now: float) -> None:
        run = engine.runs.get(key)
        if run is not None:
            run.begun = True
            engine.heard(now)

    def _ended(
        self, engine: EngineLoad, key: AskKey, news: RunNews, now: float
    ) -> None:
        run = engine.runs.get(key)
        self.release(key)
        if run is not None and run.route and news.end is RunEnd.WHOLE:
            self.costs.learn(run.route, now - run.granted_s, engine.slowness)
        if news.pause_tenth_ms:
            engine.learn_pause(news.pause_tenth_ms / 10)
        if news.end is RunEnd.WHOLE:
            engine.heard(now)
            engine.succeeded()
        elif news.end is RunEnd.UNREACHABLE:
            engine.eject(now)
        elif news.end in (RunEnd.FAILED, RunEnd.REJECTED):
            engine.failed()
        elif news.end is RunEnd.LEAVING:
            engine.ejected_until_s = now + LEFT_S

    def _adopt(self, name: MemberName, run: RunState, now: float) -> bool:
        """Take in a run of a report; False if it was known or its engine is not."""
        key = (name.node, name.boot, run.number)
        engine = self.engines.get(run.target)
        if engine is None:
            return False
        known = engine.runs.get(key)
        if known is not None:
            known.begun = known.begun or run.begun
            return False
        # Another broker may have placed it before this one was believed.
        self.release(key)
        self.granted[key] = run.target
        engine.runs[key] = Run(
            sender=name.node,
            boot=name.boot,
            number=run.number,
            prompt_tokens=run.prompt_tokens,
            unread_tokens=run.prompt_tokens,
            granted_s=now - run.age_ms / 1e3,
            predicted_ms=engine.first_event_ms(run.prompt_tokens, now),
            begun=run.begun,
        )
        return True

    def _release_settled(self, key: AskKey, name: MemberName, now: float) -> None:
        """Release a run that its member does not list, unless it was just granted."""
        engine = self.engines.get(self.granted[key])
        run = engine.runs.get(key) if engine is not None else None
        if run is None or key[1] != name.boot or now - run.granted_s > GRANT_SETTLE_S:
            self.release(key)
