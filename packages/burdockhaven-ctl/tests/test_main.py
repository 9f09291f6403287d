"""Commands of the command line and their exit codes."""

import json

import httpx
import msgspec
import pytest

from burdockhaven_core.admin_messages import (
    ChangeReply,
    ChangeResult,
    ConfigurationReply,
    InForceReply,
    MemberReport,
    MembersReply,
)
from burdockhaven_core.configuration_codec import encode_json
from burdockhaven_ctl import main as command_line
from burdockhaven_ctl.client import AdminClient
from burdockhaven_ctl.exit_codes import ExitCode
from burdockhaven_ctl.options import build_parser
from burdockhaven_standins.samples import CONFIGURATION, TEMPLATE

MEMBER = MemberReport("e1", "i", "z", "c:1", "p:1", "ready", 4, 0)
IN_FORCE = ConfigurationReply(
    InForceReply(3, 2, 2), CONFIGURATION.templates, CONFIGURATION.accounts
)


class ScriptedEntry:
    """One entry that gives the reply to each change."""

    def __init__(self, change=None, members=(MEMBER,)):
        self.change = change
        self.members = members
        self.requests = []

    def __call__(self, request):
        self.requests.append(request)
        if request.url.path == "/v1/configuration":
            return self.reply(IN_FORCE)
        if request.url.path == "/v1/members":
            return self.reply(MembersReply(self.members))
        return self.reply(self.change)

    def reply(self, value):
        return httpx.Response(200, content=msgspec.json.encode(value))


def run(server, *arguments):
    options = build_parser().parse_args(arguments)
    transport = httpx.MockTransport(server)
    clock = iter(range(1000))
    client = AdminClient(
        ("http://e1",),
        httpx.Client(transport=transport),
        0.0,
        clock=lambda: next(clock),
        sleep=lambda seconds: None,
    )
    return command_line.run_command(options, client)


@pytest.fixture
def template(tmp_path):
    path = tmp_path / "template.json"
    path.write_bytes(encode_json(TEMPLATE))
    return str(path)


@pytest.mark.parametrize(
    ("result", "code"),
    [
        (ChangeResult.ACCEPTED, ExitCode.OK),
        (ChangeResult.VALID, ExitCode.OK),
        (ChangeResult.CONFLICT, ExitCode.CONFLICT),
        (ChangeResult.NOT_DONE, ExitCode.UNREACHABLE),
        (ChangeResult.INVALID, ExitCode.INVALID),
        (ChangeResult.UNKNOWN, ExitCode.UNKNOWN),
    ],
)
def test_exit_code_matches_change_result(template, result, code):
    server = ScriptedEntry(ChangeReply(result, "op"))
    arguments = ("template", "put", template, "--expected-version", "3")
    assert run(server, *arguments) == code
    (request,) = server.requests
    assert request.url.path == "/v1/templates/site"
    assert request.url.params["expected_version"] == "3"
    assert len(request.url.params["operation_id"]) == 32


def test_current_version_is_read_before_change(template):
    server = ScriptedEntry(ChangeReply(ChangeResult.ACCEPTED, "op", 4))
    run(server, "template", "put", template, "--expected-version", "current")
    assert server.requests[-1].url.params["expected_version"] == "3"


@pytest.mark.parametrize(
    ("version", "code"), [(4, ExitCode.OK), (3, ExitCode.NOT_IN_FORCE)]
)
def test_wait_ends_when_version_is_in_force_on_live_entries(template, version, code):
    accepted = ChangeReply(ChangeResult.ACCEPTED, "op", 4, InForceReply(4, 1, 2))
    member = msgspec.structs.replace(MEMBER, config_version=version)
    silent = msgspec.structs.replace(MEMBER, state="silent", config_version=0)
    server = ScriptedEntry(accepted, (MEMBER, member, silent))
    arguments = ("template", "put", template, "--expected-version", "3")
    assert run(server, *arguments, "--wait", "5") == code


def test_item_name_is_quoted_in_path():
    server = ScriptedEntry(ChangeReply(ChangeResult.INVALID, "op"))
    name = "a/../b?expected_version=9#c"
    run(server, "template", "delete", name, "--expected-version", "3")
    (request,) = server.requests
    assert request.url.raw_path.startswith(b"/v1/templates/a%2F..%2Fb%3Fexpected")
    assert request.url.params["expected_version"] == "3"


def test_unknown_outcome_prints_retry_command(template, capsys):
    server = ScriptedEntry(ChangeReply(ChangeResult.UNKNOWN, "op"))
    arguments = ("--expected-version", "3", "--operation-id", "my-operation")
    run(server, "template", "put", template, *arguments)
    assert "--operation-id my-operation" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("body", "code"),
    [(b"{", ExitCode.INVALID), (b'{"nam": 1}', ExitCode.INVALID), (None, 2)],
)
def test_invalid_file_is_reported_before_any_request(tmp_path, body, code):
    path = tmp_path / "template.json"
    if body is not None:
        path.write_bytes(body)
    server = ScriptedEntry()
    arguments = ("template", "put", str(path), "--expected-version", "3")
    assert run(server, *arguments) == code
    assert server.requests == []


def test_members_are_printed_as_table_or_json(capsys):
    assert run(ScriptedEntry(), "members") == ExitCode.OK
    header, line = capsys.readouterr().out.splitlines()
    assert header.split()[:2] == ["entry", "incarnation"]
    assert line.split()[0] == "e1"
    run(ScriptedEntry(), "--output", "json", "members")
    assert json.loads(capsys.readouterr().out)["members"][0]["entry"] == "e1"


def test_template_show_prints_one_template(capsys):
    assert run(ScriptedEntry(), "template", "show", "site") == ExitCode.OK
    assert json.loads(capsys.readouterr().out)["name"] == "site"
    assert run(ScriptedEntry(), "template", "show", "other") == ExitCode.INVALID


def test_endpoints_and_token_are_read_from_options_or_environment(tmp_path):
    options = build_parser().parse_args(["members"])
    assert command_line.build_client(options, {}).is_err()
    environ = {"BURDOCKHAVEN_ENDPOINTS": "http://a http://b/"}
    assert command_line.build_client(options, environ).is_err()
    environ["BURDOCKHAVEN_OPERATOR_TOKEN"] = "secret"
    built = command_line.build_client(options, environ).unwrap()
    assert built.endpoints == ("http://a", "http://b")
    token = tmp_path / "token"
    token.write_text("from-file\n")
    arguments = ["--token-file", str(token), "--endpoint", "http://c", "members"]
    options = build_parser().parse_args(arguments)
    built = command_line.build_client(options, environ).unwrap()
    assert built.http.headers["authorization"] == "Bearer from-file"
    assert built.endpoints == ("http://c",)
