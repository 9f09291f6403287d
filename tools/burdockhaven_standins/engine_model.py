"""Discrete-event model of an engine: continuous batching, prefix cache, load report.

The model does no I/O and reads no clock, so that the stand-in process and the policy
bench, which runs in virtual time, use the same engine.
"""

import math
from collections import Counter, deque
from dataclasses import dataclass, field

from burdockhaven_standins.prefix_cache import PrefixCache


@dataclass(frozen=True, slots=True)
class EngineConfig:
    """Speed and memory of an engine."""

    # Runs that can decode concurrently at full speed.
    slots: int = 8
    # Maximum number of runs in the batch; further runs wait in order of arrival.
    max_batch: int = 64
    # Seconds between two tokens of a run while the batch does not exceed the slots.
    token_interval_s: float = 0.02
    # Exponent on the ratio batch / slots; the result is the slowdown above the slots.
    crowding: float = 1.0
    # Uncached prompt tokens prefilled per second; prompts are prefilled one at a time.
    prefill_tokens_per_s: float = 10_000.0
    # Capacity of the prefix cache in tokens.
    cache_tokens: int = 200_000
    # Tokens per block of the prefix cache.
    block_tokens: int = 64
    # Tokens per chunk of the stream.
    chunk_tokens: int = 1
    # Seconds by which load reports lag behind the load.
    load_lag_s: float = 1.0
    # Seconds for which the stream of a finished run can still be resumed.
    hold_s: float = 60.0


@dataclass(frozen=True, slots=True)
class EngineRun:
    """A request as an engine receives it."""

    run_id: str
    prompt_tokens: int
    output_tokens: int
    # Hashes of the prompt's prefixes, from `prompt_blocks`.
    blocks: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class EngineChunk:
    """Output: consecutive tokens of one run."""

    run_id: str
    # Index of the first token in the chunk.
    offset: int
    count: int
    # Time of generation in seconds.
    at_s: float


@dataclass(frozen=True, slots=True)
class EngineFinished:
    """Output: a run has generated all of its tokens."""

    run_id: str
    prompt_tokens: int
    output_tokens: int
    # Prompt tokens that were in the prefix cache.
    cached_tokens: int
    at_s: float


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Numbers of runs in the batch and in the queue."""

    running: int
    waiting: int


class DuplicateRunError(Exception):
    """A run with this id exists already."""


@dataclass(slots=True)
class _Phase:
    """Work in progress, whose speed may change before it is done."""

    # Remaining work in seconds at full speed.
    work_s: float
    # Time in seconds at which `work_s` was last updated.
    since_s: float

    def end_s(self, slowness: float) -> float:
        """Return the time at which the work is done if the slowness stays the same."""
        return self.since_s + self.work_s * slowness

    def record_progress(self, now: float, slowness: float) -> None:
        """Subtract the work done since the last update."""
        self.work_s = max(0.0, self.work_s - (now - self.since_s) / slowness)
        self.since_s = now


@dataclass(slots=True)
class _RunState:
    """A run and its progress."""

    run: EngineRun
    emitted: int = 0
    # Prompt tokens that were in the prefix cache; None until prefill starts.
    cached_tokens: int | None = None
    # Prompt tokens that were prefilled.
    prefilled_tokens: int = 0
    finished_s: float | None = None
    stalled: bool = False


@dataclass(slots=True)
class EngineModel:
    """An engine; `advance` moves it to the current time and returns its output."""

    config: EngineConfig
    cache: PrefixCache
    # Factor by which all times are multiplied; infinite while the engine is stuck.
    slowness: float = 1.0
    # Prompt tokens prefilled so far.
    prefill_done_tokens: int = 0
    # Prompt tokens prefilled for runs that were later cancelled.
    prefill_wasted_tokens: int = 0
    # Tokens generated so far.
    generated_tokens: int = 0
    # Submissions by run id; a count above one is a repeated dispatch.
    submissions: Counter[str] = field(default_factory=Counter)
    # All runs that are queued, in progress, or finished and not yet expired.
    states: dict[str, _RunState] = field(default_factory=dict)
    # Runs that wait to join the batch.
    waiting: deque[_RunState] = field(default_factory=deque)
    # Runs in the batch whose prefill is not done.
    prefilling: deque[_RunState] = field(default_factory=deque)
    # Runs that generate tokens, by id.
    decoding: dict[str, _RunState] = field(default_factory=dict)
    # Finished runs that have not expired, oldest first.
    finished: deque[_RunState] = field(default_factory=deque)
    # Past loads, each with the time from which it applied, oldest first.
    load_history: deque[tuple[float, EngineLoad]] = field(default_factory=deque)
    # Prefill of the first run in `prefilling`.
    prefill: _Phase | None = None
    # Decoding step of the batch.
    step: _Phase | None = None

    @classmethod
    def from_config(cls, config: EngineConfig) -> "EngineModel":
        """Create an idle engine with an empty cache."""
        return cls(config, PrefixCache(config.cache_tokens // config.block_tokens))

    def submit(self, run: EngineRun, now: float) -> None:
        """Submit a run.

        Raises:
            DuplicateRunError: The run id is in use.
        """
        self.submissions[run.run_id] += 1
        if run.run_id in self.states:
            raise DuplicateRunError(run.run_id)
        state = _RunState(run)
        self.states[run.run_id] = state
        self.waiting.append(state)
        self._fill_batch(now)

    def next_event_s(self) -> float:
        """Return the time of the next output; infinite if there is none."""
        return min(self._prefill_end_s(), self._step_end_s())

    def advance(self, now: float) -> list[EngineChunk | EngineFinished]:
        """Return all output up to now, in order."""
        outputs: list[EngineChunk | EngineFinished] = []
        while (at := self.next_event_s()) <= now:
            if self._prefill_end_s() <= at:
                self._end_prefill(at, outputs)
            else:
                self._end_step(at, outputs)
            self._fill_batch(at)
        self._expire_finished(now)
        return outputs

    def cancel(self, run_id: str, now: float) -> bool:
        """Cancel and remove the run; False if it is unknown."""
        state = self.states.pop(run_id, None)
        if state is None:
            return False
        if state.finished_s is not None:
            self.finished.remove(state)
            return True
        if self.prefilling and self.prefilling[0] is state:
            self._abort_prefill(state, now)
        self.prefill_wasted_tokens += state.prefilled_tokens
        self.decoding.pop(run_id, None)
        for queue in (self.waiting, self.prefilling):
            if state in queue:
                queue.remove(state)
        self._fill_batch(now)
        return True

    def stall(self, run_id: str, stalled: bool = True) -> bool:
        """Suspend or resume the token generation of a run; False if it is unknown."""
        state = self.states.get(run_id)
        if state is None:
            return False
        state.stalled = stalled
        return True

    def set_slowness(self, slowness: float, now: float) -> None:
        """Change the factor on all times, including that of work in progress."""
        for phase in (self.prefill, self.step):
            if phase is not None:
                phase.record_progress(now, self.slowness)
        self.slowness = slowness

    def load(self, now: float) -> EngineLoad:
        """Return the load `load_lag_s` ago, as load reports give it."""
        self._trim_load_history(now)
        if (
            not self.load_history
            or self.load_history[0][0] > now - self.config.load_lag_s
        ):
            return EngineLoad(0, 0)
        return self.load_history[0][1]

    def _prefill_end_s(self) -> float:
        return math.inf if self.prefill is None else self.prefill.end_s(self.slowness)

    def _step_end_s(self) -> float:
        return math.inf if self.step is None else self.step.end_s(self.slowness)

    def _fill_batch(self, now: float) -> None:
        batch_size = len(self.prefilling) + len(self.decoding)
        while self.waiting and batch_size < self.config.max_batch:
            self.prefilling.append(self.waiting.popleft())
            batch_size += 1
        if self.prefilling and self.prefill is None:
            self._start_prefill(self.prefilling[0], now)
        if not self.decoding:
            self.step = None
        elif self.step is None:
            self.step = _Phase(self._step_work_s(), now)
        self._record_load(EngineLoad(batch_size, len(self.waiting)), now)

    def _record_load(self, load: EngineLoad, now: float) -> None:
        if not self.load_history or self.load_history[-1][1] != load:
            self.load_history.append((now, load))
            self._trim_load_history(now)

    def _trim_load_history(self, now: float) -> None:
        reported_s = now - self.config.load_lag_s
        while len(self.load_history) > 1 and self.load_history[1][0] <= reported_s:
            self.load_history.popleft()

    def _start_prefill(self, state: _RunState, now: float) -> None:
        cached_tokens = self.cache.match(state.run.blocks) * self.config.block_tokens
        state.cached_tokens = min(cached_tokens, state.run.prompt_tokens)
        uncached_tokens = state.run.prompt_tokens - state.cached_tokens
        self.prefill = _Phase(uncached_tokens / self.config.prefill_tokens_per_s, now)

    def _end_prefill(
        self, at: float, outputs: list[EngineChunk | EngineFinished]
    ) -> None:
        state = self.prefilling.popleft()
        self.prefill = None
        state.prefilled_tokens = state.run.prompt_tokens - (state.cached_tokens or 0)
        self.prefill_done_tokens += state.prefilled_tokens
        self.cache.insert(state.run.blocks)
        self.decoding[state.run.run_id] = state
        self._emit(state, 1, at, outputs)

    def _abort_prefill(self, state: _RunState, now: float) -> None:
        assert self.prefill is not None
        self.prefill.record_progress(now, self.slowness)
        remaining_tokens = self.prefill.work_s * self.config.prefill_tokens_per_s
        uncached_tokens = state.run.prompt_tokens - (state.cached_tokens or 0)
        state.prefilled_tokens = max(0, uncached_tokens - math.ceil(remaining_tokens))
        self.prefill_done_tokens += state.prefilled_tokens
        self.prefill = None

    def _step_work_s(self) -> float:
        relative_load = max(1.0, len(self.decoding) / self.config.slots)
        slowdown = math.pow(relative_load, self.config.crowding)
        interval_s = self.config.token_interval_s * slowdown
        return interval_s * self.config.chunk_tokens

    def _end_step(self, at: float, outputs: list[EngineChunk | EngineFinished]) -> None:
        self.step = None
        for state in list(self.decoding.values()):
            if not state.stalled:
                self._emit(state, self.config.chunk_tokens, at, outputs)

    def _emit(
        self,
        state: _RunState,
        tokens: int,
        at: float,
        outputs: list[EngineChunk | EngineFinished],
    ) -> None:
        run = state.run
        count = min(tokens, run.output_tokens - state.emitted)
        if count > 0:
            outputs.append(EngineChunk(run.run_id, state.emitted, count, at))
        state.emitted += count
        self.generated_tokens += count
        if state.emitted >= run.output_tokens:
            self._finish(state, at)
            outputs.append(
                EngineFinished(
                    run.run_id,
                    run.prompt_tokens,
                    run.output_tokens,
                    state.cached_tokens or 0,
                    at,
                )
            )

    def _finish(self, state: _RunState, at: float) -> None:
        del self.decoding[state.run.run_id]
        state.finished_s = at
        self.finished.append(state)

    def _expire_finished(self, now: float) -> None:
        while (
            self.finished
            and now - (self.finished[0].finished_s or 0) > self.config.hold_s
        ):
            del self.states[self.finished.popleft().run.run_id]
