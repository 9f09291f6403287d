"""Division of the requests that may be under way between services."""

from collections import Counter

# Fraction of the connections of clients that may have requests under way. The others
# can make room, so that new ones are accepted and answered.
UNDER_WAY_FRACTION = 0.875
# A service may have as many requests under way as this multiple of what is free. One
# slow service so takes three quarters of the capacity, two six sevenths.
FREE_MULTIPLE = 3


class ServiceShares:
    """Requests under way by service, of which one can't take all connections.

    A connection whose request is under way never makes room for another one. Without
    shares, requests to one service that doesn't respond would occupy all connections
    until their time limits.
    """

    def __init__(self, connections: int) -> None:
        # Requests that may be under way; a connection has one at most.
        self.capacity = max(1, int(UNDER_WAY_FRACTION * connections))
        self.under_way: Counter[str] = Counter()
        self.total = 0

    def admit(self, service: str) -> bool:
        """Count a request; False if its service has its share under way."""
        free = self.capacity - self.total
        if self.under_way[service] >= FREE_MULTIPLE * free:
            return False
        self.under_way[service] += 1
        self.total += 1
        return True

    def release(self, service: str) -> None:
        """Forget a request that has ended."""
        self.total -= 1
        self.under_way[service] -= 1
        if not self.under_way[service]:
            del self.under_way[service]
