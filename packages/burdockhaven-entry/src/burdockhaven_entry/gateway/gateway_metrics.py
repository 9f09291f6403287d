"""Counters and histograms of a gateway process, kept as plain numbers.

OpenTelemetry, which the standalone daemon uses, adds 67 ms to each start and 2 MB of
memory, both of which are scarce on the platform's VMs, and it can't export histograms
that were counted without it. Therefore the numbers are kept here, and `metrics_text.py`
renders them with `prometheus_client`, the library behind that daemon's exporter. The
library is imported when metrics are first fetched.
"""

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field

from burdockhaven_core.identity import AccountName
from burdockhaven_core.response_validation import ResponseFault
from burdockhaven_entry.account_labels import AccountLabels
from burdockhaven_entry.gateway.routed_request import RoutedRequest

# Upper bounds of the histogram buckets in seconds; latency objectives are between 0.1
# and 1.2 s.
DURATION_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0)
# Maximum number of routes with a label of their own; the others share one. A
# configuration may name hundreds.
MAX_ROUTE_LABELS = 24
OTHER_ROUTES_LABEL = "other"
NO_ACCOUNT_LABEL = "none"
# Range of status codes that count as success; the second is excluded.
FIRST_SUCCESS_STATUS = 200
FIRST_REDIRECT_STATUS = 300


@dataclass(slots=True)
class DurationHistogram:
    """A histogram of durations with fixed buckets."""

    # Number of durations in each bucket; the last is for those above all bounds.
    buckets: list[int] = field(
        default_factory=lambda: [0] * (len(DURATION_BUCKETS_S) + 1)
    )
    total_s: float = 0.0

    def observe(self, seconds: float) -> None:
        """Add one duration."""
        self.buckets[bisect_left(DURATION_BUCKETS_S, seconds)] += 1
        self.total_s += seconds


@dataclass(slots=True)
class GatewayMetrics:
    """Metrics that are updated as requests end."""

    accounts: AccountLabels = field(default_factory=AccountLabels)
    routes: set[str] = field(default_factory=set)
    # Requests by route, account and status; 0 if the client disconnected.
    requests: Counter[tuple[str, str, int]] = field(default_factory=Counter)
    # Requests refused before they were routed to a service, by status.
    turned_away: Counter[int] = field(default_factory=Counter)
    # Responses that ended after their head and before their end, by route.
    truncated: Counter[str] = field(default_factory=Counter)
    # Streams with events of engines of more than one software version, by service.
    mixed_versions: Counter[str] = field(default_factory=Counter)
    # Requests that resume a stream, by how its origin became known.
    resumed: Counter[str] = field(default_factory=Counter)
    # Sends to targets by service, and those without a complete response.
    sends: Counter[str] = field(default_factory=Counter)
    failed_sends: Counter[str] = field(default_factory=Counter)
    # Responses of targets that were not valid.
    refused_responses: Counter[ResponseFault] = field(default_factory=Counter)
    # Retries that the budget of a service admitted, and that it refused.
    retries: Counter[str] = field(default_factory=Counter)
    refused_retries: Counter[str] = field(default_factory=Counter)
    # Time from the arrival to the end of a successful response, by account.
    request_durations: dict[str, DurationHistogram] = field(default_factory=dict)
    # Time from the arrival to the first event, by route.
    first_event_durations: dict[str, DurationHistogram] = field(default_factory=dict)
    # Time in a broker's queue, by route.
    queue_durations: dict[str, DurationHistogram] = field(default_factory=dict)

    def route_label(self, route: str) -> str:
        """Return the label of a route; routes beyond the maximum share one."""
        if route not in self.routes:
            if len(self.routes) >= MAX_ROUTE_LABELS:
                return OTHER_ROUTES_LABEL
            self.routes.add(route)
        return route

    def account_label(self, account: str) -> str:
        """Return the label of an account; the argument is empty without an account."""
        if not account:
            return NO_ACCOUNT_LABEL
        return self.accounts.label_for(AccountName(account))

    def record_request(self, routed: RoutedRequest, status: int, now: float) -> None:
        """Record a routed request that was answered or whose client disconnected."""
        trace = routed.trace
        route = self.route_label(routed.route.name)
        account = self.account_label(
            "" if routed.account is None else routed.account.name
        )
        self.requests[route, account, status] += 1
        self.truncated[route] += bool(trace.truncated_by)
        self.mixed_versions[routed.service] += len(trace.software_versions) > 1
        if trace.origin is not None:
            self.resumed[trace.origin.value] += 1
        self.sends[routed.service] += trace.sends
        self.failed_sends[routed.service] += len(trace.failures)
        observe_labelled(self.queue_durations, route, trace.queued_s)
        if trace.first_event_s is not None:
            observe_labelled(self.first_event_durations, route, trace.first_event_s)
        if FIRST_SUCCESS_STATUS <= status < FIRST_REDIRECT_STATUS:
            observe_labelled(self.request_durations, account, now - routed.arrived_s)


def observe_labelled(
    histograms: dict[str, DurationHistogram], label: str, seconds: float
) -> None:
    """Add a duration to the histogram of a label."""
    histogram = histograms.get(label)
    if histogram is None:
        histogram = histograms[label] = DurationHistogram()
    histogram.observe(seconds)
