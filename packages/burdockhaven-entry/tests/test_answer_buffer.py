"""Answer buffers: readers, offsets, failures and eviction."""

import asyncio

import pytest

from burdockhaven_core.identity import RunId, TargetName
from burdockhaven_core.outcome import Unknown, UnknownReason
from burdockhaven_entry.answer_buffer import AnswerBuffer, AnswerBufferStore, Chunk

RUN = RunId("r")
TARGET = TargetName("e1")


def buffer_of(*texts: str) -> AnswerBuffer:
    buffer = AnswerBuffer(RUN, TARGET)
    for offset, text in enumerate(texts):
        buffer.append(Chunk(offset, 1, text))
    return buffer


async def read(buffer: AnswerBuffer, offset: int = 0) -> str:
    batches = [batch async for batch in buffer.batches(offset)]
    return "".join(chunk.text for batch in batches for chunk in batch)


@pytest.mark.parametrize("offset", [0, 2, 4])
def test_a_noncontiguous_chunk_is_rejected(offset):
    with pytest.raises(ValueError, match="expected token 3"):
        buffer_of("a", "b", "c").append(Chunk(offset, 1, "x"))


@pytest.mark.parametrize(("offset", "text"), [(0, "abc"), (1, "bc"), (3, "")])
async def test_a_complete_answer_is_read_from_an_offset(offset, text):
    buffer = buffer_of("a", "b", "c")
    buffer.complete()
    assert await read(buffer, offset) == text


@pytest.mark.parametrize(("offset", "text"), [(0, "abc d"), (2, "abc d"), (3, "d")])
async def test_an_offset_inside_a_chunk_skips_no_token(offset, text):
    buffer = AnswerBuffer(RUN, TARGET)
    buffer.append(Chunk(0, 3, "abc "))
    buffer.append(Chunk(3, 1, "d"))
    buffer.complete()
    assert await read(buffer, offset) == text


async def test_a_buffer_may_start_at_a_later_token():
    buffer = AnswerBuffer(RUN, TARGET, start_offset=3)
    buffer.append(Chunk(3, 1, "d"))
    buffer.complete()
    assert (await read(buffer, 3), buffer.length) == ("d", 4)


async def test_readers_receive_chunks_appended_later():
    buffer = buffer_of("a")
    readers = [asyncio.create_task(read(buffer)) for _ in range(2)]
    await asyncio.sleep(0)
    buffer.append(Chunk(1, 1, "b"))
    buffer.complete()
    assert await asyncio.gather(*readers) == ["ab", "ab"]


async def test_a_failed_answer_ends_its_readers():
    buffer = buffer_of("a")
    reader = asyncio.create_task(read(buffer))
    await asyncio.sleep(0)
    buffer.fail(Unknown(UnknownReason.TARGET_LOST))
    assert await reader == "a"
    assert not buffer.is_complete


def test_a_complete_answer_cannot_fail():
    buffer = buffer_of("a")
    buffer.complete()
    buffer.fail(Unknown(UnknownReason.TARGET_LOST))
    assert buffer.failure is None


def test_completed_answers_are_evicted_beyond_the_byte_limit():
    store = AnswerBufferStore(max_bytes=10)
    for name in ("one", "two", "three"):
        buffer = store.open(RunId(name), TARGET)
        buffer.append(Chunk(0, 1, "12345"))
        buffer.complete()
        store.mark_completed(RunId(name))
    assert store.get(RunId("three")).is_complete
    failure = store.get(RunId("one")).failure
    assert failure is not None
    assert failure.reason is UnknownReason.RECORD_EXPIRED
