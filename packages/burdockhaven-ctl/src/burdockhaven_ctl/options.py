"""Options and commands of the command line."""

import argparse
from pathlib import Path

ENDPOINT_VARIABLE = "BURDOCKHAVEN_ENDPOINTS"
TOKEN_VARIABLE = "BURDOCKHAVEN_OPERATOR_TOKEN"
DEFAULT_RETRY_TIMEOUT_S = 15.0
CURRENT_VERSION = "current"


def build_parser() -> argparse.ArgumentParser:
    """Create the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="burdockhaven-ctl",
        description="Publish the configuration of burdockhaven and inspect its state. "
        "Exit codes: 0 success, 2 usage, 3 conflict, 4 unreachable, 5 invalid, "
        "6 outcome unknown, 7 unauthorized, 8 not in force everywhere in time.",
    )
    parser.add_argument(
        "--endpoint",
        action="append",
        default=[],
        help="base URL of an entry's administration address; repeat the option to add "
        f"fallbacks (or set {ENDPOINT_VARIABLE}, separated by spaces)",
    )
    parser.add_argument(
        "--token-file",
        type=Path,
        help=f"file with the operators' token (or set {TOKEN_VARIABLE})",
    )
    parser.add_argument("--output", choices=("table", "json"), default="table")
    parser.add_argument(
        "--patience",
        type=float,
        default=DEFAULT_RETRY_TIMEOUT_S,
        metavar="SECONDS",
        help="how long to retry a change that no entry can make now",
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for noun in ("template", "account"):
        _add_item_commands(commands, noun)
    _add_read_commands(commands)
    return parser


def _add_item_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]", noun: str
) -> None:
    item = commands.add_parser(noun, help=f"change or show a {noun}")
    verbs = item.add_subparsers(dest="verb", required=True)
    put = verbs.add_parser("put", help=f"add or replace a {noun}")
    put.add_argument("file", type=Path, help="JSON file")
    remove = verbs.add_parser("delete", help=f"remove a {noun}")
    remove.add_argument("name")
    for change_parser in (put, remove):
        _add_change_options(change_parser)
    show = verbs.add_parser("show", help=f"print a {noun} as JSON")
    show.add_argument("name")


def _add_change_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--expected-version",
        required=True,
        type=_parse_version,
        help="version that the change is based on; the change is refused if there is a "
        f"newer one ({CURRENT_VERSION!r}: the one in force when the command starts)",
    )
    parser.add_argument(
        "--operation-id",
        help="identity of the change; give that of an earlier attempt to retry it",
    )
    parser.add_argument("--operator", help="your name, for the history")
    parser.add_argument(
        "--dry-run", action="store_true", help="validate the change without making it"
    )
    parser.add_argument(
        "--wait",
        type=float,
        default=0.0,
        metavar="SECONDS",
        help="wait until the change is in force on every entry",
    )


def _add_read_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    commands.add_parser(
        "show", help="show the configuration in force and on how many entries"
    )
    history = commands.add_parser("history", help="show the latest changes")
    history.add_argument("--limit", type=int, default=20)
    operation = commands.add_parser(
        "operation", help="show the outcome of a change whose response was lost"
    )
    operation.add_argument("operation_id")
    operation.add_argument("--expected-version", required=True, type=int)
    explain = commands.add_parser(
        "explain", help="explain the outcome of a request from saved logs"
    )
    explain.add_argument("request", help="identity of the client's attempt")
    explain.add_argument("log", type=Path, nargs="+", help="saved logs of the entries")
    _add_where_command(commands)
    commands.add_parser("members", help="show the entries")
    commands.add_parser("targets", help="show the targets as one entry sees them")
    commands.add_parser("floors", help="show the lowest tier that each group admits")
    commands.add_parser("queues", help="show the requests that are queued at one entry")


def _add_where_command(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    where = commands.add_parser(
        "where", help="explain where a request would go now, without sending it"
    )
    where.add_argument("control", help="control address of any entry, host:port")
    where.add_argument("host", help="host of the request")
    where.add_argument("path", help="path of the request")
    where.add_argument("--account", default="", help="name of the client account")
    where.add_argument("--prompt-tokens", type=int, default=0)
    where.add_argument("--output-tokens", type=int, default=0, help="at most")
    where.add_argument("--expected-tokens", type=int, default=0, help="of the output")
    where.add_argument(
        "--parts", default="", help="parts of the prompt, as ID:TOKENS,ID:TOKENS"
    )
    where.add_argument("--version", default="", help="software version it needs")
    where.add_argument("--zone", help="availability zone of the entry that it reaches")


def _parse_version(text: str) -> int | None:
    """Parse a version number; return None for the version in force."""
    if text == CURRENT_VERSION:
        return None
    if text.isascii() and text.isdigit():
        return int(text)
    raise argparse.ArgumentTypeError(
        f"{text!r} is neither a number nor {CURRENT_VERSION!r}"
    )
