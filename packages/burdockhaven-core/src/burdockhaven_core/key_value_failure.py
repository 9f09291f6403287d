"""Failures of calls to a key-value service.

This module is separate from the commands in `key_value`, so that a process on the
users' platform, which uses other commands, does not import them.
"""

import enum
from dataclasses import dataclass


class FailureKind(enum.Enum):
    """Known effect of a call that returned no usable answer."""

    # The call had no effect: no byte of it was sent, or the service reported so.
    NOT_DONE = "not_done"
    # The call may have taken effect, may still do so, or may never do so.
    AMBIGUOUS = "ambiguous"
    # The service returned an answer that violates its protocol.
    BAD_ANSWER = "bad_answer"
    # The requested history of a watch has been compacted.
    HISTORY_LOST = "history_lost"
    # The lease of the call has expired or was revoked.
    LEASE_ENDED = "lease_ended"
    # The condition of a write did not hold; nothing was written.
    CONDITION = "condition"


@dataclass(frozen=True, slots=True)
class KeyValueFailure:
    """A call that returned no usable answer."""

    kind: FailureKind
    # The call that failed, such as "txn".
    step: str
    # Address of the service.
    peer: str
    # Cause of the failure, for logs and operators.
    detail: str
