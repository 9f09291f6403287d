"""Recently refused requests, so that clients that retry go ahead of new ones."""

from collections import OrderedDict

# Seconds after which a refusal expires.
REFUSAL_TTL_S = 12.0
# Upper bound of the stored refusals; the oldest are evicted.
MAX_REFUSALS = 4_096


class RecentRefusals:
    """Digests of the recently refused requests."""

    def __init__(self) -> None:
        self.refused_at_s: OrderedDict[int, float] = OrderedDict()

    def add(self, digest: int, now: float) -> None:
        """Record the refusal of a request with this digest."""
        self.refused_at_s[digest] = now
        self.refused_at_s.move_to_end(digest)
        while len(self.refused_at_s) > MAX_REFUSALS:
            self.refused_at_s.popitem(last=False)

    def consume(self, digest: int, now: float) -> bool:
        """Remove the refusal of this digest; return True if it had not expired."""
        refused_s = self.refused_at_s.pop(digest, None)
        return refused_s is not None and now - refused_s <= REFUSAL_TTL_S
