"""Renders the metrics and state of this process in the Prometheus text format."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from itertools import accumulate

from prometheus_client import CollectorRegistry
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from burdockhaven_core.identity import AccountName
from burdockhaven_core.scheduling.target_registry import TargetRegistry
from burdockhaven_entry.gateway.gateway_metrics import (
    DURATION_BUCKETS_S,
    DurationHistogram,
)
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.platform import PlatformStore

CONTENT_TYPE = CONTENT_TYPE_LATEST


class GatewayCollector:
    """Prometheus collector that reads all values at the time of a scrape."""

    def __init__(self, state: GatewayState, store: PlatformStore) -> None:
        self.state = state
        self.store = store

    @classmethod
    def render(cls, state: GatewayState, store: PlatformStore) -> bytes:
        """Return the metrics page."""
        registry = CollectorRegistry(auto_describe=False)
        registry.register(cls(state, store))
        return generate_latest(registry)

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics; the interface of the library."""
        yield from self._request_metrics()
        yield from self._state_gauges()
        yield from self._target_gauges()
        yield from self._signal_gauges()
        yield from self._account_gauges()

    def _request_metrics(self) -> Iterator[Metric]:
        metrics = self.state.metrics
        yield _counter(
            "requests",
            "Requests by route, account and status; 0: client disconnected",
            ("route", "account", "status"),
            (((r, a, str(s)), n) for (r, a, s), n in metrics.requests.items()),
        )
        yield _counter(
            "turned_away",
            "Requests refused before they were routed to a service",
            ("status",),
            (((str(status),), n) for status, n in metrics.turned_away.items()),
        )
        yield _counter(
            "truncated",
            "Responses that ended after their head and before their end",
            ("route",),
            _with_single_label(metrics.truncated),
        )
        yield _counter(
            "mixed_version_streams",
            "Streams with events of engines of more than one software version",
            ("service",),
            _with_single_label(metrics.mixed_versions),
        )
        yield _counter(
            "resumed_streams",
            "Requests that resume a stream, by how its origin became known",
            ("origin",),
            _with_single_label(metrics.resumed),
        )
        yield from self._client_load_metrics()
        yield _counter(
            "sends", "Sends to targets", ("service",), _with_single_label(metrics.sends)
        )
        yield _counter(
            "failed_sends",
            "Sends without a complete response",
            ("service",),
            _with_single_label(metrics.failed_sends),
        )
        yield _counter(
            "refused_responses",
            "Responses of targets that were not valid, by fault",
            ("fault",),
            (((fault.value,), n) for fault, n in metrics.refused_responses.items()),
        )
        yield _counter(
            "retries",
            "Sends charged to the retry budget",
            ("service",),
            _with_single_label(metrics.retries),
        )
        yield _counter(
            "refused_retries",
            "Sends that the retry budget had no room for",
            ("service",),
            _with_single_label(metrics.refused_retries),
        )
        yield _counter(
            "unknown_headers",
            "Responses of targets with a header that is not known",
            ("header",),
            _with_single_label(self.state.unknown_headers.counts),
        )
        yield _counter(
            "store_calls",
            "Calls to the platform's store by outcome",
            ("call", "outcome"),
            self.store.calls.items(),
        )
        yield _histogram(
            "request_seconds",
            "Arrival to the end of a successful response, by account",
            "account",
            metrics.request_durations,
        )
        yield _histogram(
            "first_event_seconds",
            "Arrival to the first event, by route",
            "route",
            metrics.first_event_durations,
        )
        yield _histogram(
            "queued_seconds",
            "Time in a broker's queue, by route",
            "route",
            metrics.queue_durations,
        )

    def _client_load_metrics(self) -> Iterator[Metric]:
        load = self.state.client_load
        yield _counter(
            "client_connections_yielded",
            "Connections that gave way to limits on memory, connections or time",
            ("reason",),
            (((reason.value,), n) for reason, n in load.yielded.items()),
        )
        yield _counter(
            "client_connections_refused",
            "Connections closed at once, because none could make room",
            ("listener",),
            (
                ((listener.value,), n)
                for listener, n in load.refused_connections.items()
            ),
        )
        yield _counter(
            "client_requests_refused",
            "Whole requests refused because of memory or of their service's share",
            (),
            [((), load.refused_requests)],
        )
        open_connections = GaugeMetricFamily(
            "burdockhaven_client_connections",
            "Open connections of clients",
            labels=("listener",),
        )
        for listener, slots in load.slots.items():
            open_connections.add_metric((listener.value,), slots.open)
        yield open_connections
        yield GaugeMetricFamily(
            "burdockhaven_client_held_bytes",
            "Estimated memory held for clients",
            load.memory.total,
        )
        yield GaugeMetricFamily(
            "burdockhaven_client_held_bytes_limit",
            "Memory that may be held for clients",
            load.memory.budget.total,
        )

    def _state_gauges(self) -> Iterator[Metric]:
        state = self.state
        now = state.clock()
        broker = state.member_list.broker(now, state.heartbeat_head())
        for name, text, value in (
            (
                "configuration_version",
                "Version in force; 0 before the first",
                state.version,
            ),
            (
                "members",
                "Members that serve requests, including this one",
                state.member_list.serving_count(now),
            ),
            ("ready", "Whether it accepts requests", int(state.ready)),
            ("draining", "Whether it is draining before a stop", int(state.draining)),
            ("in_step", "Whether it is in sync with the store", int(state.in_sync)),
            (
                "stream_origins",
                "Streams whose software version it knows",
                len(state.stream_origins),
            ),
            (
                "stream_origins_discarded",
                "Streams whose software version it had to forget early",
                state.stream_origins.discarded_early,
            ),
            (
                "paced_targets",
                "Targets that its broker paces after a start or a recovery",
                sum(e.pace is not None for e in state.broker.runs.engines.values()),
            ),
            ("queued", "Requests queued at its broker", len(state.broker.queue)),
            (
                "quarantined_prompt_parts",
                "Prompt parts that no engine gets, because engines ended beneath them",
                len(state.broker.crashes.quarantined(now)),
            ),
            (
                "quarantined_requests",
                "Request contents that no target gets, because targets ended beneath",
                len(state.request_quarantine.quarantined(now)),
            ),
            (
                "store_restores",
                "Restores of the store from a copy, seen since the start",
                state.store_eras.restores,
            ),
            (
                "hubs",
                "Members that exchange heartbeats with all others",
                len(state.member_list.hubs),
            ),
            (
                "follows_hubs",
                "Whether it reads from the store only what hubs announce",
                int(state.member_list.is_follower),
            ),
            (
                "is_broker",
                "Whether it sends its placement requests to its own broker",
                int(broker == state.member_id.node),
            ),
            (
                "processor_cores",
                "Processor capacity of its VM in nominal cores; 0 if unknown",
                state.settings.processor_cores,
            ),
        ):
            yield GaugeMetricFamily(f"burdockhaven_{name}", text, value=value)

    def _target_gauges(self) -> Iterator[Metric]:
        state = self.state
        targets = GaugeMetricFamily(
            "burdockhaven_targets", "Targets that accept requests", labels=("service",)
        )
        services: dict[str, int] = {}
        for entry in state.registry.entries.values():
            is_usable = state.registry.is_usable(entry.id)
            services[entry.service] = services.get(entry.service, 0) + is_usable
        for service, count in services.items():
            targets.add_metric((service,), count)
        yield targets
        runs = GaugeMetricFamily(
            "burdockhaven_runs",
            "Runs in flight as known to its broker",
            labels=("target",),
        )
        slowness = GaugeMetricFamily(
            "burdockhaven_engine_slowness",
            "Time of a decoding step relative to the median engine of the service",
            labels=("target",),
        )
        for target, engine in state.broker.runs.engines.items():
            runs.add_metric((target,), len(engine.runs))
            if engine.is_speed_measured:
                slowness.add_metric((target,), engine.slowness)
        yield runs
        yield slowness
        error = GaugeMetricFamily(
            "burdockhaven_first_event_error",
            "Moving average of the relative errors of predicted first events",
            labels=("service",),
        )
        for service, speed in state.broker.runs.speeds.items():
            error.add_metric((service,), speed.first_event_error)
        yield error

    def _signal_gauges(self) -> Iterator[Metric]:
        """Yield what targets say of themselves."""
        state = self.state
        now = state.clock()
        signals = state.target_signals.signals
        limits = GaugeMetricFamily(
            "burdockhaven_target_limit",
            "Requests per second that a target accepts from all members together",
            labels=("target",),
        )
        for target, limit_per_s in signals.limits.in_force().items():
            limits.add_metric((target,), limit_per_s)
        yield limits
        leaving = GaugeMetricFamily(
            "burdockhaven_targets_leaving",
            "Registered targets that leave as they or members say",
            labels=("service",),
        )
        _add_targets(leaving, state.registry, state.registry.leaving)
        yield leaving
        removed = GaugeMetricFamily(
            "burdockhaven_targets_removed_elsewhere",
            "Registered targets whose later removal another member has read",
            labels=("service",),
        )
        _add_targets(removed, state.registry, state.registry.removed_elsewhere)
        yield removed
        pauses = GaugeMetricFamily(
            "burdockhaven_target_pause_seconds",
            "Seconds until this process uses a target again that asked for a pause",
            labels=("target",),
        )
        for target, pause in signals.pauses.pauses.items():
            pauses.add_metric((target,), max(0.0, pause.until_s - now))
        yield pauses

    def _account_gauges(self) -> Iterator[Metric]:
        state = self.state
        now = state.clock()
        used = GaugeMetricFamily(
            "burdockhaven_quota_used",
            "Fraction of the quota used within the window, by account",
            labels=("account",),
        )
        for account in state.broker.accounts.values():
            limit = state.broker.quotas.limit(account)
            label = state.metrics.accounts.labels.get(AccountName(account.name))
            if limit > 0 and label is not None:
                fraction = state.broker.quotas.used(account, now) / limit
                used.add_metric((label,), fraction)
        yield used


def _add_targets(
    metric: GaugeMetricFamily, registry: TargetRegistry, targets: Iterable[str]
) -> None:
    """Add the number of these targets that have an entry, by service."""
    entries = registry.entries
    counts = Counter(entries[name].service for name in targets if name in entries)
    for service, count in counts.items():
        metric.add_metric((service,), count)


def _with_single_label(counts: Mapping[str, int]) -> Iterable[tuple[tuple[str], int]]:
    return (((key,), count) for key, count in counts.items())


def _counter(
    name: str,
    text: str,
    labels: tuple[str, ...],
    values: Iterable[tuple[tuple[str, ...], int]],
) -> Metric:
    family = CounterMetricFamily(f"burdockhaven_{name}", text, labels=labels)
    for key, count in values:
        family.add_metric(key, count)
    return family


def _histogram(
    name: str, text: str, label: str, histograms: Mapping[str, DurationHistogram]
) -> Metric:
    family = HistogramMetricFamily(f"burdockhaven_{name}", text, labels=(label,))
    bounds = [*(str(bound) for bound in DURATION_BUCKETS_S), "+Inf"]
    for key, histogram in histograms.items():
        counts = accumulate(histogram.buckets)
        buckets = list(zip(bounds, counts, strict=True))
        family.add_metric((key,), buckets=buckets, sum_value=histogram.total_s)
    return family
