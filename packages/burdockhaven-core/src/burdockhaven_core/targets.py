"""What this entry knows of each target, learned from its own requests.

Load reports are stale, so they only add to what the entry has seen itself.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from burdockhaven_core.configuration import Configuration, GroupKind, TargetSpec
from burdockhaven_core.identity import GroupName, RunId, TargetName
from burdockhaven_core.messages import GroupDemand

# Weight of the newest sample in a moving average.
EWMA_WEIGHT = 0.1
# Weight of the newest call in the average pace of a plain service.
CALL_EWMA_WEIGHT = 0.1
# Pace of a plain service that has not been used yet.
DEFAULT_CALL_INTERVAL_S = 0.001
# Seconds of streaming that the average of token intervals covers.
DECODE_EWMA_WINDOW_S = 4.0
# Seconds between tokens assumed of a target that has not been used yet.
DEFAULT_TOKEN_INTERVAL_S = 0.04
# Prompt tokens a second assumed of a target that has not been used yet.
DEFAULT_PREFILL_RATE = 8_000.0
# Prompts at least this long count in full in the average prefill rate.
FULL_WEIGHT_PROMPT_TOKENS = 4_000
# Weight of another entry's measurement of a target's speed.
PEER_EWMA_WEIGHT = 0.1
# Seconds for which a measurement of a target's speed is told to others.
MEASUREMENT_VALIDITY_S = 2.0
US_PER_S = 1_000_000
# Seconds that a run is assumed to hold a slot of a target not used yet.
DEFAULT_RUN_DURATION_S = 10.0
# Seconds that a request may be kept from its slot by others already at the target.
MAX_TARGET_QUEUE_S = 0.5
# Requests beyond its slots that a target may have, as a multiple of the slots.
MAX_OVERCOMMIT = 2.0
# The same at least: some requests are in prefill and use no slot yet.
MIN_OVERCOMMIT = 0.2
# Seconds for which a target that refused a connection gets no new work.
REFUSAL_PAUSE_S = 1.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A target's own word on its load, of some time ago."""

    running: int
    waiting: int
    received_s: float


class TargetState:
    """One target as seen by this entry."""

    def __init__(
        self, spec: TargetSpec, interval_s: float = DEFAULT_TOKEN_INTERVAL_S
    ) -> None:
        self.spec = spec
        # Runs of this entry that hold a slot of the target.
        self.runs: set[RunId] = set()
        self.report: LoadReport | None = None
        # Moving average of the seconds between tokens; for a plain service, of the
        # seconds in which it does a millisecond's work of its fastest equal.
        self.token_interval_s = interval_s
        # Moving averages of the prompt tokens of a run and of the seconds from its
        # dispatch to the first token.
        self.mean_prompt_tokens = DEFAULT_PREFILL_RATE
        self.mean_prefill_s = 1.0
        # Moving average of the seconds that a run holds a slot.
        self.mean_run_duration_s = DEFAULT_RUN_DURATION_S
        # Requests that this entry may have under way here.
        self.limit = spec.slots
        # No new work before this time.
        self.paused_until_s = 0.0
        # When this entry last measured the token interval.
        self.measured_at_s = -math.inf
        # When each run last gave tokens.
        self.last_token_s: dict[RunId, float] = {}

    @property
    def in_flight(self) -> int:
        """Requests of this entry under way at the target."""
        return len(self.runs)

    @property
    def prefill_rate(self) -> float:
        """Prompt tokens processed in a second."""
        return self.mean_prompt_tokens / self.mean_prefill_s

    @property
    def capacity(self) -> int:
        """Requests of all entries that the target may have under way.

        The slots are kept full between grants by a few more, which wait at the target
        for no longer than `TARGET_QUEUE_S`.
        """
        overcommit = MAX_TARGET_QUEUE_S / self.mean_run_duration_s
        overcommit = min(MAX_OVERCOMMIT, max(MIN_OVERCOMMIT, overcommit))
        return math.floor(self.spec.slots * (1.0 + overcommit))

    def service_s(self, prompt_tokens: int, output_tokens: float) -> float:
        """Predicted seconds from dispatch to the end of the answer."""
        prefill_s = prompt_tokens / self.prefill_rate
        return prefill_s + output_tokens * self.token_interval_s

    def observe_prefill(self, prompt_tokens: int, seconds: float) -> None:
        """Take in the time from a dispatch to its first token."""
        if prompt_tokens == 0 or seconds <= 0:
            return
        # A short prompt mostly waits for others, which says little on the rate.
        weight = EWMA_WEIGHT * min(1.0, prompt_tokens / FULL_WEIGHT_PROMPT_TOKENS)
        self.mean_prompt_tokens += weight * (prompt_tokens - self.mean_prompt_tokens)
        self.mean_prefill_s += weight * (seconds - self.mean_prefill_s)

    def observe_decode(self, run_id: RunId, tokens: int, now: float) -> None:
        """Take in tokens of a run that has given some before."""
        seconds = now - self.last_token_s.get(run_id, now)
        if tokens <= 0 or seconds <= 0:
            return
        self.measured_at_s = now
        weight = min(1.0, seconds / DECODE_EWMA_WINDOW_S)
        interval_s = seconds / tokens
        self.token_interval_s += weight * (interval_s - self.token_interval_s)

    def recent_interval_us(self, now: float) -> int:
        """The token interval in microseconds; 0 if it was not measured lately."""
        if now - self.measured_at_s > MEASUREMENT_VALIDITY_S:
            return 0
        return round(self.token_interval_s * US_PER_S)

    def merge_peer_measurement(self, interval_us: int) -> None:
        """Take in another entry's measurement."""
        if interval_us > 0:
            difference_s = interval_us / US_PER_S - self.token_interval_s
            self.token_interval_s += PEER_EWMA_WEIGHT * difference_s

    def release_slot(self, run_id: RunId) -> None:
        """Free the slot of a run."""
        self.runs.discard(run_id)
        self.last_token_s.pop(run_id, None)

    def observe_call(self, predicted_ms: int, seconds: float, now: float) -> None:
        """Take in the time that a call of a plain service took."""
        self.measured_at_s = now
        interval_s = seconds / max(1, predicted_ms)
        self.token_interval_s += CALL_EWMA_WEIGHT * (interval_s - self.token_interval_s)

    def observe_run_duration(self, seconds: float) -> None:
        """Take in the time from a dispatch to the end of the answer."""
        self.mean_run_duration_s += EWMA_WEIGHT * (seconds - self.mean_run_duration_s)


class TargetTable:
    """All targets of the configuration in force."""

    def __init__(self) -> None:
        self.states: dict[TargetName, TargetState] = {}
        self.groups: dict[GroupName, tuple[TargetName, ...]] = {}
        self.kinds: dict[GroupName, GroupKind] = {}

    def apply(self, configuration: Configuration) -> None:
        """Follow a new configuration; targets in use are kept until they are idle."""
        self.groups = {}
        for template in configuration.templates.values():
            for group in template.groups:
                self.kinds[group.name] = group.kind
                names = tuple(target.name for target in group.targets)
                known = self.groups.get(group.name, ())
                self.groups[group.name] = tuple(dict.fromkeys(known + names))
                is_service = group.kind is GroupKind.SERVICE
                interval_s = (
                    DEFAULT_CALL_INTERVAL_S if is_service else DEFAULT_TOKEN_INTERVAL_S
                )
                self._add(group.targets, interval_s)
        configured = {name for names in self.groups.values() for name in names}
        for name in list(self.states):
            if name not in configured and not self.states[name].runs:
                del self.states[name]

    def of_group(self, group: GroupName) -> tuple[TargetState, ...]:
        """The targets of a group."""
        return tuple(self.states[name] for name in self.groups.get(group, ()))

    def merge_peer_measurements(self, demands: Sequence[GroupDemand]) -> None:
        """Take in the speeds that another entry measured."""
        for demand in demands:
            states = self.of_group(demand.group)
            if len(states) == len(demand.token_intervals_us):
                for state, interval_us in zip(
                    states, demand.token_intervals_us, strict=True
                ):
                    state.merge_peer_measurement(interval_us)

    def fastest_interval_s(self, group: GroupName) -> float:
        """The least token interval of the targets of a group."""
        return min(state.token_interval_s for state in self.of_group(group))

    def _add(self, specs: Iterable[TargetSpec], interval_s: float) -> None:
        for spec in specs:
            state = self.states.get(spec.name)
            if state is None:
                self.states[spec.name] = TargetState(spec, interval_s)
            else:
                state.spec = spec
