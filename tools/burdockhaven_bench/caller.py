"""An example of a client: looks up an entry, sends a request, reads the whole answer.

Needs httpx and httpx-sse only:

    python -m burdockhaven_bench.caller --entry 127.0.0.1:8101 --class review "text"

The client account's key comes from the environment variable BURDOCKHAVEN_ACCOUNT_KEY.
docs/CALLERS.md explains each outcome.
"""

import argparse
import itertools
import os
import sys
import time
import uuid
from dataclasses import dataclass
from typing import Any

import httpx
from httpx_sse import EventSource

ACCOUNT_KEY_VARIABLE = "BURDOCKHAVEN_ACCOUNT_KEY"
# Seconds without a byte after which the connection is taken for a silent one. The
# first byte may take as long as the request is queued.
READ_TIMEOUT_S = 60.0
CONNECT_TIMEOUT_S = 2.0
# Times that a request is sent again, under the same identity, after a broken answer.
MAX_ATTEMPTS = 10
# Seconds before it is sent again.
RETRY_DELAY_S = 0.3

EXIT_WHOLE, EXIT_NOT_RUN, EXIT_UNKNOWN = 0, 3, 4


@dataclass(frozen=True, slots=True)
class Whole:
    """The whole answer."""

    text: str
    # Identity of the run.
    request: str
    target: str
    # Length of the answer.
    tokens: int
    # Chunks that it came in.
    pieces: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was not run and never will be."""

    reason: str
    detail: str
    # Seconds after which a new request may fare better; None if none will.
    retry_after_s: float | None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; nobody can say."""

    reason: str
    detail: str


@dataclass(frozen=True, slots=True)
class Assignment:
    """The answer to a look-up."""

    entry: str
    # Where to connect, as host:port.
    address: str
    token: str
    # Monotonic seconds up to which it may be used.
    expires_s: float


class StreamedAnswer:
    """What has arrived of one answer."""

    def __init__(self) -> None:
        self.pieces: list[str] = []
        self.tokens = 0
        self.request = ""
        self.target = ""

    def apply_event(
        self, event: str, data: dict[str, Any]
    ) -> Whole | NotRun | Unknown | None:
        """Takes in one event; gives the outcome once there is one."""
        if event == "started":
            self.request, self.target = data["request"], data["target"]
        elif event == "chunk":
            if data["offset"] != self.tokens or data["request"] != self.request:
                return Unknown("broken_answer", f"unexpected chunk after {self.tokens}")
            self.pieces.append(data["text"])
            self.tokens += data["count"]
        elif event == "end":
            if data["length"] != self.tokens:
                return Unknown("broken_answer", f"{self.tokens} of {data['length']}")
            text = "".join(self.pieces)
            count = len(self.pieces)
            return Whole(text, self.request, self.target, self.tokens, count)
        else:
            return _decode_outcome(data)
        return None


class Caller:
    """A client of burdockhaven; `entries` are addresses of some entries."""

    def __init__(
        self,
        entries: list[str],
        account_key: str,
        transport: httpx.BaseTransport | None = None,
    ) -> None:
        self.entries = entries
        self.assignment: Assignment | None = None
        self.client = httpx.Client(
            headers={"authorization": f"Bearer {account_key}"},
            timeout=httpx.Timeout(READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            transport=transport,
            trust_env=False,
        )

    def look_up(self) -> Assignment | NotRun:
        """Asks which entry to use; the answer is kept while it may be used."""
        cached = self.assignment
        if cached is not None and time.monotonic() < cached.expires_s:
            return cached
        refusal = NotRun("unavailable", "no entry answers", RETRY_DELAY_S)
        for address in self.entries:
            sent_s = time.monotonic()
            try:
                reply = self.client.get(f"http://{address}/v1/lookup")
            except httpx.TransportError:
                continue
            data = reply.json()
            if reply.is_success:
                expires_s = sent_s + data["lasts_s"]
                self.assignment = Assignment(
                    data["entry"], data["address"], data["assignment"], expires_s
                )
                return self.assignment
            refusal = NotRun(data["reason"], data["detail"], data["retry_after_s"])
        return refusal

    def send(
        self, class_name: str, prompt: str, max_output_tokens: int = 256
    ) -> Whole | NotRun | Unknown:
        """Sends one request and waits for its outcome.

        Whatever breaks, the same request is sent again: its identity (assignment and
        key) makes the entry join it to the first one instead of running it twice.
        """
        assignment = self.look_up()
        if isinstance(assignment, NotRun):
            return assignment
        body = {
            "assignment": assignment.token,
            "key": uuid.uuid4().hex,
            "class": class_name,
            "prompt": prompt,
            "max_output_tokens": max_output_tokens,
        }
        answer = StreamedAnswer()
        addresses = itertools.cycle([assignment.address, *self.entries])
        address = next(addresses)
        for _ in range(MAX_ATTEMPTS):
            body["offset"] = answer.tokens
            try:
                outcome = self._post(address, body, answer)
            except httpx.TransportError:
                # The entry may be gone; the next one says where the request is.
                self.assignment = None
                address = next(addresses)
                time.sleep(RETRY_DELAY_S)
                continue
            if isinstance(outcome, str):
                address = outcome
                continue
            if outcome is not None:
                return outcome
            time.sleep(RETRY_DELAY_S)
        return Unknown("entry_lost", "no entry gives the rest of the answer")

    def _post(
        self, address: str, body: dict[str, Any], answer: StreamedAnswer
    ) -> Whole | NotRun | Unknown | str | None:
        """The outcome, the address to ask instead, or None for a broken answer."""
        url = f"http://{address}/v1/requests"
        with self.client.stream("POST", url, json=body) as response:
            if not response.is_success:
                response.read()
                data = response.json()
                if data["outcome"] == "elsewhere":
                    return str(data["address"])
                return _decode_outcome(data)
            for event in EventSource(response).iter_sse():
                outcome = answer.apply_event(event.event, event.json())
                if outcome is not None:
                    return outcome
        return None


def _decode_outcome(data: dict[str, Any]) -> NotRun | Unknown:
    if data["outcome"] == "not_run":
        return NotRun(data["reason"], data["detail"], data["retry_after_s"])
    return Unknown(data["reason"], data["detail"])


def main(arguments: list[str] | None = None) -> int:
    """Sends one request; the exit code says how it ended."""
    parser = argparse.ArgumentParser(description="Sends one request.")
    parser.add_argument("--entry", action="append", required=True, help="host:port")
    parser.add_argument("--class", dest="class_name", required=True)
    parser.add_argument("prompt")
    options = parser.parse_args(arguments)
    caller = Caller(options.entry, os.environ[ACCOUNT_KEY_VARIABLE])
    outcome = caller.send(options.class_name, options.prompt)
    print(outcome)
    if isinstance(outcome, Whole):
        return EXIT_WHOLE
    return EXIT_NOT_RUN if isinstance(outcome, NotRun) else EXIT_UNKNOWN


if __name__ == "__main__":
    sys.exit(main())
