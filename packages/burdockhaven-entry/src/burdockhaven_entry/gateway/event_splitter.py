"""Splits a stream of server-sent events into complete events."""

from dataclasses import dataclass

ID_FIELD = b"id:"


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
        self.buffer = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes; returns the events that they complete."""
        self.buffer += data
        events: list[StreamEvent] = []
        while True:
            end = _end_of_event(self.buffer)
            if end < 0:
                return events
            event, self.buffer = self.buffer[:end], self.buffer[end:]
            events.append(StreamEvent(event, _event_id(event)))


def _end_of_event(data: bytes) -> int:
    lf = data.find(b"\n\n")
    crlf = data.find(b"\r\n\r\n")
    ends = [position + size for position, size in ((lf, 2), (crlf, 4)) if position >= 0]
    return min(ends, default=-1)


def _event_id(event: bytes) -> str | None:
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return None
