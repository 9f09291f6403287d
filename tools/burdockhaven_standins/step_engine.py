"""Step-based model of an engine: continuous batching with chunked prefill.

The model follows the platform's documentation of engines. Requests are admitted in
order of arrival. Each step generates one token for every decoding request and prefills
up to one chunk of prompts, which lengthens the step; a step also takes longer the more
requests run. Running requests and cached parts of prompts share the memory. If it is
exceeded, cached parts are evicted, least recently used first; then the newest request
is preempted and prefilled again from the start. The model does no I/O and reads no
clock.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class StepEngineConfig:
    """Speed and size of an engine."""

    slots: int = 12
    # Minimum milliseconds from admission to the first token, however short the prompt.
    first_event_ms: float = 62.0
    step_ms: float = 3.27
    # Milliseconds that each running request adds to a step.
    step_ms_per_run: float = 0.0823
    prefill_tokens_per_ms: float = 125.0
    # Additional milliseconds of prefill per million pairs of tokens of one prompt.
    prefill_ms_per_m_pairs: float = 0.263
    # Prompt tokens that are prefilled in one step.
    chunk_tokens: int = 2048
    # Output tokens per event of a stream.
    tokens_per_event: int = 6
    # Capacity in tokens for running requests and cached parts.
    memory_tokens: int = 500_000
    # Factor by which all times are multiplied.
    slowness: float = 1.0


@dataclass(slots=True)
class StepRun:
    """A request at an engine."""

    run_id: int
    prompt_tokens: int
    # Tokens to generate.
    output_tokens: int
    parts: tuple[tuple[str, int], ...] = ()
    # Tokens that remain to be prefilled; set at admission.
    remaining_prefill_tokens: int = 0
    prefilled_tokens: int = 0
    generated_tokens: int = 0
    # Time of admission in seconds.
    admitted_s: float = 0.0
    # Tokens in memory for this request alone, excluding cached parts that it uses.
    held_tokens: int = 0


# Called for each event with the run, the time in seconds and whether the answer is
# complete.
OnEvent = Callable[[StepRun, float, bool], None]
# Called for the first token of each run with the run and the time in seconds.
OnFirstToken = Callable[[StepRun, float], None]


def _ignore_first_token(run: StepRun, at_s: float) -> None:
    """Do nothing."""


@dataclass(slots=True)
class StepEngine:
    """An engine; `advance` executes its next step."""

    config: StepEngineConfig
    on_event: OnEvent
    on_first_token: OnFirstToken = _ignore_first_token
    waiting: deque[StepRun] = field(default_factory=deque)
    prefilling: deque[StepRun] = field(default_factory=deque)
    decoding: dict[int, StepRun] = field(default_factory=dict)
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0
    # Tokens prefilled so far, including repeated prefills.
    prefilled_tokens: int = 0
    # Preemptions so far.
    preemptions: int = 0

    def submit(self, run: StepRun, now: float) -> None:
        """Queue a request; admit it if a slot is free."""
        self.waiting.append(run)
        self._admit(now)

    def cancel(self, run_id: int) -> None:
        """Remove a request, as when its connection is closed."""
        self.waiting = deque(run for run in self.waiting if run.run_id != run_id)
        self.prefilling = deque(run for run in self.prefilling if run.run_id != run_id)
        self.decoding.pop(run_id, None)

    def fits(self, run: StepRun) -> bool:
        """Return whether the request fits into the memory of an empty engine."""
        return run.prompt_tokens + run.output_tokens <= self.config.memory_tokens

    @property
    def used_tokens(self) -> int:
        """Tokens in memory."""
        running = (*self.prefilling, *self.decoding.values())
        return self.cached_tokens + sum(run.held_tokens for run in running)

    @property
    def is_busy(self) -> bool:
        """Whether any request is queued or running."""
        return bool(self.waiting or self.prefilling or self.decoding)

    def advance(self, now: float) -> float:
        """Execute one step that begins now; returns the time at which it ends."""
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
        """Prefill up to one chunk; returns the milliseconds that it takes."""
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
        """Move the parts of a prefilled prompt to the cache, where they are shared."""
        for part, tokens in run.parts:
            if part not in self.cache:
                self.cache[part] = tokens
                self.cached_tokens += tokens
                run.held_tokens = max(0, run.held_tokens - tokens)

    def _free_memory(self) -> None:
        """Evict cached parts, then preempt the newest requests, until memory suffices.

        A request that runs alone is not preempted.
        """
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
        first_ms = self.config.first_event_ms * self.config.slowness
        if run.generated_tokens == 0 and (now - run.admitted_s) * 1e3 < first_ms:
            return
        run.generated_tokens += 1
        if run.generated_tokens == 1:
            self.on_first_token(run, now)
        run.held_tokens += 1
        is_complete = run.generated_tokens >= run.output_tokens
        if run.generated_tokens % self.config.tokens_per_event == 0 or is_complete:
            self.on_event(run, now, is_complete)
        if is_complete:
            del self.decoding[run.run_id]
