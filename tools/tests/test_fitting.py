"""Lines through points."""

import pytest

from burdockhaven_bench.fitting import Line, Point
from burdockhaven_bench.probing import memory_bytes


def test_a_line_goes_through_points_on_it():
    points = [Point(size, (3.0 + 2.0 * size,)) for size in (1, 10, 100)]
    line = Line.from_points(points)
    assert line.slope == pytest.approx(2.0)
    assert line.intercept == pytest.approx(3.0)
    assert line.misfit == pytest.approx(0.0, abs=1e-9)
    assert line.at(1000) == pytest.approx(2003.0)


def test_growth_that_is_not_linear_shows_as_misfit():
    points = [Point(size, (size**2,)) for size in (10, 50, 100)]
    assert Line.from_points(points).misfit > 0.05


def test_the_spread_is_that_of_the_worst_point():
    points = [Point(1, (1.0, 1.0, 1.0)), Point(2, (1.0, 2.0, 3.0))]
    assert Line.from_points(points).spread == 1.0


def test_memory_counts_what_is_kept():
    samples = memory_bytes(lambda: bytearray(1_000_000))
    assert all(1_000_000 <= sample < 1_010_000 for sample in samples)
