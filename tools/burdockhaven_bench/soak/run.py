"""One run of the soak: starts everything, applies the plan, returns the history."""

import asyncio
import contextlib
import math
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from burdockhaven_bench.platform_harness import PlatformHarness
from burdockhaven_bench.soak.faults import FaultDriver
from burdockhaven_bench.soak.history import Execution, FaultKind, History
from burdockhaven_bench.soak.links import Link
from burdockhaven_bench.soak.plan import Plan
from burdockhaven_bench.soak.site import ROUTES, SITES
from burdockhaven_bench.soak.traffic import Traffic
from burdockhaven_standins.platform_targets import TargetRecord

LOOK_UP_INTERVAL_S = 0.3
LOOK_UP_TIMEOUT_S = 1.0
PROGRESS_INTERVAL_S = 10.0
LAG_INTERVAL_S = 0.05
# Seconds for which clients may finish their last requests.
FINISH_TIMEOUT_S = 40.0
# Configurations published before the traffic, so that there is a removed key.
FIRST_VERSIONS = (1, 3)


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """What to run."""

    plan: Plan
    site: str
    daemons: int
    clients: int
    # Folder of settings and logs of the daemons.
    folder: Path


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What was seen."""

    history: History
    started_s: float
    # Connections that could not be opened, by reason.
    counts: Counter[str]
    # Longest time in seconds by which the event loop of the clients was late.
    longest_lag_s: float


@dataclass(slots=True)
class _Observer:
    """Polls look-ups and measures how late the event loop is."""

    driver: FaultDriver
    rng: random.Random
    addresses: list[str] = field(default_factory=list)
    longest_lag_s: float = 0.0

    async def poll_look_ups(self) -> None:
        """Keep the newest successful look-up."""
        while True:
            serving = [p for p in self.driver.processes if p.daemon.is_running]
            node = self.rng.choice(serving).daemon.node if serving else ""
            with contextlib.suppress(Exception):
                async with asyncio.timeout(LOOK_UP_TIMEOUT_S):
                    named = await self.driver.harness.look_up(node)
                    self.addresses = sorted(named) or self.addresses
            await asyncio.sleep(LOOK_UP_INTERVAL_S)

    async def measure_lag(self) -> None:
        """Measure how late a periodic task runs."""
        while True:
            due_s = time.monotonic() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self.longest_lag_s = max(self.longest_lag_s, time.monotonic() - due_s)


async def run_soak(options: SoakOptions, report: Callable[[str], None]) -> SoakResult:
    """Play the plan; all processes have ended when this returns or raises."""
    soak_site = SITES[options.site]
    site = soak_site.build()
    links: dict[str, Link] = {}

    async def connect_through(name: str, address: str) -> str:
        known = [n for n, link in links.items() if link.server_address == address]
        if not known:
            links[name] = await Link.open(address)
        else:
            # The server has returned, perhaps under another name.
            links[name] = links.pop(known[0])
            await links[name].listen()
        return links[name].address

    site.connect_through = connect_through
    harness = await PlatformHarness.start(options.folder, site=site)
    driver = FaultDriver(harness, soak_site, report, links=links)
    site.on_crash = driver.end_target
    site.on_return = driver.return_target
    try:
        for record in site.records():
            driver.add_target(record)
        for version in FIRST_VERSIONS:
            driver.publish(version)
        for running in [await driver.start_daemon() for _ in range(options.daemons)]:
            await driver.wait_until_ready(running)
        return await _play(options, driver, report)
    finally:
        await harness.stop()
        for link in links.values():
            link.close()


async def _play(
    options: SoakOptions, driver: FaultDriver, report: Callable[[str], None]
) -> SoakResult:
    seed = options.plan.seed
    observer = _Observer(driver, random.Random(seed))
    traffic = Traffic(
        look_up=lambda: observer.addresses,
        process_at=driver.process_at,
        rotating_keys=driver.rotating_keys,
        taint_of=driver.taints.get,
        has_parts=any(f.kind is FaultKind.TAINTED_PART for f in options.plan.faults),
    )
    started_s = time.monotonic()
    background = [
        asyncio.create_task(observer.poll_look_ups()),
        asyncio.create_task(observer.measure_lag()),
        asyncio.create_task(_report_progress(traffic, report)),
    ]
    clients = [
        asyncio.create_task(traffic.run_client(f"{seed}/{number}"))
        for number in range(options.clients)
    ]
    try:
        await driver.run(options.plan.faults, started_s)
        end_s = started_s + options.plan.duration_s
        await asyncio.sleep(max(0.0, end_s - time.monotonic()))
        traffic.is_stopping = True
        finished, unfinished = await asyncio.wait(clients, timeout=FINISH_TIMEOUT_S)
        for task in finished:
            task.result()
        if unfinished:
            report(f"{len(unfinished)} clients did not finish")
    finally:
        for task in (*background, *clients):
            task.cancel()
        await asyncio.gather(*background, *clients, return_exceptions=True)
    history = _build_history(driver, traffic)
    return SoakResult(history, started_s, traffic.counts, observer.longest_lag_s)


async def _report_progress(traffic: Traffic, report: Callable[[str], None]) -> None:
    while True:
        await asyncio.sleep(PROGRESS_INTERVAL_S)
        endings = Counter(attempt.ending.value for attempt in traffic.attempts)
        report(", ".join(f"{count} {name}" for name, count in endings.items()))


def _build_history(driver: FaultDriver, traffic: Traffic) -> History:
    return History(
        routes={route.name: route.facts for route in ROUTES.values()},
        attempts=tuple(traffic.attempts),
        executions=tuple(_executions(driver.records)),
        faults=tuple(driver.faults),
        configurations=tuple(driver.configurations),
        processes=tuple(running.record() for running in driver.processes),
        targets=(*driver.former_targets, *driver.targets.values()),
        crashes=tuple(driver.harness.site.crashes),
    )


def _executions(records: list[TargetRecord]) -> list[Execution]:
    return [
        Execution(
            received.attempt,
            record.id,
            record.service,
            received.account,
            received.deadline_ms,
            received.arrived_s,
            math.inf if received.ended_s is None else received.ended_s,
            received.end,
            received.retry_after_s,
        )
        for record in records
        for received in record.received
    ]
