import random

import pytest

from burdockhaven_entry.gateway import event_splitter
from burdockhaven_entry.gateway.event_splitter import EventSplitter


@pytest.mark.parametrize("blank", [b"\n\n", b"\r\n\r\n", b"\n\r\n"])
@pytest.mark.parametrize("seed", range(8))
def test_events_are_the_same_however_the_bytes_arrive(blank, seed):
    rng = random.Random(seed)
    sent = [b"id: %d\ndata: %s" % (n, b"x" * n) + blank for n in range(20)]
    data = b"".join(sent) + b"id: 21"
    splitter, events = EventSplitter(), []
    while data:
        size = rng.randint(1, 12)
        events += splitter.feed(data[:size])
        data = data[size:]
    assert [event.data for event in events] == sent
    assert [event.id for event in events] == [str(n) for n in range(20)]
    assert bytes(splitter.buffer) == b"id: 21"


# Guards against a search that begins anew with each piece of a long event.
def test_each_byte_is_searched_a_few_times_at_most(monkeypatch):
    searched = 0
    find_end = event_splitter._end_of_event

    def count(data, start=0):
        nonlocal searched
        searched += len(data) - start
        return find_end(data, start)

    monkeypatch.setattr(event_splitter, "_end_of_event", count)
    splitter = EventSplitter()
    piece = b"data: x\n"
    for _ in range(2_000):
        assert splitter.feed(piece) == []
    (event,) = splitter.feed(b"\n" + piece)
    assert len(event.data) == 2_000 * len(piece) + 1
    assert searched < 2 * len(event.data)
