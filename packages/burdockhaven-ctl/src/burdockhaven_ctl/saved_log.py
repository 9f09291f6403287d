"""Reader of saved daemon logs: one JSON object per line, with an optional prefix."""

from collections.abc import Iterable
from datetime import datetime
from pathlib import Path

import msgspec

# Type of a field's value.
FieldValue = str | int | float


class SavedLogLine(msgspec.Struct, frozen=True):
    """A log event of a daemon."""

    # Time of the event by the daemon's clock, not the collector's.
    at_ms: int
    # The VM, which a collector writes before the object; otherwise the file name.
    node: str
    number: int
    event: str
    fields: dict[str, FieldValue]

    def text(self, name: str) -> str:
        """Return a field as text; empty if the line has no such field."""
        return str(self.fields.get(name, ""))

    def integer(self, name: str) -> int:
        """Return a numeric field as an integer; 0 if the line has no such field."""
        value = self.fields.get(name, 0)
        return int(value) if isinstance(value, int | float) else 0


class _RawLine(msgspec.Struct):
    time: str
    number: int
    event: str
    fields: dict[str, FieldValue]


class SavedLog(msgspec.Struct, frozen=True):
    """All log events that could be read, in the order of their times."""

    lines: tuple[SavedLogLine, ...]
    # Number of lines that are not log events, such as those of a collector.
    unreadable: int

    @classmethod
    def from_files(cls, paths: Iterable[Path]) -> "SavedLog":
        """Read the files; raise `OSError` if one cannot be read."""
        lines: list[SavedLogLine] = []
        unreadable = 0
        for path in paths:
            for text in path.read_text(errors="replace").splitlines():
                line = _parse_line(text, path.stem)
                if line is None:
                    unreadable += bool(text.strip())
                else:
                    lines.append(line)
        return cls(tuple(sorted(lines, key=lambda line: line.at_ms)), unreadable)


def _parse_line(text: str, file_name: str) -> SavedLogLine | None:
    prefix, brace, rest = text.partition("{")
    try:
        raw = msgspec.json.decode(brace + rest, type=_RawLine)
        at_ms = _parse_time_ms(raw.time)
    except (msgspec.MsgspecError, ValueError):
        return None
    words = prefix.split()
    node = words[-1] if words else file_name
    return SavedLogLine(at_ms, node, raw.number, raw.event, raw.fields)


def _parse_time_ms(time: str) -> int:
    return round(datetime.fromisoformat(time).timestamp() * 1e3)
