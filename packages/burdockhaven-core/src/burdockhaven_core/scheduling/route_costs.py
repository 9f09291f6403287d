"""Average cost of the requests of each route, estimated from their runs."""

# Assumed slot seconds on an engine of nominal speed, before the first measurement.
INITIAL_COST_S = 0.8
# Weight of a new run in the moving average.
EWMA_WEIGHT = 0.05


class RouteCosts:
    """Slot seconds of one request by route, on an engine of nominal speed."""

    def __init__(self) -> None:
        self.costs: dict[str, float] = {}

    def average_s(self, route: str) -> float:
        """Return the average cost of a request of the route."""
        return self.costs.get(route, INITIAL_COST_S)

    def record_run(self, route: str, slot_s: float, slowness: float) -> None:
        """Record a completed run that occupied a slot for `slot_s` seconds."""
        observed = slot_s / max(0.1, slowness)
        average = self.costs.get(route)
        self.costs[route] = (
            observed
            if average is None
            else average + EWMA_WEIGHT * (observed - average)
        )
