"""What the clients of a process occupy, and how the limits on it are enforced.

The decisions are those of `burdockhaven_core.client_limits`; this module carries them
out on connections, counts what was closed and refused, and logs it once a second.
"""

import enum
from collections import Counter
from typing import Protocol

from burdockhaven_core.client_limits import (
    ConnectionSlots,
    DescriptorShares,
    HeldMemory,
    HoldingKind,
    Listener,
    MemoryBudget,
    ServiceShares,
)
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_entry.log_events import log

# Seconds after which a connection is reset whose client reads nothing of a response.
RESPONSE_STALL_TIMEOUT_S = 60.0
# The same after which it may give way to a new connection. A client that reads doesn't
# await anything: its answer would be lost.
UNREAD_RESPONSE_WAIT_S = 2.0


class YieldReason(enum.StrEnum):
    """Why a connection or a request gives way."""

    # Too much memory is held for clients.
    MEMORY = "memory"
    # All connections of the listener are in use.
    CONNECTIONS = "connections"
    # The client has made no progress for too long.
    STALLED = "stalled"


class YieldingConnection(Protocol):
    """A client connection that may be told to give way."""

    def make_yield(self) -> None:
        """Free what is held for the client."""

    def refresh_holding(self, now: float) -> None:
        """Account for the part of a response that was read meanwhile."""

    def set_awaiting(self, is_awaiting: bool) -> None:
        """Record whether the connection awaits its client."""


class ClientLoad:
    """Memory and connections that the clients of this process occupy."""

    def __init__(self, budget: MemoryBudget, shares: DescriptorShares) -> None:
        self.shares = shares
        self.memory: HeldMemory[YieldingConnection] = HeldMemory(budget)
        self.slots: dict[Listener, ConnectionSlots[YieldingConnection]] = {
            listener: ConnectionSlots(capacity)
            for listener, capacity in shares.connections.items()
        }
        self.services = ServiceShares(shares.connections[Listener.FRONT])
        # Connections that gave way, by reason, and connections that were refused.
        self.yielded: Counter[YieldReason] = Counter()
        self.refused_connections: Counter[Listener] = Counter()
        # Whole requests that were refused because of those under way.
        self.refused_requests = 0
        # Sum of these counts at the last log event.
        self.logged = 0

    @classmethod
    def from_limits(cls, memory_bytes: int, max_descriptors: int) -> "ClientLoad":
        """Create the account of a process with these limits."""
        budget = MemoryBudget.from_memory(memory_bytes)
        shares = DescriptorShares.from_limit(max_descriptors, budget.connections)
        return cls(budget, shares)

    def open_connection(self, listener: Listener) -> bool:
        """Count a new connection; False if its listener has no room.

        The connection that has awaited its client the longest may give way to it.
        """
        slots = self.slots[listener]
        if slots.is_full():
            connection = slots.take_longest_waiting()
            if connection is None:
                self.refused_connections[listener] += 1
                return False
            self.yielded[YieldReason.CONNECTIONS] += 1
            connection.make_yield()
        slots.add()
        self.memory.connections += 1
        return True

    def close_connection(
        self,
        slots: ConnectionSlots[YieldingConnection],
        connection: YieldingConnection,
    ) -> None:
        """Forget a connection that was closed."""
        slots.remove(connection)
        self.memory.connections -= 1

    def relieve(self, now: float) -> None:
        """Let those connections give way that hold too much for too long."""
        for holding in self.memory.take_yielding(now):
            self.yielded[YieldReason.MEMORY] += 1
            holding.owner.make_yield()

    def admit_request(self, service: str, cost: int) -> bool:
        """Charge a whole request; False if there is no room for it now.

        `cost` is in bytes of memory.
        """
        if self.services.admit(service):
            if self.memory.admit_request(cost):
                return True
            self.services.release(service)
        self.refused_requests += 1
        return False

    def release_request(self, service: str, cost: int) -> None:
        """Forget a request that has ended."""
        self.services.release(service)
        self.memory.release_request(cost)

    def end_stalled(self, body_timeout_s: float, now: float) -> None:
        """Let those connections give way whose clients make no progress."""
        for holding in tuple(self.memory.holdings):
            if holding.kind is HoldingKind.RESPONSE:
                holding.owner.refresh_holding(now)
                unread_s = now - holding.progressed_s
                holding.owner.set_awaiting(unread_s > UNREAD_RESPONSE_WAIT_S)
        limits_s = {
            HoldingKind.BODY: body_timeout_s,
            HoldingKind.RESPONSE: RESPONSE_STALL_TIMEOUT_S,
        }
        for holding in self.memory.take_stalled(limits_s, now):
            self.yielded[YieldReason.STALLED] += 1
            holding.owner.make_yield()
        self.relieve(now)

    def log_changes(self) -> None:
        """Log how many connections and requests gave way since the last call."""
        refused_connections = sum(self.refused_connections.values())
        total = self.yielded.total() + refused_connections + self.refused_requests
        if total == self.logged:
            return
        log(
            EventNumber.CLIENTS_LIMITED,
            count=total - self.logged,
            memory=self.yielded[YieldReason.MEMORY],
            connections=self.yielded[YieldReason.CONNECTIONS],
            stalled=self.yielded[YieldReason.STALLED],
            refused_connections=refused_connections,
            refused_requests=self.refused_requests,
            held_bytes=self.memory.total,
            budget_bytes=self.memory.budget.total,
            open=", ".join(
                f"{listener.value} {slots.open}/{slots.capacity}"
                for listener, slots in self.slots.items()
            ),
        )
        self.logged = total
