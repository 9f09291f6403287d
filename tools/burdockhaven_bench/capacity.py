"""`scripts/bench capacity`: linear cost models of the production code.

Measures each cost at several sizes, fits a line, prints one row per cost and writes the
points and lines as JSON and as a plot.
"""

import argparse
import dataclasses
import sys
from pathlib import Path

import msgspec

from burdockhaven_bench.capacity_links import link_probes
from burdockhaven_bench.capacity_members import member_probes
from burdockhaven_bench.capacity_platform import platform_probes
from burdockhaven_bench.capacity_plot import write_plot
from burdockhaven_bench.capacity_probe import Measurement, Probe, Unit
from burdockhaven_bench.capacity_requests import request_probes

OUTPUT_DIRECTORY = Path("out")
HEADER = (
    f"{'cost':<34} {'unit':<4} {'per':<9} {'slope':>11} {'at 0':>11} "
    f"{'at max':>11} {'misfit':>7} {'spread':>7}  sizes"
)


class Row(msgspec.Struct, frozen=True):
    """The fitted line and the points of one cost in the JSON file."""

    name: str
    unit: Unit
    variable: str
    slope: float
    intercept: float
    misfit: float
    spread: float
    # Size and median of each point.
    points: tuple[tuple[float, float], ...]


def all_probes() -> tuple[Probe, ...]:
    """Return all capacity probes."""
    return request_probes() + member_probes() + platform_probes() + link_probes()


def format_measurement(measurement: Measurement) -> str:
    """Format a measurement as one row of the printed table."""
    probe, line = measurement.probe, measurement.line
    largest = measurement.points[-1].median
    sizes = ",".join(str(size) for size in probe.sizes)
    return (
        f"{probe.name:<34} {probe.unit.value:<4} {probe.variable:<9} "
        f"{line.slope:>11.4g} {line.intercept:>11.4g} {largest:>11.4g} "
        f"{line.misfit:>7.1%} {line.spread:>7.1%}  {sizes}"
    )


def make_row(measurement: Measurement) -> Row:
    """Convert a measurement to its row in the JSON file."""
    probe = measurement.probe
    points = tuple((point.size, point.median) for point in measurement.points)
    return Row(
        name=probe.name,
        unit=probe.unit,
        variable=probe.variable,
        **dataclasses.asdict(measurement.line),
        points=points,
    )


def main(arguments: list[str] | None = None) -> int:
    """Run the selected probes and write their results; return the exit code."""
    parser = argparse.ArgumentParser(prog="bench capacity", description=__doc__)
    parser.add_argument("--output", type=Path, default=OUTPUT_DIRECTORY)
    parser.add_argument("--only", default="", help="costs whose name contains this")
    options = parser.parse_args(arguments)
    probes = [probe for probe in all_probes() if options.only in probe.name]
    if not probes:
        print(f"no cost name contains {options.only!r}", file=sys.stderr)
        return 2
    print(HEADER)
    measurements = []
    for probe in probes:
        measurement = Measurement.from_probe(probe)
        measurements.append(measurement)
        print(format_measurement(measurement), flush=True)
    options.output.mkdir(parents=True, exist_ok=True)
    rows = [make_row(measurement) for measurement in measurements]
    data = msgspec.json.format(msgspec.json.encode(rows), indent=2)
    (options.output / "capacity.json").write_bytes(data)
    write_plot(measurements, options.output / "capacity.png")
    print(f"written: {options.output}/capacity.json, {options.output}/capacity.png")
    return 0


if __name__ == "__main__":
    sys.exit(main())
