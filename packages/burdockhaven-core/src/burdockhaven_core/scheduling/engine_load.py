"""Load model of one model engine: runs in flight, speed and prefix cache.

The load that engines report is stale by the time it arrives, so the model is built only
from the requests that were sent and from their responses. `engine_speed.py` learns the
times that the predictions rest on.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from burdockhaven_core.capacity import MachineSpeed, Pace
from burdockhaven_core.capacity.machine_speed import SLOW_FACTOR
from burdockhaven_core.capacity.memory_use import has_room
from burdockhaven_core.scheduling.engine_speed import ServiceSpeed

# Weight of a new outcome in the moving average of the failure rate.
FAILURE_EWMA_WEIGHT = 0.15
# An engine counts as stalled when a first event takes longer than the predicted time
# multiplied by this factor, and longer than `STALL_MIN_MS`.
STALL_FACTOR = 4.0
STALL_MIN_MS = 900.0
# A run without a first event counts towards the prefill backlog for its predicted time
# multiplied by this factor.
OVERDUE_FACTOR = 3.0
# Runs that end without a response, and without progress of any other run, after which
# an engine counts as unreachable. A single one may be a lost response.
MAX_DISCONNECTS = 2
# Seconds for which an unreachable engine is ejected, and the upper bound; each
# consecutive ejection doubles the time.
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
    # Whether no other prompt was in prefill at the engine when this run was granted.
    is_prefilled_alone: bool = False
    # Tokens of the longest prompt that the engine was sent after this run.
    prefilled_beside_tokens: int = 0
    # Empty for a run that is known only from a member's report.
    route: str = ""
    # Names of the prompt's parts without the last; empty if only reported.
    parts: tuple[str, ...] = ()
    # Whether the run shows if its prompt ends engines.
    is_trial: bool = False
    # Tokens of memory that the run may take; 0 for one known only from a report.
    memory_tokens: int = 0

    def age_ms(self, now: float) -> float:
        """Return the milliseconds since the grant."""
        return (now - self.granted_s) * 1e3

    def is_overdue(self, now: float) -> bool:
        """Whether the first event should have come long ago."""
        if self.first_event_seen:
            return False
        return self.age_ms(now) > max(STALL_FACTOR * self.predicted_ms, STALL_MIN_MS)


@dataclass(frozen=True, slots=True)
class Backlog:
    """Prompts that an engine was sent and has not prefilled yet."""

    tokens: int
    # Milliseconds until they are prefilled.
    left_ms: float


NO_BACKLOG = Backlog(0, 0.0)


@dataclass(slots=True)
class EngineLoad:
    """Estimated state of one engine."""

    target: str
    slots: int
    cache_tokens: int
    # Shared by the engines of the service.
    speed: ServiceSpeed
    # Availability zone; empty if unknown.
    zone: str = ""
    # Version of the engine's software, not of its weights.
    software_version: str = ""
    # Unix milliseconds of the engine's start; 0 if not stated.
    started_ms: int = 0
    # As the engine reports it.
    machine: MachineSpeed = field(default_factory=MachineSpeed)
    # Whether the engine has started and got no run from this process yet.
    has_started: bool = False
    # None unless the engine has just started or recovered and is paced.
    pace: Pace | None = None
    # Moving average of the share of runs that failed.
    failure_rate: float = 0.0
    # Ejections, and runs that ended without a response, since a run last progressed.
    ejections: int = 0
    disconnects: int = 0
    # Whether a run ended early, or was refused for a time, and no other has progressed
    # since.
    has_broken_off: bool = False
    ejected_until_s: float = 0.0
    # When a run last produced its first event or completed.
    last_progress_s: float = 0.0
    runs: dict[tuple[str, int, int], Run] = field(default_factory=dict)
    # Tokens of each prompt part assumed to be cached, least recently used first.
    cached_parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached_part_tokens: int = 0

    @property
    def slowness(self) -> float:
        """Time of a decoding step relative to an engine of nominal speed."""
        return self.speed.slowness(self.target)

    @property
    def is_speed_measured(self) -> bool:
        """Whether the slowness was measured rather than assumed."""
        return self.speed.is_measured(self.target)

    def prefill_ms(self, tokens: int) -> float:
        """Return the milliseconds to prefill one prompt on an otherwise idle engine."""
        return self.speed.prefill_ms(tokens) * self.slowness

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

    def backlog(self, now: float) -> Backlog:
        """Return the prompts that were sent and are not prefilled yet.

        Runs that are long overdue don't count.
        """
        runs = [
            run
            for run in self.runs.values()
            if not run.first_event_seen
            and run.age_ms(now) <= OVERDUE_FACTOR * run.predicted_ms
        ]
        if not runs:
            return NO_BACKLOG
        total_ms = sum(self.prefill_ms(run.prefill_tokens) for run in runs)
        elapsed_ms = max(run.age_ms(now) for run in runs)
        return Backlog(
            tokens=sum(run.prefill_tokens for run in runs),
            left_ms=max(0.0, total_ms - elapsed_ms),
        )

    def first_event_ms(self, prefill_tokens: int, backlog: Backlog) -> float:
        """Predict the milliseconds to the first event of a new request."""
        alone_ms = self.speed.first_event.predict_ms(prefill_tokens, self.slowness)
        return backlog.left_ms + alone_ms

    def pause_ms(self, prefill_tokens: int, backlog: Backlog) -> float:
        """Predict the longest pause that a new prompt causes in other streams."""
        tokens = backlog.tokens + prefill_tokens
        return self.speed.pause_ms(tokens) * self.slowness

    def is_stalled(self, now: float) -> bool:
        """Whether a first event is overdue and no other run has progressed since.

        A single lost response does not make an engine stalled while its other runs
        progress.
        """
        return any(self.is_run_stalled(run, now) for run in self.runs.values())

    def is_run_stalled(self, run: Run, now: float) -> bool:
        """Whether the first event of this run is overdue without other progress."""
        return self.last_progress_s <= run.granted_s and run.is_overdue(now)

    def decode_ms(self, output_tokens: int) -> float:
        """Predict the milliseconds from the first event to the end of a response."""
        return output_tokens * self.speed.nominal_step_ms * self.slowness

    def is_available(self, now: float) -> bool:
        """Whether the engine can accept a request now."""
        if len(self.runs) >= self.slots or self.ejected_until_s > now:
            return False
        return self.free_slots() > 0 and not self.is_stalled(now)

    def free_slots(self) -> int:
        """Return the number of requests that still fit into the batch.

        An engine that was ejected or broke a run off gets one request until a run
        progresses; otherwise all slots that a crash frees would be filled at once. A
        pace limits the requests without a first event: streams that flow show no
        trouble. One
        that may end beneath a prompt gets no other until it begins to answer it.
        """
        if any(run.is_trial and not run.first_event_seen for run in self.runs.values()):
            return 0
        usable = 1 if self.ejections or self.has_broken_off else self.slots
        free = usable - len(self.runs)
        if self.pace is None:
            return free
        pending = sum(not run.first_event_seen for run in self.runs.values())
        return min(free, self.pace.usable_slots - pending)

    def has_memory_for(self, tokens: int) -> bool:
        """Whether the runs in flight leave memory for a request of so many tokens."""
        held = sum(run.memory_tokens or run.prompt_tokens for run in self.runs.values())
        return has_room(held, tokens, self.cache_tokens)

    def add_run(self, run: Run, parts: tuple[tuple[str, int], ...]) -> None:
        """Add a run and cache its prompt parts, evicting the least recently used."""
        run.is_prefilled_alone = not any(
            not other.first_event_seen for other in self.runs.values()
        )
        for other in self.runs.values():
            other.prefilled_beside_tokens = max(
                other.prefilled_beside_tokens, run.prefill_tokens
            )
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

    def record_machine(self, slowdown: float, now: float) -> None:
        """Apply the speed of the machine that the engine reported with a response."""
        self.machine.record(slowdown, now)
        self.speed.slow_machines.record(slowdown)

    def record_first_event(self, run: Run, first_event_ms: float, now: float) -> None:
        """Learn from the time between sending a run and its first event."""
        is_slow_machine = self.machine.slowdown(now) >= SLOW_FACTOR
        if run.is_prefilled_alone and first_event_ms and not is_slow_machine:
            self.speed.record_first_event(
                self.target, run.prefill_tokens, first_event_ms
            )

    def record_pauses(
        self, run: Run, typical_pause_ms: float, longest_pause_ms: float
    ) -> None:
        """Learn from the pauses between the events of a run; 0 if there were none."""
        if typical_pause_ms:
            self.speed.record_pause(self.target, typical_pause_ms)
        if longest_pause_ms:
            self.speed.record_prefill_pause(
                self.target, run.prefilled_beside_tokens, longest_pause_ms
            )

    def record_progress(self, now: float) -> None:
        """Record that a run produced its first event or completed."""
        self.last_progress_s = now
        self.ejections = self.disconnects = 0
        self.has_broken_off = False

    def record_success(self) -> None:
        """Record that a run completed."""
        self.failure_rate *= 1 - FAILURE_EWMA_WEIGHT

    def record_failure(self) -> None:
        """Record that a run failed or was rejected."""
        self.failure_rate += FAILURE_EWMA_WEIGHT * (1 - self.failure_rate)

    def record_broken_run(self) -> None:
        """Record that a run ended before its response was complete."""
        self.record_failure()
        self.has_broken_off = True

    def record_pause(self) -> None:
        """Record that the engine, not at fault, wants no more requests for a time."""
        self.has_broken_off = True

    def record_disconnect(self, now: float) -> None:
        """Record that a run ended without a response; eject after several."""
        self.record_broken_run()
        self.disconnects += 1
        if self.disconnects >= MAX_DISCONNECTS and self.ejected_until_s <= now:
            self.eject(now)

    def eject(self, now: float) -> None:
        """Eject the engine for a time that doubles while it stays unreachable.

        Its cache is assumed to be lost.
        """
        ejection_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until_s = now + ejection_s
        self.cached_parts.clear()
        self.cached_part_tokens = 0

    def begin_new_start(self, started_ms: int) -> None:
        """Forget failures, ejection and cache: another start has the same id.

        Runs are kept until their members report their ends.
        """
        self.started_ms = started_ms
        self.failure_rate = self.ejected_until_s = 0.0
        self.ejections = self.disconnects = 0
        self.has_broken_off = False
        self.cached_parts.clear()
        self.cached_part_tokens = 0

    def describe(self, now: float) -> str:
        """Return the load and state as one line for the log."""
        pending = sum(not run.first_event_seen for run in self.runs.values())
        state = "ejected" if self.ejected_until_s > now else "open"
        if self.is_stalled(now):
            state = "stalled"
        slowdown = self.machine.slowdown(now)
        machine = "" if slowdown < SLOW_FACTOR else f" machine x{slowdown:.1f}"
        if self.pace is not None:
            machine += f" paced at {self.pace.usable_slots}"
        return (
            f"{self.target} {len(self.runs)}/{self.slots} pending {pending} "
            f"x{self.slowness:.2f}{machine} failures {self.failure_rate:.2f} {state}"
        )
