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


class Server:
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
def test_the_exit_code_tells_what_became_of_a_change(template, result, code):
    server = Server(ChangeReply(result, "op"))
    arguments = ("template", "put", template, "--expected-version", "3")
    assert run(server, *arguments) == code
    (request,) = server.requests
    assert request.url.path == "/v1/templates/site"
    assert request.url.params["expected_version"] == "3"
    assert len(request.url.params["operation_id"]) == 32


def test_the_current_version_is_read_first(template):
    server = Server(ChangeReply(ChangeResult.ACCEPTED, "op", 4))
    run(server, "template", "put", template, "--expected-version", "current")
    assert server.requests[-1].url.params["expected_version"] == "3"


@pytest.mark.parametrize(
    ("version", "code"), [(4, ExitCode.OK), (3, ExitCode.NOT_IN_FORCE)]
)
def test_waiting_ends_when_each_entry_has_the_version(template, version, code):
    accepted = ChangeReply(ChangeResult.ACCEPTED, "op", 4, InForceReply(4, 1, 2))
    member = msgspec.structs.replace(MEMBER, config_version=version)
    silent = msgspec.structs.replace(MEMBER, state="silent", config_version=0)
    server = Server(accepted, (MEMBER, member, silent))
    arguments = ("template", "put", template, "--expected-version", "3")
    assert run(server, *arguments, "--wait", "5") == code


def test_a_name_cannot_change_the_path():
    server = Server(ChangeReply(ChangeResult.INVALID, "op"))
    name = "a/../b?expected_version=9#c"
    run(server, "template", "delete", name, "--expected-version", "3")
    (request,) = server.requests
    assert request.url.raw_path.startswith(b"/v1/templates/a%2F..%2Fb%3Fexpected")
    assert request.url.params["expected_version"] == "3"


def test_an_unknown_outcome_tells_how_to_ask_again(template, capsys):
    server = Server(ChangeReply(ChangeResult.UNKNOWN, "op"))
    arguments = ("--expected-version", "3", "--operation-id", "my-operation")
    run(server, "template", "put", template, *arguments)
    assert "--operation-id my-operation" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("body", "code"),
    [(b"{", ExitCode.INVALID), (b'{"nam": 1}', ExitCode.INVALID), (None, 2)],
)
def test_a_bad_file_is_told_before_anything_is_sent(tmp_path, body, code):
    path = tmp_path / "template.json"
    if body is not None:
        path.write_bytes(body)
    server = Server()
    arguments = ("template", "put", str(path), "--expected-version", "3")
    assert run(server, *arguments) == code
    assert server.requests == []


def test_members_are_shown_as_a_table_or_json(capsys):
    assert run(Server(), "members") == ExitCode.OK
    header, line = capsys.readouterr().out.splitlines()
    assert header.split()[:2] == ["entry", "incarnation"]
    assert line.split()[0] == "e1"
    run(Server(), "--output", "json", "members")
    assert json.loads(capsys.readouterr().out)["members"][0]["entry"] == "e1"


def test_one_template_is_shown(capsys):
    assert run(Server(), "template", "show", "site") == ExitCode.OK
    assert json.loads(capsys.readouterr().out)["name"] == "site"
    assert run(Server(), "template", "show", "other") == ExitCode.INVALID


def test_endpoints_and_token_come_from_options_or_environment(tmp_path):
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
    assert built.client.headers["authorization"] == "Bearer from-file"
    assert built.endpoints == ("http://c",)
