"""Applies the planned faults to the daemons, the store and the targets."""

import asyncio
import math
import random
import signal
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace
from typing import Any

from burdockhaven_bench.platform_harness import Daemon, PlatformHarness
from burdockhaven_bench.soak.history import (
    Configuration,
    Fault,
    FaultKind,
    Process,
    Target,
)
from burdockhaven_bench.soak.links import Link
from burdockhaven_bench.soak.plan import PlannedFault
from burdockhaven_bench.soak.site import (
    ROUTES,
    SoakSite,
    configuration_record,
    rotating_key,
)
from burdockhaven_bench.soak.traffic import Taint
from burdockhaven_standins.platform_targets import (
    CrashingParts,
    PlatformEngine,
    RequestEnd,
    TargetRecord,
)

# Seconds after which the platform kills a process that did not end after SIGTERM.
GRACE_S = 8.0
# Seconds between the starts of two processes that replace others in turn.
TURN_PAUSE_S = 0.5
# Seconds for which a target that left goes on with its requests.
MAX_DRAIN_S = 12.0
# Seconds for which a target goes on after its entry was removed.
SERVE_AFTER_REMOVAL_S = 2.5
# Processes of one run, daemons that are being replaced included.
MAX_PROCESSES = 16
POLL_INTERVAL_S = 0.05
# Delay in seconds of a slow link, in each direction.
LINK_DELAY_S = 0.3
# Seconds for which an engine that crashed is down.
CRASH_DOWN_S = (1.0, 3.0)
# Seconds for which a sound engine is silent while the others are full; members look for
# another engine after one.
SILENCE_BESIDE_FULL_S = 1.3
# Fractions of the tainted parts on which engines return under a new id, and on which
# the head of the response is sent before the crash.
CRASH_WITH_NEW_ID = 0.5
CRASH_WITH_HEAD = 0.7
# Events after which a stream is broken off, at most.
MAX_EVENTS_BEFORE_ABORT = 20


@dataclass(slots=True)
class RunningDaemon:
    """A daemon process and what is known of it."""

    name: str
    daemon: Daemon
    started_s: float
    ended_s: float = math.inf
    # Whether the process is starting or a fault acts on it.
    is_taken: bool = True

    def record(self) -> Process:
        """Describe the process for the oracle."""
        code = self.daemon.process.returncode
        return Process(self.name, self.started_s, self.ended_s, code)


@dataclass(slots=True)
class FaultDriver:
    """Applies faults and records them."""

    harness: PlatformHarness
    site: SoakSite
    report: Callable[[str], None]
    faults: list[Fault] = field(default_factory=list)
    configurations: list[Configuration] = field(default_factory=list)
    processes: list[RunningDaemon] = field(default_factory=list)
    # All targets ever, with the times at which they left and ended.
    records: list[TargetRecord] = field(default_factory=list)
    targets: dict[str, Target] = field(default_factory=dict)
    # Starts of targets that ended with a crash before a later start of the same target.
    former_targets: list[Target] = field(default_factory=list)
    # Part that taints requests now, by route.
    taints: dict[str, Taint] = field(default_factory=dict)
    # Parts on which all engines crash; None before the first tainted part.
    crashing_parts: CrashingParts | None = None
    # Faults of the store that are active, by kind.
    store_faults: Counter[FaultKind] = field(default_factory=Counter)
    # Record the ends of the processes.
    watchers: set[asyncio.Task[None]] = field(default_factory=set)
    # Processes that are stopping.
    stops: set[asyncio.Task[None]] = field(default_factory=set)
    version: int = 1
    # Proxy in front of each server, by the name of the server.
    links: dict[str, Link] = field(default_factory=dict)

    async def run(self, planned: tuple[PlannedFault, ...], start_s: float) -> None:
        """Apply all faults at their times; returns when the last one has ended."""
        async with asyncio.TaskGroup() as tasks:
            for fault in planned:
                await asyncio.sleep(max(0.0, start_s + fault.at_s - time.monotonic()))
                tasks.create_task(self._apply(fault))
        await asyncio.gather(*self.stops)

    async def start_daemon(
        self, predecessor: RunningDaemon | None = None
    ) -> RunningDaemon:
        """Start a daemon; a successor takes over the node name and the addresses."""
        number = len(self.processes) + 1
        node = f"d{number}" if predecessor is None else predecessor.daemon.node
        started_s = time.monotonic()
        daemon = await self.harness.start_daemon(
            node,
            None if predecessor is None else predecessor.daemon,
            seeds=[p.daemon.listen["control"] for p in self.serving()],
        )
        running = RunningDaemon(f"p{number}-{node}", daemon, started_s)
        self.processes.append(running)
        self.report(f"started {running.name} as process {daemon.process.pid}")
        _keep(self.watchers, self._record_end(running))
        return running

    def add_target(self, record: TargetRecord) -> None:
        """Record a target that exists from now on."""
        self.records.append(record)
        self.targets[record.id] = Target(
            record.id, record.service, record.software_version, time.monotonic()
        )

    def end_target(self, engine: PlatformEngine) -> None:
        """Record that an engine has crashed, and refuse connections to it."""
        target = engine.record.id
        self.links[target].close()
        self.report(f"{target} crashed")
        ended = replace(self.targets[target], ended_s=time.monotonic())
        self.targets[target] = ended

    def return_target(self, engine: PlatformEngine) -> None:
        """Record that an engine serves again, perhaps as another target."""
        record = engine.record
        former = self.targets.get(record.id)
        if former is None:
            self.add_target(record)
        else:
            self.former_targets.append(former)
            started_s = time.monotonic()
            self.targets[record.id] = replace(
                former, started_s=started_s, ended_s=math.inf
            )

    def publish(self, version: int) -> None:
        """Write a configuration to the store."""
        self.version = version
        self.harness.site.store.put("op/config", self.site.configuration(version))
        self.configurations.append(configuration_record(version, time.monotonic()))

    def rotating_keys(self) -> tuple[str, str]:
        """Return the newest key and the one before it."""
        versions = [c.version for c in self.configurations]
        return rotating_key(versions[-1]), rotating_key(
            versions[max(-2, -len(versions))]
        )

    def process_at(self, address: str) -> str:
        """Return the name of the newest process at an address; empty if none."""
        names = [p.name for p in self.processes if p.daemon.front == address]
        return names[-1] if names else ""

    def serving(self) -> list[RunningDaemon]:
        """Return the daemons that are ready and that no fault acts on."""
        return [p for p in self.processes if p.daemon.is_running and not p.is_taken]

    async def _record_end(self, running: RunningDaemon) -> None:
        await running.daemon.process.wait()
        running.ended_s = time.monotonic()

    def _record(self, kind: FaultKind, subject: str, started_s: float) -> None:
        self.faults.append(Fault(kind, subject, started_s, time.monotonic()))

    async def _apply(self, fault: PlannedFault) -> None:
        actions = {
            FaultKind.STOP: self._replace,
            FaultKind.HANGUP: self._hang_up,
            FaultKind.FREEZE: self._freeze,
            FaultKind.KILL: self._kill,
            FaultKind.CONFIGURE: self._configure,
            FaultKind.TARGET_SILENT: self._silence_target,
            FaultKind.TARGET_ABORT: self._abort_stream,
            FaultKind.TARGET_DRAIN: self._drain_target,
            FaultKind.TARGET_LEAVE: self._drain_target,
            FaultKind.TARGET_PAUSE: self._pause_target,
            FaultKind.STORE_DOWN: self._disrupt_store,
            FaultKind.STORE_SLOW: self._disrupt_store,
            FaultKind.STORE_DROPS_RESPONSES: self._disrupt_store,
            FaultKind.TAINTED_PART: self._taint_part,
            FaultKind.ENGINES_FULL: self._fill_engines,
        }
        self.report(f"{fault.kind.value} x{fault.count} for {fault.duration_s:.1f} s")
        await actions.get(fault.kind, self._disrupt_link)(fault)

    def _take_process(self, choice: float) -> RunningDaemon | None:
        """Pick a process, unless it is the last one."""
        serving = self.serving()
        if len(serving) < 2:
            return None
        running = serving[int(choice * len(serving))]
        running.is_taken = True
        return running

    async def _replace(self, fault: PlannedFault) -> None:
        """Start the replacements, then stop the processes together or in turn."""
        batches = [1] * fault.count if fault.in_turn else [fault.count]
        for size in batches:
            alive = sum(p.daemon.is_running for p in self.processes)
            size = min(size, MAX_PROCESSES - alive)
            leaving = [self._take_process(fault.choice) for _ in range(size)]
            stopped = [running for running in leaving if running is not None]
            new = [await self.start_daemon() for _ in stopped]
            for running in new:
                await self.wait_until_ready(running)
            for running in stopped:
                _keep(self.stops, self._stop(running))
            await asyncio.sleep(TURN_PAUSE_S)

    async def wait_until_ready(self, running: RunningDaemon) -> None:
        """Wait until the look-ups of a daemon name the daemon itself."""

        async def is_named() -> bool:
            daemon = running.daemon
            return daemon.front in await self.harness.look_up(daemon.node)

        await self.harness.wait_until(is_named)
        running.is_taken = False

    async def _stop(self, running: RunningDaemon) -> None:
        """Send SIGTERM, and SIGKILL at the end of the grace period."""
        daemon, started_s = running.daemon, time.monotonic()
        daemon.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await daemon.process.wait()
        except TimeoutError:
            daemon.send_signal(signal.SIGKILL)
            await daemon.process.wait()
        self._record(FaultKind.STOP, running.name, started_s)

    async def _hang_up(self, fault: PlannedFault) -> None:
        serving = self.serving()
        if not serving:
            return
        running = serving[int(fault.choice * len(serving))]
        running.daemon.send_signal(signal.SIGHUP)
        self._record(FaultKind.HANGUP, running.name, time.monotonic())

    async def _freeze(self, fault: PlannedFault) -> None:
        running = self._take_process(fault.choice)
        if running is None:
            return
        started_s = time.monotonic()
        running.daemon.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        running.daemon.send_signal(signal.SIGCONT)
        self._record(FaultKind.FREEZE, running.name, started_s)
        running.is_taken = False

    async def _kill(self, fault: PlannedFault) -> None:
        running = self._take_process(fault.choice)
        if running is None:
            return
        started_s = time.monotonic()
        running.daemon.send_signal(signal.SIGKILL)
        await running.daemon.process.wait()
        await asyncio.sleep(fault.duration_s)
        successor = await self.start_daemon(running)
        await self.wait_until_ready(successor)
        self._record(FaultKind.KILL, running.name, started_s)

    async def _configure(self, fault: PlannedFault) -> None:
        if not self.store_faults.total():
            # Versions increase in uneven steps.
            self.publish(self.version + 1 + int(fault.choice * 3))
            self._record(FaultKind.CONFIGURE, str(self.version), time.monotonic())

    async def _disrupt_store(self, fault: PlannedFault) -> None:
        started_s = time.monotonic()
        self.store_faults[fault.kind] += 1
        self._set_store_faults()
        await asyncio.sleep(fault.duration_s)
        self.store_faults[fault.kind] -= 1
        self._set_store_faults()
        self._record(fault.kind, "store", started_s)

    def _set_store_faults(self) -> None:
        active = self.store_faults
        faults = self.harness.site.store.faults
        faults.down = active[FaultKind.STORE_DOWN] > 0
        faults.delay_s = 0.5 * active[FaultKind.STORE_SLOW]
        faults.drops_responses = active[FaultKind.STORE_DROPS_RESPONSES] > 0

    async def _disrupt_link(self, fault: PlannedFault) -> None:
        """Disrupt the link to a target or to the store."""
        names = sorted(self.links)
        name = names[int(fault.choice * len(names))]
        link, started_s = self.links[name], time.monotonic()
        if fault.kind is FaultKind.LINK_RESET:
            link.reset()
        elif fault.kind is FaultKind.LINK_SILENT:
            link.silence()
        link.faults.in_pieces |= fault.kind is FaultKind.LINK_PIECES
        if fault.kind is FaultKind.LINK_DELAY:
            link.faults.delay_s = LINK_DELAY_S
        await asyncio.sleep(fault.duration_s)
        if fault.kind is FaultKind.LINK_DELAY:
            link.faults.delay_s = 0.0
        elif fault.kind is FaultKind.LINK_PIECES:
            link.faults.in_pieces = False
        elif fault.kind is FaultKind.LINK_SILENT:
            link.reset()
        self._record(fault.kind, name, started_s)

    async def _silence_target(self, fault: PlannedFault) -> None:
        records = self.harness.site.records()
        record = records[int(fault.choice * len(records))]
        started_s = time.monotonic()
        loop = asyncio.get_running_loop()
        record.faults.silent_until_s = loop.time() + fault.duration_s
        await asyncio.sleep(fault.duration_s)
        self._record(FaultKind.TARGET_SILENT, record.id, started_s)

    async def _pause_target(self, fault: PlannedFault) -> None:
        """Have a target turn all requests away, each for as long as that lasts."""
        records = self.harness.site.records()
        record = records[int(fault.choice * len(records))]
        started_s = time.monotonic()
        record.faults.pause_s = round(fault.duration_s, 1)
        await asyncio.sleep(fault.duration_s)
        record.faults.pause_s = None
        self._record(fault.kind, record.id, started_s)

    async def _fill_engines(self, fault: PlannedFault) -> None:
        """Silence an engine while all others reject new requests as full.

        A broker that counts free slots there moves streams from the silent engine.
        """
        engines = list(self.harness.site.engines)
        silent = engines[int(fault.choice * len(engines))].record
        started_s, now = time.monotonic(), asyncio.get_running_loop().time()
        for engine in engines:
            faults = engine.record.faults
            if engine.record is silent:
                faults.silent_until_s = now + SILENCE_BESIDE_FULL_S
            else:
                faults.full_until_s = now + fault.duration_s
        await asyncio.sleep(fault.duration_s)
        self._record(fault.kind, silent.id, started_s)

    async def _taint_part(self, fault: PlannedFault) -> None:
        """Have engines crash on a part of prompts, and clients send such prompts."""
        rng, started_s = random.Random(fault.choice), time.monotonic()
        route = rng.choice([r.name for r in ROUTES.values() if r.facts.is_streaming])
        known = self.crashing_parts
        taint = Taint(f"tainted-{0 if known is None else len(known.ids)}", fault.share)
        self.crashing_parts = CrashingParts(
            ids=frozenset({taint.part}) | (known.ids if known else frozenset()),
            down_s=rng.uniform(*CRASH_DOWN_S),
            has_new_id=rng.random() < CRASH_WITH_NEW_ID,
            sends_head=rng.random() < CRASH_WITH_HEAD,
        )
        for engine in self.harness.site.engines:
            engine.record.faults.crashing_parts = self.crashing_parts
        self.taints[route] = taint
        await asyncio.sleep(fault.duration_s)
        del self.taints[route]
        self._record(fault.kind, taint.part, started_s)

    async def _abort_stream(self, fault: PlannedFault) -> None:
        engines = self.harness.site.engines
        record = engines[int(fault.choice * len(engines))].record
        events = int(fault.choice * MAX_EVENTS_BEFORE_ABORT)
        record.faults.abort_next_after_events = events
        self._record(FaultKind.TARGET_ABORT, record.id, time.monotonic())

    async def _drain_target(self, fault: PlannedFault) -> None:
        """Start another engine, then have one leave, with or without an entry."""
        site, started_s = self.harness.site, time.monotonic()
        staying = [e for e in site.engines if not (_is_leaving(e.record) or e.is_down)]
        if not staying:
            return
        engine = staying[int(fault.choice * len(staying))]
        record = engine.record
        # Marked at once, so that no other fault picks the same engine.
        record.faults.leaving = fault.kind is FaultKind.TARGET_LEAVE
        record.faults.draining = not record.faults.leaving
        number = len(self.records)
        successor = self.site.engine(f"i-llm-{number}", record.software_version, 1.2)
        successor.record.faults.crashing_parts = self.crashing_parts
        self.add_target(successor.record)
        await site.add_engine(successor)
        if record.faults.draining:
            await self._wait_for_store()
            site.register()
            self._record_leaving(record)
            await asyncio.sleep(fault.duration_s)
            site.deregister_engine(engine)
        else:
            await asyncio.sleep(fault.duration_s)
            await self._wait_for_store()
            site.deregister_engine(engine)
            self._record_leaving(record)
            await asyncio.sleep(SERVE_AFTER_REMOVAL_S)
        await self._end_target(engine)
        self._record(fault.kind, record.id, started_s)

    async def _wait_for_store(self) -> None:
        while self.store_faults.total():  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)

    def _record_leaving(self, record: TargetRecord) -> None:
        target = self.targets[record.id]
        self.targets[record.id] = replace(target, draining_s=time.monotonic())

    async def _end_target(self, engine: PlatformEngine) -> None:
        """Let the requests of a target end, then stop it."""
        record = engine.record
        end_s = time.monotonic() + MAX_DRAIN_S
        while engine.engine.is_busy and time.monotonic() < end_s:  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)
        unfinished = [r for r in record.received if r.ended_s is None]
        await self.harness.site.stop_engine(engine)
        self.links.pop(record.id).close()
        for received in unfinished:
            received.end = RequestEnd.ABORTED
        target = self.targets[record.id]
        ended_s = min(target.ended_s, time.monotonic())
        self.targets[record.id] = replace(target, ended_s=ended_s)


def _keep(tasks: set[asyncio.Task[None]], coroutine: Coroutine[Any, Any, None]) -> None:
    tasks.add(asyncio.create_task(coroutine))


def _is_leaving(record: TargetRecord) -> bool:
    return record.faults.draining or record.faults.leaving
