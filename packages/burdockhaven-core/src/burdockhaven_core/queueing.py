"""The queue before the targets of one group.

Order: the highest tier first; inside a tier weighted fairness between client accounts;
inside an account the request with the least slack. The engines know no priorities, so
what waits, waits here.
"""

import heapq
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from burdockhaven_core.identity import AccountName, RunId, TargetName


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """One request that waits for a target."""

    run_id: RunId
    account: AccountName
    tier: int
    # The account's share against the others of its tier.
    weight: float
    prompt_tokens: int
    # Tokens that the answer is predicted to have.
    output_tokens: int
    # Digest of the first part of the prompt; empty when there is none.
    prefix: str
    arrived_s: float
    deadline_s: float
    # The last time at which a dispatch is likely to be in time.
    latest_start_s: float
    # Targets that the account may reach; None means all of the group.
    targets: frozenset[TargetName] | None
    # Whether the request needs a connection that has not been used before.
    fresh_connection: bool
    # Predicted seconds from dispatch to the whole answer.
    service_s: float = 0.0
    # Tokens that few answers of its kind exceed.
    high_output_tokens: int = 0
    # Whether the request may go beyond the limits of the targets.
    may_exceed_limit: bool = False


class _AccountQueue:
    """The requests of one account in one tier, least slack first."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, RunId]] = []
        # The same requests, the newest last.
        self.arrived: list[RunId] = []
        # Virtual time at which the account's next request is due.
        self.due_virtual_time = 0.0
        self.weight = 1.0
        # Predicted seconds of service of the requests that will be served.
        self.work_s = 0.0


class GroupQueue:
    """All requests that wait for the targets of one group."""

    def __init__(self) -> None:
        self.requests: dict[RunId, QueuedRequest] = {}
        # Requests that are given up but may not be refused yet; they are not served.
        self.parked: set[RunId] = set()
        self._tiers: dict[int, dict[AccountName, _AccountQueue]] = {}
        # Virtual time of each tier: the due time of the request served last.
        self._virtual_time: dict[int, float] = {}
        # Queued requests by tier; a tier without any has no key.
        self._counts: Counter[int] = Counter()

    def __len__(self) -> int:
        return len(self.requests)

    def add(self, request: QueuedRequest) -> None:
        """Add a request."""
        accounts = self._tiers.setdefault(request.tier, {})
        queue = accounts.setdefault(request.account, _AccountQueue())
        if self._head(queue) is None:
            # An account that was idle earns nothing by it.
            queue.due_virtual_time = max(
                queue.due_virtual_time, self._virtual_time.get(request.tier, 0.0)
            )
        queue.weight = request.weight
        queue.work_s += request.service_s
        heapq.heappush(queue.heap, (request.latest_start_s, request.run_id))
        queue.arrived.append(request.run_id)
        self.requests[request.run_id] = request
        self._counts[request.tier] += 1

    def remove(self, run_id: RunId) -> QueuedRequest | None:
        """Take a request out without serving it; None if it isn't queued."""
        request = self.requests.pop(run_id, None)
        if request is not None:
            self._remove_from_totals(request)
        return request

    def park(self, run_id: RunId) -> None:
        """Keep a queued request from being served; it stays queued."""
        if run_id not in self.parked:
            request = self.requests[run_id]
            self.parked.add(run_id)
            self._account_queue(request).work_s -= request.service_s

    def newest_of_lowest_tier(self) -> QueuedRequest | None:
        """The request to evict first; None if all are parked."""
        served = (r for r in self.requests.values() if r.run_id not in self.parked)
        return min(served, key=lambda r: (r.tier, -r.arrived_s), default=None)

    def take_for_dispatch(self, run_id: RunId) -> QueuedRequest:
        """Take a request out and charge its account for it."""
        request = self.requests.pop(run_id)
        self._remove_from_totals(request)
        queue = self._account_queue(request)
        virtual_time = max(
            self._virtual_time.get(request.tier, 0.0), queue.due_virtual_time
        )
        self._virtual_time[request.tier] = virtual_time
        cost = request.prompt_tokens + request.output_tokens
        queue.due_virtual_time += cost / request.weight
        return request

    def work_ahead_s(self, request: QueuedRequest) -> float:
        """Predicted seconds of service that come before a request not queued yet."""
        higher_s = sum(
            queue.work_s
            for tier, accounts in self._tiers.items()
            if tier > request.tier
            for queue in accounts.values()
        )
        same = self._tiers.get(request.tier, {})
        busy = {name: queue for name, queue in same.items() if queue.work_s > 0}
        total_s = sum(queue.work_s for queue in busy.values())
        own = busy.get(request.account)
        own_s = 0.0 if own is None else self._earlier_work_s(own, request)
        others = sum(q.weight for name, q in busy.items() if name != request.account)
        fair_s = own_s + (own_s + request.service_s) * others / request.weight
        return max(0.0, higher_s + min(total_s, fair_s))

    def mean_service_s(self, tier: int) -> float:
        """Predicted seconds of service of a request of a tier or higher; 0 if none."""
        tiers = [self._tiers[other] for other in self._counts if other >= tier]
        work_s = sum(queue.work_s for accounts in tiers for queue in accounts.values())
        count = sum(n for other, n in self._counts.items() if other >= tier)
        return work_s / count if count else 0.0

    def tiers(self) -> tuple[int, ...]:
        """The tiers that have requests, the highest first."""
        return tuple(sorted(self._counts, reverse=True))

    def queued_by_tier(self, tiers: int) -> tuple[int, ...]:
        """Number of requests in each tier, the lowest first."""
        return tuple(self._counts.get(tier, 0) for tier in range(tiers))

    def heads(self, tier: int) -> Iterator[QueuedRequest]:
        """The next request of each account of a tier, in the order of service."""
        for queue in self._by_due_time(tier):
            request = self._head(queue)
            if request is not None:
                yield request

    def newest(self, tier: int) -> Iterator[QueuedRequest]:
        """The newest request of each account of a tier, in the order of service.

        It has the most time left, so that it may suit a target too slow for the head.
        """
        for queue in self._by_due_time(tier):
            while queue.arrived and not self._is_dispatchable(queue.arrived[-1]):
                queue.arrived.pop()
            if queue.arrived:
                yield self.requests[queue.arrived[-1]]

    def overdue(self, now: float) -> tuple[QueuedRequest, ...]:
        """Requests that can no longer be in time."""
        return tuple(r for r in self.requests.values() if r.latest_start_s < now)

    def _earlier_work_s(self, queue: _AccountQueue, request: QueuedRequest) -> float:
        earlier = (
            self.requests[run_id].service_s
            for latest_start_s, run_id in queue.heap
            if latest_start_s <= request.latest_start_s
            and run_id in self.requests
            and run_id not in self.parked
        )
        return sum(earlier)

    def _by_due_time(self, tier: int) -> list[_AccountQueue]:
        accounts = self._tiers.get(tier, {})
        names = sorted(
            accounts, key=lambda name: (accounts[name].due_virtual_time, name)
        )
        return [accounts[name] for name in names]

    def _is_dispatchable(self, run_id: RunId) -> bool:
        return run_id in self.requests and run_id not in self.parked

    def _account_queue(self, request: QueuedRequest) -> _AccountQueue:
        return self._tiers[request.tier][request.account]

    def _remove_from_totals(self, request: QueuedRequest) -> None:
        if request.run_id in self.parked:
            self.parked.discard(request.run_id)
        else:
            self._account_queue(request).work_s -= request.service_s
        self._counts[request.tier] -= 1
        if not self._counts[request.tier]:
            del self._counts[request.tier]

    def _head(self, queue: _AccountQueue) -> QueuedRequest | None:
        while queue.heap:
            run_id = queue.heap[0][1]
            if self._is_dispatchable(run_id):
                return self.requests[run_id]
            heapq.heappop(queue.heap)
        queue.arrived.clear()
        return None
