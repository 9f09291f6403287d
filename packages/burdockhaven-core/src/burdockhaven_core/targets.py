"""What this entry knows of each target, learned from its own requests.

Load reports are stale, so they only add to what the entry has seen itself.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from burdockhaven_core.configuration import Configuration, TargetSpec
from burdockhaven_core.identity import GroupName, RunId, TargetName

# Weight of the newest sample in a moving average.
AVERAGE_WEIGHT = 0.2
# Seconds between tokens assumed of a target that has not been used yet.
DEFAULT_TOKEN_INTERVAL_S = 0.04
# Prompt tokens a second assumed of a target that has not been used yet.
DEFAULT_PREFILL_RATE = 8_000.0
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

    def __init__(self, spec: TargetSpec) -> None:
        self.spec = spec
        # Runs of this entry that hold a slot of the target.
        self.runs: set[RunId] = set()
        self.report: LoadReport | None = None
        # Moving average of the seconds between tokens.
        self.token_interval_s = DEFAULT_TOKEN_INTERVAL_S
        # Moving average of prompt tokens processed in a second.
        self.prefill_rate = DEFAULT_PREFILL_RATE
        # No new work before this time.
        self.paused_until_s = 0.0

    @property
    def in_flight(self) -> int:
        """Requests of this entry under way at the target."""
        return len(self.runs)

    def service_s(self, prompt_tokens: int, output_tokens: int) -> float:
        """Predicted seconds from dispatch to the end of the answer."""
        prefill_s = prompt_tokens / self.prefill_rate
        return prefill_s + output_tokens * self.token_interval_s

    def learn_prefill(self, prompt_tokens: int, seconds: float) -> None:
        """Take in the time from a dispatch to its first token."""
        if prompt_tokens == 0 or seconds <= 0:
            return
        rate = prompt_tokens / seconds
        self.prefill_rate += AVERAGE_WEIGHT * (rate - self.prefill_rate)

    def learn_decode(self, tokens: int, seconds: float) -> None:
        """Take in the time that a number of tokens took after the first."""
        if tokens == 0:
            return
        interval = seconds / tokens
        self.token_interval_s += AVERAGE_WEIGHT * (interval - self.token_interval_s)


class TargetTable:
    """All targets of the configuration in force."""

    def __init__(self) -> None:
        self.states: dict[TargetName, TargetState] = {}
        self.groups: dict[GroupName, tuple[TargetName, ...]] = {}

    def apply(self, configuration: Configuration) -> None:
        """Follow a new configuration; targets in use are kept until they are idle."""
        self.groups = {}
        for template in configuration.templates.values():
            for group in template.groups:
                names = tuple(target.name for target in group.targets)
                known = self.groups.get(group.name, ())
                self.groups[group.name] = tuple(dict.fromkeys(known + names))
                self._add(group.targets)
        wanted = {name for names in self.groups.values() for name in names}
        for name in list(self.states):
            if name not in wanted and not self.states[name].runs:
                del self.states[name]

    def of_group(self, group: GroupName) -> tuple[TargetState, ...]:
        """The targets of a group."""
        return tuple(self.states[name] for name in self.groups.get(group, ()))

    def _add(self, specs: Iterable[TargetSpec]) -> None:
        for spec in specs:
            state = self.states.get(spec.name)
            if state is None:
                self.states[spec.name] = TargetState(spec)
            else:
                state.spec = spec
