"""Tests of the example client against scripted entries."""

import json
import time

import httpx
import pytest

from burdockhaven_bench import caller as client
from burdockhaven_bench.caller import Caller, NotRun, Unknown, Whole


@pytest.fixture(autouse=True)
def _no_retry_delay(monkeypatch):
    monkeypatch.setattr(time, "sleep", lambda seconds: None)


def stream_response(*events):
    text = "".join(f"event: {n}\ndata: {json.dumps(d)}\n\n" for n, d in events)
    return httpx.Response(200, text=text, headers={"content-type": "text/event-stream"})


STARTED = ("started", {"request": "r1", "target": "engine-1"})
END = ("end", {"request": "r1", "length": 3})


def chunk(offset, count=1):
    data = {"request": "r1", "offset": offset, "count": count, "text": "x " * count}
    return "chunk", data


def outcome_response(status, **fields):
    reply = {"reason": "", "detail": "", "retry_after_s": None, **fields}
    return httpx.Response(status, json=reply)


def make_caller(*answers):
    """Return a caller that gets these answers in turn, and the list of its sends."""
    sent = []
    script = iter(answers)

    def handle(request):
        if request.url.path == "/v1/lookup":
            reply = {
                "entry": "entry-1",
                "address": "10.0.0.1:1",
                "assignment": "a",
                "lasts_s": 30.0,
            }
            return httpx.Response(200, json=reply)
        sent.append((request.url.host, json.loads(request.content)))
        answer = next(script)
        if isinstance(answer, Exception):
            raise answer
        return answer

    transport = httpx.MockTransport(handle)
    return Caller(["10.0.0.1:1", "10.0.0.2:1"], "key", transport), sent


def test_complete_answer():
    caller, sent = make_caller(stream_response(STARTED, chunk(0, 2), chunk(2), END))
    assert caller.send("review", "text") == Whole("x x x ", "r1", "engine-1", 3, 2)
    assert len(sent) == 1


@pytest.mark.parametrize(
    "broken",
    [
        stream_response(STARTED, chunk(0, 2)),
        httpx.ReadError("cut"),
        httpx.ConnectError("refused"),
    ],
)
def test_broken_answer_is_retried_under_the_same_identity(broken):
    complete = stream_response(STARTED, chunk(0, 2), chunk(2), END)
    rest = stream_response(STARTED, chunk(2), END)
    is_partial = isinstance(broken, httpx.Response)
    caller, sent = make_caller(broken, rest if is_partial else complete)
    assert caller.send("review", "text").tokens == 3
    (_, first), (_, second) = sent
    assert first["offset"] == 0
    assert second["offset"] == (2 if is_partial else 0)
    assert {**first, "offset": 0} == {**second, "offset": 0}


def test_redirect_to_the_entry_of_the_request_is_followed():
    elsewhere = outcome_response(421, outcome="elsewhere", address="10.0.0.9:1")
    caller, sent = make_caller(elsewhere, stream_response(STARTED, chunk(0, 3), END))
    assert isinstance(caller.send("review", "text"), Whole)
    assert [host for host, _ in sent] == ["10.0.0.1", "10.0.0.9"]


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (
            outcome_response(
                503, outcome="not_run", reason="overload", retry_after_s=2.0
            ),
            NotRun("overload", "", 2.0),
        ),
        (
            outcome_response(504, outcome="unknown", reason="target_lost"),
            Unknown("target_lost", ""),
        ),
        (
            stream_response(
                STARTED,
                chunk(0),
                ("unknown", {"outcome": "unknown", "reason": "x", "detail": "y"}),
            ),
            Unknown("x", "y"),
        ),
    ],
)
def test_final_outcome_is_not_retried(answer, expected):
    caller, sent = make_caller(answer)
    assert caller.send("review", "text") == expected
    assert len(sent) == 1


@pytest.mark.parametrize(
    "events",
    [
        [STARTED, chunk(0, 2), END],
        [STARTED, chunk(1, 2), END],
        [STARTED, ("chunk", {**chunk(0)[1], "request": "r2"}), END],
    ],
)
def test_answer_with_a_gap_or_of_another_request_is_unknown(events):
    caller, _ = make_caller(stream_response(*events))
    assert isinstance(caller.send("review", "text"), Unknown)


def test_attempts_are_bounded():
    caller, sent = make_caller(*[httpx.ReadError("cut")] * client.MAX_ATTEMPTS)
    assert isinstance(caller.send("review", "text"), Unknown)
    assert len(sent) == client.MAX_ATTEMPTS
