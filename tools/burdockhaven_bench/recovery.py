"""`scripts/bench recovery`: measures how fast a site recovers from faults.

Runs real processes on loopback: entries, two stand-in engines and the stand-in
platform. During each fault, one caller thread for each entry looks up an entry and
sends requests of the lower tier, which is delayed whenever tier admission has to wait.
"""

import argparse
import dataclasses
import secrets
import statistics
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial

import httpx

from burdockhaven_core.configuration import ClassSpec, GroupKind
from burdockhaven_core.configuration_codec import encode_json
from burdockhaven_core.identity import ClassName, GroupName
from burdockhaven_standins.site import (
    Site,
    SiteEntry,
    SiteTiming,
    group_spec,
    site_configuration,
)

ACCOUNT_KEY = "the-account-key-of-the-bench"
TIMING = SiteTiming(heartbeat_interval_ms=500, assignment_lifetime_s=5)
TOKENS = 5
CLASSES = (
    ClassSpec(ClassName("low"), GroupName("model"), tier=0, deadline_ms=30_000),
    ClassSpec(ClassName("high"), GroupName("model"), tier=1, deadline_ms=30_000),
)
# A call that takes longer counts as disturbed by the fault.
SLOW_CALL_S = 0.5
# Pause between two calls of one caller.
CALL_INTERVAL_S = 0.05
SAMPLE_INTERVAL_S = 1.0
POLL_INTERVAL_S = 0.02
IDLE_DURATION_S = 10.0
OBSERVATION_S = 12.0
OUTAGE_DURATION_S = 10.0
CHANGE_COUNT = 5


@dataclass(frozen=True, slots=True)
class Call:
    """A look-up and the request that follows it."""

    started_s: float
    ended_s: float
    # Entry returned by the look-up; empty if the look-up failed.
    address: str
    # "whole" for a complete answer, otherwise the kind of failure.
    outcome: str


@dataclass(slots=True)
class CallerThreads:
    """Caller threads, one for each entry that serves their look-ups."""

    addresses: list[str]
    calls: list[Call] = field(default_factory=list)
    stopping: threading.Event = field(default_factory=threading.Event)

    @contextmanager
    def running(self) -> Iterator[None]:
        """Run the callers for the duration of the block."""
        threads = [
            threading.Thread(target=self._call_repeatedly, args=(address,))
            for address in self.addresses
        ]
        for thread in threads:
            thread.start()
        try:
            yield
        finally:
            self.stopping.set()
            for thread in threads:
                thread.join()

    def _call_repeatedly(self, address: str) -> None:
        headers = {"authorization": f"Bearer {ACCOUNT_KEY}"}
        with httpx.Client(headers=headers, timeout=30.0, trust_env=False) as client:
            while not self.stopping.wait(CALL_INTERVAL_S):
                self.calls.append(_call(client, address))


def _call(client: httpx.Client, address: str) -> Call:
    started_s = time.monotonic()
    named, outcome = "", "no look-up"
    try:
        found = client.get(f"http://{address}/v1/lookup")
        if found.is_success:
            named, outcome = _send(client, found.json())
    except httpx.TransportError as error:
        outcome = type(error).__name__
    return Call(started_s, time.monotonic(), named, outcome)


def _send(client: httpx.Client, found: dict[str, str]) -> tuple[str, str]:
    body = {
        "assignment": found["assignment"],
        "key": secrets.token_hex(8),
        "class": "low",
        "prompt": "a b c",
        "max_output_tokens": TOKENS,
    }
    try:
        reply = client.post(f"http://{found['address']}/v1/requests", json=body)
    except httpx.TransportError as error:
        return found["address"], type(error).__name__
    if not reply.is_success:
        return found["address"], f"status {reply.status_code}"
    is_complete = "event: end" in reply.text
    return found["address"], "whole" if is_complete else "not whole"


class RecoveryBench:
    """A site whose recovery from faults is measured."""

    def __init__(self, site: Site, entries: int) -> None:
        self.site = site
        self.client = httpx.Client(timeout=30.0, trust_env=False)
        self.engines = [
            site.add_target("engine", name, "--token-interval-s", "0.005")
            for name in ("engine-a", "engine-b")
        ]
        group = group_spec("model", GroupKind.MODEL, self.engines, 64)
        self.configuration = site_configuration([group], CLASSES, ACCOUNT_KEY)
        site.publish(self.configuration)
        for number in range(entries):
            site.add_entry(f"entry-{number}")

    def measure_settling_s(self) -> float:
        """Seconds until each entry counts all members and serves the lower tier."""
        started_s = time.monotonic()
        count = len(self.site.entries)
        _wait_until(
            lambda: all(self._members_in_force(e) == count for e in self.site.entries)
        )
        headers = {"authorization": f"Bearer {ACCOUNT_KEY}"}
        with httpx.Client(headers=headers, timeout=30.0, trust_env=False) as client:
            for entry in self.site.entries:
                _wait_until(partial(_is_serving, client, entry))
        return time.monotonic() - started_s

    def measure_change_s(self) -> float:
        """Seconds from acceptance of a change until it is in force at every entry."""
        account = next(iter(self.configuration.accounts.values()))
        weight = account.weight + 1.0
        changed = dataclasses.replace(account, weight=weight)
        self.configuration = dataclasses.replace(
            self.configuration,
            version=self.configuration.version + 1,
            accounts={account.account: changed},
        )
        version = self.configuration.version
        reply = self.client.put(
            f"http://{self.site.entries[0].admin_address}/v1/accounts/{account.account}",
            params={
                "expected_version": version - 1,
                "operation_id": secrets.token_hex(8),
            },
            headers=self._operator_headers(),
            content=encode_json(changed),
        )
        reply.raise_for_status()
        accepted_s = time.monotonic()
        for entry in self.site.entries:
            _wait_until(partial(self._has_version, entry, version))
        return time.monotonic() - accepted_s

    def kill_entry(self) -> None:
        """Kill an entry and print when look-ups and requests have recovered."""
        killed = self.site.entries.pop()
        callers = CallerThreads([entry.caller_address for entry in self.site.entries])
        with callers.running():
            time.sleep(1.0)
            killed.process.kill()
            killed_s = time.monotonic()
            time.sleep(OBSERVATION_S)
        named_s = [
            c.started_s for c in callers.calls if c.address == killed.caller_address
        ]
        disturbed_calls = [c for c in callers.calls if _is_disturbed(c)]
        _print_figure(
            "look-ups name the dead entry until",
            _latest_after_s(named_s, killed_s),
            "s",
        )
        ends_s = [call.ended_s for call in disturbed_calls]
        _print_figure(
            "low-tier requests are disturbed until",
            _latest_after_s(ends_s, killed_s),
            "s",
        )
        _print_calls(callers.calls)

    def mark_target_leaving(self) -> None:
        """Mark an engine as leaving in the VM list; print when its last run began."""
        leaving = self.engines[0]
        callers = CallerThreads([entry.caller_address for entry in self.site.entries])
        with callers.running():
            time.sleep(1.0)
            self.site.mark_leaving(leaving.ready_text)
            marked_s = last_s = time.monotonic()
            before = self._submission_count(leaving.url)
            while time.monotonic() < marked_s + OBSERVATION_S:
                now = self._submission_count(leaving.url)
                if now != before:
                    before, last_s = now, time.monotonic()
                time.sleep(POLL_INTERVAL_S)
        _print_figure(
            "a leaving engine's last new run comes after", last_s - marked_s, "s"
        )
        _print_calls(callers.calls)

    def restart_entries(self, count: int) -> None:
        """Restart entries one after another while the callers run."""
        callers = CallerThreads(
            [entry.caller_address for entry in self.site.entries[count:]]
        )
        with callers.running():
            codes = [self.site.restart(e) for e in self.site.entries[:count]]
            time.sleep(1.0)
        print(f"  exit codes of {count} restarts, one after another: {codes}")
        _print_calls(callers.calls)

    @contextmanager
    def counting_key_value_calls(self, label: str) -> Iterator[None]:
        """Print the rate of calls to the key-value service during the block."""
        samples = [self._key_value_calls()]
        stopping = threading.Event()

        def sample() -> None:
            while not stopping.wait(SAMPLE_INTERVAL_S):
                samples.append(self._key_value_calls())

        thread = threading.Thread(target=sample)
        thread.start()
        try:
            yield
        finally:
            stopping.set()
            thread.join()
        pairs = zip(samples, samples[1:], strict=False)
        rates = [sum(b.values()) - sum(a.values()) for a, b in pairs]
        kinds = {
            kind: round((samples[-1][kind] - samples[0].get(kind, 0)) / len(rates), 1)
            for kind in samples[-1]
        }
        mean = statistics.mean(rates)
        print(
            f"  key-value calls per second {label}: mean {mean:.1f}, max {max(rates)}"
        )
        print(f"    by kind: {kinds}, {len(rates)} s")

    def set_key_value_fault(self, **fault: object) -> None:
        """Set a fault of the stand-in key-value service."""
        url = f"{self.site.key_value.url}/control"
        self.client.post(url, json=fault).raise_for_status()

    def _key_value_calls(self) -> dict[str, int]:
        reply = self.client.get(f"{self.site.key_value.url}/counts")
        calls: dict[str, int] = reply.json()["calls"]
        return calls

    def _submission_count(self, url: str) -> int:
        return len(self.client.get(f"{url}/counts").json()["submissions"])

    def _operator_headers(self) -> dict[str, str]:
        return {"authorization": f"Bearer {self.site.token}"}

    def _configuration_in_force(self, entry: SiteEntry) -> dict[str, int]:
        url = f"http://{entry.admin_address}/v1/configuration"
        reply = self.client.get(url, headers=self._operator_headers())
        in_force: dict[str, int] = reply.raise_for_status().json()["in_force"]
        return in_force

    def _members_in_force(self, entry: SiteEntry) -> int:
        return self._configuration_in_force(entry)["on"]

    def _has_version(self, entry: SiteEntry, version: int) -> bool:
        return self._configuration_in_force(entry)["version"] >= version


def _is_serving(client: httpx.Client, entry: SiteEntry) -> bool:
    return _call(client, entry.caller_address).outcome == "whole"


def _wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        time.sleep(POLL_INTERVAL_S)


def _is_disturbed(call: Call) -> bool:
    return call.outcome != "whole" or call.ended_s - call.started_s > SLOW_CALL_S


def _latest_after_s(times_s: list[float], started_s: float) -> float:
    return max([0.0, *(each - started_s for each in times_s)])


def _print_figure(label: str, value: float, unit: str) -> None:
    print(f"  {label}: {value:.2f} {unit}", flush=True)


def _print_calls(calls: list[Call]) -> None:
    outcomes: dict[str, int] = {}
    for call in calls:
        outcomes[call.outcome] = outcomes.get(call.outcome, 0) + 1
    longest = max(call.ended_s - call.started_s for call in calls)
    print(f"    calls: {outcomes}, the longest {longest:.2f} s", flush=True)


def main() -> None:
    """Inject each fault once and print the measurements."""
    parser = argparse.ArgumentParser(prog="scripts/bench recovery")
    parser.add_argument("--entries", type=int, default=9)
    parser.add_argument("--restarts", type=int, default=4)
    options = parser.parse_args()
    print(f"{options.entries} entries, {TIMING}")
    with Site.start(TIMING) as site:
        bench = RecoveryBench(site, options.entries)
        _print_figure(
            "start of the last entry until full service",
            bench.measure_settling_s(),
            "s",
        )
        with bench.counting_key_value_calls("at rest"):
            time.sleep(IDLE_DURATION_S)
        spreads = [bench.measure_change_s() for _ in range(CHANGE_COUNT)]
        _print_figure(
            "change in force everywhere, median", statistics.median(spreads), "s"
        )
        _print_figure("change in force everywhere, longest", max(spreads), "s")
        bench.mark_target_leaving()
        bench.kill_entry()
        with bench.counting_key_value_calls("at a rolling restart"):
            bench.restart_entries(options.restarts)
        bench.measure_settling_s()
        bench.set_key_value_fault(outage="refuse")
        with bench.counting_key_value_calls("in an outage"):
            time.sleep(OUTAGE_DURATION_S)
        bench.set_key_value_fault(outage="none")
        with bench.counting_key_value_calls("after an outage"):
            time.sleep(IDLE_DURATION_S)


if __name__ == "__main__":
    main()
