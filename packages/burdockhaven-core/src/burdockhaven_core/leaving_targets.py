"""Which targets are leaving, according to every source that has said so.

A target counts as leaving as soon as its own report, the VM list or another member says
so. It counts as live again only when nothing has called it leaving, and something has
called it live, for longer than the sources lag. Members tell each other the age of the
evidence, not just the name: repeating old evidence does not make it new.
"""

from dataclasses import dataclass

from burdockhaven_core.identity import TargetName
from burdockhaven_core.messages import LeavingTarget

# Seconds of undisputed life after which a target counts as live again.
LIVE_CONFIRMATION_S = 60.0


@dataclass(frozen=True, slots=True)
class _Evidence:
    """What has been said about one target."""

    # When the target was last called leaving.
    leaving_s: float
    # Since when it has been called live without dispute; None if it hasn't.
    live_since_s: float | None = None


class LeavingTargets:
    """The targets that must get no new work."""

    def __init__(self) -> None:
        self.evidence: dict[TargetName, _Evidence] = {}

    def record_leaving(
        self, target: TargetName, now: float, age_s: float = 0.0
    ) -> None:
        """Record that a source called the target leaving `age_s` ago."""
        reported_s = now - max(0.0, age_s)
        evidence = self.evidence.get(target)
        if evidence is not None and evidence.leaving_s >= reported_s:
            return
        if evidence is None and now - reported_s >= LIVE_CONFIRMATION_S:
            return
        self.evidence[target] = _Evidence(reported_s)

    def record_live(self, target: TargetName, now: float) -> None:
        """Record that the target itself or the VM list calls it live."""
        evidence = self.evidence.get(target)
        if evidence is None:
            return
        if evidence.live_since_s is None:
            self.evidence[target] = _Evidence(evidence.leaving_s, now)
        elif self._is_live(evidence, now):
            del self.evidence[target]

    def names(self, now: float) -> frozenset[TargetName]:
        """The leaving targets."""
        return frozenset(self.evidence)

    def gossip_entries(self, now: float) -> tuple[LeavingTarget, ...]:
        """The leaving targets as a heartbeat tells them."""
        return tuple(
            LeavingTarget(target, now - evidence.leaving_s)
            for target, evidence in sorted(self.evidence.items())
        )

    def _is_live(self, evidence: _Evidence, now: float) -> bool:
        if evidence.live_since_s is None:
            return False
        undisputed_s = now - max(evidence.live_since_s, evidence.leaving_s)
        return undisputed_s >= LIVE_CONFIRMATION_S
