"""Clients of the soak: what they send, on which connections, and how they retry."""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from burdockhaven_bench.soak.client import ClientConnection, OutgoingRequest
from burdockhaven_bench.soak.history import Attempt, Ending
from burdockhaven_bench.soak.site import ROUTES, STABLE_KEY, TOKENS_PER_EVENT

# Prompt and output tokens of streams, from 0.2 to about 6 s on an idle engine.
STREAM_SIZES = ((100, 30), (500, 150), (2000, 600), (4000, 1500))
# First parts of prompts; tainted prompts have the first of them.
FIRST_PARTS = ("system-a", "system-b")
MIDDLE_PARTS = ("doc-1", "doc-2", "doc-3")
# Fractions of a prompt that its first, middle and tainted parts make up.
FIRST_FRACTION = 0.2
MIDDLE_FRACTION = 0.3
TAINTED_FRACTION = 0.1
ROUTE_WEIGHTS = {"safe": 2, "unsafe": 2, "moving": 2, "resumable": 5, "once": 2}
MAX_TRIES = 3
# Fractions of the exchanges.
PIPELINED = 0.1
HALF_SENT = 0.1
LEAVING = 0.07
FRESH_CONNECTION = 0.2
WITH_DEADLINE = 0.5
ROTATING_KEY = 0.12
REMOVED_KEY = 0.03
WITHOUT_PAUSE = 0.5
# Longest pause in seconds between two exchanges of a client.
MAX_PAUSE_S = 0.2
MAX_HALF_PAUSE_S = 0.6
# Seconds for which a client uses a look-up: its lifetime, or up to three times as long.
LOOK_UP_AGES_S = (1.0, 3.0)
RETRYABLE_STATUSES = frozenset({408, 421, 429, 503})
MAX_RETRY_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class Taint:
    """A part of prompts on which engines crash."""

    # Id of the part.
    part: str
    # Share of the requests that have it.
    share: float


@dataclass(slots=True)
class Traffic:
    """What all clients share."""

    # Returns the addresses that look-ups name now.
    look_up: Callable[[], list[str]]
    # Returns the name of the newest process at an address.
    process_at: Callable[[str], str]
    # Returns the key that the newest configuration introduced, and the one it removed.
    rotating_keys: Callable[[], tuple[str, str]]
    # Returns the part that taints requests of a route now; None if there is none.
    taint_of: Callable[[str], Taint | None]
    # Whether clients state the parts of their prompts.
    has_parts: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    is_stopping: bool = False
    request_numbers: "itertools.count[int]" = field(
        default_factory=lambda: itertools.count(1)
    )
    attempt_numbers: "itertools.count[int]" = field(
        default_factory=lambda: itertools.count(1)
    )

    async def run_client(self, seed: str) -> None:
        """Send requests until the traffic stops."""
        rngs = random.Random(seed), random.Random(f"{seed}/parts")
        client = _Client(self, *rngs)
        while not self.is_stopping:
            await client.send_next()
        client.close()


@dataclass(slots=True)
class _Client:
    """One client with its connection and its look-up."""

    traffic: Traffic
    rng: random.Random
    # Of its own, so that parts change nothing else that clients send.
    part_rng: random.Random
    connection: ClientConnection | None = None
    addresses: list[str] = field(default_factory=list)
    look_up_until_s: float = 0.0

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()

    async def send_next(self) -> None:
        """Pause, then send one or two requests and retry what may be retried."""
        rng = self.rng
        pause_s = rng.random() * MAX_PAUSE_S if rng.random() >= WITHOUT_PAUSE else 0.0
        unrequested = await self._pause(pause_s, rng.random() < 0.5)
        requests = [self._draw_request()]
        if rng.random() < PIPELINED:
            requests = [replace(requests[0], leave_after_s=None), self._draw_request()]
        is_fresh = rng.random() < FRESH_CONNECTION
        connection = await self._connect(is_fresh)
        if connection is None:
            return
        attempts = await connection.exchange(requests, unrequested)
        self.traffic.attempts += attempts
        for request, attempt in zip(requests, attempts, strict=True):
            await self._retry(request, attempt)

    async def _pause(self, duration_s: float, is_watching: bool) -> bytes:
        """Pause; half of the clients notice that their connection closes."""
        connection = self.connection
        if connection is None or not connection.is_usable or not is_watching:
            await asyncio.sleep(duration_s)
            return b""
        return await connection.idle(duration_s)

    async def _connect(
        self, is_fresh: bool, avoid: str = ""
    ) -> ClientConnection | None:
        if self.connection is not None and self.connection.is_usable and not is_fresh:
            return self.connection
        self.close()
        now = asyncio.get_running_loop().time()
        if now >= self.look_up_until_s or not self.addresses:
            self.addresses = sorted(self.traffic.look_up())
            self.look_up_until_s = now + self.rng.uniform(*LOOK_UP_AGES_S)
        if not self.addresses:
            self.traffic.counts["no daemon in the look-up"] += 1
            await asyncio.sleep(MAX_PAUSE_S)
            return None
        others = [a for a in self.addresses if self.traffic.process_at(a) != avoid]
        address = self.rng.choice(others or self.addresses)
        process = self.traffic.process_at(address)
        self.connection = await ClientConnection.open(process, address)
        if self.connection is None:
            self.traffic.counts["connection refused or timed out"] += 1
            self.addresses.remove(address)
        return self.connection

    async def _retry(self, request: OutgoingRequest, attempt: Attempt) -> None:
        """Retry at another daemon, as far as the route allows."""
        first_event_attempt = request.resumes
        for _ in range(MAX_TRIES - 1):
            if not _may_retry(attempt) or self.traffic.is_stopping:
                return
            if attempt.events and not first_event_attempt:
                first_event_attempt = attempt.id
            await asyncio.sleep(_retry_delay_s(attempt))
            last_event = max((e.number for e in attempt.events), default=0)
            request = replace(
                request,
                attempt=self._next_attempt(),
                last_event=max(request.last_event, last_event),
                resumes=first_event_attempt,
                half_pause_s=None,
                leave_after_s=None,
            )
            connection = await self._connect(is_fresh=True, avoid=attempt.process)
            if connection is None:
                return
            (attempt,) = await connection.exchange([request])
            self.traffic.attempts.append(attempt)

    def _draw_request(self) -> OutgoingRequest:
        rng = self.rng
        name = rng.choices(list(ROUTE_WEIGHTS), list(ROUTE_WEIGHTS.values()))[0]
        route = ROUTES[name]
        prompt, output = rng.choice(STREAM_SIZES)
        draws = [rng.random() for _ in range(6)]
        is_streaming = route.facts.is_streaming
        timeout_s = route.facts.timeout_s
        is_leaving = is_streaming and draws[3] < LEAVING
        attempt = self._next_attempt()
        request = OutgoingRequest(
            attempt=attempt,
            request=next(self.traffic.request_numbers),
            route=name,
            path=route.path,
            api_key=self._pick_key(draws[0]),
            timeout_s=timeout_s,
            deadline_s=timeout_s if draws[1] < WITH_DEADLINE else None,
            prompt_tokens=prompt,
            output_tokens=output,
            expected_events=-(-output // TOKENS_PER_EVENT) if is_streaming else 0,
            half_pause_s=draws[4] * MAX_HALF_PAUSE_S if draws[2] < HALF_SENT else None,
            leave_after_s=0.05 + draws[5] * 2.0 if is_leaving else None,
        )
        if not (is_streaming and self.traffic.has_parts):
            return request
        return add_parts(request, self.part_rng, self.traffic.taint_of(name))

    def _pick_key(self, draw: float) -> str:
        added, removed = self.traffic.rotating_keys()
        if draw < REMOVED_KEY:
            return removed
        return added if draw < REMOVED_KEY + ROTATING_KEY else STABLE_KEY

    def _next_attempt(self) -> str:
        return f"soak-{next(self.traffic.attempt_numbers)}"


def add_parts(
    request: OutgoingRequest, rng: random.Random, taint: Taint | None
) -> OutgoingRequest:
    """Add the parts of the prompt, of which the last one is unlike all others."""
    tokens = request.prompt_tokens
    parts = [
        (rng.choice(FIRST_PARTS), int(tokens * FIRST_FRACTION)),
        (rng.choice(MIDDLE_PARTS), int(tokens * MIDDLE_FRACTION)),
    ]
    api_key = request.api_key
    if taint is not None and rng.random() < taint.share:
        # All of them share their key and first part with sound requests.
        parts[0] = FIRST_PARTS[0], parts[0][1]
        position = rng.randint(1, len(parts))
        parts.insert(position, (taint.part, int(tokens * TAINTED_FRACTION)))
        api_key = STABLE_KEY
    rest = tokens - sum(count for _, count in parts)
    parts.append((f"user-{request.attempt}", rest))
    return replace(request, parts=tuple(parts), api_key=api_key)


def _may_retry(attempt: Attempt) -> bool:
    if attempt.ending is Ending.LEFT:
        return False
    if attempt.status in RETRYABLE_STATUSES and attempt.ending is Ending.COMPLETE:
        return True
    if not ROUTES[attempt.route].facts.is_idempotent:
        return attempt.ending is Ending.UNSENT
    return attempt.ending is not Ending.COMPLETE or (attempt.status or 0) >= 500


def _retry_delay_s(attempt: Attempt) -> float:
    try:
        return min(MAX_RETRY_AFTER_S, float(attempt.header("Retry-After") or 0.0))
    except ValueError:
        return 0.0
