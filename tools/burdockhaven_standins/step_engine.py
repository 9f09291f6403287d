"""A model engine step by step: a batch of slots, prompts read in chunks between tokens.

It follows what the platform's pages say of engines: requests are admitted in order of
arrival; each step gives every decoding request one token; the prompt that is read
lengthens the step by one chunk; a step takes longer the more requests run. Running
requests and kept parts of prompts share the memory: parts yield, the least recently
used first, then the newest request is preempted and read again from its start. It does
no I/O and reads no clock.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

# Milliseconds from admission to the first event beside the reading of the prompt.
FIRST_EVENT_MS = 62.0


@dataclass(frozen=True, slots=True)
class StepEngineConfig:
    """Speed and size of one engine."""

    slots: int = 12
    step_ms: float = 3.27
    # What each request in the batch adds to a step.
    step_ms_per_run: float = 0.0823
    prefill_tokens_per_ms: float = 125.0
    # What reading adds for each million pairs of tokens of a prompt.
    prefill_ms_per_m_pairs: float = 0.263
    # Prompt tokens that one step reads.
    chunk_tokens: int = 2048
    # Tokens in one event of a stream.
    tokens_per_event: int = 6
    # Tokens of running requests and kept parts together.
    memory_tokens: int = 500_000
    # Factor on all times.
    slowness: float = 1.0


@dataclass(slots=True)
class StepRun:
    """One request at an engine."""

    run_id: int
    prompt_tokens: int
    # Tokens that it generates.
    output_tokens: int
    parts: tuple[tuple[str, int], ...] = ()
    # Prompt tokens that are still to be read; set at admission.
    remaining_prefill_tokens: int = 0
    prefilled_tokens: int = 0
    generated_tokens: int = 0
    # When it was admitted.
    admitted_s: float = 0.0
    # Tokens that it holds itself, beside the kept parts that it uses.
    held_tokens: int = 0


# Told the run, the time in seconds and whether the answer is whole.
OnEvent = Callable[[StepRun, float, bool], None]


@dataclass(slots=True)
class StepEngine:
    """One engine; `advance` makes its next step."""

    config: StepEngineConfig
    on_event: OnEvent
    waiting: deque[StepRun] = field(default_factory=deque)
    prefilling: deque[StepRun] = field(default_factory=deque)
    decoding: dict[int, StepRun] = field(default_factory=dict)
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0
    # Tokens of prompts that were read.
    prefilled_tokens: int = 0
    # Times that a request was preempted.
    preemptions: int = 0

    def submit(self, run: StepRun, now: float) -> None:
        """Take a request, as every engine does."""
        self.waiting.append(run)
        self._admit(now)

    def cancel(self, run_id: int) -> None:
        """The connection of a request was closed."""
        self.waiting = deque(run for run in self.waiting if run.run_id != run_id)
        self.prefilling = deque(run for run in self.prefilling if run.run_id != run_id)
        self.decoding.pop(run_id, None)

    def fits(self, run: StepRun) -> bool:
        """Whether the memory can hold the request at all."""
        return run.prompt_tokens + run.output_tokens <= self.config.memory_tokens

    @property
    def used_tokens(self) -> int:
        """Memory in use."""
        running = (*self.prefilling, *self.decoding.values())
        return self.cached_tokens + sum(run.held_tokens for run in running)

    @property
    def is_busy(self) -> bool:
        """Whether there is anything to do."""
        return bool(self.waiting or self.prefilling or self.decoding)

    def advance(self, now: float) -> float:
        """Make one step that begins now; gives the time at which it ends."""
        self._admit(now)
        running = len(self.prefilling) + len(self.decoding)
        step_ms = self.config.step_ms + self.config.step_ms_per_run * running
        step_ms += self._prefill_chunk()
        end_s = now + step_ms * self.config.slowness / 1e3
        for run in list(self.decoding.values()):
            self._generate(run, end_s)
        while self.prefilling and self.prefilling[0].remaining_prefill_tokens <= 0:
            run = self.prefilling.popleft()
            self.decoding[run.run_id] = run
        self._free_memory()
        return end_s

    def _admit(self, now: float) -> None:
        while self.waiting and (
            len(self.prefilling) + len(self.decoding) < self.config.slots
        ):
            run = self.waiting.popleft()
            run.admitted_s = now
            total_tokens = run.prompt_tokens + run.generated_tokens
            run.remaining_prefill_tokens = max(
                1, total_tokens - self._cached_prefix_tokens(run.parts)
            )
            run.prefilled_tokens = run.held_tokens = 0
            self.prefilling.append(run)

    def _cached_prefix_tokens(self, parts: tuple[tuple[str, int], ...]) -> int:
        cached = 0
        for part, tokens in parts:
            if part not in self.cache:
                break
            self.cache.move_to_end(part)
            cached += tokens
        return cached

    def _prefill_chunk(self) -> float:
        """Read up to one chunk; gives the milliseconds that it takes."""
        remaining_tokens = self.config.chunk_tokens
        total_ms = 0.0
        for run in self.prefilling:
            if remaining_tokens <= 0:
                break
            tokens = min(remaining_tokens, run.remaining_prefill_tokens)
            million_pairs = tokens * (run.prefilled_tokens + tokens / 2) / 1e6
            total_ms += tokens / self.config.prefill_tokens_per_ms
            total_ms += million_pairs * self.config.prefill_ms_per_m_pairs
            run.remaining_prefill_tokens -= tokens
            run.prefilled_tokens += tokens
            run.held_tokens += tokens
            remaining_tokens -= tokens
            self.prefilled_tokens += tokens
            if run.remaining_prefill_tokens <= 0:
                self._cache_parts(run)
        return total_ms

    def _cache_parts(self, run: StepRun) -> None:
        """Keep the parts of a prompt that was read; the request uses them there."""
        for part, tokens in run.parts:
            if part not in self.cache:
                self.cache[part] = tokens
                self.cached_tokens += tokens
                run.held_tokens = max(0, run.held_tokens - tokens)

    def _free_memory(self) -> None:
        """Let kept parts yield, then preempt the newest requests."""
        while self.used_tokens > self.config.memory_tokens and self.cache:
            self.cached_tokens -= self.cache.popitem(last=False)[1]
        while self.used_tokens > self.config.memory_tokens:
            running = [*self.prefilling, *self.decoding.values()]
            if len(running) < 2:
                return
            newest = max(running, key=lambda run: (run.admitted_s, run.run_id))
            self.cancel(newest.run_id)
            self.preemptions += 1
            self.waiting.appendleft(newest)

    def _generate(self, run: StepRun, now: float) -> None:
        first_ms = FIRST_EVENT_MS * self.config.slowness
        if run.generated_tokens == 0 and (now - run.admitted_s) * 1e3 < first_ms:
            return
        run.generated_tokens += 1
        run.held_tokens += 1
        is_complete = run.generated_tokens >= run.output_tokens
        if run.generated_tokens % self.config.tokens_per_event == 0 or is_complete:
            self.on_event(run, now, is_complete)
        if is_complete:
            del self.decoding[run.run_id]
