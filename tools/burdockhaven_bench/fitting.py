"""Least-squares lines through measured points, with the error of the fit."""

import statistics
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Point:
    """The samples measured at one size."""

    size: float
    samples: tuple[float, ...]

    @property
    def median(self) -> float:
        """Median of the samples."""
        return statistics.median(self.samples)

    @property
    def spread(self) -> float:
        """Range of the samples, as a fraction of their median."""
        if self.median == 0:
            return 0.0
        return (max(self.samples) - min(self.samples)) / abs(self.median)


@dataclass(frozen=True, slots=True)
class Line:
    """A least-squares line through the medians of several points."""

    # Growth per unit of size.
    slope: float
    # Value at size 0.
    intercept: float
    # Largest distance of a median from the line, as a fraction of the largest median.
    # A large misfit indicates nonlinear growth, provided that the sizes are evenly
    # spaced: a single large size pulls the line towards its own point.
    misfit: float
    # Largest spread of the samples at any point.
    spread: float

    @classmethod
    def from_points(cls, points: Sequence[Point]) -> "Line":
        """Fit a line to two or more points."""
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
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size
