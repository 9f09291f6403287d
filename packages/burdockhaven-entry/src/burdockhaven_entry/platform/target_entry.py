"""Decodes the entries by which targets register in the store."""

import re

import msgspec

from burdockhaven_core.scheduling.target_registry import TargetEntry
from burdockhaven_core.value_ranges import Count, Name, NotNegative
from burdockhaven_entry.platform.decode_errors import DECODE_ERRORS
from burdockhaven_entry.platform.whole_number import parse_whole_number

DRAINING = "draining"
KNOWN_STATES = frozenset({"ready", DRAINING})
MAX_PORT = 65_535
# An IPv4 address or the name of a host.
HOST_PATTERN = re.compile(r"[A-Za-z0-9.-]+")


class TargetEntryError(ValueError):
    """The bytes do not hold a valid target entry."""


class _Entry(msgspec.Struct):
    service: Name
    address: Name
    zone: Name
    state: Name
    seq: NotNegative
    # Of the target's software.
    version: Name
    slots: Count
    cold_left_ms: float
    # Unix milliseconds of the start; targets that never start again under their id may
    # leave it out.
    born: NotNegative = 0


_decoder = msgspec.json.Decoder(_Entry)


def read_target_entry(target_id: str, data: bytes) -> TargetEntry:
    """Decode an entry; raises `TargetEntryError`."""
    # Requests name the target in a header, which holds no control characters.
    if not target_id or not target_id.isprintable():
        raise TargetEntryError(f"no header can name the target {target_id!r}")
    try:
        raw = _decoder.decode(data)
    except DECODE_ERRORS as error:
        raise TargetEntryError(str(error)) from error
    if raw.state not in KNOWN_STATES:
        raise TargetEntryError(f"unknown state {raw.state!r}")
    if not _is_address(raw.address):
        raise TargetEntryError(f"address {raw.address!r} is not of the form HOST:PORT")
    return TargetEntry(
        id=target_id,
        service=raw.service,
        address=raw.address,
        zone=raw.zone,
        slots=max(1, raw.slots),
        draining=raw.state == DRAINING,
        started_ms=raw.born,
        sequence=raw.seq,
        software_version=raw.version,
    )


def _is_address(text: str) -> bool:
    host, _, port_text = text.rpartition(":")
    port = parse_whole_number(port_text)
    is_port = port is not None and 0 < port <= MAX_PORT
    return is_port and HOST_PATTERN.fullmatch(host) is not None
