"""The command `where` against scripted entries."""

import httpx
import msgspec
import pytest

from burdockhaven_core.explanation import (
    Candidate,
    CandidateState,
    PlacementExplanation,
)
from burdockhaven_ctl.exit_codes import ExitCode
from burdockhaven_ctl.options import build_parser
from burdockhaven_ctl.where import run_where

EXPLANATION = PlacementExplanation(
    broker="entry-2",
    verdict="granted",
    reason="best of the engines that may get it; first event on time",
    target="i-1",
    queued_ahead=0,
    wait_s=0.0,
    quota_used=0.4,
    candidates=(
        Candidate("i-0", CandidateState.FULL, 2, 2, 500, 90, 1.0),
        Candidate("i-1", CandidateState.CHOSEN, 0, 2, 500, 120, 4.4),
    ),
)


def run(respond, *arguments):
    options = build_parser().parse_args(
        [*arguments, "where", "10.0.0.1:80", "one.example", "/a/", "--account", "acme"]
    )
    return run_where(options, httpx.MockTransport(respond))


def test_the_entry_that_decides_is_asked(capsys):
    asked = []

    def respond(request):
        asked.append(request.url.host)
        if request.url.host == "10.0.0.1":
            location = str(request.url.copy_with(host="10.0.0.2"))
            return httpx.Response(307, headers={"Location": location})
        assert request.url.params["account"] == "acme"
        return httpx.Response(200, content=msgspec.json.encode(EXPLANATION))

    assert run(respond) == ExitCode.OK
    assert asked == ["10.0.0.1", "10.0.0.2"]
    lines = capsys.readouterr().out.splitlines()
    assert lines[0].startswith("granted to i-1 by the broker of entry-2")
    assert "i-1: chosen" in lines[3]
    assert "i-0: no free slot" in lines[4]


@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        (400, b"no account is named 'acme'", ExitCode.USAGE),
        (503, b"no configuration received yet", ExitCode.UNREACHABLE),
        (200, b"no JSON", ExitCode.UNREACHABLE),
    ],
)
def test_failures_are_told_apart(status, body, expected, capsys):
    assert run(lambda _: httpx.Response(status, content=body)) == expected
    assert capsys.readouterr().err


def test_unreachable_entry():
    def respond(request):
        raise httpx.ConnectError("refused")

    assert run(respond) == ExitCode.UNREACHABLE
