"""Queue of the requests that wait for an engine, grouped by queue class.

All requests of a class have the same rank, so their order needs no comparison with each
other: the cost of adding one or of counting those ahead of it grows with the number of
classes, not with the length of the queue.
"""

import heapq
from collections.abc import Iterator, Mapping, MutableMapping

from burdockhaven_core.scheduling.queue_order import QueueClass, QueuedRequest
from burdockhaven_core.scheduling.served_shares import RouteKey

# Node and incarnation of the member that sent the placement request, and the member's
# number for the request.
RequestKey = tuple[str, int, int]
# The requests of one class in the order of their arrival.
_Group = dict[RequestKey, QueuedRequest]


class RequestQueue(MutableMapping[RequestKey, QueuedRequest]):
    """Queued requests by key; requests change their class when they become late."""

    def __init__(self) -> None:
        self.class_of: dict[RequestKey, QueueClass] = {}
        self.groups: dict[QueueClass, _Group] = {}
        # Keys by the node of their member, in the order of their arrival.
        self.keys_by_node: dict[str, dict[RequestKey, None]] = {}
        # When each request becomes late; entries of removed requests are skipped.
        self.late_times: list[tuple[float, RequestKey]] = []

    def __getitem__(self, key: RequestKey) -> QueuedRequest:
        return self.groups[self.class_of[key]][key]

    def __setitem__(self, key: RequestKey, queued: QueuedRequest) -> None:
        if key in self.class_of:
            del self[key]
        self._add(key, queued, queued.queue_class(queued.arrived_s))
        heapq.heappush(self.late_times, (queued.late_at_s, key))

    def __delitem__(self, key: RequestKey) -> None:
        queue_class = self.class_of.pop(key)
        group = self.groups[queue_class]
        del group[key]
        if not group:
            del self.groups[queue_class]
        keys = self.keys_by_node[key[0]]
        del keys[key]
        if not keys:
            del self.keys_by_node[key[0]]

    def __iter__(self) -> Iterator[RequestKey]:
        return iter(self.class_of)

    def __len__(self) -> int:
        return len(self.class_of)

    def keys_of(self, node: str) -> list[RequestKey]:
        """Return the keys of the requests of one member."""
        return list(self.keys_by_node.get(node, ()))

    def holds_service(self, service: str) -> bool:
        """Whether a request for the service is queued."""
        return any(queue_class.service == service for queue_class in self.groups)

    def counts_ahead(
        self, added: QueueClass, underserved: Mapping[RouteKey, float], now: float
    ) -> list[tuple[QueueClass, int]]:
        """Return the number of requests that go ahead of a new one, by class."""
        self._move_late_requests(now)
        rank = added.rank(underserved)
        return [
            (queue_class, len(group))
            for queue_class, group in self.groups.items()
            if queue_class.service == added.service
            and (
                queue_class.is_same_line(added) or queue_class.rank(underserved) < rank
            )
        ]

    def in_order(
        self, underserved: Mapping[RouteKey, float], now: float
    ) -> list[tuple[QueueClass, list[tuple[RequestKey, QueuedRequest]]]]:
        """Return the requests by class, in the order in which they are served."""
        self._move_late_requests(now)
        classes = sorted(self.groups, key=lambda found: found.rank(underserved))
        return [(found, list(self.groups[found].items())) for found in classes]

    def _add(
        self, key: RequestKey, queued: QueuedRequest, queue_class: QueueClass
    ) -> None:
        self.class_of[key] = queue_class
        self.groups.setdefault(queue_class, {})[key] = queued
        self.keys_by_node.setdefault(key[0], {})[key] = None

    def _move_late_requests(self, now: float) -> None:
        while self.late_times and self.late_times[0][0] < now:
            key = heapq.heappop(self.late_times)[1]
            if key not in self.class_of:
                continue
            queued = self[key]
            queue_class = queued.queue_class(now)
            if queue_class != self.class_of[key]:
                del self[key]
                self._add(key, queued, queue_class)
