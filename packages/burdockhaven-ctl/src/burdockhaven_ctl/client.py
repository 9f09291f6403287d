"""Client of the administration API at any of several entries."""

import enum
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

import httpx
import msgspec
from result import Err, Ok, Result

from burdockhaven_core.admin_messages import ChangeReply, ChangeResult, ErrorReply

T = TypeVar("T")

CONNECT_TIMEOUT_S = 2.0
# An entry may have to look for a lost answer for so long.
ANSWER_TIMEOUT_S = 30.0
# Seconds between two rounds over all entries.
RETRY_INTERVAL_S = 0.5
STATUS_UNAUTHORIZED = 401


class ProblemKind(enum.Enum):
    """Why there is no answer."""

    # No entry could be connected to, or none answered a question.
    UNREACHABLE = "unreachable"
    # The entry refused the token.
    UNAUTHORIZED = "unauthorized"
    # The entry refused the request itself.
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Problem:
    """No entry gave an answer."""

    kind: ProblemKind
    # What was asked, such as "GET /v1/members".
    step: str
    # The entry asked last.
    peer: str
    detail: str


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change as it goes to an entry; sent again with the same identity."""

    method: str
    path: str
    # JSON; None for a removal.
    body: bytes | None
    expected_version: int
    operation_id: str
    operator: str
    dry_run: bool

    @property
    def step(self) -> str:
        """What is asked, for messages."""
        return f"{self.method} {self.path}"

    @property
    def query(self) -> dict[str, str]:
        """Parameters of the URL."""
        return {
            "expected_version": str(self.expected_version),
            "operation_id": self.operation_id,
            "operator": self.operator,
            "dry_run": "true" if self.dry_run else "false",
        }


@dataclass(slots=True)
class AdminClient:
    """Asks one entry after the other until one answers."""

    # Base URLs of administration addresses, the preferred one first.
    endpoints: tuple[str, ...]
    client: httpx.Client
    # Seconds for which entries that cannot do a change now are asked again.
    patience_s: float
    clock: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = time.sleep
    # Told each endpoint that failed, and why.
    warn: Callable[[str], None] = field(default=lambda text: None)

    @classmethod
    def from_config(
        cls, endpoints: tuple[str, ...], token: str, patience_s: float
    ) -> "AdminClient":
        """A client that has sent nothing yet."""
        client = httpx.Client(
            headers={"authorization": f"Bearer {token}"},
            timeout=httpx.Timeout(ANSWER_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            trust_env=False,
        )
        return cls(endpoints, client, patience_s)

    def read(
        self, path: str, kind: type[T], query: dict[str, str] | None = None
    ) -> Result[T, Problem]:
        """Ask for something that changes nothing."""
        step = f"GET {path}"
        problem = Problem(ProblemKind.UNREACHABLE, step, "", "no endpoint")
        for endpoint in self.endpoints:
            try:
                response = self.client.get(endpoint + path, params=query)
            except httpx.HTTPError as error:
                detail = _describe(error)
                problem = Problem(ProblemKind.UNREACHABLE, step, endpoint, detail)
                self.warn(f"{endpoint}: {detail}")
                continue
            decoded = _decode(response, step, endpoint, kind)
            if isinstance(decoded, Ok):
                return decoded
            problem = decoded.err_value
            if problem.kind is ProblemKind.UNAUTHORIZED:
                break
        return Err(problem)

    def change(self, request: ChangeRequest) -> Result[ChangeReply, Problem]:
        """Make a change once, over as many tries as it takes.

        A try whose answer was lost is followed by others with the same identity,
        which give the outcome of the first if it was made. So the reply is `UNKNOWN`
        only if no entry could tell.
        """
        until = self.clock() + self.patience_s
        may_be_made = False
        while True:
            problem = Problem(ProblemKind.UNREACHABLE, request.step, "", "no endpoint")
            reply: ChangeReply | None = None
            for endpoint in self.endpoints:
                tried = self._try(request, endpoint)
                if isinstance(tried, Err):
                    problem, lost = tried.err_value
                    may_be_made = may_be_made or lost
                    if problem.kind is not ProblemKind.UNREACHABLE:
                        break
                    continue
                reply = tried.ok_value
                if reply.result is ChangeResult.UNKNOWN:
                    may_be_made = True
                elif reply.result is not ChangeResult.NOT_DONE:
                    return Ok(reply)
            final = problem.kind is not ProblemKind.UNREACHABLE
            if final or self.clock() >= until:
                return _give_up(request, problem, reply, may_be_made)
            self.sleep(RETRY_INTERVAL_S)

    def _try(
        self, request: ChangeRequest, endpoint: str
    ) -> Result[ChangeReply, tuple[Problem, bool]]:
        """One try; an error tells whether the change may have been made."""
        lost = True
        try:
            response = self.client.request(
                request.method,
                endpoint + request.path,
                params=request.query,
                content=request.body,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            lost = False
            detail = _describe(error)
        except httpx.HTTPError as error:
            detail = _describe(error)
        else:
            decoded = _decode(response, request.step, endpoint, ChangeReply)
            if isinstance(decoded, Err):
                unusable = decoded.err_value.kind is ProblemKind.UNREACHABLE
                return Err((decoded.err_value, unusable and not request.dry_run))
            return decoded
        self.warn(f"{endpoint}: {detail}")
        problem = Problem(ProblemKind.UNREACHABLE, request.step, endpoint, detail)
        return Err((problem, lost and not request.dry_run))


def _give_up(
    request: ChangeRequest,
    problem: Problem,
    reply: ChangeReply | None,
    may_be_made: bool,
) -> Result[ChangeReply, Problem]:
    if may_be_made:
        reason = reply.reason if reply is not None else problem.detail
        unknown = ChangeResult.UNKNOWN
        return Ok(ChangeReply(unknown, request.operation_id, reason=reason))
    return Ok(reply) if reply is not None else Err(problem)


def _decode(
    response: httpx.Response, step: str, endpoint: str, kind: type[T]
) -> Result[T, Problem]:
    try:
        return Ok(msgspec.json.decode(response.content, type=kind))
    except ValueError:
        pass
    try:
        error = msgspec.json.decode(response.content, type=ErrorReply)
    except ValueError:
        detail = f"status {response.status_code} and no answer of this API"
        return Err(Problem(ProblemKind.UNREACHABLE, step, endpoint, detail))
    if response.status_code == STATUS_UNAUTHORIZED:
        problem = ProblemKind.UNAUTHORIZED
    elif response.is_server_error:
        problem = ProblemKind.UNREACHABLE
    else:
        problem = ProblemKind.REFUSED
    return Err(Problem(problem, step, endpoint, error.detail))


def _describe(error: httpx.HTTPError) -> str:
    return f"{type(error).__name__}: {error}"
