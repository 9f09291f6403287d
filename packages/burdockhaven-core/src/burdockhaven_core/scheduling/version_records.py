"""Records of the software versions that have served each service; they outlast members.

A version is recorded before it serves. So the complete record of a service names each
version that may have begun a stream, also after a kill of all members.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from burdockhaven_core.scheduling.stream_origins import NO_SOLE_VERSION, SoleVersion
from burdockhaven_core.scheduling.target_registry import TargetEntry


class VersionRecord(msgspec.Struct, frozen=True):
    """The software versions of one service that may have begun a stream."""

    # Era of the store in which it was written; in a later one it is an old copy.
    era: int
    versions: frozenset[str]
    # Those of them that are removed unless they serve within another resume window.
    retiring: frozenset[str] = frozenset()
    # Whether no other version has served within the resume window.
    is_complete: bool = msgspec.field(name="complete", default=False)

    def is_valid(self, era: int) -> bool:
        """Whether it names every version, if read in this era."""
        return self.is_complete and self.era == era


@dataclass(frozen=True, slots=True)
class RecordReading:
    """A record as read, and whether it names every version."""

    record: VersionRecord
    is_valid: bool


class VersionRecordError(ValueError):
    """The bytes do not hold a valid record."""


_decoder = msgspec.json.Decoder(VersionRecord)


def encode_version_record(record: VersionRecord) -> bytes:
    """Encode a record."""
    return msgspec.json.encode(record, order="sorted")


def decode_version_record(data: bytes) -> VersionRecord:
    """Decode a record; raises `VersionRecordError`."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise VersionRecordError(str(error)) from error


@dataclass(frozen=True, slots=True)
class ServiceVersions:
    """What a member knows of the software versions of one service."""

    # Those of the registered targets.
    present: frozenset[str]
    # Those and others that have served within the resume window.
    recent: frozenset[str]
    # Seconds for which the member has missed no change; infinite since a first start.
    complete_for_s: float
    # Seconds for which the member has known a record of this era.
    known_for_s: float
    # Seconds for which it has known the last write of the record.
    unchanged_for_s: float


def updated_record(
    record: VersionRecord | None, era: int, known: ServiceVersions, window_s: float
) -> VersionRecord:
    """Return the record that the store should have; the same one if it is up to date.

    A version is removed in two steps a window apart, so that a member that sees it
    again meanwhile can keep it. A record without a predecessor in its era is complete
    once all versions that served unrecorded are out of the resume window.
    """
    if record is None:
        is_first = math.isinf(known.complete_for_s)
        return VersionRecord(era, known.recent, frozenset(), is_first)
    if record.era != era:
        return VersionRecord(era, known.recent | record.versions)
    versions = record.versions | known.present
    retiring = record.retiring - known.recent
    is_complete = record.is_complete
    if known.complete_for_s >= window_s:
        if known.unchanged_for_s >= window_s:
            versions -= retiring
        retiring = versions - known.recent
        is_complete = is_complete or known.known_for_s >= window_s
    return VersionRecord(era, versions, retiring, is_complete)


def recorded_version(
    reading: RecordReading, observed: frozenset[str]
) -> SoleVersion | None:
    """Return what a record says of streams without an origin; None if nothing.

    Certain is a version that a valid record names alone, if no member has seen another.
    A record of one version besides retiring ones proves nothing, as they may be in use
    again. One that is not valid may lack versions, but those that it names have served.
    """
    record = reading.record
    known = record.versions | observed
    if reading.is_valid and len(known) == 1:
        return SoleVersion(min(known), certain_in_s=0.0)
    if len((record.versions - record.retiring) | observed) > 1:
        return NO_SOLE_VERSION
    return None


class VersionHold:
    """Keeps new software versions out of use until they are recorded.

    A service whose open targets all have new versions uses them at once.
    """

    def __init__(self) -> None:
        # Services whose versions are recorded; those of others are not held.
        self.services: frozenset[str] = frozenset()
        # Versions that are known to be recorded, by service.
        self.recorded: set[tuple[str, str]] = set()
        # Versions that may be used, by service.
        self.released: set[tuple[str, str]] = set()

    def confirm(self, service: str, versions: Iterable[str]) -> bool:
        """Apply that versions are recorded; returns whether one is released by that."""
        confirmed = {(service, version) for version in versions}
        is_news = not confirmed <= self.released
        self.recorded |= confirmed
        self.released |= confirmed
        return is_news

    def retain(self, known: set[tuple[str, str]]) -> None:
        """Forget other versions; the record may have been told that they are gone."""
        self.recorded &= known
        self.released &= known

    def usable(
        self, entries: Mapping[str, TargetEntry], leaving: set[str]
    ) -> Mapping[str, TargetEntry]:
        """Return the entries whose versions are not held."""
        if not self.services:
            return entries
        versions = {
            target_id: (entry.service, entry.software_version)
            for target_id, entry in entries.items()
            if entry.service in self.services
        }
        services_in_use = {
            version[0]
            for target_id, version in versions.items()
            if version in self.released
            and target_id not in leaving
            and not entries[target_id].draining
        }
        self.released |= {
            version
            for version in versions.values()
            if version[0] not in services_in_use
        }
        return {
            target_id: entry
            for target_id, entry in entries.items()
            if target_id not in versions or versions[target_id] in self.released
        }
