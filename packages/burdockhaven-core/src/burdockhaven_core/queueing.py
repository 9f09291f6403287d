"""Priority queue of one target group with weighted fair queueing and least slack.

Order of dispatch: the highest tier first; within a tier, weighted fair queueing between
client accounts; within an account, the request with the least slack. The engines do not
support priorities, so requests wait here and not at the targets.
"""

import heapq
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from burdockhaven_core.identity import AccountName, RunId, TargetName


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits for a target."""

    run_id: RunId
    account: AccountName
    tier: int
    # Weight of the account relative to the other accounts of the tier.
    weight: float
    prompt_tokens: int
    # Predicted length of the answer, in tokens.
    output_tokens: int
    # Digest of the first part of the prompt; empty if there is no prompt.
    prefix: str
    arrived_s: float
    deadline_s: float
    # Latest dispatch time at which the request is likely to meet its deadline.
    latest_start_s: float
    # Targets that the account may use; None means all targets of the group.
    targets: frozenset[TargetName] | None
    # Whether the request has to be sent on a new connection.
    fresh_connection: bool
    # Predicted seconds from the dispatch to the end of the answer.
    service_s: float = 0.0
    # Pessimistic prediction of the answer's length, in tokens.
    high_output_tokens: int = 0
    # Whether the request may exceed the in-flight limits of the targets.
    may_exceed_limit: bool = False


class _AccountQueue:
    """The requests of one account in one tier, ordered by slack."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, RunId]] = []
        # The same requests in order of arrival.
        self.arrived: list[RunId] = []
        # Virtual start time of the account's next request.
        self.due_virtual_time = 0.0
        self.weight = 1.0
        # Sum of the predicted service times of the requests that are not parked.
        self.work_s = 0.0


class GroupQueue:
    """All requests that wait for a target of one group."""

    def __init__(self) -> None:
        self.requests: dict[RunId, QueuedRequest] = {}
        # Requests to be refused that may not be shed yet. They are not dispatched.
        self.parked: set[RunId] = set()
        self._tiers: dict[int, dict[AccountName, _AccountQueue]] = {}
        # Virtual time by tier: the start time of the request dispatched last.
        self._virtual_time: dict[int, float] = {}
        # Number of queued requests by tier; empty tiers have no key.
        self._counts: Counter[int] = Counter()

    def __len__(self) -> int:
        return len(self.requests)

    def add(self, request: QueuedRequest) -> None:
        """Add a request to the queue of its account."""
        accounts = self._tiers.setdefault(request.tier, {})
        queue = accounts.setdefault(request.account, _AccountQueue())
        if self._head(queue) is None:
            # An idle account accrues no credit: it starts at the current virtual time.
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
        """Remove a request that was not dispatched; return None if it is not queued."""
        request = self.requests.pop(run_id, None)
        if request is not None:
            self._remove_from_totals(request)
        return request

    def park(self, run_id: RunId) -> None:
        """Exclude a request from dispatch while it stays in the queue."""
        if run_id not in self.parked:
            request = self.requests[run_id]
            self.parked.add(run_id)
            self._account_queue(request).work_s -= request.service_s

    def newest_of_lowest_tier(self) -> QueuedRequest | None:
        """Return the request to evict first, or None if all are parked."""
        dispatchable = (
            r for r in self.requests.values() if r.run_id not in self.parked
        )
        return min(dispatchable, key=lambda r: (r.tier, -r.arrived_s), default=None)

    def take_for_dispatch(self, run_id: RunId) -> QueuedRequest:
        """Remove a request for dispatch and charge its cost to its account."""
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
        """Return the predicted service time of the work ahead of a new request."""
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
        """Return the mean predicted service time of this and higher tiers, or 0."""
        tiers = [self._tiers[other] for other in self._counts if other >= tier]
        work_s = sum(queue.work_s for accounts in tiers for queue in accounts.values())
        count = sum(n for other, n in self._counts.items() if other >= tier)
        return work_s / count if count else 0.0

    def tiers(self) -> tuple[int, ...]:
        """Return the tiers that have queued requests, highest first."""
        return tuple(sorted(self._counts, reverse=True))

    def queued_by_tier(self, tiers: int) -> tuple[int, ...]:
        """Return the number of queued requests by tier, lowest first."""
        return tuple(self._counts.get(tier, 0) for tier in range(tiers))

    def heads(self, tier: int) -> Iterator[QueuedRequest]:
        """Yield the next request of each account of a tier in order of dispatch."""
        for queue in self._by_due_time(tier):
            request = self._head(queue)
            if request is not None:
                yield request

    def newest(self, tier: int) -> Iterator[QueuedRequest]:
        """Yield the newest request of each account of a tier in order of dispatch.

        The newest request usually has the most time left, so a target that is too slow
        for the head of the queue may still meet its deadline.
        """
        for queue in self._by_due_time(tier):
            while queue.arrived and not self._is_dispatchable(queue.arrived[-1]):
                queue.arrived.pop()
            if queue.arrived:
                yield self.requests[queue.arrived[-1]]

    def overdue(self, now: float) -> tuple[QueuedRequest, ...]:
        """Return the requests that can no longer meet their deadline."""
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
