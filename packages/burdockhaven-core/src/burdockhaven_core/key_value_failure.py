"""What is known of a call to a key-value service that got no usable answer.

Apart from the calls themselves, so that a process on the users' platform, which makes
others, does not load those.
"""

import enum
from dataclasses import dataclass


class FailureKind(enum.Enum):
    """What is known of a call that got no usable answer."""

    # No byte of the call left, or the service said that it did nothing.
    NOT_DONE = "not_done"
    # The call may have taken effect, may do so yet, or may never.
    AMBIGUOUS = "ambiguous"
    # The service answered something that is not of its protocol.
    BAD_ANSWER = "bad_answer"
    # The history that a watch asked for is not kept any more.
    HISTORY_LOST = "history_lost"
    # The lease of the call has ended.
    LEASE_ENDED = "lease_ended"
    # The condition of a write does not hold; nothing was written.
    CONDITION = "condition"


@dataclass(frozen=True, slots=True)
class KeyValueFailure:
    """A call that got no usable answer."""

    kind: FailureKind
    # The call that failed, such as "txn".
    step: str
    # Address of the service.
    peer: str
    # The cause, for logs and operators.
    detail: str
