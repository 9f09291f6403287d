"""Remembers what was refused, so that a client that comes back goes first."""

from collections import OrderedDict

# Seconds for which a refusal is remembered.
REMEMBER_S = 12.0
# Refusals that are remembered at most.
MAX_REFUSALS = 4_096


class RefusedClients:
    """Digests of requests that were refused lately."""

    def __init__(self) -> None:
        self.times: OrderedDict[int, float] = OrderedDict()

    def add(self, digest: int, now: float) -> None:
        """A request with this digest was refused."""
        self.times[digest] = now
        self.times.move_to_end(digest)
        while len(self.times) > MAX_REFUSALS:
            self.times.popitem(last=False)

    def take(self, digest: int, now: float) -> bool:
        """Whether such a request was refused; it is forgotten by that."""
        refused_s = self.times.pop(digest, None)
        return refused_s is not None and now - refused_s <= REMEMBER_S
