"""Splits a stream of server-sent events into complete events."""

import re
from dataclasses import dataclass

ID_FIELD = b"id:"
# End of a line and a blank line; both ends of line are in use.
BLANK_LINE = re.compile(rb"\n\r?\n")
BLANK_LINE_MAX_BYTES = 3


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event."""

    # Bytes as received, including the terminating blank line.
    data: bytes
    # None if the event has no id.
    id: str | None


class EventSplitter:
    """Buffers an event until its terminating blank line has arrived."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        # Position in the buffer before which no blank line begins.
        self.searched = 0

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes; returns the events that they complete."""
        self.buffer += data
        events: list[StreamEvent] = []
        start = 0
        while (end := _end_of_event(self.buffer, self.searched)) >= 0:
            event = bytes(self.buffer[start:end])
            events.append(StreamEvent(event, _event_id(event)))
            start = self.searched = end
        del self.buffer[:start]
        # The last bytes may be the begin of a blank line.
        self.searched = max(0, len(self.buffer) - BLANK_LINE_MAX_BYTES + 1)
        return events


def _end_of_event(data: bytearray, start: int) -> int:
    found = BLANK_LINE.search(data, start)
    return -1 if found is None else found.end()


def _event_id(event: bytes) -> str | None:
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return None
