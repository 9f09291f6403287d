"""Load model of one model engine: runs in flight, speed and prefix cache.

The load that engines report is stale by the time it arrives, so the model is built only
from the requests that were sent and from their responses.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

# Milliseconds to prefill one prompt token on an engine of nominal speed. The platform
# states 125 tokens per millisecond; the speed of each engine is relative to this.
PREFILL_MS_PER_TOKEN = 1 / 125
# Milliseconds that prefill takes in addition per million pairs of tokens of one prompt.
PREFILL_MS_PER_MILLION_PAIRS = 0.263
# Milliseconds to the first event on an idle engine, excluding the prefill.
FIRST_EVENT_BASE_MS = 70.0
# Milliseconds of one decoding step at a half full batch, as the platform states.
STEP_MS = 3.9
# Prompt tokens that an engine prefills between two decoding steps of other requests.
CHUNK_TOKENS = 2048
# Weight of a new measurement in the moving average of the speed.
SPEED_EWMA_WEIGHT = 0.25
# Weight of a new outcome in the moving average of the failure rate.
FAILURE_EWMA_WEIGHT = 0.15
# An engine counts as stalled when a first event takes longer than the predicted time
# multiplied by this factor, and longer than `STALL_MIN_MS`.
STALL_FACTOR = 4.0
STALL_MIN_MS = 900.0
# A run without a first event counts towards the prefill backlog for its predicted time
# multiplied by this factor.
OVERDUE_FACTOR = 3.0
# Seconds for which an engine is ejected after a failed connection, and the upper bound;
# each consecutive failure doubles the time.
EJECTION_BASE_S = 0.5
EJECTION_MAX_S = 4.0
# Fraction of an engine's cache that cached prompt parts are assumed to fill.
CACHE_FILL_FRACTION = 0.7


@dataclass(slots=True)
class Run:
    """One request in flight at an engine."""

    sender: str
    incarnation: int
    number: int
    prompt_tokens: int
    # Prompt tokens that the engine has to prefill.
    prefill_tokens: int
    # Monotonic time of the grant in seconds.
    granted_s: float
    # Predicted milliseconds from the grant to the first event.
    predicted_ms: float
    first_event_seen: bool = False
    # Empty for a run that is known only from a member's report.
    route: str = ""

    def age_ms(self, now: float) -> float:
        """Return the milliseconds since the grant."""
        return (now - self.granted_s) * 1e3


@dataclass(slots=True)
class EngineLoad:
    """Estimated state of one engine."""

    target: str
    slots: int
    tokens_per_event: int
    cache_tokens: int
    # Time of a decoding step relative to an engine of nominal speed.
    slowness: float = 1.0
    # Whether `slowness` was measured rather than assumed.
    is_speed_measured: bool = False
    # Moving average of the share of runs that failed.
    failure_rate: float = 0.0
    # Consecutive failures to connect to the engine.
    connect_failures: int = 0
    ejected_until_s: float = 0.0
    # When a run last produced its first event or completed.
    last_progress_s: float = 0.0
    runs: dict[tuple[str, int, int], Run] = field(default_factory=dict)
    # Tokens of each prompt part assumed to be cached, least recently used first.
    cached_parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached_part_tokens: int = 0

    def prefill_ms(self, tokens: int) -> float:
        """Return the milliseconds to prefill one prompt on an otherwise idle engine."""
        million_pairs = tokens * tokens / 2e6
        nominal_ms = (
            tokens * PREFILL_MS_PER_TOKEN + million_pairs * PREFILL_MS_PER_MILLION_PAIRS
        )
        return nominal_ms * self.slowness

    def prefill_tokens(
        self, parts: tuple[tuple[str, int], ...], prompt_tokens: int
    ) -> int:
        """Return the tokens of a prompt that follow its cached prefix of parts."""
        cached_tokens = 0
        for part, tokens in parts:
            if part not in self.cached_parts:
                break
            cached_tokens += tokens
        return max(0, prompt_tokens - cached_tokens)

    def _prefilling_runs(self, now: float) -> list["Run"]:
        """Return the runs in prefill or waiting for it, except overdue ones."""
        return [
            run
            for run in self.runs.values()
            if not run.first_event_seen
            and run.age_ms(now) <= OVERDUE_FACTOR * run.predicted_ms
        ]

    def backlog_tokens(self, now: float) -> int:
        """Return the prompt tokens that were sent and are not prefilled yet."""
        return sum(run.prefill_tokens for run in self._prefilling_runs(now))

    def backlog_ms(self, now: float) -> float:
        """Return the milliseconds until the prompts sent so far are prefilled."""
        runs = self._prefilling_runs(now)
        total_ms = sum(self.prefill_ms(run.prefill_tokens) for run in runs)
        elapsed_ms = max((run.age_ms(now) for run in runs), default=0.0)
        return max(0.0, total_ms - elapsed_ms)

    def first_event_ms(self, prefill_tokens: int, now: float) -> float:
        """Predict the milliseconds to the first event of a new request."""
        prefill_ms = self.backlog_ms(now) + self.prefill_ms(prefill_tokens)
        return FIRST_EVENT_BASE_MS * self.slowness + prefill_ms

    def pause_ms(self, prefill_tokens: int, now: float) -> float:
        """Predict the longest pause that a new prompt causes in other streams."""
        steps = self.tokens_per_event
        tokens = min(self.backlog_tokens(now) + prefill_tokens, steps * CHUNK_TOKENS)
        return self.slowness * (tokens * PREFILL_MS_PER_TOKEN + steps * STEP_MS)

    def is_stalled(self, now: float) -> bool:
        """Whether a first event is overdue and no other run has progressed since.

        A single lost response does not make an engine stalled while its other runs
        progress.
        """
        for run in self.runs.values():
            if run.first_event_seen or self.last_progress_s > run.granted_s:
                continue
            limit_ms = max(STALL_FACTOR * run.predicted_ms, STALL_MIN_MS)
            if run.age_ms(now) > limit_ms:
                return True
        return False

    def decode_ms(self, output_tokens: int) -> float:
        """Predict the milliseconds from the first event to the end of a response."""
        return output_tokens * STEP_MS * self.slowness

    def is_available(self, now: float) -> bool:
        """Whether the engine can accept a request now."""
        return (
            self.free_slots() > 0
            and self.ejected_until_s <= now
            and not self.is_stalled(now)
        )

    def free_slots(self) -> int:
        """Return the number of requests that still fit into the batch."""
        return self.slots - len(self.runs)

    def add_run(self, run: Run, parts: tuple[tuple[str, int], ...]) -> None:
        """Add a run and cache its prompt parts, evicting the least recently used."""
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
        """Update the speed from a pause between events that no prefill lengthened."""
        observed = pause_ms / (self.tokens_per_event * STEP_MS)
        if not self.is_speed_measured:
            self.slowness, self.is_speed_measured = observed, True
        else:
            self.slowness += SPEED_EWMA_WEIGHT * (observed - self.slowness)
        self.slowness = min(20.0, max(0.2, self.slowness))

    def record_progress(self, now: float) -> None:
        """Record that a run produced its first event or completed."""
        self.last_progress_s = now
        self.connect_failures = 0

    def record_success(self) -> None:
        """Record that a run completed."""
        self.failure_rate *= 1 - FAILURE_EWMA_WEIGHT

    def record_failure(self) -> None:
        """Record that a run failed or was rejected."""
        self.failure_rate += FAILURE_EWMA_WEIGHT * (1 - self.failure_rate)

    def eject(self, now: float) -> None:
        """Eject the engine for a time that doubles, after a failed connection.

        Its cache is assumed to be lost.
        """
        ejection_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2**self.connect_failures)
        self.connect_failures += 1
        self.ejected_until_s = now + ejection_s
        self.cached_parts.clear()
        self.cached_part_tokens = 0

    def describe(self, now: float) -> str:
        """Return the load and state as one line for the log."""
        pending = sum(not run.first_event_seen for run in self.runs.values())
        state = "ejected" if self.ejected_until_s > now else "open"
        if self.is_stalled(now):
            state = "stalled"
        return (
            f"{self.target} {len(self.runs)}/{self.slots} pending {pending} "
            f"x{self.slowness:.2f} failures {self.failure_rate:.2f} {state}"
        )
