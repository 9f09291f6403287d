"""Capacity probes of the request path within one entry."""

import itertools

from burdockhaven_bench.capacity_entry import EntryHarness
from burdockhaven_bench.capacity_inputs import account_name
from burdockhaven_bench.capacity_probe import Probe, Unit
from burdockhaven_bench.probing import memory_bytes, processor_us
from burdockhaven_core.actions import StartRun
from burdockhaven_core.events import (
    LoadReported,
    LookUpArrived,
    RunProgressed,
    Tick,
)
from burdockhaven_core.identity import TargetName

MEMBER_SIZES = (8, 40, 70, 100)
TARGET_SIZES = (10, 60, 120, 200)
ACCOUNT_SIZES = (5, 1_500, 3_000, 4_500, 5_900)
# Numbers of records, or of queued requests, in one entry.
REQUEST_SIZES = (100, 400, 700, 1_000)
MEMBERS = 9
TARGETS = 40
ACCOUNTS = 100
# Number of accounts that send the requests of a probe.
SENDERS = 5


def request_probes() -> tuple[Probe, ...]:
    """Return the probes sized by the members, targets, accounts or requests."""
    us, memory = Unit.MICROSECONDS, Unit.BYTES
    return (
        Probe("look-up", us, "members", MEMBER_SIZES, _look_up),
        Probe("whole request, decisions", us, "accounts", ACCOUNT_SIZES, _by_accounts),
        Probe("whole request, decisions", us, "targets", TARGET_SIZES, _by_targets),
        Probe("whole request, decisions", us, "members", MEMBER_SIZES, _by_members),
        Probe("progress of a run", us, "targets", TARGET_SIZES, _progress),
        Probe("load report", us, "targets", TARGET_SIZES, _load_report),
        Probe("tick over queued requests", us, "requests", REQUEST_SIZES, _queued_tick),
        Probe(
            "records kept",
            memory,
            "requests",
            REQUEST_SIZES,
            lambda size: memory_bytes(lambda: _make_finished(size)),
        ),
        Probe(
            "queued requests kept",
            memory,
            "requests",
            REQUEST_SIZES,
            lambda size: memory_bytes(lambda: _make_queued(size)),
        ),
    )


def _look_up(members: int) -> tuple[float, ...]:
    harness = EntryHarness.from_sizes(members, TARGETS, ACCOUNTS)
    name = account_name(0)
    return processor_us(
        lambda: harness.step(LookUpArrived(next(harness.handles), name))
    )


def _requests(harness: EntryHarness) -> tuple[float, ...]:
    """Measure complete requests, sent by several accounts in turn."""
    numbers = itertools.count()
    tokens = [harness.issue_assignment(account) for account in range(SENDERS)]

    def run() -> None:
        number = next(numbers)
        account = number % SENDERS
        harness.run_request(tokens[account], number, account)

    return processor_us(run)


def _by_accounts(accounts: int) -> tuple[float, ...]:
    return _requests(EntryHarness.from_sizes(1, TARGETS, accounts))


def _by_targets(targets: int) -> tuple[float, ...]:
    return _requests(EntryHarness.from_sizes(1, targets, ACCOUNTS))


def _by_members(members: int) -> tuple[float, ...]:
    return _requests(EntryHarness.from_sizes(members, TARGETS, ACCOUNTS))


def _progress(targets: int) -> tuple[float, ...]:
    harness = EntryHarness.from_sizes(1, targets, ACCOUNTS)
    actions = harness.submit_request(harness.issue_assignment(), 0)
    (start,) = (action for action in actions if isinstance(action, StartRun))
    return processor_us(lambda: harness.step(RunProgressed(start.run_id, 16)))


def _load_report(targets: int) -> tuple[float, ...]:
    harness = EntryHarness.from_sizes(MEMBERS, targets, ACCOUNTS)
    report = LoadReported(TargetName("engine-0001"), 3, 0)
    return processor_us(lambda: harness.step(report))


def _make_finished(requests: int) -> EntryHarness:
    """Create an entry that holds the records of `requests` completed requests."""
    harness = EntryHarness.from_sizes(1, TARGETS, ACCOUNTS)
    token = harness.issue_assignment()
    for number in range(requests):
        harness.run_request(token, number)
    return harness


def _make_queued(requests: int) -> EntryHarness:
    """Create an entry with full targets and `requests` queued requests."""
    harness = EntryHarness.from_sizes(1, 4, ACCOUNTS)
    token = harness.issue_assignment()
    for number in range(10 * requests):
        if harness.entry.state.queued_count() == requests:
            return harness
        harness.submit_request(token, number)
    raise RuntimeError(f"the entry did not queue {requests} requests")


def _queued_tick(requests: int) -> tuple[float, ...]:
    harness = _make_queued(requests)
    return processor_us(lambda: harness.step(Tick()))
