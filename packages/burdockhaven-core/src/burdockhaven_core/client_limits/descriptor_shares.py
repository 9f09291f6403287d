"""Division of a process's descriptors between its listeners and its own connections."""

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType


class Listener(enum.Enum):
    """What the connections of one listening address are for."""

    # Requests of clients.
    FRONT = "front"
    # Look-ups of clients.
    DIRECTORY = "directory"
    READINESS = "readiness"
    # Configuration fetches of other members, and operators.
    CONTROL = "control"
    METRICS = "metrics"


# Descriptors that the platform keeps for files.
FILE_DESCRIPTORS = 200
# Descriptors of the process itself: listeners, event loop, store and peers.
OWN_DESCRIPTORS = 40
# Connections that one listener accepts in one iteration of the event loop. Those that
# are refused hold descriptors until they are closed.
ACCEPT_BATCH = 1
# Iterations from the accept of a connection that is refused to its close.
REFUSAL_ITERATIONS = 4
# Fraction of the remaining descriptors for connections to each listener. What is left
# is for connections to targets: one for each request under way, and some for hedges and
# idle ones.
SHARES = {
    Listener.FRONT: 0.36,
    Listener.DIRECTORY: 0.06,
    Listener.READINESS: 0.02,
    Listener.CONTROL: 0.03,
    Listener.METRICS: 0.01,
}
# Connections that a listener accepts however few descriptors there are.
MIN_CONNECTIONS = 4


@dataclass(frozen=True, slots=True)
class DescriptorShares:
    """The number of connections of each kind that may be open."""

    # To each listener.
    connections: Mapping[Listener, int]
    # To targets, including idle ones.
    targets: int

    @classmethod
    def from_limit(
        cls, max_descriptors: int, max_connections: float = math.inf
    ) -> "DescriptorShares":
        """Divide the descriptors of a process.

        A crowd at one address can't take what the other addresses or the connections
        to targets, store and members need. `max_connections` is the number that the
        memory allows at all listeners together.
        """
        # Connections that are being refused hold descriptors for some iterations.
        refused = ACCEPT_BATCH * REFUSAL_ITERATIONS * len(Listener)
        reserved = FILE_DESCRIPTORS + OWN_DESCRIPTORS + refused
        sockets = max(0, max_descriptors - reserved)
        shared = min(sockets, max_connections / sum(SHARES.values()))
        connections = {
            listener: max(MIN_CONNECTIONS, int(share * shared))
            for listener, share in SHARES.items()
        }
        targets = max(MIN_CONNECTIONS, sockets - sum(connections.values()))
        return cls(MappingProxyType(connections), targets)
