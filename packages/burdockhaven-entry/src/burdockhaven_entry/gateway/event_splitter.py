"""Splits a stream of server-sent events into complete events."""

import re
from dataclasses import dataclass

ID_FIELD = b"id"
# Names of the fields that make an event; other lines are comments or ignored.
EVENT_FIELDS = frozenset({b"data", b"event", ID_FIELD, b"retry"})
# Bytes within which an event must end. It holds a few tokens, less than a kilobyte.
MAX_EVENT_BYTES = 2**20
# End of a line and blank lines; both ends of line are in use.
BLANK_LINES = re.compile(rb"\n(?:\r?\n)+")
# Bytes of an end of a line and one blank line, at most.
BLANK_LINE_MAX_BYTES = 3


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event."""

    # Bytes as received, including the terminating blank lines.
    data: bytes
    # None if the event has no id.
    id: str | None
    # Whether any line is the field of an event; false for comments and blank lines.
    has_fields: bool

    @classmethod
    def from_bytes(cls, data: bytes) -> "StreamEvent":
        """Read the id and the kind of an event from its bytes."""
        has_fields = False
        for line in data.splitlines():
            name, _, value = line.partition(b":")
            if name == ID_FIELD:
                return cls(data, value.strip().decode("latin-1"), has_fields=True)
            has_fields |= name in EVENT_FIELDS
        return cls(data, None, has_fields)


class EventSplitter:
    """Buffers an event until its terminating blank line has arrived."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        # Position in the buffer before which no blank line begins.
        self.searched = 0
        # Bytes received since the last event that has fields.
        self.bytes_since_event = 0
        # Whether any event that has fields has ended.
        self.has_events = False

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes; returns the events that they complete."""
        self.buffer += data
        self.bytes_since_event += len(data)
        events: list[StreamEvent] = []
        # Where comments and blank lines since the last event begin, and the next event.
        start = event_start = 0
        while (end := _end_of_event(self.buffer, self.searched)) >= 0:
            event = StreamEvent.from_bytes(bytes(self.buffer[event_start:end]))
            if event.has_fields:
                events += self._without_fields(start, event_start)
                events.append(event)
                start = end
                self.has_events = True
                self.bytes_since_event = len(self.buffer) - end
            event_start = self.searched = end
        events += self._without_fields(start, event_start)
        del self.buffer[:event_start]
        # The last bytes may be the begin of a blank line.
        self.searched = max(0, len(self.buffer) - BLANK_LINE_MAX_BYTES + 1)
        return events

    def _without_fields(self, start: int, end: int) -> list[StreamEvent]:
        """Return comments and blank lines as one event, if there are any."""
        if start == end:
            return []
        return [StreamEvent(bytes(self.buffer[start:end]), None, has_fields=False)]


def _end_of_event(data: bytearray, start: int) -> int:
    found = BLANK_LINES.search(data, start)
    return -1 if found is None else found.end()
