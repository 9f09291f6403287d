"""Checks what a parsed response head says."""

from burdockhaven_core.response_validation.violation import ResponseFault, Violation

SWITCHING_PROTOCOLS = 101


def find_head_fault(status: int) -> Violation | None:
    """Return what is wrong with a head whose lines are valid; None if nothing.

    No request asks for another protocol.
    """
    if status == SWITCHING_PROTOCOLS:
        return Violation(ResponseFault.UPGRADE, f"status {status}")
    return None
