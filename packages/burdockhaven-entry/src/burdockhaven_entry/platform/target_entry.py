"""Decodes the entries by which targets register in the store."""

import msgspec

from burdockhaven_core.scheduling.target_registry import TargetEntry
from burdockhaven_entry.platform.decode_errors import DECODE_ERRORS

DRAINING = "draining"
KNOWN_STATES = frozenset({"ready", DRAINING})


class TargetEntryError(ValueError):
    """The bytes do not hold a valid target entry."""


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    seq: int
    # Of the target's software.
    version: str
    slots: int = 1
    born: int = 0


_decoder = msgspec.json.Decoder(_Entry)


def read_target_entry(target_id: str, data: bytes) -> TargetEntry:
    """Decode an entry; raises `TargetEntryError`."""
    try:
        raw = _decoder.decode(data)
    except DECODE_ERRORS as error:
        raise TargetEntryError(str(error)) from error
    if raw.state not in KNOWN_STATES:
        raise TargetEntryError(f"unknown state {raw.state!r}")
    host, colon, port = raw.address.rpartition(":")
    if not (host and colon and port.isdigit()):
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
