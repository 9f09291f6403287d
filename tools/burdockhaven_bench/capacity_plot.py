"""Plot of the capacity measurements, with one small chart for each cost."""

import math
from collections.abc import Sequence
from pathlib import Path

import matplotlib

from burdockhaven_bench.capacity_probe import Measurement

COLUMNS = 4
CHART_WIDTH_INCHES = 3.2
CHART_HEIGHT_INCHES = 2.4
DOTS_PER_INCH = 75


def write_plot(measurements: Sequence[Measurement], path: Path) -> None:
    """Write all charts to one file, in the format given by its suffix."""
    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = math.ceil(len(measurements) / COLUMNS)
    size = (COLUMNS * CHART_WIDTH_INCHES, rows * CHART_HEIGHT_INCHES)
    figure, axes = pyplot.subplots(rows, COLUMNS, figsize=size, squeeze=False)
    charts = list(axes.flat)
    for chart, measurement in zip(charts, measurements, strict=False):
        _draw(chart, measurement)
    for chart in charts[len(measurements) :]:
        chart.axis("off")
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def _draw(chart: "matplotlib.axes.Axes", measurement: Measurement) -> None:
    sizes = [point.size for point in measurement.points]
    medians = [point.median for point in measurement.points]
    chart.plot(sizes, medians, "o", markersize=3, color="C0")
    fitted = [measurement.line.at(size) for size in sizes]
    chart.plot(sizes, fitted, color="C1", linewidth=1)
    probe = measurement.probe
    chart.set_title(probe.name, fontsize=8)
    chart.set_xlabel(probe.variable, fontsize=7)
    chart.set_ylabel(probe.unit.value, fontsize=7)
    chart.tick_params(labelsize=6)
    chart.set_ylim(bottom=0)
