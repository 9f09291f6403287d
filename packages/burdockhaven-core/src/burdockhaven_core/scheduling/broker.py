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
    Verdict,
)
from burdockhaven_core.scheduling.placement import Placement, PlacementNeed, place
from burdockhaven_core.scheduling.queue_order import QueuedRequest
from burdockhaven_core.scheduling.quotas import QuotaRule, quota_cost
from burdockhaven_core.scheduling.refused_clients import RefusedClients
from burdockhaven_core.scheduling.route_costs import RouteCosts
from burdockhaven_core.scheduling.routing import Account, RoutingTable
from burdockhaven_core.scheduling.run_book import GRANT_SETTLE_S, AskKey, RunBook
from burdockhaven_core.scheduling.shared_quotas import SharedQuotas
from burdockhaven_core.scheduling.target_registry import TargetEntry
from burdockhaven_core.scheduling.wait_estimate import WaitEstimator

# Requests of the queue that are tried at once; those behind wait for the next round.
MOST_TRIED = 64
# Seconds for a client to come back, at least and at most.
RETRY_AFTER_MIN_S = 0.3
RETRY_AFTER_MAX_S = 4.0


@dataclass(frozen=True, slots=True)
class Answered:
    """A reply and the member that gets it."""

    to: MemberName
    reply: Reply


class Broker:
    """The queue, the runs at the engines and the quotas."""

    def __init__(self, rule: QuotaRule) -> None:
        self.table: RoutingTable | None = None
        self.accounts: dict[str, Account] = {}
        self.quotas = SharedQuotas(rule)
        self.costs = RouteCosts()
        self.runs = RunBook(self.costs)
        self.waits = WaitEstimator(self.costs)
        self.refused = RefusedClients()
        self.queue: dict[AskKey, QueuedRequest] = {}

    def set_table(self, table: RoutingTable) -> None:
        """Use the quotas and engine limits of this configuration."""
        self.table = table
        keys = table.account_of_key or {}
        self.accounts = {account.name: account for account in keys.values()}

    def set_targets(
        self, entries: Mapping[str, TargetEntry], leaving: set[str]
    ) -> None:
        """Use these targets; what is under way at others is forgotten."""
        self.runs.set_targets(entries, leaving, self.table)

    def exhausted(self, now: float) -> tuple[str, ...]:
        """The accounts that may send nothing more for the moment."""
        return tuple(
            account.name
            for account in self.accounts.values()
            if not self.quotas.admits(account, 1, now)
        )

    def ask(self, ask: Ask, now: float) -> Reply:
        """Grant a target, queue the request or refuse it."""
        key = (ask.sender.node, ask.sender.boot, ask.number)
        granted = self.runs.granted.get(key)
        if granted is not None:
            return self._granted(ask, granted)
        if key in self.queue:
            return Reply(ask.number, Verdict.QUEUED)
        account = self.accounts.get(ask.account)
        cost = quota_cost(account, ask.prompt_tokens, ask.output_tokens)
        if account is not None and not self.quotas.admits(account, cost, now):
            wait_s = self.quotas.retry_after_s(account, cost, now)
            return _refusal(ask, Verdict.OVER_QUOTA, wait_s)
        was_refused = ask.digest != 0 and self.refused.take(ask.digest, now)
        request = QueuedRequest.from_ask(ask, was_refused, now)
        self.waits.count(request, now)
        return self._place_or_queue(key, request, now)

    def pump(self, now: float) -> list[Answered]:
        """Grant what fits now."""
        out: list[Answered] = []
        free = {
            service: [engine for engine in engines if engine.takes_work(now)]
            for service, engines in self.runs.open_by_service.items()
        }
        if not self.queue or not any(free.values()):
            return out
        for key, request in self._ordered(now)[:MOST_TRIED]:
            engines = free.get(request.ask.service)
            if not engines:
                continue
            found = _find(request, engines, now)
            if found is None:
                continue
            del self.queue[key]
            reply = self._grant(key, request, found, now)
            out.append(Answered(request.ask.sender, reply))
            if found.engine.free_slots() <= 0:
                engines.remove(found.engine)
        return out

    def refuse_hopeless(self, now: float) -> list[Answered]:
        """Refuse what will get no engine in time."""
        out: list[Answered] = []
        work_ahead: dict[str, float] = {}
        for key, request in self._ordered(now):
            ask = request.ask
            work_s = work_ahead.get(ask.service, 0.0) + self.costs.of(ask.route)
            wait_s = self._wait_s(request, work_s, now)
            if now + wait_s > request.send_by_s:
                del self.queue[key]
                out.append(Answered(ask.sender, self._refuse(ask, wait_s, now)))
            else:
                work_ahead[ask.service] = work_s
        return out

    def withdraw(self, sender: MemberName, number: int) -> None:
        """The sender does not want this target any more."""
        key = (sender.node, sender.boot, number)
        self.queue.pop(key, None)
        self.runs.release(key)

    def progress(self, message: Progress, now: float) -> None:
        """Take in first events and ends of runs."""
        sender = message.sender
        for news in message.news:
            self.runs.news((sender.node, sender.boot, news.number), news, now)

    def report(self, message: Report, now: float) -> None:
        """Make the belief about a member agree with its own lists."""
        name = message.sender
        for key in self.runs.report(name, message.runs, now):
            self.queue.pop(key, None)
        waiting = set(message.waiting)
        for key in [k for k in self.queue if k[0] == name.node]:
            old = now - self.queue[key].arrived_s > GRANT_SETTLE_S
            if key[1] != name.boot or (old and key[2] not in waiting):
                del self.queue[key]

    def forget_absent(self, present: set[str], now: float) -> None:
        """Members other than these are gone; so are their runs and questions."""
        self.runs.forget_absent(present, now)
        for key in [k for k in self.queue if k[0] not in present]:
            del self.queue[key]

    def _place_or_queue(self, key: AskKey, request: QueuedRequest, now: float) -> Reply:
        ask = request.ask
        engines = self.runs.open_engines(ask.service)
        if ask.excluded and all(e.target in ask.excluded for e in engines):
            return self._refuse(ask, RETRY_AFTER_MIN_S, now)
        ahead = self._ahead_of(request, now)
        if not ahead:
            free = [engine for engine in engines if engine.takes_work(now)]
            found = _find(request, free, now)
            if found is not None:
                return self._grant(key, request, found, now)
        work_s = sum(self.costs.of(other.ask.route) for other in [request, *ahead])
        wait_s = self._wait_s(request, work_s, now)
        if now + wait_s > request.send_by_s:
            return self._refuse(ask, wait_s, now)
        self.queue[key] = request
        return Reply(ask.number, Verdict.QUEUED)

    def _ahead_of(self, request: QueuedRequest, now: float) -> list[QueuedRequest]:
        order = request.order(self.costs, now)
        return [
            other
            for other in self.queue.values()
            if other.ask.service == request.ask.service
            and other.order(self.costs, now) < order
        ]

    def _ordered(self, now: float) -> list[tuple[AskKey, QueuedRequest]]:
        return sorted(
            self.queue.items(), key=lambda item: item[1].order(self.costs, now)
        )

    def _wait_s(self, request: QueuedRequest, work_s: float, now: float) -> float:
        engines = self.runs.open_engines(request.ask.service)
        return self.waits.wait_s(request, work_s, engines, now)

    def _grant(
        self, key: AskKey, request: QueuedRequest, found: Placement, now: float
    ) -> Reply:
        ask = request.ask
        account = self.accounts.get(ask.account)
        if account is not None:
            cost = quota_cost(account, ask.prompt_tokens, ask.output_tokens)
            self.quotas.grant(account.name, cost, now)
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
        self.runs.start(key, found.engine, run, ask.parts)
        return self._granted(ask, found.engine.target, int(found.first_event_ms))

    def _granted(self, ask: Ask, target: str, predicted_ms: int = 0) -> Reply:
        return Reply(
            ask.number,
            Verdict.GRANTED,
            target,
            address=self.runs.addresses.get(target, ""),
            predicted_ms=predicted_ms,
        )

    def _refuse(self, ask: Ask, wait_s: float, now: float) -> Reply:
        if ask.digest:
            self.refused.add(ask.digest, now)
        return _refusal(ask, Verdict.OVERLOADED, wait_s)


def _find(
    request: QueuedRequest, engines: Iterable[EngineLoad], now: float
) -> Placement | None:
    ask = request.ask
    need = PlacementNeed(
        prompt_tokens=ask.prompt_tokens,
        parts=ask.parts,
        objective_left_ms=(request.objective_s - now) * 1e3,
        gap_objective_ms=ask.gap_objective_ms,
        excluded=ask.excluded,
        deadline_left_ms=(request.deadline_s - now) * 1e3,
        output_tokens=ask.expected_tokens or ask.output_tokens,
    )
    return place(need, engines, now)


def _refusal(ask: Ask, verdict: Verdict, wait_s: float) -> Reply:
    wait_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))
    return Reply(ask.number, verdict, retry_after_ms=int(wait_s * 1e3))
