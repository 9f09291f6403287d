"""Records the limits that targets name in their responses, and logs their changes."""

from collections.abc import Iterable
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
    ) -> bool:
        """Record what a response says of its target's limit; True if it has changed."""
        if not head.unreadable_limit:
            return self.record(target, head.limit_per_s, now, self.node)
        if target not in self.unreadable:
            self.unreadable.add(target)
            log(
                EventNumber.TARGET_LIMIT_UNREADABLE,
                target=target,
                value=head.unreadable_limit,
            )
        return False

    def record(
        self, target: str, limit_per_s: float | None, observed_s: float, source: str
    ) -> bool:
        """Record an observation of a member; return True if the limit has changed."""
        if not self.limits.record(target, limit_per_s, observed_s):
            return False
        log(
            EventNumber.TARGET_LIMIT_CHANGED,
            target=target,
            limit=NO_LIMIT_TEXT if limit_per_s is None else f"{limit_per_s:g}",
            source=source,
        )
        return True

    def retain(self, targets: Iterable[str]) -> None:
        """Discard what is known of all other targets."""
        present = set(targets)
        self.limits.retain(present)
        self.unreadable &= present
