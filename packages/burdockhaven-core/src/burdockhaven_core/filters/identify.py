"""First filter: verifies the assignment and derives the request id."""

from dataclasses import dataclass

from result import Err, Ok, Result

from burdockhaven_core.assignment import Assignment, read_assignment
from burdockhaven_core.identity import AccountName, RequestId, RunId
from burdockhaven_core.outcome import NotRun, NotRunReason

# Length limit of the keys chosen by callers.
MAX_KEY_CHARS = 128


@dataclass(frozen=True, slots=True)
class Identified:
    """A request whose assignment is authentic and issued to its account."""

    assignment: Assignment
    request_id: RequestId
    run_id: RunId


def identify(
    token: str, key: str, account: AccountName, secret: bytes
) -> Result[Identified, NotRun]:
    """Verify the assignment and return the request id, or refuse the request."""
    if not key or len(key) > MAX_KEY_CHARS:
        detail = f"the key must have 1 to {MAX_KEY_CHARS} characters"
        return Err(NotRun(NotRunReason.BAD_REQUEST, detail))
    read = read_assignment(token, secret)
    if isinstance(read, Err):
        detail = f"{read.err_value.detail}; look up an entry again"
        return Err(NotRun(NotRunReason.BAD_ASSIGNMENT, detail, retry_after_s=0.0))
    assignment = read.ok_value
    if assignment.account != account:
        detail = "the assignment belongs to another client account"
        return Err(NotRun(NotRunReason.BAD_ASSIGNMENT, detail))
    request_id = RequestId(assignment.nonce, key)
    return Ok(Identified(assignment, request_id, request_id.run_id))
