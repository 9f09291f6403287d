"""Plot of a run: outcomes by second above the faults, on one time axis."""

from collections import Counter, defaultdict
from pathlib import Path

import matplotlib

from burdockhaven_bench.soak.history import Attempt, Ending
from burdockhaven_bench.soak.run import SoakResult

WIDTH_INCHES = 12
HEIGHT_INCHES = 7
DOTS_PER_INCH = 80


def write_plot(result: SoakResult, path: Path) -> None:
    """Write the plot in the format given by the suffix of the path."""
    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (outcomes, faults) = pyplot.subplots(
        2, 1, sharex=True, figsize=(WIDTH_INCHES, HEIGHT_INCHES)
    )
    _draw_outcomes(outcomes, result)
    _draw_faults(faults, result)
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def _draw_outcomes(chart: "matplotlib.axes.Axes", result: SoakResult) -> None:
    counts: dict[str, Counter[int]] = defaultdict(Counter)
    for attempt in result.history.attempts:
        second = int(attempt.ended_s - result.started_s)
        counts[_outcome(attempt)][second] += 1
    for outcome, by_second in sorted(counts.items()):
        seconds = sorted(by_second)
        chart.plot(seconds, [by_second[s] for s in seconds], ".", label=outcome)
    chart.set_ylabel("attempts ended per second")
    chart.set_yscale("symlog")
    chart.legend(loc="upper right", fontsize=7)


def _draw_faults(chart: "matplotlib.axes.Axes", result: SoakResult) -> None:
    kinds = sorted({fault.kind.value for fault in result.history.faults})
    for fault in result.history.faults:
        row = kinds.index(fault.kind.value)
        start_s = fault.started_s - result.started_s
        end_s = fault.ended_s - result.started_s
        chart.plot([start_s, end_s], [row, row], "|-", color="C3")
    chart.set_yticks(range(len(kinds)), kinds, fontsize=7)
    chart.set_xlabel("seconds")


def _outcome(attempt: Attempt) -> str:
    if attempt.ending is Ending.COMPLETE and attempt.status is not None:
        return f"{attempt.status // 100}xx"
    return attempt.ending.value
