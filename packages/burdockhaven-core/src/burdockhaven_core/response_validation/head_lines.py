"""Checks the lines of response heads by the grammar of RFC 9112."""

import re
from dataclasses import dataclass

from result import Err, Ok, Result

from burdockhaven_core.response_validation.violation import ResponseFault, Violation

LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"
# Bytes of a line; a name and a value of 8,190 bytes each, the limits of the HTTP
# library, fit.
MAX_LINE_BYTES = 16_400
# The reason may be missing together with the space before it, as in the heads of many
# servers. A client gets a status line of its own, so that nothing depends on it.
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [\t -~\x80-\xff]*+)?\r\n")
# Begins each status line.
PROTOCOL = b"HTTP/1."
# A name consists of token characters and ends with its colon. So a line that begins
# with white space, which once continued the value before it, is no field.
_NAME = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
_VALUE = rb"[\t -~\x80-\xff]*+"
FIELD_LINES = re.compile(rb"(?:%s:%s\r\n)*+" % (_NAME, _VALUE))
# What may have been received of a line that has not ended.
INCOMPLETE_STATUS_LINE = re.compile(rb"[\t -~\x80-\xff]*+\r?")
INCOMPLETE_FIELD_LINE = re.compile(rb"(?:%s(?::%s)?)?\r?" % (_NAME, _VALUE))


@dataclass(frozen=True, slots=True)
class CheckedLines:
    """Valid lines of one head."""

    # Complete lines, up to the end of the head if it has been received.
    lines: bytes
    # Bytes received behind the end of the head.
    rest: bytes


class HeadLines:
    """Checks each line as soon as it is complete, of one head after the other."""

    def __init__(self) -> None:
        # Received bytes of a line that has not ended.
        self.incomplete = b""
        # Whether the next line is the first of a head.
        self.begins_head = True

    def add(self, data: bytes) -> Result[CheckedLines, Violation]:
        """Check received bytes; returns the lines that they complete."""
        if self.incomplete:
            data = self.incomplete + data
        head_end = self._head_end(data)
        is_whole = head_end is not None
        end = _end_of_lines(data) if head_end is None else head_end
        lines, rest = data[:end], data[end:]
        violation = self._find_violation(lines, is_whole)
        if violation is None and not is_whole:
            violation = self._find_incomplete_violation(rest)
        if violation is not None:
            return Err(violation)
        self.incomplete = b"" if is_whole else rest
        return Ok(CheckedLines(lines, rest if is_whole else b""))

    def _head_end(self, data: bytes) -> int | None:
        """Return where the head ends; None if its end has not been received."""
        if not self.begins_head and data.startswith(LINE_END):
            return len(LINE_END)
        found = data.find(HEAD_END)
        return None if found < 0 else found + len(HEAD_END)

    def _find_violation(self, lines: bytes, is_whole: bool) -> Violation | None:
        """Check complete lines, and record which line comes next."""
        checked = 0
        if self.begins_head and lines:
            status_line = STATUS_LINE.match(lines)
            if status_line is None:
                return _violation_of_line(ResponseFault.STATUS_LINE, lines)
            checked = status_line.end()
        field_lines = FIELD_LINES.match(lines, checked)
        assert field_lines is not None
        fields_end = len(lines) - len(LINE_END) if is_whole else len(lines)
        if field_lines.end() != fields_end:
            bad = lines[field_lines.end() :]
            return _violation_of_line(ResponseFault.FIELD_LINE, bad)
        if lines:
            self.begins_head = is_whole
        return None

    def _find_incomplete_violation(self, line: bytes) -> Violation | None:
        """Check a line that has not ended, which may never end."""
        if len(line) > MAX_LINE_BYTES:
            return Violation.from_bytes(ResponseFault.LONG_LINE, line)
        if self.begins_head:
            is_protocol = line.startswith(PROTOCOL[: len(line)])
            if not (is_protocol and INCOMPLETE_STATUS_LINE.fullmatch(line)):
                return Violation.from_bytes(ResponseFault.STATUS_LINE, line)
        elif not INCOMPLETE_FIELD_LINE.fullmatch(line):
            return Violation.from_bytes(ResponseFault.FIELD_LINE, line)
        return None


def _end_of_lines(data: bytes) -> int:
    """Return where the last complete line ends; 0 if there is none."""
    found = data.rfind(LINE_END)
    return 0 if found < 0 else found + len(LINE_END)


def _violation_of_line(fault: ResponseFault, lines: bytes) -> Violation:
    line, _, _ = lines.partition(LINE_END)
    return Violation.from_bytes(fault, line)
