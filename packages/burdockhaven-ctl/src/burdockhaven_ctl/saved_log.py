"""Reads saved logs of daemons: one JSON object a line, with or without a prefix."""

from collections.abc import Iterable
from datetime import datetime
from pathlib import Path

import msgspec

# Values of a log line's fields.
FieldValue = str | int | float


class SavedLogLine(msgspec.Struct, frozen=True):
    """One event of one daemon."""

    # Milliseconds on the daemons' clocks, from the line's own time.
    at_ms: int
    # The word before the object, where a collector puts the VM; else the file's name.
    node: str
    number: int
    event: str
    fields: dict[str, FieldValue]

    def text(self, name: str) -> str:
        """A field as text; empty if the line has none of that name."""
        return str(self.fields.get(name, ""))

    def integer(self, name: str) -> int:
        """A field that holds a whole number; 0 if the line has none of that name."""
        value = self.fields.get(name, 0)
        return int(value) if isinstance(value, int | float) else 0


class _RawLine(msgspec.Struct):
    time: str
    number: int
    event: str
    fields: dict[str, FieldValue]


class SavedLog(msgspec.Struct, frozen=True):
    """All lines that could be read, in the order of their times."""

    lines: tuple[SavedLogLine, ...]
    # Lines that held no event; a collector's own lines among them.
    unreadable: int

    @classmethod
    def from_files(cls, paths: Iterable[Path]) -> "SavedLog":
        """Read files; raises `OSError` for one that can't be read."""
        found: list[SavedLogLine] = []
        unreadable = 0
        for path in paths:
            for text in path.read_text(errors="replace").splitlines():
                line = _parse_line(text, path.stem)
                if line is None:
                    unreadable += bool(text.strip())
                else:
                    found.append(line)
        return cls(tuple(sorted(found, key=lambda line: line.at_ms)), unreadable)


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
