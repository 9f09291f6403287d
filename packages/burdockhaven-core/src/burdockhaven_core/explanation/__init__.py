"""Explains where a request would go now, without sending it."""

from burdockhaven_core.explanation.placement_explanation import (
    Candidate,
    CandidateState,
    PlacementExplanation,
    explain_placement,
)

__all__ = [
    "Candidate",
    "CandidateState",
    "PlacementExplanation",
    "explain_placement",
]
