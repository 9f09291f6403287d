"""Remembers what was refused, so that a client that comes back goes first."""

from collections import OrderedDict

# Seconds for which a refusal is remembered.
REFUSAL_TTL_S = 12.0
# Refusals that are remembered at most.
MAX_REFUSALS = 4_096


class RecentRefusals:
    """Digests of requests that were refused lately."""

    def __init__(self) -> None:
        self.refused_at_s: OrderedDict[int, float] = OrderedDict()

    def add(self, digest: int, now: float) -> None:
        """A request with this digest was refused."""
        self.refused_at_s[digest] = now
        self.refused_at_s.move_to_end(digest)
        while len(self.refused_at_s) > MAX_REFUSALS:
            self.refused_at_s.popitem(last=False)

    def consume(self, digest: int, now: float) -> bool:
        """Whether such a request was refused; it is forgotten by that."""
        refused_s = self.refused_at_s.pop(digest, None)
        return refused_s is not None and now - refused_s <= REFUSAL_TTL_S
