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
from burdockhaven_ctl.client import AdminClient, ApiFailureKind, ChangeRequest

REQUEST = ChangeRequest("PUT", "/v1/templates/a", b"{}", 3, "op-1", "ann", False)


class ScriptedEntries:
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


def create_client(entries, retry_timeout_s=0.0):
    names = tuple(f"http://{name}" for name in entries.scripts)
    transport = httpx.MockTransport(entries)
    clock = iter(range(1000))
    return AdminClient(
        names,
        httpx.Client(transport=transport),
        retry_timeout_s,
        clock=lambda: next(clock),
        sleep=lambda seconds: None,
    )


def change_reply(result, version=0):
    return 200, ChangeReply(result, "op-1", version)


ACCEPTED = change_reply(ChangeResult.ACCEPTED, 4)
NOT_DONE = change_reply(ChangeResult.NOT_DONE)
UNKNOWN = change_reply(ChangeResult.UNKNOWN)
CONFLICT = change_reply(ChangeResult.CONFLICT, 5)
UNREACHABLE = httpx.ConnectError
RESPONSE_LOST = httpx.ReadTimeout
MALFORMED = (200, ["what"])


@pytest.mark.parametrize(
    ("first", "second", "result"),
    [
        (ACCEPTED, UNREACHABLE, ChangeResult.ACCEPTED),
        (UNREACHABLE, ACCEPTED, ChangeResult.ACCEPTED),
        (RESPONSE_LOST, ACCEPTED, ChangeResult.ACCEPTED),
        (RESPONSE_LOST, CONFLICT, ChangeResult.CONFLICT),
        (RESPONSE_LOST, UNREACHABLE, ChangeResult.UNKNOWN),
        (RESPONSE_LOST, NOT_DONE, ChangeResult.UNKNOWN),
        (UNKNOWN, NOT_DONE, ChangeResult.UNKNOWN),
        (MALFORMED, UNREACHABLE, ChangeResult.UNKNOWN),
        (NOT_DONE, UNREACHABLE, ChangeResult.NOT_DONE),
        (UNKNOWN, ACCEPTED, ChangeResult.ACCEPTED),
    ],
)
def test_change_is_not_reported_undone_after_a_lost_response(first, second, result):
    entries = ScriptedEntries(one=[first], two=[second])
    assert create_client(entries).change(REQUEST).unwrap().result is result
    assert {operation for _, operation in entries.calls} == {"op-1"}


def test_change_without_reachable_entry_is_unreachable():
    entries = ScriptedEntries(one=[UNREACHABLE], two=[UNREACHABLE])
    assert (
        create_client(entries).change(REQUEST).err().kind is ApiFailureKind.UNREACHABLE
    )


def test_change_not_done_is_retried():
    entries = ScriptedEntries(one=[NOT_DONE, NOT_DONE, ACCEPTED])
    reply_after_retry = (
        create_client(entries, retry_timeout_s=100.0).change(REQUEST).unwrap()
    )
    assert reply_after_retry.version == 4
    assert len(entries.calls) == 3


def test_refused_token_ends_retries():
    refused = (401, ErrorReply("unauthorized", "no"))
    entries = ScriptedEntries(one=[refused], two=[ACCEPTED])
    failure = create_client(entries).change(REQUEST).err()
    assert failure.kind is ApiFailureKind.UNAUTHORIZED
    assert len(entries.calls) == 1


def test_read_falls_back_to_next_entry():
    entries = ScriptedEntries(one=[RESPONSE_LOST], two=[(200, MembersReply(()))])
    read = create_client(entries).read("/v1/members", MembersReply)
    assert read.unwrap() == MembersReply(())
