"""Probes, which measure one cost at several sizes, and their measurements."""

import enum
from collections.abc import Callable
from dataclasses import dataclass

from burdockhaven_bench.fitting import Line, Point


class Unit(enum.Enum):
    """Unit of a measured cost."""

    # Processor time of one call.
    MICROSECONDS = "us"
    # Memory in use, or the length of a message.
    BYTES = "B"


@dataclass(frozen=True, slots=True)
class Probe:
    """Measures one cost of the production code at several sizes."""

    name: str
    unit: Unit
    # The quantity that the size counts, such as "members".
    variable: str
    sizes: tuple[int, ...]
    # Returns samples of the cost at a size.
    measure: Callable[[int], tuple[float, ...]]


@dataclass(frozen=True, slots=True)
class Measurement:
    """The measured points of a probe and the line fitted to them."""

    probe: Probe
    points: tuple[Point, ...]
    line: Line

    @classmethod
    def from_probe(cls, probe: Probe) -> "Measurement":
        """Run the probe at each of its sizes and fit a line."""
        points = tuple(Point(size, probe.measure(size)) for size in probe.sizes)
        return cls(probe, points, Line.from_points(points))
