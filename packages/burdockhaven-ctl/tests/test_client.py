"""Tries over several entries, and what is said when an answer is lost."""

import httpx
import msgspec
import pytest

from burdockhaven_core.admin_messages import (
    ChangeReply,
    ChangeResult,
    ErrorReply,
    MembersReply,
)
from burdockhaven_ctl.client import AdminClient, ChangeRequest, ProblemKind

REQUEST = ChangeRequest("PUT", "/v1/templates/a", b"{}", 3, "op-1", "ann", False)


class Entries:
    """Answers each call with the next of the script of its entry."""

    def __init__(self, **scripts):
        self.scripts = {name: list(script) for name, script in scripts.items()}
        self.calls = []

    def __call__(self, request):
        self.calls.append((request.url.host, request.url.params.get("operation_id")))
        script = self.scripts[request.url.host]
        step = script.pop(0) if len(script) > 1 else script[0]
        if isinstance(step, type) and issubclass(step, Exception):
            raise step("fault", request=request)
        status, reply = step
        return httpx.Response(status, content=msgspec.json.encode(reply))


def client(entries, patience_s=0.0):
    names = tuple(f"http://{name}" for name in entries.scripts)
    transport = httpx.MockTransport(entries)
    clock = iter(range(1000))
    return AdminClient(
        names,
        httpx.Client(transport=transport),
        patience_s,
        clock=lambda: next(clock),
        sleep=lambda seconds: None,
    )


def reply(result, version=0):
    return 200, ChangeReply(result, "op-1", version)


ACCEPTED = reply(ChangeResult.ACCEPTED, 4)
NOT_DONE = reply(ChangeResult.NOT_DONE)
UNKNOWN = reply(ChangeResult.UNKNOWN)
CONFLICT = reply(ChangeResult.CONFLICT, 5)
GONE = httpx.ConnectError
LOST = httpx.ReadTimeout
GARBLED = (200, ["what"])


@pytest.mark.parametrize(
    ("first", "second", "result"),
    [
        (ACCEPTED, GONE, ChangeResult.ACCEPTED),
        (GONE, ACCEPTED, ChangeResult.ACCEPTED),
        (LOST, ACCEPTED, ChangeResult.ACCEPTED),
        (LOST, CONFLICT, ChangeResult.CONFLICT),
        (LOST, GONE, ChangeResult.UNKNOWN),
        (LOST, NOT_DONE, ChangeResult.UNKNOWN),
        (UNKNOWN, NOT_DONE, ChangeResult.UNKNOWN),
        (GARBLED, GONE, ChangeResult.UNKNOWN),
        (NOT_DONE, GONE, ChangeResult.NOT_DONE),
        (UNKNOWN, ACCEPTED, ChangeResult.ACCEPTED),
    ],
)
def test_a_change_is_never_said_undone_after_a_lost_answer(first, second, result):
    entries = Entries(one=[first], two=[second])
    assert client(entries).change(REQUEST).unwrap().result is result
    assert {operation for _, operation in entries.calls} == {"op-1"}


def test_no_entry_means_that_nothing_was_done():
    entries = Entries(one=[GONE], two=[GONE])
    assert client(entries).change(REQUEST).err().kind is ProblemKind.UNREACHABLE


def test_a_change_that_cannot_be_made_now_is_tried_again():
    entries = Entries(one=[NOT_DONE, NOT_DONE, ACCEPTED])
    made = client(entries, patience_s=100.0).change(REQUEST).unwrap()
    assert made.version == 4
    assert len(entries.calls) == 3


def test_a_refused_token_ends_the_tries():
    refused = (401, ErrorReply("unauthorized", "no"))
    entries = Entries(one=[refused], two=[ACCEPTED])
    problem = client(entries).change(REQUEST).err()
    assert problem.kind is ProblemKind.UNAUTHORIZED
    assert len(entries.calls) == 1


def test_a_question_goes_to_the_next_entry():
    entries = Entries(one=[LOST], two=[(200, MembersReply(()))])
    read = client(entries).read("/v1/members", MembersReply)
    assert read.unwrap() == MembersReply(())
