"""A prompt part crashes servers, in prompts of 600 parts."""

import asyncio
import os
import time
from pathlib import Path

from stage import (
    BOUNDS,
    ENGINE_SLOTS,
    PROMPT_PREFIX,
    TOKEN_COUNTS,
    Daemon,
    Engine,
    Message,
    Stage,
    has_trouble,
    run_case,
)
from traffic import MODELS, Clients, configuration, start_servers

TRAFFIC_S = 70.0
FIRST_S = 5.0
# Requests a second of the route, and of these with the part that crashes servers.
ROUTE_PER_S = 13.8
CRASHING_PER_S = 0.05 * ROUTE_PER_S
DOWN_S = 4.0
FIRST_PART = "5c1e07a2"
CRASHING_PART = "91bd3f06"
# Long sessions, and the parts of each; CASE_PARTS is for a comparison by hand.
SESSIONS = 100
PARTS = int(os.environ.get("CASE_PARTS", "600"))
TOKENS_PER_PART = 11
STABLE_S = BOUNDS["stable_ms"] / 1e3
CRASHES = 5
MOST_REQUESTS = 3


class FragileEngine(Engine):
    """A model server that crashes as it begins to answer one part."""

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Run a streaming request, or crash."""
        if CRASHING_PART not in request.get(PROMPT_PREFIX):
            await super().run(request, writer)
            return
        self.begin_run(request)
        await asyncio.sleep(0.02)
        self.crash()
        crashes.append(time.monotonic())
        asyncio.get_running_loop().call_later(DOWN_S, self.come_back)

    def come_back(self) -> None:
        """Start again, as a new incarnation."""
        name = f"{self.id.rpartition('.')[0] or self.id}.{len(crashes)}"
        engine = FragileEngine(self.stage, name, MODELS, ENGINE_SLOTS)
        self.stage.tasks.append(asyncio.create_task(engine.start()))


crashes: list[float] = []


async def main(stage: Stage) -> bool:
    """Return whether more requests with the part reach servers than allowed."""
    await stage.start(configuration())
    await start_servers(stage, engines=0)
    for number in range(6):
        engine = FragileEngine(stage, f"i-llm-{number}", MODELS, ENGINE_SLOTS)
        await engine.start()
    await stage.start_daemons(3)
    clients = Clients(stage)
    sent_s: dict[str, float] = {}

    sessions = [
        [f"{clients.rng.getrandbits(32):08x}:{TOKENS_PER_PART}" for _ in range(PARTS)]
        for _ in range(SESSIONS)
    ]

    def send_summary(daemon: Daemon) -> None:
        clients.send(daemon, "summary", 12000, prompt(clients, [], 628, 294))

    def send_survey(daemon: Daemon) -> None:
        parts = clients.rng.choice(sessions)
        clients.send(daemon, "survey", 15000, prompt(clients, parts, 50, 384))

    def send_crashing(daemon: Daemon) -> None:
        parts = [f"{CRASHING_PART}:60", *clients.rng.choice(sessions)]
        clients.send(daemon, "survey", 15000, prompt(clients, parts, 50, 384))
        sent_s[clients.last_attempt] = time.monotonic()

    until_s = time.monotonic() + TRAFFIC_S
    tasks = [
        asyncio.create_task(clients.each(19.4, until_s, send_summary)),
        asyncio.create_task(
            clients.each(ROUTE_PER_S - CRASHING_PER_S, until_s, send_survey)
        ),
    ]
    await asyncio.sleep(FIRST_S)
    if has_trouble():
        sender = clients.each(CRASHING_PER_S, until_s, send_crashing)
        tasks.append(asyncio.create_task(sender))
    await asyncio.gather(*tasks)
    await clients.wait()
    return judge(stage, clients, sent_s)


def prompt(
    clients: Clients, parts: list[str], last_tokens: int, output: int
) -> list[tuple[str, str]]:
    """Return the headers of a prompt: the first part, others, and one of its own."""
    last = f"{clients.rng.getrandbits(32):08x}:{last_tokens}"
    prefix = [f"{FIRST_PART}:60", *parts, last]
    tokens = sum(int(part.partition(":")[2]) for part in prefix)
    return [(TOKEN_COUNTS, f"{tokens},{output}"), (PROMPT_PREFIX, ",".join(prefix))]


def judge(stage: Stage, clients: Clients, sent_s: dict[str, float]) -> bool:
    """Count the requests that reach servers, sent long enough after the fifth crash."""
    record = stage.record
    record.say(f"{len(sent_s)} requests with the part, {len(crashes)} crashes")
    sound = [sent for sent in clients.sent if sent.attempt not in sent_s]
    whole = sum(sent.answer.status == 200 for sent in sound)
    record.say(f"{whole} of {len(sound)} sound requests got a whole answer")
    if len(crashes) < CRASHES:
        return False
    from_s = crashes[CRASHES - 1] + STABLE_S
    later = {attempt for attempt, at_s in sent_s.items() if at_s > from_s}
    reached = later & stage.reached.keys()
    record.say(
        f"of {len(later)} sent later than {STABLE_S:.0f} s after the fifth crash, "
        f"{len(reached)} reached servers"
    )
    return len(reached) > MOST_REQUESTS


if __name__ == "__main__":
    run_case(main, Path(__file__).parent)
