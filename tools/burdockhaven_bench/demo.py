"""`scripts/demo`: end-to-end demonstration with separate processes on loopback.

Starts stand-ins and three entries, publishes a template and a client account with the
operators' command line, looks up an entry, streams one review and runs one sign-off,
and stops every process. The exit code is 0 only if every step succeeded.
"""

import os
import secrets
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import httpx

from burdockhaven_bench.caller import Caller, NotRun, Unknown, Whole
from burdockhaven_bench.demo_files import (
    EntryAddresses,
    account_file,
    settings_file,
    template_file,
)
from burdockhaven_bench.demo_operator import DemoError, Operator
from burdockhaven_bench.interrupts import Interrupts
from burdockhaven_standins.ports import free_addresses
from burdockhaven_standins.processes import (
    NotReadyError,
    ProcessGroup,
    RunningProcess,
)

ENTRIES = 3
ZONES = ("mu-north-1", "mu-north-2", "mu-north-3")
# Seconds for the entries to discover each other and to apply the configuration.
SETTLE_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.2
REVIEW_PROMPT = "Review trench 14: photos, compaction log and surface report agree"
REVIEW_TOKENS = 24
SIGN_OFF_BODY = "Sign off trench 14"


@dataclass(frozen=True, slots=True)
class Entry:
    """One running entry."""

    process: RunningProcess
    addresses: EntryAddresses


@dataclass(frozen=True, slots=True)
class Targets:
    """The running stand-ins at which requests run."""

    engines: tuple[RunningProcess, ...]
    service: RunningProcess


def main() -> int:
    """Run the demonstration; return the exit code."""
    interrupts = Interrupts()
    interrupts.install()
    try:
        with ProcessGroup() as group, tempfile.TemporaryDirectory() as directory:
            try:
                _run(group, Path(directory), interrupts)
            finally:
                _stop(group)
    except (DemoError, NotReadyError, httpx.HTTPError) as error:
        print(f"FAILED: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        print("interrupted; all processes stopped", file=sys.stderr)
        return 130
    print("done: all processes stopped")
    return 0


def _run(group: ProcessGroup, directory: Path, interrupts: Interrupts) -> None:
    account_key = secrets.token_urlsafe(24)
    os.environ["BURDOCKHAVEN_ASSIGNMENT_KEY"] = secrets.token_urlsafe(32)
    os.environ["BURDOCKHAVEN_OPERATOR_TOKEN"] = secrets.token_urlsafe(32)
    print("1. start the stand-ins")
    key_value = _stand_in(group, "kv", "key-value service")
    vm_list = _stand_in(group, "vms", "VM list")
    targets = Targets(
        engines=(
            _stand_in(group, "engine", "engine-1"),
            _stand_in(group, "engine", "engine-2"),
        ),
        service=_stand_in(group, "service", "sign-off service"),
    )
    interrupts.check()
    print("2. start the entries")
    entries = _start_entries(group, directory, key_value, vm_list)
    _publish_vm_list(vm_list, entries, targets)
    interrupts.check()
    print("3. publish a template and a client account")
    _publish_configuration(directory, entries, targets, account_key, interrupts)
    caller = Caller([entry.addresses.caller for entry in entries], account_key)
    _wait_for("a look-up that succeeds", lambda: not _is_refused(caller))
    interrupts.check()
    print("4. stream one review")
    review = _send(caller, "review", REVIEW_PROMPT)
    interrupts.check()
    _show(review)
    if review.tokens != REVIEW_TOKENS:
        raise DemoError(f"the review has {review.tokens} tokens, not {REVIEW_TOKENS}")
    print("5. run one sign-off after another look-up")
    caller.assignment = None
    answer = _send(caller, "sign-off", SIGN_OFF_BODY)
    _show(answer)
    _check_ran_once(targets.service, answer)


def _stand_in(group: ProcessGroup, kind: str, name: str) -> RunningProcess:
    process = group.start_stand_in(kind, name.replace(" ", "-"))
    print(f"   {name} at {process.ready_text}")
    return process


def _start_entries(
    group: ProcessGroup,
    directory: Path,
    key_value: RunningProcess,
    vm_list: RunningProcess,
) -> tuple[Entry, ...]:
    entries = []
    for number, zone in zip(range(1, ENTRIES + 1), ZONES, strict=True):
        name = f"entry-{number}"
        addresses = EntryAddresses(*free_addresses(3))
        path = directory / f"{name}.ini"
        path.write_text(
            settings_file(name, zone, addresses, key_value.url, vm_list.url)
        )
        process = group.start(name, ["burdockhaven_entry", "--config", str(path)])
        print(f"   {name} in {zone} serves callers at {addresses.caller}")
        entries.append(Entry(process, addresses))
    return tuple(entries)


def _publish_vm_list(
    vm_list: RunningProcess, entries: tuple[Entry, ...], targets: Targets
) -> None:
    vms = [
        {"address": entry.addresses.peer, "zone": zone, "state": "live"}
        for entry, zone in zip(entries, ZONES, strict=True)
    ]
    for process in (*targets.engines, targets.service):
        vms.append({"address": process.ready_text, "zone": ZONES[0], "state": "live"})
    httpx.post(f"{vm_list.url}/control", json={"vms": vms}).raise_for_status()


def _publish_configuration(
    directory: Path,
    entries: tuple[Entry, ...],
    targets: Targets,
    account_key: str,
    interrupts: Interrupts,
) -> None:
    operator = Operator([f"http://{entry.addresses.admin}" for entry in entries])
    template = directory / "template.json"
    engines = [process.url for process in targets.engines]
    template.write_bytes(template_file(engines, targets.service.url))
    account = directory / "account.json"
    account.write_bytes(account_file(account_key))
    operator.publish_template(template)
    interrupts.check()
    operator.publish_account(account)
    interrupts.check()
    operator.show_members()


def _is_refused(caller: Caller) -> bool:
    return isinstance(caller.look_up(), NotRun)


def _send(caller: Caller, class_name: str, prompt: str) -> Whole:
    assignment = caller.look_up()
    if isinstance(assignment, NotRun):
        raise DemoError(f"the look-up was refused: {assignment}")
    print(f"   look-up: assigned to {assignment.entry} at {assignment.address}")
    match caller.send(class_name, prompt, max_output_tokens=REVIEW_TOKENS):
        case Whole() as answer:
            return answer
        case NotRun() | Unknown() as outcome:
            raise DemoError(f"{class_name}: {outcome}")


def _show(answer: Whole) -> None:
    print(f"   request {answer.request} ran at {answer.target}")
    print(f"   whole answer: {answer.tokens} token(s) in {answer.pieces} piece(s)")
    print(f"   {answer.text.strip()}")


def _check_ran_once(service: RunningProcess, answer: Whole) -> None:
    counts = httpx.get(f"{service.url}/counts").raise_for_status().json()
    runs = counts.get(answer.request, 0)
    print(f"   the sign-off service ran it {runs} time(s)")
    if runs != 1:
        raise DemoError(f"the sign-off ran {runs} times instead of once: {counts}")


def _wait_for(description: str, is_satisfied: Callable[[], bool]) -> None:
    deadline_s = time.monotonic() + SETTLE_TIMEOUT_S
    while not is_satisfied():
        if time.monotonic() > deadline_s:
            raise DemoError(f"timed out after {SETTLE_TIMEOUT_S} s: {description}")
        time.sleep(POLL_INTERVAL_S)


def _stop(group: ProcessGroup) -> None:
    """Stop the entries at the same time, then the stand-ins."""
    print("6. drain and stop the entries, then stop the stand-ins")
    entries = [each for each in group.running if each.name.startswith("entry-")]
    for entry in entries:
        if entry.process.poll() is None:
            entry.signal(signal.SIGTERM)
    codes = [entry.wait() for entry in entries]
    for entry, code in zip(entries, codes, strict=True):
        print(f"   {entry.name} exited with code {code}")
    group.stop()
    if any(codes):
        raise DemoError(f"an entry did not stop gracefully: exit codes {codes}")


if __name__ == "__main__":
    sys.exit(main())
