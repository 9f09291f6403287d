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
RESPONSE_TIMEOUT_S = 30.0
# Seconds between two rounds over all entries.
RETRY_INTERVAL_S = 0.5
STATUS_UNAUTHORIZED = 401


class ApiFailureKind(enum.Enum):
    """Why there is no answer."""

    # No entry could be connected to, or none answered a question.
    UNREACHABLE = "unreachable"
    # The entry refused the token.
    UNAUTHORIZED = "unauthorized"
    # The entry refused the request itself.
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class ApiFailure:
    """No entry gave an answer."""

    kind: ApiFailureKind
    # What was asked, such as "GET /v1/members".
    call: str
    # The entry asked last.
    endpoint: str
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
    def call(self) -> str:
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
    http: httpx.Client
    # Seconds for which entries that cannot do a change now are asked again.
    retry_timeout_s: float
    clock: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = time.sleep
    # Told each endpoint that failed, and why.
    warn: Callable[[str], None] = field(default=lambda text: None)

    @classmethod
    def from_config(
        cls, endpoints: tuple[str, ...], token: str, retry_timeout_s: float
    ) -> "AdminClient":
        """A client that has sent nothing yet."""
        client = httpx.Client(
            headers={"authorization": f"Bearer {token}"},
            timeout=httpx.Timeout(RESPONSE_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            trust_env=False,
        )
        return cls(endpoints, client, retry_timeout_s)

    def read(
        self, path: str, reply_type: type[T], query: dict[str, str] | None = None
    ) -> Result[T, ApiFailure]:
        """Ask for something that changes nothing."""
        call = f"GET {path}"
        failure = ApiFailure(ApiFailureKind.UNREACHABLE, call, "", "no endpoint")
        for endpoint in self.endpoints:
            try:
                response = self.http.get(endpoint + path, params=query)
            except httpx.HTTPError as error:
                detail = _describe(error)
                failure = ApiFailure(ApiFailureKind.UNREACHABLE, call, endpoint, detail)
                self.warn(f"{endpoint}: {detail}")
                continue
            decoded = _decode(response, call, endpoint, reply_type)
            if isinstance(decoded, Ok):
                return decoded
            failure = decoded.err_value
            if failure.kind is ApiFailureKind.UNAUTHORIZED:
                break
        return Err(failure)

    def change(self, request: ChangeRequest) -> Result[ChangeReply, ApiFailure]:
        """Make a change once, over as many tries as it takes.

        A try whose answer was lost is followed by others with the same identity,
        which give the outcome of the first if it was made. So the reply is `UNKNOWN`
        only if no entry could tell.
        """
        deadline_s = self.clock() + self.retry_timeout_s
        may_be_applied = False
        while True:
            failure = ApiFailure(
                ApiFailureKind.UNREACHABLE, request.call, "", "no endpoint"
            )
            reply: ChangeReply | None = None
            for endpoint in self.endpoints:
                attempt = self._attempt_change(request, endpoint)
                if isinstance(attempt, Err):
                    failure, outcome_unknown = attempt.err_value
                    may_be_applied = may_be_applied or outcome_unknown
                    if failure.kind is not ApiFailureKind.UNREACHABLE:
                        break
                    continue
                reply = attempt.ok_value
                if reply.result is ChangeResult.UNKNOWN:
                    may_be_applied = True
                elif reply.result is not ChangeResult.NOT_DONE:
                    return Ok(reply)
            final = failure.kind is not ApiFailureKind.UNREACHABLE
            if final or self.clock() >= deadline_s:
                return _final_result(request, failure, reply, may_be_applied)
            self.sleep(RETRY_INTERVAL_S)

    def _attempt_change(
        self, request: ChangeRequest, endpoint: str
    ) -> Result[ChangeReply, tuple[ApiFailure, bool]]:
        """One try; an error tells whether the change may have been made."""
        outcome_unknown = True
        try:
            response = self.http.request(
                request.method,
                endpoint + request.path,
                params=request.query,
                content=request.body,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            outcome_unknown = False
            detail = _describe(error)
        except httpx.HTTPError as error:
            detail = _describe(error)
        else:
            decoded = _decode(response, request.call, endpoint, ChangeReply)
            if isinstance(decoded, Err):
                unusable = decoded.err_value.kind is ApiFailureKind.UNREACHABLE
                return Err((decoded.err_value, unusable and not request.dry_run))
            return decoded
        self.warn(f"{endpoint}: {detail}")
        failure = ApiFailure(ApiFailureKind.UNREACHABLE, request.call, endpoint, detail)
        return Err((failure, outcome_unknown and not request.dry_run))


def _final_result(
    request: ChangeRequest,
    failure: ApiFailure,
    reply: ChangeReply | None,
    may_be_applied: bool,
) -> Result[ChangeReply, ApiFailure]:
    if may_be_applied:
        reason = reply.reason if reply is not None else failure.detail
        unknown = ChangeResult.UNKNOWN
        return Ok(ChangeReply(unknown, request.operation_id, reason=reason))
    return Ok(reply) if reply is not None else Err(failure)


def _decode(
    response: httpx.Response, call: str, endpoint: str, reply_type: type[T]
) -> Result[T, ApiFailure]:
    try:
        return Ok(msgspec.json.decode(response.content, type=reply_type))
    except ValueError:
        pass
    try:
        error = msgspec.json.decode(response.content, type=ErrorReply)
    except ValueError:
        detail = f"status {response.status_code} and no answer of this API"
        return Err(ApiFailure(ApiFailureKind.UNREACHABLE, call, endpoint, detail))
    if response.status_code == STATUS_UNAUTHORIZED:
        failure = ApiFailureKind.UNAUTHORIZED
    elif response.is_server_error:
        failure = ApiFailureKind.UNREACHABLE
    else:
        failure = ApiFailureKind.REFUSED
    return Err(ApiFailure(failure, call, endpoint, error.detail))


def _describe(error: httpx.HTTPError) -> str:
    return f"{type(error).__name__}: {error}"
