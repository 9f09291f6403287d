"""Tests of line fitting and memory samples."""

import pytest

from burdockhaven_bench.fitting import Line, Point
from burdockhaven_bench.probing import memory_bytes


def test_line_through_collinear_points_is_exact():
    points = [Point(size, (3.0 + 2.0 * size,)) for size in (1, 10, 100)]
    line = Line.from_points(points)
    assert line.slope == pytest.approx(2.0)
    assert line.intercept == pytest.approx(3.0)
    assert line.misfit == pytest.approx(0.0, abs=1e-9)
    assert line.at(1000) == pytest.approx(2003.0)


def test_nonlinear_growth_shows_as_misfit():
    points = [Point(size, (size**2,)) for size in (10, 50, 100)]
    assert Line.from_points(points).misfit > 0.05


def test_spread_is_the_largest_of_any_point():
    points = [Point(1, (1.0, 1.0, 1.0)), Point(2, (1.0, 2.0, 3.0))]
    assert Line.from_points(points).spread == 1.0


def test_memory_counts_what_is_retained():
    samples = memory_bytes(lambda: bytearray(1_000_000))
    assert all(1_000_000 <= sample < 1_010_000 for sample in samples)
