"""Straight lines through measured points, and how far the points are from them."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Point:
    """One size and what was measured there, some times over."""

    size: float
    samples: tuple[float, ...]

    @property
    def median(self) -> float:
        """The middle one of the samples."""
        return statistics.median(self.samples)

    @property
    def spread(self) -> float:
        """Largest less smallest sample, as a share of the median."""
        if self.median == 0:
            return 0.0
        return (max(self.samples) - min(self.samples)) / abs(self.median)


@dataclass(frozen=True, slots=True)
class Line:
    """A least-squares line through the medians of some points."""

    # Growth for each unit of size.
    slope: float
    # Value at size 0.
    intercept: float
    # Largest distance of a median from the line, as a share of the largest median.
    # A large one says that the growth is not linear, provided that the sizes are spread
    # evenly: a single large size draws the line to itself.
    misfit: float
    # The largest spread of samples at one point.
    spread: float

    @classmethod
    def from_points(cls, points: Sequence[Point]) -> "Line":
        """The line through the points, of which there must be at least two."""
        sizes = [point.size for point in points]
        medians = [point.median for point in points]
        slope, intercept = statistics.linear_regression(sizes, medians)
        largest = max(abs(median) for median in medians)
        distance = max(
            abs(median - (intercept + slope * size))
            for size, median in zip(sizes, medians, strict=True)
        )
        misfit = distance / largest if largest else 0.0
        return cls(slope, intercept, misfit, max(point.spread for point in points))

    def at(self, size: float) -> float:
        """The value that the line gives at a size."""
        return self.intercept + self.slope * size
