"""Exit codes of the command line, as listed in docs/OPERATORS.md."""

import enum

from burdockhaven_core.admin_messages import ChangeResult


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    # The command line, a file or the token is not usable.
    USAGE = 2
    # Another change was accepted first; read the new version and start over.
    CONFLICT = 3
    # No entry was reachable or able to make the change; nothing was changed.
    UNREACHABLE = 4
    # The change has faults; nothing was changed.
    INVALID = 5
    # The change may have been accepted; run the `operation` command.
    UNKNOWN = 6
    # The token was refused.
    UNAUTHORIZED = 7
    # The change was accepted but not in force on every entry before the time-out.
    NOT_IN_FORCE = 8


EXIT_CODE_BY_RESULT = {
    ChangeResult.ACCEPTED: ExitCode.OK,
    ChangeResult.VALID: ExitCode.OK,
    ChangeResult.CONFLICT: ExitCode.CONFLICT,
    ChangeResult.INVALID: ExitCode.INVALID,
    ChangeResult.NOT_DONE: ExitCode.UNREACHABLE,
    ChangeResult.UNKNOWN: ExitCode.UNKNOWN,
}
