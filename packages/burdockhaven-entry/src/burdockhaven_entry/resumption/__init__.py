"""Origins of streams in the key-value service, for a start of all members."""

from burdockhaven_entry.resumption.batched_read import BatchedRead
from burdockhaven_entry.resumption.origin_log import OriginLog

__all__ = ["BatchedRead", "OriginLog"]
