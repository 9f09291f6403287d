"""Central scheduler that places the requests of all members on model engines.

Each member runs a broker with a queue. The members send their placement requests to the
broker of the member that has run longest, and to their own when no other replies. A
broker that takes over rebuilds the runs in flight from the members' reports.
"""

import itertools
import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from burdockhaven_core.capacity.memory_use import has_room, needed_tokens
from burdockhaven_core.fairness import AccountShares
from burdockhaven_core.resumption.quota_reservations import QuotaReservations
from burdockhaven_core.scheduling.crash_attribution import CrashAttribution
from burdockhaven_core.scheduling.engine_load import EngineLoad, Run
from burdockhaven_core.scheduling.peer_messages import (
    MemberId,
    PlacementReply,
    PlacementRequest,
    RunProgress,
    RunReport,
    Verdict,
)
from burdockhaven_core.scheduling.placement import (
    Placement,
    PlacementConstraints,
    place,
)
from burdockhaven_core.scheduling.queue_order import (
    QueueClass,
    QueuedRequest,
    paused_until_s,
)
from burdockhaven_core.scheduling.quotas import QuotaRule, quota_cost
from burdockhaven_core.scheduling.recent_refusals import RecentRefusals
from burdockhaven_core.scheduling.records_wait import RecordsWait
from burdockhaven_core.scheduling.request_queue import RequestKey, RequestQueue
from burdockhaven_core.scheduling.route_costs import RouteCosts
from burdockhaven_core.scheduling.routing import Account, RoutingTable
from burdockhaven_core.scheduling.run_tracker import GRANT_SETTLE_S, RunTracker
from burdockhaven_core.scheduling.served_shares import RouteKey, ServedShares, Tier
from burdockhaven_core.scheduling.shared_quotas import SharedQuotas
from burdockhaven_core.scheduling.target_limits import RateLimiters
from burdockhaven_core.scheduling.target_registry import TargetEntry
from burdockhaven_core.scheduling.wait_estimate import VersionedWork, WaitEstimator

# Queued requests that one call of `grant_queued` tries to place; the rest wait for the
# next call.
MAX_GRANT_ATTEMPTS = 64
# Bounds in seconds of the retry-after that a refusal gives.
RETRY_AFTER_MIN_S = 0.3
RETRY_AFTER_MAX_S = 4.0
# Seconds over which the clients that wait for the end of a pause are spread.
PAUSE_END_SPREAD_S = 0.5
# Step of a sequence that fills an interval evenly, whatever its length.
GOLDEN_RATIO = 0.618


@dataclass(frozen=True, slots=True)
class AddressedReply:
    """A placement reply and the member that it is sent to."""

    recipient: MemberId
    reply: PlacementReply


@dataclass(frozen=True, slots=True)
class _AdmissionLimits:
    """What a class of requests can expect; times are seconds."""

    # Slot seconds of one request.
    cost_s: float
    # Slot seconds per second that requests of higher rank leave, by software version;
    # empty while no engine is known.
    capacities: Mapping[str, float]
    # Grants per second that the route is guaranteed.
    guaranteed_per_s: float

    def admit(
        self, queued: QueuedRequest, wait_s: float, route_ahead: int, now: float
    ) -> bool:
        """Whether a request can be sent in time, in its turn or by its guarantee.

        The guarantee counts only while the request can be on time; `route_ahead` is the
        number of requests of its route that go ahead.
        """
        if now + wait_s <= queued.send_by_s:
            return True
        if wait_s == math.inf:
            return False
        return route_ahead + 1 <= self.guaranteed_per_s * (queued.late_at_s - now)


@dataclass(frozen=True, slots=True)
class Decision:
    """What becomes of a placement request; queued unless granted or refused."""

    # The engine that is granted; None without one.
    found: Placement | None = None
    is_refused: bool = False
    # Predicted seconds until a queued request gets an engine, or a refused one would.
    wait_s: float = 0.0
    # Whether it waits for a trial of its prompt parts.
    is_held: bool = False
    # Queued requests that go ahead of it.
    count_ahead: int = 0
    # Whether it is refused since no engine has the memory for it.
    is_too_large: bool = False


@dataclass(slots=True)
class RouteCounts:
    """Numbers of decisions on the placement requests of one route."""

    submitted: int = 0
    granted: int = 0
    refused: int = 0


class Broker:
    """Holds the request queue, the runs in flight at the engines and the quotas."""

    def __init__(self, rule: QuotaRule) -> None:
        self.table: RoutingTable | None = None
        self.accounts: dict[str, Account] = {}
        self.quotas = SharedQuotas(rule)
        self.quota_reservations = QuotaReservations()
        self.costs = RouteCosts()
        # Whether engines end if their requests exceed their memory.
        self.guards_memory = False
        # Whether accounts of one tier share the engines by their quotas.
        self.divides_engines = False
        self.account_shares = AccountShares()
        # Quota units a second, by account.
        self.quota_rates: dict[str, float] = {}
        self.crashes = CrashAttribution()
        # Prompts wait for the evidence of before a start; by default there is none.
        self.records_wait = RecordsWait()
        self.runs = RunTracker(self.costs, self.crashes)
        # Keeps the grants within the limits that engines name.
        self.limiters = RateLimiters()
        self.wait_estimator = WaitEstimator(self.costs, self.limiters)
        self.served_shares = ServedShares()
        self.recent_refusals = RecentRefusals()
        self.queue = RequestQueue()
        # Queued requests that wait for a trial, by class; counted anew when the queue
        # is searched for those that can't be in time.
        self.held: Counter[QueueClass] = Counter()
        # Decisions since `take_route_counts` was last called, by route.
        self.route_counts: dict[str, RouteCounts] = {}

    def set_table(self, table: RoutingTable) -> None:
        """Apply the quotas and engine limits of a configuration."""
        self.table = table
        keys = table.account_of_key or {}
        self.accounts = {account.name: account for account in keys.values()}
        self.quota_rates = {
            account.name: account.rate_per_s for account in keys.values()
        }

    def set_targets(
        self, entries: Mapping[str, TargetEntry], leaving: set[str]
    ) -> None:
        """Replace the set of targets; runs at all other targets are discarded."""
        self.runs.set_targets(entries, leaving, self.table)

    def exhausted_accounts(self, now: float) -> tuple[str, ...]:
        """Return the accounts whose quota is used up."""
        return tuple(
            account.name
            for account in self.accounts.values()
            if not self.quotas.admits(account, 1, now)
        )

    def submit(self, request: PlacementRequest, now: float) -> PlacementReply:
        """Grant a target, queue the request or refuse it.

        A request that is submitted again gets the same grant or stays queued.
        """
        key = (request.sender.node, request.sender.incarnation, request.number)
        granted = self.runs.granted.get(key)
        if granted is not None:
            return self._grant_reply(request, granted)
        if key in self.queue:
            self.queue[key].paused_until_s = paused_until_s(request, now)
            return PlacementReply(request.number, Verdict.QUEUED)
        self.crashes.settle(now)
        quarantined = self.quarantined_part(request, now)
        if quarantined:
            return _quarantine_reply(request, quarantined)
        refusal = self._refuse_over_quota(request, now)
        if refusal is not None:
            return refusal
        was_refused = request.digest != 0 and self.recent_refusals.consume(
            request.digest, now
        )
        queued = QueuedRequest.from_request(
            request,
            was_refused,
            now,
            is_overdrawn=self.is_overdrawn(request, now),
        )
        self._counts_of(request.route).submitted += 1
        if not request.is_retry:
            # A member may place the same request again and again.
            self.wait_estimator.record_arrival(queued, now)
        if not queued.is_retry:
            self.served_shares.record_arrival(request, now)
        return self._place_or_queue(key, queued, now)

    def grant_queued(self, now: float) -> list[AddressedReply]:
        """Grant targets to queued requests while engines have free slots."""
        replies: list[AddressedReply] = []
        self.crashes.settle(now)
        if not self.queue:
            return replies
        free = {
            service: self._available_engines(service, now)
            for service in self.runs.open_by_service
        }
        if not any(free.values()):
            return replies
        requests = itertools.chain.from_iterable(g for _, g in self._in_order(now))
        attempts = 0
        for key, queued in requests:
            engines = free.get(queued.request.service)
            if not engines or not _of_version(engines, queued.request):
                continue
            if self._must_wait_for_trial(queued.request, now):
                continue
            attempts += 1
            if attempts > MAX_GRANT_ATTEMPTS:
                break
            found = self.find_placement(queued, engines, now)
            if found is None:
                continue
            del self.queue[key]
            reply = self._grant(key, queued, found, now)
            replies.append(AddressedReply(queued.request.sender, reply))
            if not self._is_available(found.engine, now):
                engines.remove(found.engine)
        return replies

    def refuse_infeasible(self, now: float) -> list[AddressedReply]:
        """Refuse queued requests that would wait past their latest time to be sent."""
        replies: list[AddressedReply] = []
        self.held.clear()
        work_ahead: dict[str, VersionedWork] = {}
        route_ahead: Counter[RouteKey] = Counter()
        for queue_class, group in self._in_order(now):
            limits = self._limits_of(queue_class, now)
            service, route_key = queue_class.service, queue_class.route_key
            ahead = work_ahead.setdefault(service, VersionedWork())
            version = queue_class.software_version
            for key, queued in group:
                quarantined = self.quarantined_part(queued.request, now)
                if quarantined:
                    del self.queue[key]
                    reply = _quarantine_reply(queued.request, quarantined)
                    replies.append(AddressedReply(queued.request.sender, reply))
                    continue
                ahead.add(version, limits.cost_s)
                wait_s = ahead.wait_s(version, limits.capacities)
                if limits.admit(queued, wait_s, route_ahead[route_key], now):
                    if self._must_wait_for_trial(queued.request, now):
                        # Engines can't be kept busy with it, so nothing waits for it.
                        self.held[queue_class] += 1
                        ahead.add(version, -limits.cost_s)
                    else:
                        route_ahead[route_key] += 1
                else:
                    ahead.add(version, -limits.cost_s)
                    del self.queue[key]
                    reply = self._refuse(queued.request, wait_s, now)
                    replies.append(AddressedReply(queued.request.sender, reply))
        return replies

    def cancel_placement(self, sender: MemberId, number: int, now: float) -> None:
        """Drop a request of the sender from the queue, or release its run."""
        key = (sender.node, sender.incarnation, number)
        self.queue.pop(key, None)
        self.runs.cancel(key, now)

    def apply_progress(self, message: RunProgress, now: float) -> None:
        """Apply the first events and ends of runs that a member announces."""
        sender = message.sender
        self.crashes.settle(now)
        # The ends of the runs remove them.
        ended = []
        for broken in message.broken_prompts:
            key = (sender.node, sender.incarnation, broken.number)
            parts = self.runs.parts_of(key) or broken.parts
            ended.append((key, self.runs.start_of(broken.target), parts))
        for update in message.updates:
            self.runs.apply_update(
                (sender.node, sender.incarnation, update.number), update, now
            )
        for key, start, parts in ended:
            self.crashes.beginning.pop(key, None)
            self.crashes.record_end(start, parts, now)

    def apply_report(self, message: RunReport, now: float) -> None:
        """Reconcile the runs and queued requests of a member with its own lists.

        A queued request that the report does not list is kept until it is older than
        `GRANT_SETTLE_S`, because the report may have been sent before it.
        """
        member = message.sender
        for key in self.runs.apply_report(member, message.runs, now):
            self.queue.pop(key, None)
        waiting = set(message.waiting)
        for key in self.queue.keys_of(member.node):
            is_settled = now - self.queue[key].arrived_s > GRANT_SETTLE_S
            if key[1] != member.incarnation or (is_settled and key[2] not in waiting):
                del self.queue[key]

    def discard_absent(self, present: set[str], now: float) -> None:
        """Discard the runs and queued requests of members that are not present.

        Counts of routes that are no longer requested are discarded, too.
        """
        self.runs.discard_absent(present, now)
        self.served_shares.discard_idle(now)
        self.account_shares.discard_idle(now)
        for key in [k for k in self.queue if k[0] not in present]:
            del self.queue[key]

    def take_route_counts(self) -> dict[str, RouteCounts]:
        """Return the decisions since the last call, by route, and start anew."""
        counts, self.route_counts = self.route_counts, {}
        return counts

    def _refuse_over_quota(
        self, request: PlacementRequest, now: float
    ) -> PlacementReply | None:
        """Return the refusal of a request whose account has no quota left, or None.

        What a resumed stream lacks is kept for it until it returns.
        """
        if request.is_resumption:
            self.quota_reservations.release(request.digest)
        wait_s = self.over_quota_wait_s(request, now)
        if wait_s is None:
            return None
        if request.is_resumption and request.digest:
            account = self.accounts[request.account]
            cost = quota_cost(account, request.prompt_tokens, request.output_tokens)
            self.quota_reservations.reserve(
                request.digest, account.name, cost, wait_s, now
            )
        return _refusal(request, Verdict.OVER_QUOTA, wait_s)

    def over_quota_wait_s(self, request: PlacementRequest, now: float) -> float | None:
        """Return the seconds until an account has the quota; None if it has it now."""
        account = self.accounts.get(request.account)
        if account is None:
            return None
        needed = quota_cost(account, request.prompt_tokens, request.output_tokens)
        if not request.is_resumption:
            needed += self.quota_reservations.units(account.name, now)
        others_wait = self.queue.holds_service(request.service)
        if self.quotas.admits(account, needed, now, others_wait=others_wait):
            return None
        return self.quotas.retry_after_s(account, needed, now)

    def _place_or_queue(
        self, key: RequestKey, queued: QueuedRequest, now: float
    ) -> PlacementReply:
        request = queued.request
        if not self.queue:
            self.held.clear()
        decision = self.decide(queued, now)
        if decision.found is not None:
            return self._grant(key, queued, decision.found, now)
        if decision.is_too_large:
            return PlacementReply(request.number, Verdict.OVERLOADED, is_too_large=True)
        if decision.is_refused:
            return self._refuse(request, decision.wait_s, now)
        self.queue[key] = queued
        self.held[queued.queue_class(now)] += decision.is_held
        return PlacementReply(request.number, Verdict.QUEUED)

    def decide(self, queued: QueuedRequest, now: float) -> Decision:
        """Decide on a request that is within its quota; changes nothing."""
        request = queued.request
        engines = _of_version(self.runs.open_engines(request.service), request)
        if self._is_version_gone(request):
            return Decision(is_refused=True, wait_s=RETRY_AFTER_MAX_S)
        if engines and not self._fits_some_engine(request, engines):
            return Decision(is_refused=True, is_too_large=True)
        targets = [engine.target for engine in engines]
        remaining = [target for target in targets if target not in request.excluded]
        pause_left_s = queued.pause_left_s(remaining or targets, now)
        if request.excluded and not remaining:
            return _refuse_until(request, pause_left_s)
        if pause_left_s and now + pause_left_s > queued.send_by_s:
            return _refuse_until(request, pause_left_s)
        queue_class = queued.queue_class(now)
        ahead = self._counts_ahead(queue_class, now)
        is_held = self._must_wait_for_trial(request, now)
        if not ahead and not is_held:
            free = self._available_engines(request.service, now)
            found = self.find_placement(queued, free, now)
            if found is not None:
                return Decision(found)
        limits = self._limits_of(queue_class, now, None if pause_left_s else queued)
        ahead = [
            (other, count - self.held[other])
            for other, count in ahead
            if count > self.held[other]
        ]
        work = VersionedWork()
        work.add(request.software_version, limits.cost_s)
        for other, count in ahead:
            cost_s = self.costs.average_s(other.route)
            work.add(other.software_version, count * cost_s)
        route_ahead = sum(
            count for other, count in ahead if other.route_key == queue_class.route_key
        )
        work_wait_s = work.wait_s(request.software_version, limits.capacities)
        wait_s = max(work_wait_s, pause_left_s)
        is_admitted = limits.admit(queued, wait_s, route_ahead, now)
        count_ahead = sum(count for _, count in ahead)
        return Decision(None, not is_admitted, wait_s, is_held, count_ahead)

    def quarantined_part(self, request: PlacementRequest, now: float) -> str:
        """Return the part for which a request is refused; empty if there is none."""
        if request.has_begun:
            return ""
        return self.crashes.quarantined_part(_shared_parts(request), now)

    def _must_wait_for_trial(self, request: PlacementRequest, now: float) -> bool:
        """Whether another run, or a record, shows first if the prompt ends engines."""
        parts = _shared_parts(request)
        if request.has_begun or not parts:
            return False
        return self.records_wait.holds(now) or self.crashes.must_wait(
            parts, self.runs.undecided(now), now
        )

    def _is_trial(self, request: PlacementRequest) -> bool:
        return not request.has_begun and self.crashes.is_trial(_shared_parts(request))

    def find_placement(
        self, queued: QueuedRequest, engines: list[EngineLoad], now: float
    ) -> Placement | None:
        """Return the best engine; for a trial, among those with the fewest runs."""
        if self._is_trial(queued.request):
            unavailable = queued.unavailable(now)
            engines = [
                engine
                for engine in _of_version(engines, queued.request)
                if engine.target not in unavailable
            ]
            fewest = min((len(engine.runs) for engine in engines), default=0)
            engines = [engine for engine in engines if len(engine.runs) == fewest]
        engines = [e for e in engines if self.has_memory(e, queued.request)]
        return _find_placement(queued, engines, now)

    def is_overdrawn(self, request: PlacementRequest, now: float) -> bool:
        """Whether the request's account uses more than its part of the engines.

        A resumed stream has been counted before.
        """
        if not self.divides_engines or not request.account or request.is_resumption:
            return False
        tier = Tier.from_request(request)
        return self.account_shares.is_overdrawn(
            tier, request.account, self.quota_rates, now
        )

    def _fits_some_engine(
        self, request: PlacementRequest, engines: list[EngineLoad]
    ) -> bool:
        """Whether an engine without other requests has the memory for this one."""
        if not self.guards_memory:
            return True
        tokens = _needed_tokens(request)
        return any(has_room(0, tokens, engine.cache_tokens) for engine in engines)

    def has_memory(self, engine: EngineLoad, request: PlacementRequest) -> bool:
        """Whether an engine has the memory for a request beside its runs."""
        return not self.guards_memory or engine.has_memory_for(_needed_tokens(request))

    def _is_version_gone(self, request: PlacementRequest) -> bool:
        """Whether the service has engines, and none has the version that is needed."""
        engines = self.runs.open_engines(request.service)
        return bool(engines) and not _of_version(engines, request)

    def _available_engines(self, service: str, now: float) -> list[EngineLoad]:
        engines = self.runs.open_engines(service)
        return [engine for engine in engines if self._is_available(engine, now)]

    def _is_available(self, engine: EngineLoad, now: float) -> bool:
        return engine.is_available(now) and self.limiters.admits(engine.target, now)

    def _counts_of(self, route: str) -> RouteCounts:
        found = self.route_counts.get(route)
        if found is None:
            found = self.route_counts[route] = RouteCounts()
        return found

    def _counts_ahead(
        self, queue_class: QueueClass, now: float
    ) -> list[tuple[QueueClass, int]]:
        if not self.queue:
            return []
        underserved = self.served_shares.underserved_routes(now)
        return self.queue.counts_ahead(queue_class, underserved, now)

    def _in_order(
        self, now: float
    ) -> list[tuple[QueueClass, list[tuple[RequestKey, QueuedRequest]]]]:
        if not self.queue:
            return []
        underserved = self.served_shares.underserved_routes(now)
        return self.queue.in_order(underserved, now)

    def _limits_of(
        self, queue_class: QueueClass, now: float, queued: QueuedRequest | None = None
    ) -> _AdmissionLimits:
        """Return the limits of a class; for one request, without its paused engines."""
        engines = self.runs.open_engines(queue_class.service)
        if queued is not None and queued.paused_until_s:
            unavailable = queued.unavailable(now)
            engines = [e for e in engines if e.target not in unavailable] or engines
        return _AdmissionLimits(
            self.costs.average_s(queue_class.route),
            self.wait_estimator.capacities(queue_class, engines, now),
            self.served_shares.guaranteed_per_s(queue_class.route_key, now),
        )

    def _grant(
        self, key: RequestKey, queued: QueuedRequest, found: Placement, now: float
    ) -> PlacementReply:
        request = queued.request
        account = self.accounts.get(request.account)
        if account is not None:
            cost = quota_cost(account, request.prompt_tokens, request.output_tokens)
            self.quotas.record_grant(request.sender, account.name, cost, now)
        run = Run(
            sender=key[0],
            incarnation=key[1],
            number=key[2],
            prompt_tokens=request.prompt_tokens,
            prefill_tokens=found.prefill_tokens,
            granted_s=now,
            predicted_ms=found.first_event_ms,
            route=request.route,
            parts=_shared_parts(request),
            is_trial=self._is_trial(request),
            memory_tokens=_needed_tokens(request),
        )
        if run.is_trial:
            engine = self.runs.start_of(found.engine.target)
            self.crashes.begin_trial(key, engine, run.parts)
        self.runs.add_run(key, found.engine, run, request.parts)
        self.served_shares.record_grant(request, now)
        if self.divides_engines and request.account:
            self.account_shares.record_grant(
                Tier.from_request(request),
                request.account,
                _engine_time_s(found, request),
                now,
            )
        self.limiters.record_send(found.engine.target, now)
        self._counts_of(request.route).granted += 1
        return self._grant_reply(
            request, found.engine.target, int(found.first_event_ms)
        )

    def _grant_reply(
        self, request: PlacementRequest, target: str, predicted_ms: int = 0
    ) -> PlacementReply:
        engine = self.runs.engines.get(target)
        return PlacementReply(
            request.number,
            Verdict.GRANTED,
            target,
            address=self.runs.addresses.get(target, ""),
            predicted_ms=predicted_ms,
            software_version="" if engine is None else engine.software_version,
        )

    def _refuse(
        self, request: PlacementRequest, wait_s: float, now: float
    ) -> PlacementReply:
        self._counts_of(request.route).refused += 1
        if request.digest:
            self.recent_refusals.add(request.digest, now)
        is_gone = self._is_version_gone(request)
        verdict = Verdict.VERSION_GONE if is_gone else Verdict.OVERLOADED
        return _refusal(request, verdict, wait_s)


def _refuse_until(request: PlacementRequest, pause_left_s: float) -> Decision:
    """Return the refusal of a request for the rest of a pause; 0 without one.

    The clients of one member are spread over the time after the pause.
    """
    if not pause_left_s:
        return Decision(is_refused=True, wait_s=RETRY_AFTER_MIN_S)
    spread_s = PAUSE_END_SPREAD_S * (request.number * GOLDEN_RATIO % 1.0)
    return Decision(is_refused=True, wait_s=pause_left_s + spread_s)


def _engine_time_s(found: Placement, request: PlacementRequest) -> float:
    """Return the slot seconds that a granted request is expected to take."""
    engine = found.engine
    output_tokens = request.expected_tokens or request.output_tokens
    prefill_ms = engine.prefill_ms(found.prefill_tokens)
    return (prefill_ms + engine.decode_ms(output_tokens)) / 1e3


def _needed_tokens(request: PlacementRequest) -> int:
    """Return the tokens of memory that a request may take at an engine."""
    return needed_tokens(
        request.prompt_tokens, request.expected_tokens, request.output_tokens
    )


def _shared_parts(request: PlacementRequest) -> tuple[str, ...]:
    """Return the names of the prompt's parts that other requests may have."""
    return tuple(part for part, _ in request.parts[:-1])


def _quarantine_reply(request: PlacementRequest, part: str) -> PlacementReply:
    """Refuse a request for good; members that don't know the field may retry it."""
    return PlacementReply(request.number, Verdict.OVERLOADED, quarantined_part=part)


def _of_version(
    engines: list[EngineLoad], request: PlacementRequest
) -> list[EngineLoad]:
    """Return the engines of the software version that the request needs."""
    version = request.software_version
    if not version:
        return engines
    return [engine for engine in engines if engine.software_version == version]


def _find_placement(
    queued: QueuedRequest, engines: list[EngineLoad], now: float
) -> Placement | None:
    request = queued.request
    constraints = PlacementConstraints(
        prompt_tokens=request.prompt_tokens,
        parts=request.parts,
        objective_left_ms=(queued.objective_s - now) * 1e3,
        pause_objective_ms=request.pause_objective_ms,
        excluded=queued.unavailable(now),
        deadline_left_ms=(queued.deadline_s - now) * 1e3,
        output_tokens=request.expected_tokens or request.output_tokens,
        zone=request.zone,
    )
    return place(constraints, _of_version(engines, request), now)


def _refusal(
    request: PlacementRequest, verdict: Verdict, wait_s: float
) -> PlacementReply:
    wait_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))
    return PlacementReply(request.number, verdict, retry_after_ms=int(wait_s * 1e3))
