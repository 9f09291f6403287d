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


@pytest.mark.parametrize(
    ("data", "id_", "has_fields"),
    [
        (b"data: x\n\n", None, True),
        (b"data\n\n", None, True),
        (b"event: end\r\n\r\n", None, True),
        (b": comment\nid: 7\n\n", "7", True),
        (b"data: x\nid: 7\n\n", "7", True),
        (b": comment\n\n", None, False),
        (b"\n\n", None, False),
        (b"database: x\n\n", None, False),
    ],
)
def test_event_has_fields_unless_it_is_comments_or_blank(data, id_, has_fields):
    (event,) = EventSplitter().feed(data)
    assert (event.data, event.id, event.has_fields) == (data, id_, has_fields)


def test_bytes_since_the_last_event_include_comments():
    splitter = EventSplitter()
    splitter.feed(b"data: 1\n\n: c\n\n")
    assert splitter.bytes_since_event == 5
    splitter.feed(b"\n\nda")
    assert splitter.bytes_since_event == 9
    splitter.feed(b"ta: 2\n\n")
    assert splitter.bytes_since_event == 0


# Guards against a write to the client for each of thousands of blank lines.
def test_comments_and_blank_lines_are_joined_between_events():
    splitter = EventSplitter()
    noise = b":\n\n" * 500 + b"\n" * 1_001 + b": c\r\n\r\n"
    pieces = [noise, b"data: 1\n\n", b"data: 2\n\n", noise, b"data: 3\n\n", noise]
    events = splitter.feed(b"".join(pieces))
    assert [event.data for event in events] == pieces
    assert [event.has_fields for event in events] == [
        False,
        True,
        True,
        False,
        True,
        False,
    ]
