"""Places the requests of all members on the model engines, from one queue.

Each member has a broker; the members ask the one that has run longest, and their own
when no other answers. A broker that takes over learns from the members' reports what is
under way.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from burdockhaven_core.scheduling.engine_load import EngineLoad, Run
from burdockhaven_core.scheduling.peer_messages import (
    Ask,
    MemberName,
    Progress,
    Reply,
    Report,
    RunEnd,
    RunNews,
    RunState,
    Verdict,
)
from burdockhaven_core.scheduling.placement import Placement, PlacementNeed, place
from burdockhaven_core.scheduling.quotas import QuotaRule, quota_cost
from burdockhaven_core.scheduling.refused_clients import RefusedClients
from burdockhaven_core.scheduling.route_costs import RouteCosts
from burdockhaven_core.scheduling.routing import Account, RoutingTable
from burdockhaven_core.scheduling.shared_quotas import SharedQuotas
from burdockhaven_core.scheduling.sliding_window import SlidingWindow
from burdockhaven_core.scheduling.target_registry import TargetEntry

# Seconds that a grant may be missing from its member's reports before it counts as
# lost; a report may have left before the grant arrived.
GRANT_SETTLE_S = 0.4
# Seconds for which a member's report counts; it sends several a second.
REPORT_VALID_S = 1.2
# Seconds over which the rate of arrivals is measured.
ARRIVAL_WINDOW_S = 1.0
# What each rank of a route counts against the one before it; the ranks of the users'
# routes differ in worth by about as much.
RANK_FACTOR = 4.0
# What a request counts whose first event is late; late answers are worth a third.
LATE_FACTOR = 3.0
# The same for a client that was refused before: before late newcomers, which may still
# come back, and behind those that can be on time.
RETURNING_FACTOR = 1.7
# Seconds before the objective at which a request counts as late.
LATE_MARGIN_S = 0.2
# Part of the engines, and slots, that are assumed to be left for a waiting request at
# least.
LEAST_FREE_PART = 0.05
LEAST_FREE_SLOTS = 0.1
# Seconds from the send to the first event that are assumed at least.
LEAST_RUN_S = 0.25
# Requests of the queue that are tried at once; those behind wait for the next round.
MOST_TRIED = 64
# Seconds for a client to come back, at least and at most.
RETRY_AFTER_MIN_S = 0.3
RETRY_AFTER_MAX_S = 4.0
# Engine limits assumed for a service whose configuration states none.
DEFAULT_CACHE_TOKENS = 500_000
DEFAULT_TOKENS_PER_EVENT = 1

AskKey = tuple[str, int, int]


@dataclass(frozen=True, slots=True)
class Answered:
    """A reply and the member that gets it."""

    to: MemberName
    reply: Reply


@dataclass(slots=True)
class Waiting:
    """A request in the queue."""

    ask: Ask
    arrived_s: float
    # Monotonic seconds at which the first event is late, and the request is given up.
    objective_s: float
    deadline_s: float
    # When it has to be sent at the latest.
    send_by_s: float
    # Whether its client was refused before, or the request is sent again.
    returning: bool

    @classmethod
    def from_ask(cls, ask: Ask, was_refused: bool, now: float) -> "Waiting":
        """A question that arrives now."""
        deadline_s = now + ask.deadline_ms / 1e3
        leaves_s = now + ask.patience_ms / 1e3
        return cls(
            ask=ask,
            arrived_s=now,
            objective_s=now + ask.objective_ms / 1e3,
            deadline_s=deadline_s,
            send_by_s=min(deadline_s, leaves_s) - LEAST_RUN_S,
            returning=ask.returning or was_refused,
        )

    def order(self, cost_s: float, now: float) -> tuple[int, float, bool, float]:
        """Sorts the queue; `cost_s` is what the route's requests cost on average.

        The account's rank comes first. Within it the weight falls with the route's rank
        and once the first event is late, and short requests go before long ones of like
        weight: they delay the others little (the c-mu rule). Costs are averages of the
        route, so that large requests do not wait for small ones of their kind.
        """
        ask = self.ask
        weighted = cost_s * RANK_FACTOR**ask.route_priority
        if self.objective_s - now < LATE_MARGIN_S:
            weighted *= RETURNING_FACTOR if self.returning else LATE_FACTOR
        return (ask.priority, weighted, not self.returning, self.arrived_s)


class Broker:
    """The queue, the engines' load and the quotas."""

    def __init__(self, rule: QuotaRule) -> None:
        self.table: RoutingTable | None = None
        self.quotas = SharedQuotas(rule)
        self.engines: dict[str, EngineLoad] = {}
        # Engines that take new work, by service.
        self.open_by_service: dict[str, list[EngineLoad]] = {}
        # host:port by target.
        self.addresses: dict[str, str] = {}
        self.queue: dict[AskKey, Waiting] = {}
        self.granted: dict[AskKey, str] = {}
        # Arrivals lately by service, route and place in the order of the queue.
        self.arrivals: dict[tuple[str, str, tuple[int, float]], SlidingWindow] = {}
        self.costs = RouteCosts()
        self.refused = RefusedClients()
        # When each member last reported its runs here.
        self.reported_s: dict[str, float] = {}
        self.accounts: dict[str, Account] = {}

    def set_table(self, table: RoutingTable) -> None:
        """Use the quotas and engine limits of this configuration."""
        self.table = table
        keys = table.account_of_key or {}
        self.accounts = {account.name: account for account in keys.values()}

    def exhausted(self, now: float) -> tuple[str, ...]:
        """The accounts that may send nothing more for the moment."""
        return tuple(
            account.name
            for account in self.accounts.values()
            if not self.quotas.admits(account, 1, now)
        )

    def set_targets(
        self, entries: Mapping[str, TargetEntry], leaving: set[str]
    ) -> None:
        """Use these targets; what is under way at others is forgotten."""
        for target in self.engines.keys() - entries.keys():
            del self.engines[target]
        self.open_by_service = {}
        self.addresses = {entry.id: entry.address for entry in entries.values()}
        for entry in entries.values():
            engine = self._engine(entry)
            if not entry.draining and entry.id not in leaving:
                self.open_by_service.setdefault(entry.service, []).append(engine)

    def ask(self, ask: Ask, now: float) -> Reply:
        """Grant a target, queue the request or refuse it."""
        key = (ask.sender.node, ask.sender.boot, ask.number)
        granted = self.granted.get(key)
        if granted is not None:
            return Reply(ask.number, Verdict.GRANTED, granted)
        if key in self.queue:
            return Reply(ask.number, Verdict.QUEUED)
        account = self.accounts.get(ask.account)
        cost = quota_cost(account, ask.prompt_tokens, ask.output_tokens)
        if account is not None and not self.quotas.admits(account, cost, now):
            wait_s = self.quotas.retry_after_s(account, cost, now)
            return _refusal(ask, Verdict.OVER_QUOTA, wait_s)
        was_refused = ask.digest != 0 and self.refused.take(ask.digest, now)
        waiting = Waiting.from_ask(ask, was_refused, now)
        self._count_arrival(waiting, now)
        engines = self.open_by_service.get(ask.service, [])
        if ask.excluded and all(e.target in ask.excluded for e in engines):
            return self._refuse(ask, RETRY_AFTER_MIN_S, now)
        ahead = self._ahead_of(waiting, now)
        if not ahead:
            free = [engine for engine in engines if engine.takes_work(now)]
            found = self._find(waiting, free, now)
            if found is not None:
                return self._grant(key, waiting, found, now)
        work_s = sum(self.costs.of(other.ask.route) for other in [waiting, *ahead])
        wait_s = self._wait_s(waiting, work_s, now)
        if now + wait_s > waiting.send_by_s:
            return self._refuse(ask, wait_s, now)
        self.queue[key] = waiting
        return Reply(ask.number, Verdict.QUEUED)

    def pump(self, now: float) -> list[Answered]:
        """Grant what fits now."""
        out: list[Answered] = []
        free = {
            service: [engine for engine in engines if engine.takes_work(now)]
            for service, engines in self.open_by_service.items()
        }
        if not self.queue or not any(free.values()):
            return out
        for key, waiting in self._ordered(now)[:MOST_TRIED]:
            engines = free.get(waiting.ask.service)
            if not engines:
                continue
            found = self._find(waiting, engines, now)
            if found is None:
                continue
            del self.queue[key]
            reply = self._grant(key, waiting, found, now)
            out.append(Answered(waiting.ask.sender, reply))
            if found.engine.free_slots() <= 0:
                engines.remove(found.engine)
        return out

    def refuse_hopeless(self, now: float) -> list[Answered]:
        """Refuse what will get no engine in time."""
        out: list[Answered] = []
        work_ahead: dict[str, float] = {}
        for key, waiting in self._ordered(now):
            ask = waiting.ask
            work_s = work_ahead.get(ask.service, 0.0) + self.costs.of(ask.route)
            wait_s = self._wait_s(waiting, work_s, now)
            if now + wait_s > waiting.send_by_s:
                del self.queue[key]
                refusal = self._refuse(ask, wait_s, now)
                out.append(Answered(ask.sender, refusal))
            else:
                work_ahead[ask.service] = work_s
        return out

    def _refuse(self, ask: Ask, wait_s: float, now: float) -> Reply:
        if ask.digest:
            self.refused.add(ask.digest, now)
        return _refusal(ask, Verdict.OVERLOADED, wait_s)

    def _ordered(self, now: float) -> list[tuple[AskKey, Waiting]]:
        return sorted(self.queue.items(), key=lambda item: self._order(item[1], now))

    def withdraw(self, sender: MemberName, number: int) -> None:
        """The sender does not want this target any more."""
        key = (sender.node, sender.boot, number)
        self.queue.pop(key, None)
        self._release(key)

    def progress(self, message: Progress, now: float) -> None:
        """Take in first events and ends of runs."""
        for news in message.news:
            key = (message.sender.node, message.sender.boot, news.number)
            engine = self.engines.get(self.granted.get(key, ""))
            if engine is None:
                self.granted.pop(key, None)
                continue
            if news.end is None:
                self._begun(engine, key, now)
            else:
                self._ended(engine, key, news, now)

    def report(self, message: Report, now: float) -> None:
        """Make the belief about a member's runs agree with its own list."""
        name = message.sender
        self.reported_s[name.node] = now
        listed = {run.number: run for run in message.runs}
        for run in listed.values():
            self._adopt(name, run, now)
        for key in [k for k in self.granted if k[0] == name.node]:
            self._reconcile(key, name, listed.keys(), now)
        waiting = set(message.waiting)
        for key in [k for k in self.queue if k[0] == name.node]:
            old = now - self.queue[key].arrived_s > GRANT_SETTLE_S
            if key[1] != name.boot or (old and key[2] not in waiting):
                del self.queue[key]

    def describe(self, now: float) -> list[str]:
        """One line for each engine that takes work, for the log."""
        return [
            engine.describe(now)
            for engines in self.open_by_service.values()
            for engine in engines
            if engine.runs or engine.measured
        ]

    def forget_absent(self, present: set[str], now: float) -> None:
        """Members other than these are gone; so are their runs and questions.

        Those that report to another broker are not heard here either: what is believed
        of their runs is too old to count.
        """
        for key in list(self.granted):
            reported_s = self.reported_s.get(key[0], now)
            if key[0] not in present or now - reported_s > REPORT_VALID_S:
                self._release(key)
        for key in [k for k in self.queue if k[0] not in present]:
            del self.queue[key]

    def _engine(self, entry: TargetEntry) -> EngineLoad:
        service = self.table.services.get(entry.service) if self.table else None
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

    def _find(
        self, waiting: Waiting, engines: Iterable[EngineLoad], now: float
    ) -> Placement | None:
        ask = waiting.ask
        need = PlacementNeed(
            ask.prompt_tokens,
            ask.parts,
            (waiting.objective_s - now) * 1e3,
            ask.gap_objective_ms,
            ask.excluded,
            (waiting.deadline_s - now) * 1e3,
            ask.expected_tokens or ask.output_tokens,
        )
        return place(need, engines, now)

    def _ahead_of(self, waiting: Waiting, now: float) -> list[Waiting]:
        order = self._order(waiting, now)
        return [
            other
            for other in self.queue.values()
            if other.ask.service == waiting.ask.service
            and self._order(other, now) < order
        ]

    def _order(self, waiting: Waiting, now: float) -> tuple[int, float, bool, float]:
        return waiting.order(self.costs.of(waiting.ask.route), now)

    def _grant(
        self, key: AskKey, waiting: Waiting, found: Placement, now: float
    ) -> Reply:
        ask = waiting.ask
        account = self.accounts.get(ask.account)
        if account is not None:
            cost = quota_cost(account, ask.prompt_tokens, ask.output_tokens)
            self.quotas.grant(account.name, cost, now)
        self.granted[key] = found.engine.target
        run = Run(
            sender=key[0],
            boot=key[1],
            number=key[2],
            prompt_tokens=ask.prompt_tokens,
            unread_tokens=found.unread_tokens,
            granted_s=now,
            predicted_ms=found.first_event_ms,
            route=ask.route,
        )
        found.engine.start(run, ask.parts)
        return Reply(
            ask.number,
            Verdict.GRANTED,
            found.engine.target,
            address=self.addresses.get(found.engine.target, ""),
            predicted_ms=int(found.first_event_ms),
        )

    def _wait_s(self, waiting: Waiting, work_s: float, now: float) -> float:
        """Seconds until so many slot seconds of work before a request are done.

        Requests that arrive later and go first take their part of the engines; where
        they take all, the wait has no end.
        """
        service = waiting.ask.service
        engines = self.open_by_service.get(service, [])
        capacity = sum(engine.slots / engine.slowness for engine in engines)
        rank = self._order(waiting, now)[:2]
        overtaking = sum(
            window.sum(now) / ARRIVAL_WINDOW_S * self.costs.of(route)
            for (name, route, order), window in self.arrivals.items()
            if name == service and order < rank
        )
        free = max(capacity - overtaking, LEAST_FREE_PART * capacity, LEAST_FREE_SLOTS)
        return work_s / free

    def _count_arrival(self, waiting: Waiting, now: float) -> None:
        ask = waiting.ask
        key = (ask.service, ask.route, self._order(waiting, now)[:2])
        window = self.arrivals.get(key)
        if window is None:
            window = self.arrivals[key] = SlidingWindow(ARRIVAL_WINDOW_S)
        window.add(1.0, now)

    def _begun(self, engine: EngineLoad, key: AskKey, now: float) -> None:
        run = engine.runs.get(key)
        if run is not None:
            run.begun = True
            engine.heard(now)

    def _ended(
        self, engine: EngineLoad, key: AskKey, news: RunNews, now: float
    ) -> None:
        run = engine.runs.get(key)
        self._release(key)
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
            engine.ejected_until_s = now + 60.0

    def _release(self, key: AskKey) -> None:
        target = self.granted.pop(key, None)
        engine = self.engines.get(target) if target is not None else None
        if engine is not None:
            engine.runs.pop(key, None)

    def _adopt(self, name: MemberName, run: RunState, now: float) -> None:
        key = (name.node, name.boot, run.number)
        engine = self.engines.get(run.target)
        if engine is None:
            return
        known = engine.runs.get(key)
        if known is not None:
            known.begun = known.begun or run.begun
            return
        # Another broker may have placed it before this one was believed.
        self._release(key)
        self.queue.pop(key, None)
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

    def _reconcile(
        self, key: AskKey, name: MemberName, listed: Iterable[int], now: float
    ) -> None:
        if key[1] == name.boot and key[2] in listed:
            return
        engine = self.engines.get(self.granted[key])
        run = engine.runs.get(key) if engine is not None else None
        if run is None or key[1] != name.boot or now - run.granted_s > GRANT_SETTLE_S:
            self._release(key)


def _refusal(ask: Ask, verdict: Verdict, wait_s: float) -> Reply:
    wait_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))
    return Reply(ask.number, verdict, retry_after_ms=int(wait_s * 1e3))
