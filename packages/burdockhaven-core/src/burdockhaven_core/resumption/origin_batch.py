"""Batches of stream origins as written to the key-value service."""

from collections.abc import Mapping

import msgspec

from burdockhaven_core.scheduling.peer_messages import RecordOrigins, StreamOrigin
from burdockhaven_core.scheduling.stream_origins import MAX_ORIGINS

# Streams in one batch; with 11 bytes each it stays well below the size of a value.
MAX_STREAMS_PER_BATCH = 20_000


class OriginBatchError(ValueError):
    """The bytes do not hold a valid batch."""


_decoder = msgspec.msgpack.Decoder(RecordOrigins)


def origin_message(streams: Mapping[int, StreamOrigin]) -> RecordOrigins:
    """Return a message with the origins of streams, each distinct origin once."""
    origins = tuple(sorted(set(streams.values()), key=_sort_key))
    indexes = {origin: index for index, origin in enumerate(origins)}
    return RecordOrigins(
        origins, tuple((key, indexes[origin]) for key, origin in streams.items())
    )


def _sort_key(origin: StreamOrigin) -> tuple[str, str]:
    return origin.service, origin.software_version


def streams_of(message: RecordOrigins) -> dict[int, StreamOrigin]:
    """Return the origin of each stream in a message; unknown indexes are skipped."""
    return {
        key: message.origins[index]
        for key, index in message.streams
        if 0 <= index < len(message.origins)
    }


def encode_origin_batch(streams: Mapping[int, StreamOrigin]) -> bytes:
    """Encode the origins of streams by key."""
    return msgspec.msgpack.encode(origin_message(streams))


def decode_origin_batch(data: bytes) -> dict[int, StreamOrigin]:
    """Decode a batch; raises `OriginBatchError`."""
    try:
        return streams_of(_decoder.decode(data))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise OriginBatchError(str(error)) from error


class OriginBuffer:
    """Origins that are not written yet; the oldest are discarded beyond a bound."""

    def __init__(self, max_streams: int = MAX_ORIGINS) -> None:
        self.max_streams = max_streams
        self.streams: dict[int, StreamOrigin] = {}
        # Origins discarded because nothing could be written for too long.
        self.discarded = 0

    def __len__(self) -> int:
        return len(self.streams)

    def add(self, streams: Mapping[int, StreamOrigin]) -> None:
        """Add origins; a later one of the same stream replaces the earlier one."""
        self.streams.update(streams)
        excess = len(self.streams) - self.max_streams
        for key in list(self.streams)[: max(0, excess)]:
            del self.streams[key]
            self.discarded += 1

    def take(self) -> dict[int, StreamOrigin]:
        """Remove and return the next batch, the oldest first."""
        keys = list(self.streams)[:MAX_STREAMS_PER_BATCH]
        return {key: self.streams.pop(key) for key in keys}

    def put_back(self, streams: Mapping[int, StreamOrigin]) -> None:
        """Return a batch that could not be written, ahead of later origins."""
        later, self.streams = self.streams, dict(streams)
        self.add(later)
