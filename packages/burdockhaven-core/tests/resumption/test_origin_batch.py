"""Batches of stream origins."""

import msgspec
import pytest

from burdockhaven_core.resumption import (
    MAX_STREAMS_PER_BATCH,
    OriginBatchError,
    OriginBuffer,
    decode_origin_batch,
    encode_origin_batch,
)
from burdockhaven_core.scheduling.peer_messages import RecordOrigins, StreamOrigin

V1 = StreamOrigin("engines", "v1")
V2 = StreamOrigin("engines", "v2")


def test_batch_survives_encoding():
    streams = {1: V1, 2**63: V2, 3: V1}
    assert decode_origin_batch(encode_origin_batch(streams)) == streams


# Guards against the loss of all batches because one of them is damaged.
@pytest.mark.parametrize(
    "data", [b"", b"\xc1", b"text", msgspec.msgpack.encode([7, 1])]
)
def test_unreadable_batch_is_an_error(data):
    with pytest.raises(OriginBatchError):
        decode_origin_batch(data)


def test_index_without_an_origin_is_skipped():
    data = msgspec.msgpack.encode(RecordOrigins((V1,), ((1, 0), (2, 5), (3, -1))))
    assert decode_origin_batch(data) == {1: V1}


# Guards against memory that grows while the store is away.
def test_buffer_discards_the_oldest_beyond_its_bound():
    buffer = OriginBuffer(max_streams=3)
    buffer.add(dict.fromkeys(range(5), V1))
    assert list(buffer.streams) == [2, 3, 4]
    assert buffer.discarded == 2


def test_buffer_keeps_the_order_of_a_batch_that_was_put_back():
    buffer = OriginBuffer()
    buffer.add({1: V1, 2: V1})
    batch = buffer.take()
    buffer.add({3: V2, 1: V2})
    buffer.put_back(batch)
    assert buffer.streams == {1: V2, 2: V1, 3: V2}


def test_batch_has_a_bounded_number_of_streams():
    buffer = OriginBuffer()
    buffer.add(dict.fromkeys(range(MAX_STREAMS_PER_BATCH + 5), V1))
    assert len(buffer.take()) == MAX_STREAMS_PER_BATCH
    assert len(buffer) == 5
