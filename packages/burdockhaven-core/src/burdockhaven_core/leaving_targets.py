"""Gossip about leaving targets, merged from all sources with the age of the evidence.

A target counts as leaving as soon as its own load report, the VM list or another member
says so. It counts as live again only after a source has reported it as live, and none
as leaving, for longer than the sources lag behind. Heartbeats carry the age of the
evidence, not only the target's name, so that repeated gossip does not refresh it.
"""

from dataclasses import dataclass

from burdockhaven_core.identity import TargetName
from burdockhaven_core.messages import LeavingTarget

# Time without a report of leaving after which a target reported as live counts as live.
LIVE_CONFIRMATION_S = 60.0


@dataclass(frozen=True, slots=True)
class _Evidence:
    """Evidence about one target."""

    # When the target was last reported as leaving.
    leaving_s: float
    # First report as live since then; None if there was none.
    live_since_s: float | None = None


class LeavingTargets:
    """The targets that must not receive new requests."""

    def __init__(self) -> None:
        self.evidence: dict[TargetName, _Evidence] = {}

    def record_leaving(
        self, target: TargetName, now: float, age_s: float = 0.0
    ) -> None:
        """Record that a source reported the target as leaving `age_s` ago.

        Evidence older than the newest known report, or than `LIVE_CONFIRMATION_S` for a
        target without evidence, is ignored.
        """
        reported_s = now - max(0.0, age_s)
        evidence = self.evidence.get(target)
        if evidence is not None and evidence.leaving_s >= reported_s:
            return
        if evidence is None and now - reported_s >= LIVE_CONFIRMATION_S:
            return
        self.evidence[target] = _Evidence(reported_s)

    def record_live(self, target: TargetName, now: float) -> None:
        """Record that the target itself or the VM list reports it as live."""
        evidence = self.evidence.get(target)
        if evidence is None:
            return
        if evidence.live_since_s is None:
            self.evidence[target] = _Evidence(evidence.leaving_s, now)
        elif self._is_live(evidence, now):
            del self.evidence[target]

    def names(self, now: float) -> frozenset[TargetName]:
        """Return the names of the leaving targets."""
        return frozenset(self.evidence)

    def gossip_entries(self, now: float) -> tuple[LeavingTarget, ...]:
        """Return the leaving targets in the form in which heartbeats carry them."""
        return tuple(
            LeavingTarget(target, now - evidence.leaving_s)
            for target, evidence in sorted(self.evidence.items())
        )

    def _is_live(self, evidence: _Evidence, now: float) -> bool:
        if evidence.live_since_s is None:
            return False
        undisputed_s = now - max(evidence.live_since_s, evidence.leaving_s)
        return undisputed_s >= LIVE_CONFIRMATION_S
