import pytest
from gateway_fixtures import Gateway, Script, respond, stream_events

from burdockhaven_entry.gateway import unknown_headers
from burdockhaven_entry.gateway.unknown_headers import (
    MAX_NAMES,
    OTHER_NAMES_LABEL,
    UnknownHeaders,
)

UNKNOWN = "Server-Mood: 1\r\nServer: x\r\n"


@pytest.fixture
def logged(monkeypatch):
    found = []
    monkeypatch.setattr(
        unknown_headers, "log", lambda number, **fields: found.append(fields["header"])
    )
    return found


# Guards against a new signal of a target that passes through unread.
@pytest.mark.parametrize(
    ("path", "targets"),
    [
        ("/safe/", {"plain": [Script(respond(extra=UNKNOWN))]}),
        ("/stream/", {"engines": [Script(stream_events(1, 2, extra=UNKNOWN))]}),
    ],
)
async def test_unknown_header_is_counted_and_logged_once(path, targets, logged):
    gateway = await Gateway.start(**targets)
    for _ in range(3):
        response = await gateway.call(path)
    assert response.headers["Server-Mood"] == "1"
    assert gateway.state.unknown_headers.counts == {"server-mood": 3}
    assert logged == ["server-mood"]
    await gateway.stop()


def test_number_of_names_is_bounded(logged):
    headers = UnknownHeaders()
    for number in range(MAX_NAMES + 5):
        headers.record("i-1", (f"x-{number}",))
    assert len(logged) == MAX_NAMES
    assert headers.counts[OTHER_NAMES_LABEL] == 5
    assert len(headers.counts) == MAX_NAMES + 1
