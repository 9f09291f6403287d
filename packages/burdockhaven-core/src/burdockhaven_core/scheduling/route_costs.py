"""What requests of each route cost on average, learned from their runs."""

# Slot seconds on an ordinary engine that a new route is assumed to take.
INITIAL_COST_S = 0.8
# Weight of a new run in the average.
EWMA_WEIGHT = 0.05


class RouteCosts:
    """Slot seconds of one request by route, on an engine of ordinary speed."""

    def __init__(self) -> None:
        self.costs: dict[str, float] = {}

    def average_s(self, route: str) -> float:
        """The average cost of a request of the route."""
        return self.costs.get(route, INITIAL_COST_S)

    def record_run(self, route: str, slot_s: float, slowness: float) -> None:
        """A run has ended well after so many seconds."""
        observed = slot_s / max(0.1, slowness)
        average = self.costs.get(route)
        self.costs[route] = (
            observed
            if average is None
            else average + EWMA_WEIGHT * (observed - average)
        )
