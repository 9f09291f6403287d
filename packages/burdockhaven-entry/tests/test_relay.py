"""Answers on their way to the callers."""

import asyncio

import pytest

from burdockhaven_core.identity import RunId, TargetName
from burdockhaven_core.outcome import Unknown, UnknownReason
from burdockhaven_entry.relay import Chunk, Relay, RelayStore

RUN = RunId("r")
TARGET = TargetName("e1")


def relay_of(*texts: str) -> Relay:
    relay = Relay(RUN, TARGET)
    for offset, text in enumerate(texts):
        relay.add(Chunk(offset, 1, text))
    return relay


async def read(relay: Relay, offset: int = 0) -> str:
    batches = [batch async for batch in relay.batches(offset)]
    return "".join(chunk.text for batch in batches for chunk in batch)


@pytest.mark.parametrize("offset", [0, 2, 4])
def test_a_chunk_that_does_not_continue_the_answer_is_refused(offset):
    with pytest.raises(ValueError, match="expected token 3"):
        relay_of("a", "b", "c").add(Chunk(offset, 1, "x"))


@pytest.mark.parametrize(("offset", "text"), [(0, "abc"), (1, "bc"), (3, "")])
async def test_a_finished_answer_is_read_from_an_offset(offset, text):
    relay = relay_of("a", "b", "c")
    relay.finish()
    assert await read(relay, offset) == text


@pytest.mark.parametrize(("offset", "text"), [(0, "abc d"), (2, "abc d"), (3, "d")])
async def test_an_offset_inside_a_chunk_misses_no_token(offset, text):
    relay = Relay(RUN, TARGET)
    relay.add(Chunk(0, 3, "abc "))
    relay.add(Chunk(3, 1, "d"))
    relay.finish()
    assert await read(relay, offset) == text


async def test_a_relay_may_begin_at_a_later_token():
    relay = Relay(RUN, TARGET, start=3)
    relay.add(Chunk(3, 1, "d"))
    relay.finish()
    assert (await read(relay, 3), relay.length) == ("d", 4)


async def test_readers_get_what_arrives_later():
    relay = relay_of("a")
    readers = [asyncio.create_task(read(relay)) for _ in range(2)]
    await asyncio.sleep(0)
    relay.add(Chunk(1, 1, "b"))
    relay.finish()
    assert await asyncio.gather(*readers) == ["ab", "ab"]


async def test_a_lost_answer_ends_its_readers():
    relay = relay_of("a")
    reader = asyncio.create_task(read(relay))
    await asyncio.sleep(0)
    relay.fail(Unknown(UnknownReason.TARGET_LOST))
    assert await reader == "a"
    assert not relay.whole


def test_a_whole_answer_is_never_called_lost():
    relay = relay_of("a")
    relay.finish()
    relay.fail(Unknown(UnknownReason.TARGET_LOST))
    assert relay.lost is None


def test_finished_answers_are_bounded_in_bytes():
    store = RelayStore(kept_bytes=10)
    for name in ("one", "two", "three"):
        relay = store.open(RunId(name), TARGET)
        relay.add(Chunk(0, 1, "12345"))
        relay.finish()
        store.close(RunId(name))
    assert store.find(RunId("three")).whole
    lost = store.find(RunId("one")).lost
    assert lost is not None
    assert lost.reason is UnknownReason.RECORD_EXPIRED
