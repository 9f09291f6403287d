"""Decides whether received bytes are a valid HTTP response.

The parser of an HTTP library accepts much that the protocol does not allow, and what it
reports is no longer what was sent: a status code has become a number, a name has been
stripped. Two programs may read such bytes differently. So the lines of each head are
checked as they are received, before the parser gets them, and the fields that decide
how a response is read are checked before it is used.
"""

from burdockhaven_core.response_validation.head_fields import (
    FIRST_FINAL_STATUS,
    find_head_violation,
)
from burdockhaven_core.response_validation.head_lines import CheckedLines, HeadLines
from burdockhaven_core.response_validation.violation import ResponseFault, Violation

__all__ = [
    "FIRST_FINAL_STATUS",
    "CheckedLines",
    "HeadLines",
    "ResponseFault",
    "Violation",
    "find_head_violation",
]
