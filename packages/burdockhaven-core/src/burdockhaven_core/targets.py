"""Per-target state: runs in flight and measured speed (EWMA).

Both come from this entry's own requests. Load reports are stale on arrival, so they
only supplement what the entry has measured itself.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from burdockhaven_core.configuration import Configuration, GroupKind, TargetSpec
from burdockhaven_core.identity import GroupName, RunId, TargetName
from burdockhaven_core.messages import GroupDemand

# Weight of the newest sample in the EWMAs of prefill and run duration.
EWMA_WEIGHT = 0.1
# Weight of the newest call in the EWMA of a plain service's speed.
CALL_EWMA_WEIGHT = 0.1
# Seconds per millisecond of work assumed for a plain service without samples.
DEFAULT_CALL_INTERVAL_S = 0.001
# Seconds of streaming that the EWMA of the token interval covers.
DECODE_EWMA_WINDOW_S = 4.0
# Token interval assumed for a target without samples.
DEFAULT_TOKEN_INTERVAL_S = 0.04
# Prompt tokens per second assumed for a target without samples.
DEFAULT_PREFILL_RATE = 8_000.0
# Length from which a prompt has its full weight in the EWMA of the prefill rate.
FULL_WEIGHT_PROMPT_TOKENS = 4_000
# Weight of another entry's measurement in the EWMA of the token interval.
PEER_EWMA_WEIGHT = 0.1
# Seconds for which a measurement of a target's speed is sent to other entries.
MEASUREMENT_VALIDITY_S = 2.0
US_PER_S = 1_000_000
# Run duration assumed for a target without samples.
DEFAULT_RUN_DURATION_S = 10.0
# Longest acceptable wait for a slot at the target itself.
MAX_TARGET_QUEUE_S = 0.5
# Upper bound of the requests in flight beyond the slots, as a multiple of the slots.
MAX_OVERCOMMIT = 2.0
# Lower bound of the same multiple: requests in prefill do not occupy a slot yet.
MIN_OVERCOMMIT = 0.2
# Backoff after a target has rejected a request: it gets no new requests meanwhile.
REJECTION_BACKOFF_S = 1.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load reported by a target; stale by the time it is used."""

    running: int
    waiting: int
    received_s: float


class TargetState:
    """State of one target as measured by this entry."""

    def __init__(
        self, spec: TargetSpec, interval_s: float = DEFAULT_TOKEN_INTERVAL_S
    ) -> None:
        self.spec = spec
        # Runs of this entry in flight at the target.
        self.runs: set[RunId] = set()
        self.report: LoadReport | None = None
        # EWMA of the seconds between tokens. For a plain service: EWMA of the seconds
        # that it needs for one millisecond of work of the group's fastest target.
        self.token_interval_s = interval_s
        # EWMAs of the prompt tokens of a run and of the seconds from its dispatch to
        # the first token.
        self.mean_prompt_tokens = DEFAULT_PREFILL_RATE
        self.mean_prefill_s = 1.0
        # EWMA of the seconds from the dispatch of a run to its end.
        self.mean_run_duration_s = DEFAULT_RUN_DURATION_S
        # Limit of this entry's requests in flight at the target.
        self.limit = spec.slots
        # No new requests are dispatched before this time.
        self.paused_until_s = 0.0
        # Time of this entry's last measurement of the token interval.
        self.measured_at_s = -math.inf
        # Arrival time of the latest tokens, by run.
        self.last_token_s: dict[RunId, float] = {}

    @property
    def in_flight(self) -> int:
        """Requests of this entry in flight at the target."""
        return len(self.runs)

    @property
    def prefill_rate(self) -> float:
        """Prompt tokens processed per second."""
        return self.mean_prompt_tokens / self.mean_prefill_s

    @property
    def capacity(self) -> int:
        """Limit of the requests of all entries in flight at the target.

        The limit is above the number of slots: the surplus keeps the slots busy between
        two share grants, and waits at the target for `MAX_TARGET_QUEUE_S` or less.
        """
        overcommit = MAX_TARGET_QUEUE_S / self.mean_run_duration_s
        overcommit = min(MAX_OVERCOMMIT, max(MIN_OVERCOMMIT, overcommit))
        return math.floor(self.spec.slots * (1.0 + overcommit))

    def service_s(self, prompt_tokens: int, output_tokens: float) -> float:
        """Predict the seconds from dispatch to the end of the answer."""
        prefill_s = prompt_tokens / self.prefill_rate
        return prefill_s + output_tokens * self.token_interval_s

    def observe_prefill(self, prompt_tokens: int, seconds: float) -> None:
        """Update the prefill rate with the time from a dispatch to the first token."""
        if prompt_tokens == 0 or seconds <= 0:
            return
        # A short prompt mostly waits for others, which says little about the rate.
        weight = EWMA_WEIGHT * min(1.0, prompt_tokens / FULL_WEIGHT_PROMPT_TOKENS)
        self.mean_prompt_tokens += weight * (prompt_tokens - self.mean_prompt_tokens)
        self.mean_prefill_s += weight * (seconds - self.mean_prefill_s)

    def observe_decode(self, run_id: RunId, tokens: int, now: float) -> None:
        """Update the token interval with tokens of a run that is already streaming."""
        seconds = now - self.last_token_s.get(run_id, now)
        if tokens <= 0 or seconds <= 0:
            return
        self.measured_at_s = now
        weight = min(1.0, seconds / DECODE_EWMA_WINDOW_S)
        interval_s = seconds / tokens
        self.token_interval_s += weight * (interval_s - self.token_interval_s)

    def recent_interval_us(self, now: float) -> int:
        """Return the token interval in microseconds; 0 without a recent measurement."""
        if now - self.measured_at_s > MEASUREMENT_VALIDITY_S:
            return 0
        return round(self.token_interval_s * US_PER_S)

    def merge_peer_measurement(self, interval_us: int) -> None:
        """Merge the token interval that another entry has measured."""
        if interval_us > 0:
            difference_s = interval_us / US_PER_S - self.token_interval_s
            self.token_interval_s += PEER_EWMA_WEIGHT * difference_s

    def release_slot(self, run_id: RunId) -> None:
        """Remove a run that is no longer in flight."""
        self.runs.discard(run_id)
        self.last_token_s.pop(run_id, None)

    def observe_call(self, predicted_ms: int, seconds: float, now: float) -> None:
        """Update the speed of a plain service with the duration of a call."""
        self.measured_at_s = now
        interval_s = seconds / max(1, predicted_ms)
        self.token_interval_s += CALL_EWMA_WEIGHT * (interval_s - self.token_interval_s)

    def observe_run_duration(self, seconds: float) -> None:
        """Update the run duration with the time from a dispatch to the end."""
        self.mean_run_duration_s += EWMA_WEIGHT * (seconds - self.mean_run_duration_s)


class TargetTable:
    """Targets by name and by group, following the configuration in force."""

    def __init__(self) -> None:
        self.states: dict[TargetName, TargetState] = {}
        self.groups: dict[GroupName, tuple[TargetName, ...]] = {}
        self.kinds: dict[GroupName, GroupKind] = {}

    def apply(self, configuration: Configuration) -> None:
        """Apply a new configuration; removed targets stay until they are idle."""
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
        """Return the targets of a group."""
        return tuple(self.states[name] for name in self.groups.get(group, ()))

    def merge_peer_measurements(self, demands: Sequence[GroupDemand]) -> None:
        """Merge the token intervals that another entry has measured."""
        for demand in demands:
            states = self.of_group(demand.group)
            if len(states) == len(demand.token_intervals_us):
                for state, interval_us in zip(
                    states, demand.token_intervals_us, strict=True
                ):
                    state.merge_peer_measurement(interval_us)

    def fastest_interval_s(self, group: GroupName) -> float:
        """Return the shortest token interval of the targets of a group."""
        return min(state.token_interval_s for state in self.of_group(group))

    def _add(self, specs: Iterable[TargetSpec], interval_s: float) -> None:
        for spec in specs:
            state = self.states.get(spec.name)
            if state is None:
                self.states[spec.name] = TargetState(spec, interval_s)
            else:
                state.spec = spec
