"""What a broker believes of one model engine: its work, its speed, its cached parts.

Reports of engines are stale, so all of this comes from what was sent and answered.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

# Milliseconds in which an engine of ordinary speed reads one prompt token. The platform
# states 125 tokens a millisecond; the speed of each engine is learned relative to this.
PREFILL_MS_PER_TOKEN = 1 / 125
# Milliseconds that reading adds for each million pairs of tokens of one prompt.
PREFILL_MS_PER_MILLION_PAIRS = 0.263
# Milliseconds from an empty engine to the first event beside the reading of the prompt.
FIRST_EVENT_BASE_MS = 70.0
# Milliseconds of one step at a half full batch, by the platform's figures.
STEP_MS = 3.9
# Prompt tokens that are read between two steps of the other requests.
CHUNK_TOKENS = 2048
# Weight of a new measurement of the speed.
SPEED_EWMA_WEIGHT = 0.25
# Weight of a new outcome in the rate of failures.
FAILURE_EWMA_WEIGHT = 0.15
# An engine counts as stalled when a first event is so many times later than predicted,
STALL_FACTOR = 4.0
# and at least so many milliseconds late.
STALL_MIN_MS = 900.0
# A prompt counts as being read for so many times the predicted time.
OVERDUE_FACTOR = 3.0
# Seconds for which an engine that could not be reached gets nothing, at first and at
# most; each failure in a row doubles it.
EJECTION_BASE_S = 0.5
EJECTION_MAX_S = 4.0
# Part of an engine's memory that its cached parts are assumed to fill.
CACHE_FILL_FRACTION = 0.7


@dataclass(slots=True)
class Run:
    """One request that is under way at an engine."""

    sender: str
    incarnation: int
    number: int
    prompt_tokens: int
    # Prompt tokens that the engine has to read.
    prefill_tokens: int
    # Monotonic seconds of the grant.
    granted_s: float
    # Milliseconds from the grant in which the first event was predicted.
    predicted_ms: float
    first_event_seen: bool = False
    # Empty where it is known by a report only.
    route: str = ""

    def age_ms(self, now: float) -> float:
        """Milliseconds since the grant."""
        return (now - self.granted_s) * 1e3


@dataclass(slots=True)
class EngineLoad:
    """The belief about one engine."""

    target: str
    slots: int
    tokens_per_event: int
    cache_tokens: int
    # Time for a step relative to an engine of ordinary speed.
    slowness: float = 1.0
    # Whether the speed was measured.
    is_speed_measured: bool = False
    # Share of the last runs that failed.
    failure_rate: float = 0.0
    # Failures to reach it in a row.
    connect_failures: int = 0
    ejected_until_s: float = 0.0
    # When a run last began or ended well.
    last_progress_s: float = 0.0
    runs: dict[tuple[str, int, int], Run] = field(default_factory=dict)
    # Tokens of each part that the engine is assumed to keep, the oldest use first.
    cached_parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached_part_tokens: int = 0

    def prefill_ms(self, tokens: int) -> float:
        """Milliseconds to read so many tokens of one prompt, alone."""
        million_pairs = tokens * tokens / 2e6
        nominal_ms = (
            tokens * PREFILL_MS_PER_TOKEN + million_pairs * PREFILL_MS_PER_MILLION_PAIRS
        )
        return nominal_ms * self.slowness

    def prefill_tokens(
        self, parts: tuple[tuple[str, int], ...], prompt_tokens: int
    ) -> int:
        """Tokens of a prompt that the engine has to read."""
        cached_tokens = 0
        for part, tokens in parts:
            if part not in self.cached_parts:
                break
            cached_tokens += tokens
        return max(0, prompt_tokens - cached_tokens)

    def _prefilling_runs(self, now: float) -> list["Run"]:
        """Runs whose prompts are read or wait for it; not those that seem lost."""
        return [
            run
            for run in self.runs.values()
            if not run.first_event_seen
            and run.age_ms(now) <= OVERDUE_FACTOR * run.predicted_ms
        ]

    def backlog_tokens(self, now: float) -> int:
        """Tokens of prompts that were sent and are not read yet."""
        return sum(run.prefill_tokens for run in self._prefilling_runs(now))

    def backlog_ms(self, now: float) -> float:
        """Milliseconds until the prompts before a new one are read."""
        reading = self._prefilling_runs(now)
        total_ms = sum(self.prefill_ms(run.prefill_tokens) for run in reading)
        elapsed_ms = max((run.age_ms(now) for run in reading), default=0.0)
        return max(0.0, total_ms - elapsed_ms)

    def first_event_ms(self, prefill_tokens: int, now: float) -> float:
        """Milliseconds in which a new request would bring its first event."""
        reading = self.backlog_ms(now) + self.prefill_ms(prefill_tokens)
        return FIRST_EVENT_BASE_MS * self.slowness + reading

    def pause_ms(self, prefill_tokens: int, now: float) -> float:
        """The longest pause that a new prompt causes in the other streams."""
        steps = self.tokens_per_event
        read = min(self.backlog_tokens(now) + prefill_tokens, steps * CHUNK_TOKENS)
        return self.slowness * (read * PREFILL_MS_PER_TOKEN + steps * STEP_MS)

    def is_stalled(self, now: float) -> bool:
        """Whether it seems to hang: a first event is overdue, and no other news came.

        A single answer that was lost does not count against an engine that goes on
        with its other runs.
        """
        for run in self.runs.values():
            if run.first_event_seen or self.last_progress_s > run.granted_s:
                continue
            limit_ms = max(STALL_FACTOR * run.predicted_ms, STALL_MIN_MS)
            if run.age_ms(now) > limit_ms:
                return True
        return False

    def decode_ms(self, output_tokens: int) -> float:
        """Milliseconds from the first event to the end of an answer."""
        return output_tokens * STEP_MS * self.slowness

    def is_available(self, now: float) -> bool:
        """Whether it can be given a request now."""
        return (
            self.free_slots() > 0
            and self.ejected_until_s <= now
            and not self.is_stalled(now)
        )

    def free_slots(self) -> int:
        """Requests that fit into its batch."""
        return self.slots - len(self.runs)

    def add_run(self, run: Run, parts: tuple[tuple[str, int], ...]) -> None:
        """A request is about to be sent."""
        self.runs[run.sender, run.incarnation, run.number] = run
        for part, tokens in parts:
            if part in self.cached_parts:
                self.cached_parts.move_to_end(part)
            else:
                self.cached_parts[part] = tokens
                self.cached_part_tokens += tokens
        while (
            self.cached_part_tokens > CACHE_FILL_FRACTION * self.cache_tokens
            and self.cached_parts
        ):
            self.cached_part_tokens -= self.cached_parts.popitem(last=False)[1]

    def record_pause(self, pause_ms: float) -> None:
        """An undisturbed pause between two events of a stream."""
        observed = pause_ms / (self.tokens_per_event * STEP_MS)
        if not self.is_speed_measured:
            self.slowness, self.is_speed_measured = observed, True
        else:
            self.slowness += SPEED_EWMA_WEIGHT * (observed - self.slowness)
        self.slowness = min(20.0, max(0.2, self.slowness))

    def record_progress(self, now: float) -> None:
        """A run has begun or ended well."""
        self.last_progress_s = now
        self.connect_failures = 0

    def record_success(self) -> None:
        """A run ended well."""
        self.failure_rate *= 1 - FAILURE_EWMA_WEIGHT

    def record_failure(self) -> None:
        """A run failed at the engine."""
        self.failure_rate += FAILURE_EWMA_WEIGHT * (1 - self.failure_rate)

    def eject(self, now: float) -> None:
        """The engine could not be reached; send it nothing for a while."""
        ejection_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2**self.connect_failures)
        self.connect_failures += 1
        self.ejected_until_s = now + ejection_s
        self.cached_parts.clear()
        self.cached_part_tokens = 0

    def describe(self, now: float) -> str:
        """Its load and state in a few words, for the log."""
        pending = sum(not run.first_event_seen for run in self.runs.values())
        state = "ejected" if self.ejected_until_s > now else "open"
        if self.is_stalled(now):
            state = "stalled"
        return (
            f"{self.target} {len(self.runs)}/{self.slots} pending {pending} "
            f"x{self.slowness:.2f} failures {self.failure_rate:.2f} {state}"
        )
