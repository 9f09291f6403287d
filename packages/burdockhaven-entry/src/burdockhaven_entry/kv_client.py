"""Client of the platform's key-value service.

Every call passes a rate limiter. A failed call is classified by whether it may have
taken effect.
"""

import asyncio
import random
import time
from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import TypeVar

import httpx
from result import Err, Ok, Result

from burdockhaven_core.key_value import (
    CallResult,
    Command,
    GrantLease,
    KeepLeaseAlive,
    KeyValueSteps,
    Range,
    ReadMany,
    RevokeLease,
    Transaction,
    WatchEvent,
)
from burdockhaven_core.key_value_failure import FailureKind, KeyValueFailure
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_entry.call_limits import Backoff, CallRateLimiter
from burdockhaven_entry.kv_wire import (
    decode_answer,
    decode_watch_line,
    encode_command,
    encode_watch,
)
from burdockhaven_entry.log_events import log

T = TypeVar("T")

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 3.0
# Seconds without data after which a watch is reopened: its connection may be dead.
WATCH_IDLE_TIMEOUT_S = 30.0
MAX_CONNECTIONS = 4

KIND_BY_COMMAND: dict[type, str] = {
    Range: "range",
    ReadMany: "range",
    Transaction: "txn",
    GrantLease: "lease_grant",
    KeepLeaseAlive: "lease_keepalive",
    RevokeLease: "lease_revoke",
}
WATCH_KIND = "watch"
RATE_LIMITED = "call rate limit exceeded"


@dataclass(slots=True)
class KvClient:
    """HTTP client of the key-value service; one per daemon."""

    # Base URL of the service.
    base_url: str
    client: httpx.AsyncClient
    rate_limiter: CallRateLimiter
    backoff: Backoff
    # Returns monotonic seconds.
    clock: Callable[[], float] = time.monotonic
    # Failures since the start, by kind of call and kind of failure.
    failures: dict[tuple[str, FailureKind], int] = field(default_factory=dict)
    # Called with the kind of each call before it is sent.
    on_call: Callable[[str], None] = lambda kind: None
    # Monotonic time of the first failure of the outage; None while calls succeed.
    outage_since_s: float | None = None
    # Sleeps for a number of seconds.
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep

    @classmethod
    def from_url(cls, url: str, rng: random.Random) -> "KvClient":
        """Create a client for the base URL; nothing is sent yet."""
        client = httpx.AsyncClient(
            base_url=url,
            timeout=httpx.Timeout(CALL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            limits=httpx.Limits(max_connections=MAX_CONNECTIONS),
            trust_env=False,
        )
        return cls(url, client, CallRateLimiter(), Backoff(rng))

    async def close(self) -> None:
        """Close all connections."""
        await self.client.aclose()

    async def call(self, command: Command) -> CallResult:
        """Make one call.

        A call whose answer was lost fails as `AMBIGUOUS`. Only a call of which no byte
        was sent fails as `NOT_DONE`.
        """
        kind = KIND_BY_COMMAND[type(command)]
        if not self.rate_limiter.try_acquire(kind, self.clock()):
            return self._record_failure(FailureKind.NOT_DONE, kind, RATE_LIMITED)
        self.on_call(kind)
        path, body = encode_command(command)
        try:
            response = await self.client.post(path, json=body)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            return self._record_failure(FailureKind.NOT_DONE, kind, _describe(error))
        except httpx.HTTPError as error:
            return self._record_failure(FailureKind.AMBIGUOUS, kind, _describe(error))
        return self._read_response(command, kind, response)

    async def run(self, steps: KeyValueSteps[T]) -> T:
        """Run a decision to completion, making the calls that it requests.

        If the decision continues after a failed call, its next call follows after a
        random backoff delay.
        """
        backoff = Backoff(self.backoff.rng)
        try:
            command = next(steps)
            while True:
                result = await self.call(command)
                command = steps.send(result)
                if isinstance(result, Err):
                    await self.sleep(backoff.next_delay_s())
        except StopIteration as stop:
            value: T = stop.value
            return value

    async def watch(
        self, key_range: Range
    ) -> AsyncGenerator[Result[WatchEvent | None, KeyValueFailure], None]:
        """Yield changes of the keys until the watch fails, and then the failure.

        `None` means that the watch is established and has no change to report. The
        caller must read the keys after it, because the watch does not report changes
        made before it was established.
        """
        if not self.rate_limiter.try_acquire(WATCH_KIND, self.clock()):
            yield self._record_failure(FailureKind.NOT_DONE, WATCH_KIND, RATE_LIMITED)
            return
        self.on_call(WATCH_KIND)
        timeout = httpx.Timeout(
            CALL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S, read=WATCH_IDLE_TIMEOUT_S
        )
        try:
            async with self.client.stream(
                "POST", "/v3/watch", json=encode_watch(key_range), timeout=timeout
            ) as response:
                response.raise_for_status()
                async for line in response.aiter_lines():
                    events = decode_watch_line(line) if line.strip() else ()
                    for event in events:
                        yield Ok(event)
                    if not events:
                        yield Ok(None)
            detail = "the service closed the watch"
        except (httpx.HTTPError, ValueError) as error:
            detail = _describe(error)
        yield Err(
            KeyValueFailure(FailureKind.NOT_DONE, WATCH_KIND, self.base_url, detail)
        )

    def _read_response(
        self, command: Command, kind: str, response: httpx.Response
    ) -> CallResult:
        if response.is_server_error:
            detail = f"status {response.status_code}"
            return self._record_failure(FailureKind.AMBIGUOUS, kind, detail)
        if not response.is_success:
            detail = f"status {response.status_code}"
            return self._record_failure(FailureKind.BAD_ANSWER, kind, detail)
        try:
            answer = decode_answer(command, response.content)
        except ValueError as error:
            # The service may have executed the call.
            return self._record_failure(FailureKind.AMBIGUOUS, kind, _describe(error))
        self._record_success()
        return Ok(answer)

    def _record_failure(
        self, failure: FailureKind, kind: str, detail: str
    ) -> Err[KeyValueFailure]:
        self.failures[kind, failure] = self.failures.get((kind, failure), 0) + 1
        if self.outage_since_s is None and detail != RATE_LIMITED:
            self.outage_since_s = self.clock()
            detail_with_peer = f"{kind} at {self.base_url}: {detail}"
            log(EventNumber.KEY_VALUE_OUTAGE_BEGIN, detail=detail_with_peer)
        return Err(KeyValueFailure(failure, kind, self.base_url, detail))

    def _record_success(self) -> None:
        self.backoff.reset()
        if self.outage_since_s is not None:
            seconds = round(self.clock() - self.outage_since_s, 1)
            self.outage_since_s = None
            log(EventNumber.KEY_VALUE_OUTAGE_END, seconds=seconds)


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"
