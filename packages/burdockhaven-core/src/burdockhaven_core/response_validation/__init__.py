"""Decides whether received bytes are a valid HTTP response."""

from burdockhaven_core.response_validation.violation import ResponseFault, Violation

__all__ = ["ResponseFault", "Violation"]
