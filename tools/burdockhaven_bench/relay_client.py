"""Open-loop load generator: sends requests at a fixed rate and counts the answers.

Runs as a separate process. It prints `ready`, then `measuring` and `measured` at the
start and the end of the measured time, and finally its `ClientResult` as JSON.
"""

import argparse
import asyncio
import hashlib
import itertools
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

import httpx
import msgspec
import uvloop

from burdockhaven_bench.latency import LatencyHistogram, LatencySummary
from burdockhaven_entry.event_stream import (
    NotConnectedError,
    StreamBrokenError,
    StreamRequest,
    StreamTimeouts,
    read_stream,
)

TIMEOUTS = StreamTimeouts(connect_s=5.0, read_s=30.0)
PROMPT = "a prompt of some words"
# Fraction of an assignment's lifetime after which the client looks up a new one.
RENEWAL_FRACTION = 0.5


class ClientOptions(msgspec.Struct, frozen=True):
    """Load that one client process generates."""

    # Caller address of the entry, as host:port.
    entry: str
    account_key: str
    request_class: str
    requests_per_s: float
    # Tokens per answer.
    tokens: int
    warm_up_s: float
    measure_s: float
    # Base URL of an engine that receives every second request directly, or empty.
    direct: str = ""


class ClientResult(msgspec.Struct, frozen=True):
    """Results of one client process for the measured time."""

    tokens_per_s: float
    # Number of answers by outcome; "end" is a complete answer.
    outcomes: dict[str, int]
    # Streams open at the end of the measured time.
    open_streams: int
    # Time to the first token without the engine's own time, through the entry and
    # directly.
    through_entry: LatencySummary
    directly: LatencySummary


class _Event(msgspec.Struct):
    """The relevant fields of an event, from an entry or directly from an engine."""

    count: int = 0
    text: str = ""
    length: int | None = None
    outcome: str | None = None
    choices: tuple["_Choice", ...] = ()


class _Choice(msgspec.Struct):
    """The relevant field of a choice in an engine's event."""

    text: str = ""


class _LookUpReply(msgspec.Struct):
    """The relevant fields of the reply to a look-up."""

    address: str
    assignment: str
    lasts_s: float


_decoder = msgspec.json.Decoder(_Event)


@dataclass(slots=True)
class Client:
    """The load generator and its counters."""

    options: ClientOptions
    tokens: int = 0
    open_streams: int = 0
    measuring: bool = False
    outcomes: Counter[str] = field(default_factory=Counter)
    through_entry: LatencyHistogram = field(default_factory=LatencyHistogram)
    directly: LatencyHistogram = field(default_factory=LatencyHistogram)
    numbers: Iterator[int] = field(default_factory=itertools.count)
    look_up: _LookUpReply | None = None
    # Set once the client has its first assignment.
    has_assignment: asyncio.Event = field(default_factory=asyncio.Event)

    async def run(self) -> ClientResult:
        """Send requests during the warm-up and the measured time."""
        options = self.options
        renewing = asyncio.create_task(self._renew_assignment())
        await self.has_assignment.wait()
        print("ready", flush=True)
        sending = asyncio.create_task(self._send_at_rate())
        await asyncio.sleep(options.warm_up_s)
        tokens_before, began_s = self.tokens, time.monotonic()
        self.measuring = True
        print("measuring", flush=True)
        await asyncio.sleep(options.measure_s)
        self.measuring = False
        print("measured", flush=True)
        rate = (self.tokens - tokens_before) / (time.monotonic() - began_s)
        for task in (renewing, sending):
            task.cancel()
        return ClientResult(
            rate,
            dict(self.outcomes),
            self.open_streams,
            self.through_entry.summary(),
            self.directly.summary(),
        )

    async def _renew_assignment(self) -> None:
        headers = {"authorization": f"Bearer {self.options.account_key}"}
        async with httpx.AsyncClient(headers=headers, trust_env=False) as client:
            while True:
                reply = await client.get(f"http://{self.options.entry}/v1/lookup")
                if not reply.is_success:
                    await asyncio.sleep(0.1)
                    continue
                self.look_up = msgspec.json.decode(reply.content, type=_LookUpReply)
                self.has_assignment.set()
                await asyncio.sleep(self.look_up.lasts_s * RENEWAL_FRACTION)

    async def _send_at_rate(self) -> None:
        tasks = set()
        began_s = time.monotonic()
        for number in itertools.count():
            due_s = began_s + number / self.options.requests_per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            direct = self.options.direct and number % 2
            work = self._send_directly() if direct else self._send_through_entry()
            task = asyncio.create_task(work)
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def _send_through_entry(self) -> None:
        assert self.look_up is not None
        options = self.options
        body = {
            "assignment": self.look_up.assignment,
            "key": f"k{next(self.numbers)}",
            "class": options.request_class,
            "prompt": PROMPT,
            "max_output_tokens": options.tokens,
        }
        request = StreamRequest(
            "POST",
            f"http://{self.look_up.address}/v1/requests",
            msgspec.json.encode(body),
            (("authorization", f"Bearer {options.account_key}"),),
        )
        await self._read(request, self.through_entry)

    async def _send_directly(self) -> None:
        identity = f"{self.options.account_key}{next(self.numbers)}{id(self)}"
        body = {
            "request_id": hashlib.sha256(identity.encode()).hexdigest(),
            "prompt": PROMPT,
            "max_tokens": self.options.tokens,
        }
        url = f"{self.options.direct}/v1/completions"
        request = StreamRequest("POST", url, msgspec.json.encode(body))
        await self._read(request, self.directly)

    async def _read(self, request: StreamRequest, latency: LatencyHistogram) -> None:
        sent_s = time.monotonic()
        received = 0
        outcome = ""

        def on_event(data: str) -> bool:
            nonlocal received, outcome
            if data == "[DONE]":
                outcome = "end"
                return True
            event = _decoder.decode(data)
            text = event.choices[0].text if event.choices else event.text
            if received == 0 and text and self.measuring:
                self._record_first_token(latency, sent_s, text)
            received += event.count or len(event.choices)
            self.tokens += event.count
            if event.length is not None:
                outcome = "end" if event.length == received else "truncated"
            outcome = event.outcome or outcome
            return bool(outcome)

        self.open_streams += 1
        try:
            end = await read_stream(request, TIMEOUTS, on_event)
            outcome = outcome or f"status {end.status}"
        except (NotConnectedError, StreamBrokenError) as error:
            outcome = type(error).__name__
        finally:
            self.open_streams -= 1
        if self.measuring:
            self.outcomes[outcome] += 1

    def _record_first_token(
        self, latency: LatencyHistogram, sent_s: float, text: str
    ) -> None:
        """Record the latency outside the engine if the engine stamped its first token.

        A stamp holds the times at which the engine received the request and emitted the
        token.
        """
        now = time.monotonic()
        try:
            arrived_s, emitted_s = map(float, text.split())
        except ValueError:
            return
        latency.record((now - emitted_s) + (arrived_s - sent_s))


def main() -> None:
    """Run one client with the options given as JSON on the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("options", help="ClientOptions as JSON")
    text = parser.parse_args().options
    options = msgspec.json.decode(text, type=ClientOptions)
    result = uvloop.run(Client(options).run())
    print("result " + msgspec.json.encode(result).decode(), flush=True)


if __name__ == "__main__":
    main()
