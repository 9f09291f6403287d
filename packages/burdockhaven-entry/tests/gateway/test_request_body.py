import pytest

from burdockhaven_entry.gateway.request_body import LONG_PIECE_BYTES, BodyBuffer


def numbered(length):
    return bytes(number % 251 for number in range(length))


# Guards against bodies in tiny pieces that take many times their bytes.
@pytest.mark.parametrize(
    "sizes",
    [
        [0],
        [1] * 50_000,
        [LONG_PIECE_BYTES - 1, 2, LONG_PIECE_BYTES, 1],
        [1, 100_000, 1, 1, 100_000],
    ],
)
def test_body_is_whole_and_in_few_pieces(sizes):
    body = numbered(sum(sizes))
    buffer, start = BodyBuffer(b""), 0
    for size in sizes:
        buffer.add(body[start : start + size])
        start += size
    assert buffer.size == len(body)
    assert buffer.join() == body
    assert len(buffer.pieces) <= 2 * len(body) // LONG_PIECE_BYTES + 1
