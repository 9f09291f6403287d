"""Writes the numbered log events, as text or as one JSON object a line."""

import logging
import sys
from collections.abc import Mapping
from typing import TYPE_CHECKING, Protocol

import msgspec
from loguru import logger

from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_entry.log_catalogue import CATALOGUE

if TYPE_CHECKING:
    from loguru import Message

    from burdockhaven_core.actions import LogEvent

LogFieldValue = str | int | float

# Longer values are cut, so that bad input cannot flood the log.
MAX_VALUE_CHARACTERS = 500


class LogLine(msgspec.Struct, frozen=True):
    """One event in the JSON format."""

    # ISO 8601 with the offset from UTC.
    time: str
    level: str
    number: int
    # Name of the event in the catalogue.
    event: str
    message: str
    fields: Mapping[str, LogFieldValue]


class _MessageFields(dict[str, LogFieldValue]):
    """Values for a message; one that was not given does not stop the message."""

    def __missing__(self, key: str) -> str:
        return "?"


def log(event: EventNumber, **fields: LogFieldValue) -> None:
    """Logs the event with its fields; the catalogue says which fields it has."""
    spec = CATALOGUE[event]
    sanitized = {key: _sanitize(value) for key, value in fields.items()}
    message = spec.message.format_map(_MessageFields(sanitized))
    bound_logger = logger.bind(event=event, fields=sanitized)
    bound_logger.log(spec.level.upper(), "{}", message)


def log_core_event(event: "LogEvent") -> None:
    """Logs an event that the core has noted."""
    log(EventNumber(event.number), **event.fields)


class LibraryLogHandler(logging.Handler):
    """Passes what libraries log through the standard module on as event 106."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs the library's message."""
        text = record.getMessage()
        log(EventNumber.LIBRARY_MESSAGE, source=record.name, text=text)


class LogStream(Protocol):
    """Where lines go; a text stream is one."""

    def write(self, text: str, /) -> int:
        """Write a line."""

    def flush(self) -> None:
        """Hold nothing back."""


def configure_logging(
    log_format: str, level: str, stream: LogStream | None = None
) -> None:
    """Sends the events to the stream, standard error by default, and nowhere else."""
    out: LogStream = sys.stderr if stream is None else stream
    render = _format_json if log_format == "json" else _format_text

    def write(message: "Message") -> None:
        out.write(render(message) + "\n")
        out.flush()

    logger.remove()
    logger.add(
        write, level=level.upper(), format="{message}", backtrace=False, diagnose=False
    )
    logging.basicConfig(handlers=[LibraryLogHandler()], level="WARNING", force=True)


def _sanitize(value: LogFieldValue) -> LogFieldValue:
    """The value on one line and of bounded length, so that no line can be forged."""
    if not isinstance(value, str):
        return value
    truncated = value[:MAX_VALUE_CHARACTERS]
    return "".join(
        c if c.isprintable() else "\N{REPLACEMENT CHARACTER}" for c in truncated
    )


def _format_text(message: "Message") -> str:
    record = message.record
    event = _event_number(message)
    time = record["time"].isoformat(timespec="milliseconds")
    level = record["level"].name
    return f"{time} {level:<7} {int(event)} {event.name} {record['message']}"


def _format_json(message: "Message") -> str:
    record = message.record
    event = _event_number(message)
    line = LogLine(
        time=record["time"].isoformat(timespec="milliseconds"),
        level=record["level"].name.lower(),
        number=int(event),
        event=event.name,
        message=record["message"],
        fields=record["extra"].get("fields", {}),
    )
    return msgspec.json.encode(line).decode()


def _event_number(message: "Message") -> EventNumber:
    event = message.record["extra"].get("event", EventNumber.LIBRARY_MESSAGE)
    return EventNumber(event)
