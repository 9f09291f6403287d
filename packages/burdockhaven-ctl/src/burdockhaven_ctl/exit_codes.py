"""Exit codes of the command line; docs/OPERATORS.md lists them."""

import enum

from burdockhaven_core.admin_messages import ChangeResult


class ExitCode(enum.IntEnum):
    """What a script learns from a command."""

    OK = 0
    # The command line, a file or the token is not as it has to be.
    USAGE = 2
    # Another change was made to the expected version; read it and start over.
    CONFLICT = 3
    # No entry could be reached or could do it now; nothing was changed.
    UNREACHABLE = 4
    # The change has faults; nothing was changed.
    INVALID = 5
    # The change may have been made; run the `operation` command.
    UNKNOWN = 6
    # The token was refused.
    UNAUTHORIZED = 7
    # The change is accepted but not in force on every entry within the time given.
    NOT_IN_FORCE = 8


EXIT_CODE_BY_RESULT = {
    ChangeResult.ACCEPTED: ExitCode.OK,
    ChangeResult.VALID: ExitCode.OK,
    ChangeResult.CONFLICT: ExitCode.CONFLICT,
    ChangeResult.INVALID: ExitCode.INVALID,
    ChangeResult.NOT_DONE: ExitCode.UNREACHABLE,
    ChangeResult.UNKNOWN: ExitCode.UNKNOWN,
}
