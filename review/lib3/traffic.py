"""Configuration and clients of a small deployment, with the figures of its sheet."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from stage import (
    ATTEMPT,
    DEADLINE,
    ENGINE_MEMORY,
    ENGINE_SLOTS,
    HOST,
    KEY,
    PROMPT_PREFIX,
    TOKEN_COUNTS,
    TOKENS_PER_EVENT,
    Answer,
    Daemon,
    Engine,
    Server,
    Stage,
    call,
)

MODELS = "review-llm"
APP = "permit-app"
LOOKUP_TIMEOUT_MS = 1500
# Gap after which clients abandon a stream: two seconds, four times the objective or
# eight times the longest pause, whichever is longest.
GAP_S = {"survey": 2.4, "summary": 3.2, "triage": 4.8}


def configuration(version: int = 1, rate_per_s: float = 0) -> dict[str, object]:
    """Return a configuration: three streaming routes, a safe and an unsafe one."""
    streams = [
        {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "kind": "streaming",
            "timeout_ms": timeout_ms,
            "target_latency_ms": objective_ms,
            "priority": priority,
            "service": MODELS,
            "max_attempts": 2,
            "resumable": True,
            "sticky": True,
            "target_gap_ms": 300,
        }
        for priority, (name, timeout_ms, objective_ms) in enumerate(
            (("survey", 15000, 600), ("summary", 12000, 800), ("triage", 3000, 1200))
        )
    ]
    plain = [
        {
            "name": kind,
            "host": HOST,
            "prefix": f"/{kind}/",
            "kind": kind,
            "timeout_ms": LOOKUP_TIMEOUT_MS,
            "target_latency_ms": 125,
            "priority": 2,
            "service": APP,
            "max_attempts": 2 if kind == "safe" else 1,
        }
        for kind in ("safe", "unsafe")
    ]
    engine = {
        "slots": ENGINE_SLOTS,
        "kv_capacity": ENGINE_MEMORY,
        "stride": TOKENS_PER_EVENT,
    }
    return {
        "version": version,
        "routes": streams + plain,
        "services": [
            {"name": MODELS, "max_conns": 370, "engine": engine},
            {"name": APP, "max_conns": 110},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "tenant",
                "api_keys": [KEY],
                "unit": "tokens",
                "uncached_tokens": 200,
                "rate_per_s": rate_per_s,
                "burst": rate_per_s,
            }
        ],
    }


async def start_servers(stage: Stage, engines: int = 6, apps: int = 4) -> None:
    """Start the servers of both services."""
    for number in range(engines):
        await Engine(stage, f"i-llm-{number}", MODELS, ENGINE_SLOTS).start()
    for number in range(apps):
        await Server(stage, f"i-app-{number}", APP, 6, queue=24).start()


@dataclass(slots=True)
class Sent:
    """A request and its answer."""

    attempt: str
    route: str
    node: str
    answer: Answer


@dataclass(slots=True)
class Clients:
    """Sends requests to all daemons in turn, and keeps the answers."""

    stage: Stage
    rng: random.Random = field(default_factory=lambda: random.Random(7))
    count: int = 0
    # Attempt id of the last request that was sent.
    last_attempt: str = ""
    sent: list[Sent] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def headers(self, deadline_ms: int) -> tuple[str, list[tuple[str, str]]]:
        """Return a new attempt id and the headers that all requests have."""
        self.count += 1
        attempt = f"{self.rng.getrandbits(40):010x}{self.count:06x}"
        return attempt, [
            ("Host", HOST),
            (ATTEMPT, attempt),
            (DEADLINE, str(deadline_ms)),
            ("Authorization", f"Bearer {KEY}"),
        ]

    def prompt(self, tokens: int, parts: int, output: int) -> list[tuple[str, str]]:
        """Return the headers of a prompt of a session of its own."""
        each, rest = divmod(tokens, parts)
        counts = [each] * (parts - 1) + [each + rest]
        prefix = ",".join(f"{self.rng.getrandbits(32):08x}:{n}" for n in counts)
        return [(TOKEN_COUNTS, f"{tokens},{output}"), (PROMPT_PREFIX, prefix)]

    def send(
        self,
        daemon: Daemon,
        route: str,
        deadline_ms: int,
        more: list[tuple[str, str]],
        method: str = "POST",
        query: str = "",
    ) -> None:
        """Send a request in the background."""
        attempt, headers = self.headers(deadline_ms)
        self.last_attempt = attempt
        record = self.stage.record

        async def exchange() -> None:
            record.add(f"send {attempt} {route} to {daemon.node}")
            answer = await call(
                daemon.listen["front"],
                method,
                f"/{route}/{attempt}{query}",
                headers + more,
                b"" if method == "GET" else b"x" * 200,
                timeout_s=deadline_ms / 1e3,
                gap_s=GAP_S.get(route),
            )
            took_ms = (answer.ended_s - answer.sent_s) * 1e3
            record.add(f"answer {attempt} {route} {answer.status} {took_ms:.0f} ms")
            self.sent.append(Sent(attempt, route, daemon.node, answer))

        task = asyncio.create_task(exchange())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def each(
        self, per_s: float, until_s: float, send: Callable[[Daemon], None]
    ) -> None:
        """Send so many requests a second, to all daemons in turn."""
        daemons = list(self.stage.daemons.values())
        number, next_s = 0, time.monotonic()
        while next_s < until_s:
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
            send(daemons[number % len(daemons)])
            number, next_s = number + 1, next_s + 1 / per_s

    async def wait(self) -> None:
        """Wait for all answers."""
        if self.tasks:
            await asyncio.wait(set(self.tasks))


Scenario = Callable[[Stage], Awaitable[bool]]
