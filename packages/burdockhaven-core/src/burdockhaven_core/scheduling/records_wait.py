"""The wait of a broker's prompts for what was recorded before its start."""

import math

# Longest time in seconds for which prompts wait. If the key-value service is away, they
# go to engines without the records.
RECORDS_WAIT_S = 0.5


class RecordsWait:
    """Whether prompts wait until the records of accused parts have been read."""

    def __init__(self, is_pending: bool = False) -> None:
        # Whether the records may hold what this broker does not know.
        self.is_pending = is_pending
        # Monotonic time in seconds at which the wait ends anyway; infinite until the
        # first prompt waits.
        self.until_s = math.inf

    def holds(self, now: float) -> bool:
        """Whether a prompt has to wait now; the first one that does starts the time."""
        if self.is_pending:
            self.until_s = min(self.until_s, now + RECORDS_WAIT_S)
            self.is_pending = now < self.until_s
        return self.is_pending

    def end(self) -> None:
        """Let prompts go on, because the records have been read."""
        self.is_pending = False
