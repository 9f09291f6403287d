"""Example client with retries: looks up an entry and streams the answer to a request.

A request keeps its identity (assignment and key) across attempts, so a retry joins the
run of the first attempt instead of starting another. Needs only httpx and httpx-sse:

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
# Seconds without a byte after which the connection is considered dead. The first byte
# can take as long as the request is queued.
READ_TIMEOUT_S = 60.0
CONNECT_TIMEOUT_S = 2.0
# Limit on the sends of one request, all under the same identity, the first included.
MAX_ATTEMPTS = 10
# Seconds between a failed attempt and the next one.
RETRY_DELAY_S = 0.3

EXIT_WHOLE, EXIT_NOT_RUN, EXIT_UNKNOWN = 0, 3, 4


@dataclass(frozen=True, slots=True)
class Whole:
    """A complete answer: all of its tokens arrived."""

    text: str
    # Identity of the run.
    request: str
    target: str
    # Length of the answer in tokens.
    tokens: int
    # Number of chunks in which the answer arrived.
    pieces: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run and never will."""

    reason: str
    detail: str
    # Seconds after which a new request may succeed; None if retrying is pointless.
    retry_after_s: float | None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; its outcome cannot be determined."""

    reason: str
    detail: str


@dataclass(frozen=True, slots=True)
class Assignment:
    """An entry assigned by a look-up, with the token that proves the assignment."""

    entry: str
    # Address of the entry, as host:port.
    address: str
    token: str
    # Monotonic time, in seconds, at which the assignment expires.
    expires_s: float


class StreamedAnswer:
    """The part of one answer received so far, across all attempts."""

    def __init__(self) -> None:
        self.pieces: list[str] = []
        self.tokens = 0
        self.request = ""
        self.target = ""

    def apply_event(
        self, event: str, data: dict[str, Any]
    ) -> Whole | NotRun | Unknown | None:
        """Apply one event; return the outcome, or None while the answer continues."""
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
    """A burdockhaven client; `entries` lists the addresses to try for a look-up."""

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
        """Return the assigned entry, cached until the assignment expires."""
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
        """Send one request and wait for its outcome.

        After a lost connection or a truncated answer the same request is sent again:
        its identity (assignment and key) lets the entry attach the retry to the
        existing run instead of running the request twice.
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
                # The entry may have crashed; others redirect to the current owner.
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
        """Send one attempt.

        Returns the outcome, the address of a redirect, or None if the answer ended
        before its last event.
        """
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
    """Send one request; return the exit code of its outcome."""
    parser = argparse.ArgumentParser(description="Send one request.")
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
