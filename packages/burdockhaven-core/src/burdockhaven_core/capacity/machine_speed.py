"""Speed of the machines that targets share with others, from the targets' reports.

A report holds for some tenths of a second. It says that a target is slow now, and, over
many reports, how much of what looks like the effect of a request is its neighbours'.
"""

from dataclasses import dataclass

# Seconds for which a report is valid.
REPORT_TTL_S = 0.3
# Multiple of the usual time of work from which on a machine counts as slow.
SLOW_FACTOR = 1.2
# Bounds of the multiple that a report may state; others are ignored.
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 100.0
# Weight of a new report in the moving average of the share of slow ones.
SHARE_EWMA_WEIGHT = 0.01


def is_plausible(slowdown: float) -> bool:
    """Whether a stated multiple of the usual time of work can be meant so."""
    return MIN_SLOWDOWN <= slowdown <= MAX_SLOWDOWN


@dataclass(slots=True)
class MachineSpeed:
    """The last report of one target."""

    # Time of work relative to the usual one.
    reported: float = 1.0
    # Monotonic time in seconds of the report.
    reported_s: float = float("-inf")

    def record(self, slowdown: float, now: float) -> None:
        """Apply a report; an implausible one is ignored."""
        if is_plausible(slowdown):
            self.reported, self.reported_s = slowdown, now

    def slowdown(self, now: float) -> float:
        """Return the time of work relative to the usual one; 1 if unknown."""
        return self.reported if now - self.reported_s <= REPORT_TTL_S else 1.0


@dataclass(slots=True)
class SlowShare:
    """Share of the reports of a service's targets that state a slow machine."""

    # 0 also if the targets report no speed.
    share: float = 0.0
    # Whether any target has reported one.
    has_reports: bool = False

    def record(self, slowdown: float) -> None:
        """Count a report; an implausible one is ignored."""
        if is_plausible(slowdown):
            is_slow = slowdown >= SLOW_FACTOR
            self.has_reports = True
            self.share += SHARE_EWMA_WEIGHT * (is_slow - self.share)
