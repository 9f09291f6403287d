"""Limits on the request rate that targets name in their responses.

A target that is in need names the requests per second that it accepts from all members
together, in each response for as long as it is in need. Each member records what the
responses to its own requests say.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class _Observation:
    """What a target's latest response says of its limit."""

    # None if the response names no limit.
    limit_per_s: float | None
    observed_s: float


class TargetLimits:
    """The latest known limit of each target that has named one."""

    def __init__(self) -> None:
        self.observations: dict[str, _Observation] = {}

    def record(self, target: str, limit_per_s: float | None, observed_s: float) -> bool:
        """Record what a response says; return True if the limit has changed.

        The argument is None for a response without a limit, which lifts an earlier one.
        An observation that is older than the known one changes nothing.
        """
        known = self.observations.get(target)
        if known is None and limit_per_s is None:
            return False
        if known is not None and observed_s < known.observed_s:
            return False
        self.observations[target] = _Observation(limit_per_s, observed_s)
        return known is None or known.limit_per_s != limit_per_s

    def in_force(self) -> dict[str, float]:
        """Return the requests per second of each target that has a limit."""
        return {
            target: observation.limit_per_s
            for target, observation in self.observations.items()
            if observation.limit_per_s is not None
        }
