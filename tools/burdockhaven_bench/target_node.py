"""A target of the policy bench: the engine model driven in virtual time."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from burdockhaven_bench.virtual_time import Scheduler
from burdockhaven_bench.workload import Arrival
from burdockhaven_core.configuration import TargetSpec
from burdockhaven_standins.engine_model import (
    EngineChunk,
    EngineConfig,
    EngineFinished,
    EngineModel,
    EngineRun,
)

Output = EngineChunk | EngineFinished
Listener = Callable[[Output], None]


@dataclass(frozen=True, slots=True)
class RunCost:
    """Resources that one run used at its target."""

    run_id: str
    # Prompt tokens processed, without those found in the prefix cache.
    processed_tokens: int
    # Time from the start to the end or the cancellation.
    duration_s: float


class TargetNode:
    """A target that sends the outputs of a run to the listener that started it."""

    def __init__(
        self, spec: TargetSpec, config: EngineConfig, scheduler: Scheduler
    ) -> None:
        self.spec = spec
        self.model = EngineModel.from_config(config)
        self.scheduler = scheduler
        # Start of each run in flight.
        self.started_s: dict[str, float] = {}
        self.run_costs: list[RunCost] = []
        self._listeners: dict[str, Listener] = {}
        self._wake_up_s = math.inf

    def start(self, run_id: str, arrival: Arrival, listener: Listener) -> None:
        """Start a run and send its outputs to the listener."""
        now = self.scheduler.now
        self._advance()
        blocks = prompt_blocks(arrival, self.model.config.block_tokens)
        run = EngineRun(run_id, arrival.prompt_tokens, arrival.output_tokens, blocks)
        self.started_s[run_id] = now
        self._listeners[run_id] = listener
        self.model.submit(run, now)
        self._schedule_wake_up()

    def cancel(self, run_id: str) -> None:
        """Cancel a run; no-op if the run has ended."""
        self._advance()
        wasted = self.model.prefill_wasted_tokens
        if run_id in self.started_s and self.model.cancel(run_id, self.scheduler.now):
            self._end_run(run_id, self.model.prefill_wasted_tokens - wasted)
        self._schedule_wake_up()

    def set_slowness(self, slowness: float) -> None:
        """Set the factor by which the target is slower from now on."""
        self._advance()
        self.model.set_slowness(slowness, self.scheduler.now)
        self._schedule_wake_up()

    def _advance(self) -> None:
        for output in self.model.advance(self.scheduler.now):
            listener = self._listeners[output.run_id]
            if isinstance(output, EngineFinished):
                self._end_run(
                    output.run_id, output.prompt_tokens - output.cached_tokens
                )
            listener(output)

    def _end_run(self, run_id: str, processed_tokens: int) -> None:
        del self._listeners[run_id]
        duration_s = self.scheduler.now - self.started_s.pop(run_id)
        self.run_costs.append(RunCost(run_id, processed_tokens, duration_s))

    def _schedule_wake_up(self) -> None:
        at_s = self.model.next_event_s()
        if at_s != self._wake_up_s:
            self._wake_up_s = at_s
            if at_s < math.inf:
                self.scheduler.at(at_s, lambda: self._wake_up(at_s))

    def _wake_up(self, at_s: float) -> None:
        if at_s != self._wake_up_s:
            return
        self._wake_up_s = math.inf
        self._advance()
        self._schedule_wake_up()


def prompt_blocks(arrival: Arrival, block_tokens: int) -> tuple[int, ...]:
    """Hashes of the prompt's blocks, as the prefix cache identifies them.

    Requests with the same prefix share the first blocks.
    """
    shared = arrival.load.shared_tokens // block_tokens if arrival.prefix else 0
    total = arrival.prompt_tokens // block_tokens
    common = [hash((arrival.prefix, index)) for index in range(min(shared, total))]
    own = [hash((arrival.number, index)) for index in range(shared, total)]
    return tuple(common + own)
