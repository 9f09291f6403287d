"""Counts the response headers of targets that the adapter does not know.

A header that nothing reads may be a new signal, and is otherwise noticed only by the
harm that ignoring it does.
"""

from collections import Counter
from dataclasses import dataclass, field

from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_entry.log_events import log

# Names that are logged and counted by themselves; all others share one count.
MAX_NAMES = 16
# Characters of a name that are kept.
MAX_NAME_LENGTH = 64
OTHER_NAMES_LABEL = "other"


@dataclass(slots=True)
class UnknownHeaders:
    """Number of responses with each unknown header, by its name in lower case."""

    counts: Counter[str] = field(default_factory=Counter)

    def record(self, target: str, names: tuple[str, ...]) -> None:
        """Count the unknown headers of a response; the first of a name is logged."""
        for name in names:
            self._record_name(target, name[:MAX_NAME_LENGTH])

    def _record_name(self, target: str, name: str) -> None:
        if name in self.counts:
            self.counts[name] += 1
        elif len(self.counts) < MAX_NAMES:
            self.counts[name] = 1
            log(EventNumber.RESPONSE_HEADER_UNKNOWN, target=target, header=name)
        else:
            self.counts[OTHER_NAMES_LABEL] += 1
