"""Which requests are large among those of their route.

Users value a response by its size, and a large one has the least room for a delay: its
prompt alone may take most of the objective.
"""

from burdockhaven_core.scheduling.peer_messages import PlacementRequest

# Size of an output token in prompt tokens, as users value them.
OUTPUT_TOKEN_SIZE = 10
# Multiple of the average size of its route from which on a request is large.
LARGE_RATIO = 2.0
# Weight of a new request in the moving average of the sizes.
EWMA_WEIGHT = 0.02
# Requests of a route that are seen before any of them counts as large.
MIN_SAMPLES = 20


def request_size(request: PlacementRequest) -> int:
    """Return the size in prompt tokens; output counts if the client expects some."""
    return request.prompt_tokens + OUTPUT_TOKEN_SIZE * request.expected_tokens


class RouteSizes:
    """Average size of the requests of each route."""

    def __init__(self) -> None:
        # Average and number of samples, by route.
        self.averages: dict[str, tuple[float, int]] = {}

    def record(self, request: PlacementRequest) -> None:
        """Count a request that has arrived for the first time."""
        size = float(request_size(request))
        average, samples = self.averages.get(request.route, (size, 0))
        weight = max(EWMA_WEIGHT, 1.0 / (samples + 1))
        average += weight * (size - average)
        self.averages[request.route] = average, samples + 1

    def is_large(self, request: PlacementRequest) -> bool:
        """Whether a request is much larger than most of its route."""
        average, samples = self.averages.get(request.route, (0.0, 0))
        return samples >= MIN_SAMPLES and request_size(request) >= LARGE_RATIO * average
