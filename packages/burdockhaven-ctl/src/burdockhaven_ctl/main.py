"""Commands of the command line."""

import argparse
import getpass
import os
import sys
import uuid
from collections.abc import Mapping
from pathlib import Path
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from burdockhaven_core.admin_messages import (
    ChangeReply,
    ChangeResult,
    ConfigurationReply,
    FloorsReply,
    HistoryReply,
    MembersReply,
    QueuesReply,
    TargetsReply,
)
from burdockhaven_core.configuration import AccountParameters, Template
from burdockhaven_core.configuration_check import Fault
from burdockhaven_core.configuration_codec import decode_account, decode_template
from burdockhaven_ctl.client import (
    RETRY_INTERVAL_S,
    AdminClient,
    ApiFailure,
    ApiFailureKind,
    ChangeRequest,
)
from burdockhaven_ctl.exit_codes import EXIT_CODE_BY_RESULT, ExitCode
from burdockhaven_ctl.explain import explain
from burdockhaven_ctl.options import (
    ENDPOINT_VARIABLE,
    TOKEN_VARIABLE,
    build_parser,
)
from burdockhaven_ctl.render import Reply, render_json, render_table
from burdockhaven_ctl.saved_log import SavedLog
from burdockhaven_ctl.where import run_where

EXIT_CODE_BY_FAILURE = {
    ApiFailureKind.UNREACHABLE: ExitCode.UNREACHABLE,
    ApiFailureKind.UNAUTHORIZED: ExitCode.UNAUTHORIZED,
    ApiFailureKind.REFUSED: ExitCode.USAGE,
}
READ_COMMANDS: dict[str, tuple[str, type[Reply]]] = {
    "show": ("/v1/configuration", ConfigurationReply),
    "members": ("/v1/members", MembersReply),
    "targets": ("/v1/targets", TargetsReply),
    "floors": ("/v1/floors", FloorsReply),
    "queues": ("/v1/queues", QueuesReply),
}


def main(arguments: list[str] | None = None) -> int:
    """Run one command; return its exit code."""
    options = build_parser().parse_args(arguments)
    if options.command == "explain":
        return run_explain(options)
    if options.command == "where":
        return run_where(options)
    built = build_client(options, os.environ)
    if isinstance(built, Err):
        print(built.err_value, file=sys.stderr)
        return ExitCode.USAGE
    client = built.ok_value
    with client.http:
        return run_command(options, client)


def run_explain(options: argparse.Namespace) -> int:
    """Explain a request from saved logs, without a call to any entry."""
    try:
        log = SavedLog.from_files(options.log)
    except OSError as error:
        print(error, file=sys.stderr)
        return ExitCode.USAGE
    explanation = explain(options.request, log)
    if explanation is None:
        print(
            f"none of {len(log.lines)} log events names request {options.request} "
            f"({log.unreadable} other lines are not log events)",
            file=sys.stderr,
        )
        return ExitCode.INVALID
    if options.output == "json":
        print(msgspec.json.encode(explanation).decode())
        return ExitCode.OK
    print(f"request {explanation.request}")
    for attempt in explanation.tries:
        print(f"  {attempt}")
    for finding in explanation.findings:
        print(f"  - {finding}")
    return ExitCode.OK


def build_client(
    options: argparse.Namespace, environ: Mapping[str, str]
) -> Result[AdminClient, str]:
    """Create the client from the options and the environment."""
    endpoints = options.endpoint or environ.get(ENDPOINT_VARIABLE, "").split()
    if not endpoints:
        return Err(f"give --endpoint or set {ENDPOINT_VARIABLE}")
    token = environ.get(TOKEN_VARIABLE, "")
    if options.token_file is not None:
        try:
            token = options.token_file.read_text().strip()
        except OSError as error:
            return Err(f"token file: {error}")
    if not token:
        return Err(f"give --token-file or set {TOKEN_VARIABLE}")
    addresses = tuple(endpoint.rstrip("/") for endpoint in endpoints)
    client = AdminClient.from_config(addresses, token, options.patience)
    client.warn = lambda text: print(text, file=sys.stderr)
    return Ok(client)


def run_command(options: argparse.Namespace, client: AdminClient) -> int:
    """Run the command that the options name."""
    match options.command:
        case "template" | "account" if options.verb == "show":
            return _print_item(options, client)
        case "template" | "account":
            return _change_item(options, client)
        case "history":
            query = {"limit": str(options.limit)}
            return _print_reply(
                options, client.read("/v1/history", HistoryReply, query)
            )
        case "operation":
            return _print_operation(options, client)
        case command:
            path, reply_type = READ_COMMANDS[command]
            return _print_reply(options, client.read(path, reply_type))


def _print_reply(options: argparse.Namespace, read: Result[Reply, ApiFailure]) -> int:
    if isinstance(read, Err):
        return _report_failure(read.err_value)
    _print_formatted(options, read.ok_value)
    return ExitCode.OK


def _print_operation(options: argparse.Namespace, client: AdminClient) -> int:
    query = {"expected_version": str(options.expected_version)}
    path = f"/v1/operations/{quote(options.operation_id, safe='')}"
    read = client.read(path, ChangeReply, query)
    if isinstance(read, Err):
        return _report_failure(read.err_value)
    _print_formatted(options, read.ok_value)
    return EXIT_CODE_BY_RESULT[read.ok_value.result]


def _print_item(options: argparse.Namespace, client: AdminClient) -> int:
    read = client.read("/v1/configuration", ConfigurationReply)
    if isinstance(read, Err):
        return _report_failure(read.err_value)
    found: Template | AccountParameters | None
    if options.command == "template":
        found = read.ok_value.templates.get(options.name)
    else:
        accounts = {str(k): v for k, v in read.ok_value.accounts.items()}
        found = accounts.get(options.name)
    if found is None:
        print(f"no such {options.command}: {options.name}", file=sys.stderr)
        return ExitCode.INVALID
    print(msgspec.json.format(msgspec.json.encode(found), indent=2).decode())
    return ExitCode.OK


def _change_item(options: argparse.Namespace, client: AdminClient) -> int:
    item = _read_item(options)
    if isinstance(item, Err):
        code, text = item.err_value
        print(text, file=sys.stderr)
        return code
    name, body = item.ok_value
    expected = options.expected_version
    if expected is None:
        read = client.read("/v1/configuration", ConfigurationReply)
        if isinstance(read, Err):
            return _report_failure(read.err_value)
        expected = read.ok_value.in_force.version
    request = ChangeRequest(
        method="DELETE" if body is None else "PUT",
        path=f"/v1/{options.command}s/{quote(name, safe='')}",
        body=body,
        expected_version=expected,
        operation_id=options.operation_id or uuid.uuid4().hex,
        operator=options.operator or _current_user(),
        dry_run=options.dry_run,
    )
    changed = client.change(request)
    if isinstance(changed, Err):
        return _report_failure(changed.err_value)
    reply = changed.ok_value
    if reply.result is ChangeResult.ACCEPTED and options.wait > 0:
        reply = _wait_until_in_force(client, reply, options.wait)
    _print_formatted(options, reply)
    if reply.result is ChangeResult.UNKNOWN:
        print(_unknown_outcome_advice(request), file=sys.stderr)
    if options.wait > 0 and not _is_in_force_everywhere(reply):
        return ExitCode.NOT_IN_FORCE
    return EXIT_CODE_BY_RESULT[reply.result]


def _read_item(
    options: argparse.Namespace,
) -> Result[tuple[str, bytes | None], tuple[ExitCode, str]]:
    """Return name and JSON of the item; the JSON is None for a deletion."""
    if options.verb == "delete":
        return Ok((options.name, None))
    path: Path = options.file
    try:
        body = path.read_bytes()
    except OSError as error:
        return Err((ExitCode.USAGE, str(error)))
    if options.command == "template":
        template = decode_template(body)
        if isinstance(template, Err):
            return Err((ExitCode.INVALID, _format_fault(path, template.err_value)))
        return Ok((template.ok_value.name, body))
    account = decode_account(body)
    if isinstance(account, Err):
        return Err((ExitCode.INVALID, _format_fault(path, account.err_value)))
    return Ok((account.ok_value.account, body))


def _wait_until_in_force(
    client: AdminClient, reply: ChangeReply, seconds: float
) -> ChangeReply:
    """Wait until the version is in force everywhere; return the updated reply."""
    deadline_s = client.clock() + seconds
    while not _is_in_force_everywhere(reply) and client.clock() < deadline_s:
        client.sleep(RETRY_INTERVAL_S)
        read = client.read("/v1/members", MembersReply)
        if isinstance(read, Ok):
            reply = _with_rollout(reply, read.ok_value)
    return reply


def _with_rollout(reply: ChangeReply, members: MembersReply) -> ChangeReply:
    assert reply.in_force is not None
    live = [member for member in members.members if member.state != "silent"]
    current = sum(member.config_version >= reply.version for member in live)
    rollout = msgspec.structs.replace(reply.in_force, on=current, of=len(live))
    return msgspec.structs.replace(reply, in_force=rollout)


def _is_in_force_everywhere(reply: ChangeReply) -> bool:
    rollout = reply.in_force
    return rollout is None or rollout.on >= rollout.of


def _print_formatted(options: argparse.Namespace, reply: Reply) -> None:
    render = render_json if options.output == "json" else render_table
    print(render(reply))


def _report_failure(failure: ApiFailure) -> int:
    location = f" at {failure.endpoint}" if failure.endpoint else ""
    print(
        f"{failure.kind.value}: {failure.call}{location}: {failure.detail}",
        file=sys.stderr,
    )
    return EXIT_CODE_BY_FAILURE[failure.kind]


def _format_fault(path: Path, fault: Fault) -> str:
    return f"{path}: {fault.path}: {fault.seen}; allowed: {fault.allowed}"


def _unknown_outcome_advice(request: ChangeRequest) -> str:
    return (
        "The change may have been accepted. Run the same command with "
        f"--expected-version {request.expected_version} "
        f"--operation-id {request.operation_id} to retry it safely, or "
        f"`operation {request.operation_id} --expected-version "
        f"{request.expected_version}` to see the outcome."
    )


def _current_user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


if __name__ == "__main__":
    sys.exit(main())
