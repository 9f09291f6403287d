import json

import pytest

from burdockhaven_ctl.exit_codes import ExitCode
from burdockhaven_ctl.main import main

DAY = "2026-06-17T07:57:"
ANSWERED, TURNED_AWAY = 306, 307


def line(second, number, event="", node=None, **fields):
    time = f"{DAY}{second:06.3f}+00:00"
    text = json.dumps(
        {"time": time, "number": number, "event": event, "fields": fields}
    )
    return f"  {second} {node} {text}" if node else text


def answered(second, request="a1", node=None, **fields):
    values = {
        "request": request,
        "account": "acme",
        "version": 3,
        "status": 200,
        "target": "",
        "sends": 0,
        "queued_ms": 0,
        "total_ms": 10,
        "failures": "",
    }
    return line(second, ANSWERED, "REQUEST_ANSWERED", node, **(values | fields))


@pytest.fixture
def run(tmp_path, capsys):
    def explain(*lines, request="a1", options=()):
        path = tmp_path / "entry-1.log"
        path.write_text("\n".join(lines) + "\n")
        code = main([*options, "explain", request, str(path)])
        return code, capsys.readouterr()

    return explain


def test_a_request_that_no_line_names_is_said_so(run):
    code, shown = run(answered(1.0, "other"), "not an event")
    assert code == ExitCode.INVALID
    assert "no line of 1 names request a1 (1 other lines" in shown.err


def test_a_file_that_is_missing_is_said_so(tmp_path, capsys):
    assert main(["explain", "a1", str(tmp_path / "none.log")]) == ExitCode.USAGE
    assert "none.log" in capsys.readouterr().err


def test_a_refusal_for_want_of_engines_shows_the_queue_of_that_moment(run):
    queue = line(
        1.0, 603, "QUEUE_HELD", "entry-9", queued=7, engines="i-1 4/4 x1.0 open"
    )
    code, shown = run(queue, answered(1.5, node="entry-2", status=503))
    assert code == ExitCode.OK
    assert "entry-9 held 7 requests back; engines: i-1 4/4 x1.0 open" in shown.out


def test_a_refusal_without_a_queue_points_to_the_store_and_an_own_broker(run):
    lost = line(1.0, 403, "KEY_VALUE_OUTAGE_BEGIN", detail="watch: TimeoutError()")
    _, shown = run(lost, answered(1.5, status=503))
    assert "it asked a broker of its own" in shown.out
    assert "entry-1 had lost the store: watch: TimeoutError()" in shown.out


def test_an_outage_that_had_ended_is_no_cause(run):
    lost = line(1.0, 403, "KEY_VALUE_OUTAGE_BEGIN", detail="x")
    found = line(1.2, 404, "KEY_VALUE_OUTAGE_END", seconds=0.2)
    _, shown = run(lost, found, answered(1.5, status=503))
    assert "had lost the store" not in shown.out


def test_a_quota_shows_what_was_used_and_who_started(run):
    used = answered(2.0, "b", sends=1, prompt_tokens=900, output_tokens=100)
    old = answered(0.5, "c", sends=1, prompt_tokens=5_000)
    start = line(5.0, 101, "START", "entry-3")
    _, shown = run(old, used, start, answered(9.5, status=429))
    assert "the quota of acme: 1 of its requests" in shown.out
    assert "1000 tokens" in shown.out
    assert "entry-3 started in that time" in shown.out


def test_a_failed_send_shows_what_else_failed_at_that_target(run):
    failure = "send at i-7: ServerDisconnectedError()"
    mine = answered(3.0, status=502, target="i-7", sends=1, failures=failure)
    others = [
        answered(3.0 + n / 10, f"o{n}", target="i-7", sends=1, failures=failure)
        for n in range(4)
    ]
    elsewhere = answered(3.1, "e", target="i-8", sends=1)
    _, shown = run(mine, *others, elsewhere)
    assert "4 other requests ended at i-7 and 4 failed there" in shown.out
    assert "4 times: send at it: ServerDisconnectedError()" in shown.out


def test_a_stream_that_the_client_left_tells_its_events(run):
    _, shown = run(
        answered(
            9.0,
            status=0,
            target="i-7",
            sends=1,
            total_ms=3_400,
            events=12,
            first_event_ms=99,
            longest_pause_ms=3_000,
        )
    )
    assert "12 events, the first after 99 ms, longest pause 3000 ms" in shown.out
    assert "the client left after 3400 ms" in shown.out


def test_a_key_that_was_unknown_shows_the_version_and_when_the_next_came(run):
    before = line(1.0, 401, "CONFIGURATION_IN_FORCE", version=4)
    after = line(2.0, 401, "CONFIGURATION_IN_FORCE", version=5)
    away = line(
        1.5, TURNED_AWAY, request="a1", host="one.example", path="/x", status=401
    )
    _, shown = run(before, away, after)
    assert "one.example/x was turned away with 401" in shown.out
    assert "version 4 had been in force there for 500 ms" in shown.out
    assert "version 5 came 500 ms later" in shown.out


def test_the_walk_as_json(run):
    _, shown = run(answered(1.0), options=("--output", "json"))
    found = json.loads(shown.out)
    assert found["request"] == "a1"
    assert found["findings"] == ["nothing failed on the way"]
