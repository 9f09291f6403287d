"""Learns how fast the engines of a service are, from their responses.

Engines of one service run the same model on unlike hardware. Times are therefore split
into a service's times on a nominal engine and a slowness factor for each engine. A
nominal engine is one of median speed among those that were measured.
"""

from dataclasses import dataclass, field

from burdockhaven_core.capacity import SlowShare
from burdockhaven_core.scheduling.first_event_model import FirstEventModel

# Milliseconds of one decoding step that are assumed until they are measured.
ASSUMED_STEP_MS = 5.0
# Prompt tokens that an engine is assumed to prefill between two decoding steps, until
# pauses show it.
ASSUMED_CHUNK_TOKENS = 1_500
# Weight of a new prediction error in the moving average.
ERROR_EWMA_WEIGHT = 0.05
# Weight of a new pause in the moving average of an engine's step time.
STEP_EWMA_WEIGHT = 0.25
# Ratio of a new step time to the average beyond which the new one replaces it: the
# engine has slowed down. Short pauses are averaged, because events that were delayed on
# the way arrive together.
SLOWDOWN_RATIO = 2.0
# Bounds of an engine's slowness.
MIN_SLOWNESS = 0.2
MAX_SLOWNESS = 20.0
# Share of the pauses during prefill that the learned limit should cover, and the
# relative size of its adjustments.
PAUSE_QUANTILE = 0.95
PAUSE_ADJUSTMENT = 0.2
# A pause shows the limit only if an unlimited one would exceed it by this factor.
PAUSE_INFORMATIVE_RATIO = 1.5


@dataclass(slots=True)
class ServiceSpeed:
    """Times of a service on a nominal engine, learned from all its engines."""

    tokens_per_event: int = 1
    first_event: FirstEventModel = field(default_factory=FirstEventModel)
    # Measured milliseconds of one decoding step, by engine.
    step_ms_by_engine: dict[str, float] = field(default_factory=dict)
    nominal_step_ms: float = ASSUMED_STEP_MS
    # Longest pause that prefill causes, however long the prompt; None until one has
    # been seen that the length of the prompt does not explain.
    prefill_pause_limit_ms: float | None = None
    # Moving average of the relative errors of predicted first events.
    first_event_error: float = 0.0
    # How often the engines' machines are slow through other work on them.
    slow_machines: SlowShare = field(default_factory=SlowShare)

    def slowness(self, target: str) -> float:
        """Return an engine's time for a step relative to a nominal engine."""
        step_ms = self.step_ms_by_engine.get(target)
        if step_ms is None:
            return 1.0
        return min(MAX_SLOWNESS, max(MIN_SLOWNESS, step_ms / self.nominal_step_ms))

    def is_measured(self, target: str) -> bool:
        """Whether an engine's speed was measured rather than assumed."""
        return target in self.step_ms_by_engine

    def prefill_ms(self, tokens: int) -> float:
        """Return the milliseconds to prefill tokens on a nominal engine."""
        return self.first_event.prefill_ms(tokens)

    def pause_ms(self, prefill_tokens: int) -> float:
        """Predict the longest pause in streams while tokens are prefilled beside."""
        return self._steps_ms() + min(
            self.prefill_ms(prefill_tokens), self._prefill_pause_limit_ms()
        )

    def record_first_event(
        self, target: str, prefill_tokens: int, measured_ms: float
    ) -> None:
        """Learn from a first event that no other prompt has delayed."""
        slowness = self.slowness(target)
        predicted_ms = self.first_event.predict_ms(prefill_tokens, slowness)
        error = abs(predicted_ms - measured_ms) / max(1.0, measured_ms)
        self.first_event_error += ERROR_EWMA_WEIGHT * (error - self.first_event_error)
        self.first_event.record(prefill_tokens, slowness, measured_ms)

    def record_pause(self, target: str, pause_ms: float) -> None:
        """Learn an engine's step time from a pause that no prefill has lengthened."""
        observed_ms = pause_ms / self.tokens_per_event
        known_ms = self.step_ms_by_engine.get(target)
        if known_ms is None or observed_ms > SLOWDOWN_RATIO * known_ms:
            step_ms = observed_ms
        else:
            step_ms = known_ms + STEP_EWMA_WEIGHT * (observed_ms - known_ms)
        self.step_ms_by_engine[target] = step_ms
        self._update_nominal()

    def record_prefill_pause(
        self, target: str, prefill_tokens: int, longest_pause_ms: float
    ) -> None:
        """Learn how long the prefill of a prompt pauses the streams beside it."""
        measured_ms = longest_pause_ms / self.slowness(target) - self._steps_ms()
        limit_ms = self._prefill_pause_limit_ms()
        unlimited_ms = self.prefill_ms(prefill_tokens)
        if not limit_ms or unlimited_ms < PAUSE_INFORMATIVE_RATIO * limit_ms:
            return
        exceeds = measured_ms > limit_ms
        # Pauses on a machine that is slow through other work don't come from the
        # prompt. Counted as its own, they would keep long prompts from every engine
        # that has runs.
        covered = PAUSE_QUANTILE * (1.0 - self.slow_machines.share)
        quantile = covered if exceeds else covered - 1.0
        self.prefill_pause_limit_ms = limit_ms * (1.0 + PAUSE_ADJUSTMENT * quantile)

    def retain(self, targets: set[str]) -> None:
        """Discard the step times of all other engines."""
        for target in self.step_ms_by_engine.keys() - targets:
            del self.step_ms_by_engine[target]
        self._update_nominal()

    def _steps_ms(self) -> float:
        return self.tokens_per_event * self.nominal_step_ms

    def _prefill_pause_limit_ms(self) -> float:
        if self.prefill_pause_limit_ms is not None:
            return self.prefill_pause_limit_ms
        return self.tokens_per_event * self.prefill_ms(ASSUMED_CHUNK_TOKENS)

    def _update_nominal(self) -> None:
        steps_ms = sorted(self.step_ms_by_engine.values())
        if steps_ms:
            self.nominal_step_ms = steps_ms[len(steps_ms) // 2]
