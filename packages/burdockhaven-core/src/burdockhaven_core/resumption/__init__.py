"""Origins of streams kept outside the members, for a start of all of them."""

from burdockhaven_core.resumption.expired_keys import ExpiredKeys
from burdockhaven_core.resumption.origin_batch import (
    MAX_STREAMS_PER_BATCH,
    OriginBatchError,
    OriginBuffer,
    decode_origin_batch,
    encode_origin_batch,
    origin_message,
    streams_of,
)
from burdockhaven_core.resumption.quota_reservations import QuotaReservations

__all__ = [
    "MAX_STREAMS_PER_BATCH",
    "ExpiredKeys",
    "OriginBatchError",
    "OriginBuffer",
    "QuotaReservations",
    "decode_origin_batch",
    "encode_origin_batch",
    "origin_message",
    "streams_of",
]
