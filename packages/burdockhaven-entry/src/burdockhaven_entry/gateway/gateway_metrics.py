"""What a process on the platform counts: plain numbers, rendered when asked for.

OpenTelemetry, which the product's own edge uses, costs 67 ms of each start and 2 MB on
VMs where both are dear, and its histograms can't be read from numbers that were counted
without it. So the numbers are kept here, and `metrics_text.py` renders them with the
library that is the exporter behind it there, loaded when metrics are first fetched.
"""

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field

from burdockhaven_core.identity import AccountName
from burdockhaven_entry.account_labels import AccountLabels
from burdockhaven_entry.gateway.routed_request import RoutedRequest

# Upper bounds of the histograms' buckets in seconds; objectives lie from 0.1 to 1.2 s.
DURATION_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0)
# Routes with series of their own at most; the others share one. A configuration may
# name hundreds.
MAX_ROUTE_LABELS = 24
OTHER_ROUTES_LABEL = "other"
NO_ACCOUNT_LABEL = "none"
# Statuses of success, from and up to.
FIRST_SUCCESS_STATUS = 200
FIRST_REDIRECT_STATUS = 300


@dataclass(slots=True)
class DurationHistogram:
    """A histogram of durations."""

    # Durations up to each bound, and one number for those beyond.
    buckets: list[int] = field(
        default_factory=lambda: [0] * (len(DURATION_BUCKETS_S) + 1)
    )
    total_s: float = 0.0

    def observe(self, seconds: float) -> None:
        """Count one duration."""
        self.buckets[bisect_left(DURATION_BUCKETS_S, seconds)] += 1
        self.total_s += seconds


@dataclass(slots=True)
class GatewayMetrics:
    """All numbers that are counted as things happen."""

    accounts: AccountLabels = field(default_factory=AccountLabels)
    routes: set[str] = field(default_factory=set)
    # Requests by route, account and status; 0 where the client left.
    requests: Counter[tuple[str, str, int]] = field(default_factory=Counter)
    # Requests that were answered before they were routed, by status.
    turned_away: Counter[int] = field(default_factory=Counter)
    # Sends to targets by service, and those that brought no whole answer.
    sends: Counter[str] = field(default_factory=Counter)
    failed_sends: Counter[str] = field(default_factory=Counter)
    # From the arrival to the end of the answer, by account; those with success only.
    request_s: dict[str, DurationHistogram] = field(default_factory=dict)
    # From the arrival to the first event, by route.
    first_event_s: dict[str, DurationHistogram] = field(default_factory=dict)
    # Time in a broker's queue, by route.
    queued_s: dict[str, DurationHistogram] = field(default_factory=dict)

    def route_label(self, route: str) -> str:
        """The label of a route."""
        if route not in self.routes:
            if len(self.routes) >= MAX_ROUTE_LABELS:
                return OTHER_ROUTES_LABEL
            self.routes.add(route)
        return route

    def account_label(self, account: str) -> str:
        """The label of an account; empty stands for none."""
        if not account:
            return NO_ACCOUNT_LABEL
        return self.accounts.label_for(AccountName(account))

    def record_request(self, routed: RoutedRequest, status: int, now: float) -> None:
        """Count a request that was routed; it has its answer, or its client left."""
        trace = routed.trace
        route = self.route_label(routed.route.name)
        account = self.account_label(
            "" if routed.account is None else routed.account.name
        )
        self.requests[route, account, status] += 1
        self.sends[routed.service] += trace.sends
        self.failed_sends[routed.service] += len(trace.failures)
        observe_labelled(self.queued_s, route, trace.queued_s)
        if trace.first_event_s is not None:
            observe_labelled(self.first_event_s, route, trace.first_event_s)
        if FIRST_SUCCESS_STATUS <= status < FIRST_REDIRECT_STATUS:
            observe_labelled(self.request_s, account, now - routed.arrived_s)


def observe_labelled(
    durations: dict[str, DurationHistogram], label: str, seconds: float
) -> None:
    """Count a duration under a label."""
    histogram = durations.get(label)
    if histogram is None:
        histogram = durations[label] = DurationHistogram()
    histogram.observe(seconds)
