"""Splits a stream of server-sent events into whole events."""

from dataclasses import dataclass

ID_FIELD = b"id:"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event."""

    # As it was received, with the blank line that ends it.
    data: bytes
    # None if the event has no id.
    id: str | None


class EventSplitter:
    """Holds back the part of an event whose end has not arrived."""

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """The events that are whole now."""
        self.rest += data
        events: list[StreamEvent] = []
        while True:
            end = _end_of_event(self.rest)
            if end < 0:
                return events
            whole, self.rest = self.rest[:end], self.rest[end:]
            events.append(StreamEvent(whole, _event_id(whole)))


def _end_of_event(data: bytes) -> int:
    plain = data.find(b"\n\n")
    windows = data.find(b"\r\n\r\n")
    ends = [found + size for found, size in ((plain, 2), (windows, 4)) if found >= 0]
    return min(ends, default=-1)


def _event_id(event: bytes) -> str | None:
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return None
