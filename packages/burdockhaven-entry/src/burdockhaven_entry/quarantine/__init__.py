"""What ends targets, recorded in the key-value service for a start of all members."""

from burdockhaven_entry.quarantine.quarantine_store import QuarantineStore
from burdockhaven_entry.quarantine.record_kind import (
    RecordKind,
    content_records,
    part_records,
)

__all__ = ["QuarantineStore", "RecordKind", "content_records", "part_records"]
