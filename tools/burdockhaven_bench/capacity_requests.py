"""Capacity probes of the request path inside one entry."""

import itertools

from burdockhaven_bench.capacity_entry import Bench
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
# Requests that are recorded, or wait, in one entry.
REQUEST_SIZES = (100, 400, 700, 1_000)
MEMBERS = 9
TARGETS = 40
ACCOUNTS = 100
# Accounts that send the requests of a probe.
SENDERS = 5


def request_probes() -> tuple[Probe, ...]:
    """Probes whose size is the number of members, targets, accounts or requests."""
    us, kept = Unit.MICROSECONDS, Unit.BYTES
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
            kept,
            "requests",
            REQUEST_SIZES,
            lambda size: memory_bytes(lambda: _finished(size)),
        ),
        Probe(
            "queued requests kept",
            kept,
            "requests",
            REQUEST_SIZES,
            lambda size: memory_bytes(lambda: _queued(size)),
        ),
    )


def _look_up(members: int) -> tuple[float, ...]:
    bench = Bench.from_sizes(members, TARGETS, ACCOUNTS)
    name = account_name(0)
    return processor_us(lambda: bench.step(LookUpArrived(next(bench.handles), name)))


def _requests(bench: Bench) -> tuple[float, ...]:
    """Whole requests of some accounts in turn."""
    numbers = itertools.count()
    tokens = [bench.token(account) for account in range(SENDERS)]

    def one() -> None:
        number = next(numbers)
        account = number % SENDERS
        bench.whole_request(tokens[account], number, account)

    return processor_us(one)


def _by_accounts(accounts: int) -> tuple[float, ...]:
    return _requests(Bench.from_sizes(1, TARGETS, accounts))


def _by_targets(targets: int) -> tuple[float, ...]:
    return _requests(Bench.from_sizes(1, targets, ACCOUNTS))


def _by_members(members: int) -> tuple[float, ...]:
    return _requests(Bench.from_sizes(members, TARGETS, ACCOUNTS))


def _progress(targets: int) -> tuple[float, ...]:
    bench = Bench.from_sizes(1, targets, ACCOUNTS)
    actions = bench.arrive(bench.token(), 0)
    (start,) = (action for action in actions if isinstance(action, StartRun))
    return processor_us(lambda: bench.step(RunProgressed(start.run_id, 16)))


def _load_report(targets: int) -> tuple[float, ...]:
    bench = Bench.from_sizes(MEMBERS, targets, ACCOUNTS)
    report = LoadReported(TargetName("engine-0001"), 3, 0)
    return processor_us(lambda: bench.step(report))


def _finished(requests: int) -> Bench:
    """An entry that holds the records of so many finished requests."""
    bench = Bench.from_sizes(1, TARGETS, ACCOUNTS)
    token = bench.token()
    for number in range(requests):
        bench.whole_request(token, number)
    return bench


def _queued(requests: int) -> Bench:
    """An entry whose targets are full and at which so many requests wait."""
    bench = Bench.from_sizes(1, 4, ACCOUNTS)
    token = bench.token()
    for number in range(10 * requests):
        if bench.entry.state.queued_count() == requests:
            return bench
        bench.arrive(token, number)
    raise RuntimeError(f"{requests} requests cannot be made to wait")


def _queued_tick(requests: int) -> tuple[float, ...]:
    bench = _queued(requests)
    return processor_us(lambda: bench.step(Tick()))
