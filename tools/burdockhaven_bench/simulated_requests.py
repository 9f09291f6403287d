"""Requests of the placement simulation: kinds, outcome and value, and their totals."""

from collections.abc import Callable
from dataclasses import dataclass

# Penalty, as a share of the value, if a retried request is refused again.
REPEATED_REFUSAL_PENALTY_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Rate, sizes, objectives and value of one kind of request."""

    name: str
    priority: int
    # Rate at load factor 1.
    requests_per_s: float
    # Prompt length: mean, standard deviation of its logarithm, maximum.
    mean_prompt_tokens: float
    prompt_spread: float
    max_prompt_tokens: int
    # Events per answer: mean, standard deviation of its logarithm, maximum.
    mean_events: float
    events_spread: float
    max_events: int
    objective_s: float
    deadline_s: float
    value: float
    late_value: float
    # Number of sessions; the requests of one session share a prompt.
    sessions: int
    pause_objective_s: float = 0.3


REQUEST_KINDS = (
    RequestKind(
        "review", 0, 13.8, 6610, 1.4, 54_600, 64, 1.5, 640, 0.6, 15, 9.3, 2.9, 234
    ),
    RequestKind(
        "summary", 1, 19.4, 628, 1.0, 3_310, 49, 1.5, 490, 0.8, 12, 1.2, 0.35, 330
    ),
    RequestKind(
        "triage", 2, 27, 1800, 1.3, 6_870, 3.8, 1.5, 38, 1.2, 3, 0.25, 0.074, 460
    ),
)


@dataclass(slots=True)
class Request:
    """A client's request over all its attempts."""

    number: int
    kind: RequestKind
    prompt_tokens: int
    events: int
    parts: tuple[tuple[str, int], ...]
    arrived_s: float
    attempts: int = 0
    first_event_s: float | None = None
    last_event_s: float = 0.0
    longest_pause_s: float = 0.0
    completed_s: float | None = None
    # Whether it was refused for good or its client timed out.
    is_refused: bool = False
    target: str = ""
    # When the latest attempt was sent to its target.
    sent_s: float = 0.0
    # Name and priority of the client's account.
    account: str = ""
    priority: int = 0
    # Number of the latest attempt; 0 after a refusal.
    open_attempt: int = 0
    # Whether a target reset the request without a response.
    was_reset: bool = False
    # Whether the client timed out before the first event.
    has_timed_out: bool = False
    # Start of the latest attempt.
    attempt_started_s: float = 0.0
    # Time spent in the queue, over all refused attempts.
    queued_s: float = 0.0
    # The client's estimate of the output tokens.
    expected_tokens: int = 0

    @property
    def relative_size(self) -> float:
        """Size relative to the mean of its kind, from 0.3 to 4; scales the value."""
        tokens = self.prompt_tokens + 60 * self.events
        mean = self.kind.mean_prompt_tokens + 60 * self.kind.mean_events
        return min(4.0, 0.3 + 0.7 * tokens / mean)

    @property
    def has_met_objectives(self) -> bool:
        """Whether the answer met the deadline and both latency objectives."""
        return (
            self.has_met_deadline
            and self.first_event_s is not None
            and self.first_event_s - self.arrived_s <= self.kind.objective_s
            and self.longest_pause_s <= self.kind.pause_objective_s
        )

    @property
    def has_met_deadline(self) -> bool:
        """Whether the complete answer arrived before the deadline."""
        return (
            self.completed_s is not None
            and self.completed_s - self.arrived_s <= self.kind.deadline_s
        )

    @property
    def penalty(self) -> float:
        """Value deducted if the request was queued but not served.

        It grows with the time in the queue, from none at an eighth of the latency
        objective to the full value at three quarters of the deadline. A second refusal
        costs more; a client that timed out before a grant costs the full value.
        """
        if self.completed_s is not None:
            return 0.0
        if self.has_timed_out and not self.target:
            return self.relative_size * self.kind.value
        penalty_start_s = self.kind.objective_s / 8
        full_penalty_s = 0.75 * self.kind.deadline_s
        share = min(
            1.0,
            max(
                0.0,
                (self.queued_s - penalty_start_s) / (full_penalty_s - penalty_start_s),
            ),
        )
        if self.is_refused and self.attempts > 1:
            share += REPEATED_REFUSAL_PENALTY_SHARE
        return self.relative_size * self.kind.value * share

    @property
    def value(self) -> float:
        """Value earned by the answer."""
        if self.has_met_objectives:
            return self.relative_size * self.kind.value
        return (
            self.relative_size * self.kind.late_value if self.has_met_deadline else 0.0
        )


@dataclass(frozen=True, slots=True)
class FleetResult:
    """The requests of one simulation run, with their results."""

    requests: tuple[Request, ...]
    # When engines ended beneath a crashing part of a prompt, and which.
    crashes: tuple[tuple[float, str], ...] = ()

    def value_share(
        self, condition: Callable[[Request], bool] = lambda request: True
    ) -> float:
        """Value earned as a share of the value offered by the selected requests."""
        selected = [request for request in self.requests if condition(request)]
        offered_value = sum(
            request.relative_size * request.kind.value for request in selected
        )
        return (
            sum(request.value for request in selected) / offered_value
            if offered_value
            else 1.0
        )

    def penalty_share(self) -> float:
        """Sum of the penalties as a share of the value offered."""
        offered_value = sum(
            request.relative_size * request.kind.value for request in self.requests
        )
        return sum(request.penalty for request in self.requests) / offered_value

    def value_share_of_kind(self, name: str) -> float:
        """Value share of one kind."""
        return self.value_share(lambda request: request.kind.name == name)

    def worst_window_value_share(self, length_s: float = 2.0) -> float:
        """Lowest value share of any window of arrivals."""
        last_arrival_s = max(request.arrived_s for request in self.requests)
        starts = range(int(last_arrival_s / length_s))
        return min(
            self.value_share(_arrived_in_window(start, length_s)) for start in starts
        )

    def share(self, condition: Callable[[Request], bool]) -> float:
        """Share of the requests that satisfy the condition."""
        return sum(condition(request) for request in self.requests) / len(self.requests)


def _arrived_in_window(window: int, length_s: float) -> Callable[[Request], bool]:
    return lambda request: window <= request.arrived_s / length_s < window + 1
