"""Division of a process's memory between its own state and what clients send."""

from dataclasses import dataclass

from burdockhaven_core.client_limits.request_cost import CONNECTION_OVERHEAD_BYTES

# Bytes for the program and its state: tables, targets, members and metrics.
OWN_MEMORY_BYTES = 64 * 2**20
# Fraction of the rest that may be charged to clients. The allocator's overhead, the
# kernel's receive buffers and responses that are being read from targets need the rest.
CLIENT_FRACTION = 0.4
# Smallest budget for clients in bytes.
MIN_CLIENT_BYTES = 8 * 2**20
# Fraction of the budget down to which memory is freed once the budget is exceeded.
# Freeing in steps keeps the cost of choosing holders low.
RELIEVED_FRACTION = 7 / 8
# Fractions of the budget for whole requests: in total, and for those that are long.
# The rest of the total is left for short requests.
REQUESTS_FRACTION = 0.75
LONG_REQUESTS_FRACTION = 0.6
# Fraction of the budget for connections without a request. More of them would leave too
# little to requests.
CONNECTIONS_FRACTION = 0.25
# Cost in bytes up to which a request is short.
SHORT_REQUEST_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """Bytes that may be held for clients."""

    # For everything that is held for clients.
    total: int
    # Down to which holders yield once the total is exceeded.
    relieved: int
    # For requests that were read whole and are not answered yet.
    requests: int
    # Of these, for long ones.
    long_requests: int
    # Connections whose objects fit into their part.
    connections: int

    @classmethod
    def from_memory(cls, memory_bytes: int) -> "MemoryBudget":
        """Divide the memory of a process, in bytes."""
        share = int((memory_bytes - OWN_MEMORY_BYTES) * CLIENT_FRACTION)
        total = max(MIN_CLIENT_BYTES, share)
        return cls(
            total=total,
            relieved=int(total * RELIEVED_FRACTION),
            requests=int(total * REQUESTS_FRACTION),
            long_requests=int(total * LONG_REQUESTS_FRACTION),
            connections=int(total * CONNECTIONS_FRACTION / CONNECTION_OVERHEAD_BYTES),
        )

    def requests_limit(self, cost: int) -> int:
        """Return the limit on all requests under which one of this cost is admitted."""
        return self.long_requests if is_long(cost) else self.requests


def is_long(cost: int) -> bool:
    """Whether a request or holding of this cost in bytes counts as long."""
    return cost > SHORT_REQUEST_BYTES
