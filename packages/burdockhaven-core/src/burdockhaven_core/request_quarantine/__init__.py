"""Requests beneath which targets end are kept from the others."""

from burdockhaven_core.request_quarantine.accused_request import (
    QUARANTINE_ENDS,
    ContentChange,
    ContentChangeKind,
)
from burdockhaven_core.request_quarantine.content_key import (
    content_key,
    format_content,
)
from burdockhaven_core.request_quarantine.quarantine_record import (
    QuarantineRecordError,
    decode_record,
    encode_record,
)
from burdockhaven_core.request_quarantine.request_quarantine import (
    RequestQuarantine,
)

__all__ = [
    "QUARANTINE_ENDS",
    "ContentChange",
    "ContentChangeKind",
    "QuarantineRecordError",
    "RequestQuarantine",
    "content_key",
    "decode_record",
    "encode_record",
    "format_content",
]
