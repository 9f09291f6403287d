"""The type of one capacity measurement."""

import enum
from collections.abc import Callable
from dataclasses import dataclass

from burdockhaven_bench.fitting import Line, Point


class Unit(enum.Enum):
    """What is measured."""

    # Processor time of one call.
    MICROSECONDS = "us"
    # Memory kept, or the length of a message.
    BYTES = "B"


@dataclass(frozen=True, slots=True)
class Probe:
    """Measures one cost of the real code at several sizes."""

    name: str
    unit: Unit
    # What the size counts, such as "members".
    variable: str
    sizes: tuple[int, ...]
    # Samples of the cost at a size.
    measure: Callable[[int], tuple[float, ...]]


@dataclass(frozen=True, slots=True)
class Measurement:
    """What a probe gave."""

    probe: Probe
    points: tuple[Point, ...]
    line: Line

    @classmethod
    def from_probe(cls, probe: Probe) -> "Measurement":
        """Runs the probe at each of its sizes."""
        points = tuple(Point(size, probe.measure(size)) for size in probe.sizes)
        return cls(probe, points, Line.from_points(points))
