"""Simulated network of a site: entries, targets and callers linked with delays."""

import random

from burdockhaven_bench import entry_node
from burdockhaven_bench.callers import Callers
from burdockhaven_bench.sites import Site
from burdockhaven_bench.target_node import TargetNode
from burdockhaven_bench.virtual_time import Scheduler
from burdockhaven_core.actions import AnswerLookUp
from burdockhaven_core.configuration import GroupKind, TargetSpec
from burdockhaven_core.events import Event, LoadReported
from burdockhaven_core.identity import EntryName, MemberId, RunId, TargetName
from burdockhaven_core.outcome import Outcome
from burdockhaven_standins.engine_model import EngineChunk, EngineFinished

# One-way delay within an availability zone.
SAME_ZONE_DELAY_S = 0.0001


class Network:
    """The nodes of one simulation and the delayed messages between them."""

    def __init__(self, site: Site, scheduler: Scheduler, rng: random.Random) -> None:
        self.site = site
        self.scheduler = scheduler
        self.rng = rng
        self.callers = Callers(self)
        self.entries: dict[MemberId, entry_node.EntryNode] = {}
        self.targets: dict[TargetName, TargetNode] = {}
        # Targets that do not stream: each answer arrives as a single event.
        self.service_targets: set[TargetName] = set()
        for group in site.groups:
            for spec, engine in zip(group.spec.targets, group.engines, strict=True):
                self.targets[spec.name] = TargetNode(spec, engine, scheduler)
                if group.spec.kind is GroupKind.SERVICE:
                    self.service_targets.add(spec.name)

    def delay_s(self, zone: str, other: str) -> float:
        """One-way delay between two availability zones."""
        return SAME_ZONE_DELAY_S if zone == other else self.site.cross_zone_delay_s

    def live_entries(self) -> list["entry_node.EntryNode"]:
        """The running entries."""
        return [node for node in self.entries.values() if node.alive]

    def entry_named(self, name: EntryName) -> "entry_node.EntryNode":
        """Find an entry by its name."""
        return next(n for n in self.entries.values() if n.member_id.entry == name)

    def send_to_entry(
        self, sender: "entry_node.EntryNode", to: MemberId, event: Event
    ) -> None:
        """Deliver an event to another entry after the delay between their zones."""
        node = self.entries.get(to)
        if node is None:
            return
        delay_s = self.delay_s(sender.parameters.zone, node.parameters.zone)
        self.scheduler.after(delay_s, lambda: node.feed(event))

    def send_to_caller(self, handle: int, answer: Outcome | AnswerLookUp) -> None:
        """Deliver an answer to the caller with this handle."""
        self.scheduler.after(
            self.site.client_delay_s, lambda: self.callers.on_answer(handle, answer)
        )

    def start_run(
        self,
        node: "entry_node.EntryNode",
        run_id: RunId,
        spec: TargetSpec,
    ) -> None:
        """Deliver a dispatch to its target and the outputs back to the entry."""
        arrival = self.callers.by_run[run_id].arrival
        target = self.targets[spec.name]
        delay_s = self.delay_s(node.parameters.zone, spec.zone)
        is_service = spec.name in self.service_targets

        def deliver(output: EngineChunk | EngineFinished) -> None:
            if is_service and isinstance(output, EngineChunk):
                return
            self.scheduler.after(delay_s, lambda: node.on_output(output))

        self.scheduler.after(delay_s, lambda: target.start(run_id, arrival, deliver))

    def cancel_run(
        self, node: "entry_node.EntryNode", run_id: RunId, spec: TargetSpec
    ) -> None:
        """Deliver a cancellation to its target."""
        delay_s = self.delay_s(node.parameters.zone, spec.zone)
        target = self.targets[spec.name]
        self.scheduler.after(delay_s, lambda: target.cancel(run_id))

    def poll_loads(self) -> None:
        """Deliver a load report of every target to every live entry."""
        for target in self.targets.values():
            load = target.model.load(self.scheduler.now)
            event = LoadReported(target.spec.name, load.running, load.waiting)
            for node in self.live_entries():
                node.feed(event)
