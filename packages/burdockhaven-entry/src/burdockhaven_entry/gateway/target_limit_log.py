"""Records the limits that targets name in their responses, and logs their changes."""

from dataclasses import dataclass, field

from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.scheduling.target_limits import TargetLimits
from burdockhaven_entry.log_events import log
from burdockhaven_entry.platform import TargetResponseHead

NO_LIMIT_TEXT = "none"


@dataclass(slots=True)
class TargetLimitLog:
    """The limits known to this process; each change is one log event."""

    node: str
    limits: TargetLimits = field(default_factory=TargetLimits)
    # Targets whose unreadable limit has been logged.
    unreadable: set[str] = field(default_factory=set)

    def record_response(
        self, target: str, head: TargetResponseHead, now: float
    ) -> None:
        """Record what a response says of its target's limit."""
        if not head.unreadable_limit:
            self.record(target, head.limit_per_s, now, self.node)
        elif target not in self.unreadable:
            self.unreadable.add(target)
            log(
                EventNumber.TARGET_LIMIT_UNREADABLE,
                target=target,
                value=head.unreadable_limit,
            )

    def record(
        self, target: str, limit_per_s: float | None, observed_s: float, source: str
    ) -> None:
        """Record an observation of this member or of another one."""
        if self.limits.record(target, limit_per_s, observed_s):
            log(
                EventNumber.TARGET_LIMIT_CHANGED,
                target=target,
                limit=NO_LIMIT_TEXT if limit_per_s is None else f"{limit_per_s:g}",
                source=source,
            )
