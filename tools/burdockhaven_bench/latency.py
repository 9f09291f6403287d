"""Histograms of latencies from 1 microsecond to 60 seconds."""

from dataclasses import dataclass, field

import msgspec
from hdrh.histogram import HdrHistogram

# Range in microseconds and precision in significant digits of a histogram.
LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1_000


class LatencySummary(msgspec.Struct, frozen=True):
    """Count, percentiles and maximum of a histogram, in milliseconds."""

    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float


@dataclass(slots=True)
class LatencyHistogram:
    """A histogram of latencies that are recorded in seconds."""

    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    )

    def record(self, seconds: float) -> None:
        """Record one latency."""
        self.histogram.record_value(max(LOWEST_US, int(seconds * US_PER_S)))

    def summary(self) -> LatencySummary:
        """Summarize the latencies recorded so far."""
        histogram = self.histogram
        return LatencySummary(
            histogram.get_total_count(),
            histogram.get_value_at_percentile(50) / US_PER_MS,
            histogram.get_value_at_percentile(99) / US_PER_MS,
            histogram.get_max_value() / US_PER_MS,
        )
