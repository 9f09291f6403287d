"""The command line's grammar."""

import argparse
from pathlib import Path

ENDPOINT_VARIABLE = "BURDOCKHAVEN_ENDPOINTS"
TOKEN_VARIABLE = "BURDOCKHAVEN_OPERATOR_TOKEN"
DEFAULT_RETRY_TIMEOUT_S = 15.0
CURRENT_VERSION = "current"


def build_parser() -> argparse.ArgumentParser:
    """The parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="burdockhaven-ctl",
        description="Publish the configuration of burdockhaven and see what is in "
        "force. Exit codes: 0 done, 2 usage, 3 conflict, 4 unreachable, 5 invalid, "
        "6 outcome unknown, 7 unauthorized, 8 not in force everywhere in time.",
    )
    parser.add_argument(
        "--endpoint",
        action="append",
        default=[],
        help="base URL of an entry's administration address; give several to have the "
        f"next one asked when one fails (or set {ENDPOINT_VARIABLE}, with spaces)",
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
        help="how long a change that cannot be made now is tried again",
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
        help="the version that you have seen; the change is refused if there is a "
        f"newer one ({CURRENT_VERSION!r}: the one in force when the command starts)",
    )
    parser.add_argument(
        "--operation-id",
        help="identity of the change; give that of an earlier try to ask again",
    )
    parser.add_argument("--operator", help="your name, for the history")
    parser.add_argument(
        "--dry-run", action="store_true", help="check the change and make none"
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
    commands.add_parser("show", help="show what is in force, and on how many entries")
    history = commands.add_parser("history", help="show the last changes")
    history.add_argument("--limit", type=int, default=20)
    operation = commands.add_parser(
        "operation", help="find out what became of a change whose answer was lost"
    )
    operation.add_argument("operation_id")
    operation.add_argument("--expected-version", required=True, type=int)
    explain = commands.add_parser(
        "explain", help="find out from saved logs why a request ended as it did"
    )
    explain.add_argument("request", help="identity of the client's try")
    explain.add_argument("log", type=Path, nargs="+", help="saved logs of the entries")
    commands.add_parser("members", help="show the entries")
    commands.add_parser("targets", help="show the targets as one entry sees them")
    commands.add_parser("floors", help="show the lowest tier that each group admits")
    commands.add_parser("queues", help="show the requests that wait at one entry")


def _parse_version(text: str) -> int | None:
    """The number; None for the version in force."""
    if text == CURRENT_VERSION:
        return None
    if text.isascii() and text.isdigit():
        return int(text)
    raise argparse.ArgumentTypeError(
        f"{text!r} is neither a number nor {CURRENT_VERSION!r}"
    )
