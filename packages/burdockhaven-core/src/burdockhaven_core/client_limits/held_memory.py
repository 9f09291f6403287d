"""Account of the memory that a process holds for its clients.

Connections and whole requests are charged by their estimated costs. What the process
holds while it waits for a client (an incomplete request, bytes read ahead, a response
that is not read) is a `Holding`, which can yield. Whole requests can't: they are
admitted or refused.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from burdockhaven_core.client_limits.memory_budget import MemoryBudget, is_long
from burdockhaven_core.client_limits.request_cost import CONNECTION_OVERHEAD_BYTES

Owner = TypeVar("Owner")

# Bytes that count as progress. Fewer don't: a client that sends single bytes would else
# be the last to yield.
PROGRESS_BYTES = 16_384
# Weight of the seconds since the beginning against those since the last progress.
AGE_WEIGHT = 0.05


class HoldingKind(enum.Enum):
    """What a holding waits for its client to do."""

    # Send the rest of a request head.
    HEAD = "head"
    # Send the rest of a request body.
    BODY = "body"
    # Read a response.
    RESPONSE = "response"
    # Nothing: it sent requests ahead, which wait for the response to the one before.
    READ_AHEAD = "read_ahead"


@dataclass(slots=True, eq=False)
class Holding(Generic[Owner]):
    """Memory held for one connection while it waits for its client."""

    owner: Owner
    kind: HoldingKind
    size: int
    # Monotonic seconds since when memory is held without a request being completed.
    since_s: float
    # Monotonic seconds of the last byte, and of the last progress that counts.
    changed_s: float
    progressed_s: float
    # Bytes since the last progress that counts.
    small_changes: int = 0

    def burden(self, now: float) -> float:
        """Return bytes times seconds without progress."""
        age_s = now - self.since_s
        return self.size * (now - self.progressed_s + AGE_WEIGHT * age_s)


class HeldMemory(Generic[Owner]):
    """Bytes held for clients, and who yields when there are too many."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        # Holdings that may be told to yield.
        self.holdings: set[Holding[Owner]] = set()
        # Bytes of all holdings, including those that were told to yield.
        self.holdings_bytes = 0
        # Of these, bytes of holdings that were told to yield and are not released yet.
        self.yielding_bytes = 0
        # Bytes and numbers of whole requests.
        self.requests_bytes = 0
        self.long_requests = 0
        self.connections = 0

    @property
    def total(self) -> int:
        """Bytes that are held for clients."""
        return self.holdings_bytes + self._fixed_bytes()

    def admit_request(self, cost: int) -> bool:
        """Charge a whole request; False if there is no room for it now.

        One long request is always admitted, so that a budget that is smaller than the
        largest request doesn't refuse it for good.
        """
        is_alone = is_long(cost) and not self.long_requests
        limit = self.budget.requests_limit(cost)
        if self._fixed_bytes() + cost > limit and not is_alone:
            return False
        self.requests_bytes += cost
        self.long_requests += is_long(cost)
        return True

    def release_request(self, cost: int) -> None:
        """Free what `admit_request` has charged."""
        self.requests_bytes -= cost
        self.long_requests -= is_long(cost)

    def hold(
        self, owner: Owner, kind: HoldingKind, size: int, now: float
    ) -> Holding[Owner]:
        """Charge bytes that are held while a connection waits for its client."""
        holding = Holding(owner, kind, size, now, now, now)
        self.holdings.add(holding)
        self.holdings_bytes += size
        return holding

    def resize(
        self, holding: Holding[Owner], kind: HoldingKind, size: int, now: float
    ) -> None:
        """Change the size of a holding whose client has made progress."""
        change = size - holding.size
        self.holdings_bytes += change
        if holding not in self.holdings:
            self.yielding_bytes += change
        holding.kind = kind
        holding.size = size
        holding.changed_s = now
        holding.small_changes += abs(change)
        if holding.small_changes >= PROGRESS_BYTES:
            holding.small_changes = 0
            holding.progressed_s = now

    def release(self, holding: Holding[Owner]) -> None:
        """Free a holding."""
        self.holdings_bytes -= holding.size
        if holding in self.holdings:
            self.holdings.remove(holding)
        else:
            self.yielding_bytes -= holding.size

    def is_exceeded(self) -> bool:
        """Whether some holdings have to yield."""
        return self.total - self.yielding_bytes > self.budget.total

    def take_yielding(self, now: float) -> list[Holding[Owner]]:
        """Return the holdings that have to yield, those with the most burden first.

        The last long request or response is left alone, even beyond the budget.
        """
        if not self.is_exceeded():
            return []
        excess = self.total - self.yielding_bytes - self.budget.relieved
        long_left = self.long_requests + sum(is_long(h.size) for h in self.holdings)
        taken = []
        for holding in sorted(self.holdings, key=lambda h: -h.burden(now)):
            if excess <= 0:
                break
            if is_long(holding.size):
                if long_left == 1:
                    continue
                long_left -= 1
            excess -= holding.size
            taken.append(holding)
        self._mark_yielding(taken)
        return taken

    def take_stalled(
        self, limits_s: dict[HoldingKind, float], now: float
    ) -> list[Holding[Owner]]:
        """Return the holdings without a change for longer than the limit of their kind.

        Kinds without a limit are not returned.
        """
        taken = [
            holding
            for holding in self.holdings
            if now - holding.changed_s > limits_s.get(holding.kind, float("inf"))
        ]
        self._mark_yielding(taken)
        return taken

    def _fixed_bytes(self) -> int:
        """Bytes that can't yield."""
        return self.requests_bytes + self.connections * CONNECTION_OVERHEAD_BYTES

    def _mark_yielding(self, taken: Iterable[Holding[Owner]]) -> None:
        for holding in taken:
            self.holdings.remove(holding)
            self.yielding_bytes += holding.size
