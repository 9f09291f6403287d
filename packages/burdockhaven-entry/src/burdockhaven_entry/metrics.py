"""Metrics of the daemon, by OpenTelemetry, in the Prometheus text format.

Counters are plain numbers that OpenTelemetry reads when it is scraped: adding to them
costs next to nothing on the request path. Only histograms are recorded as things
happen. Every label has a bounded number of values.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Meter, Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from prometheus_client import CollectorRegistry
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from burdockhaven_core.actions import RecordRequest
from burdockhaven_core.outcome import UnknownReason
from burdockhaven_entry.account_labels import AccountLabels

if TYPE_CHECKING:
    from opentelemetry.metrics import Histogram

# The result of a request whose whole answer was delivered.
RESULT_WHOLE = "whole"
# The result of a request whose caller went away, before its dispatch or after it.
RESULT_CANCELLED = "cancelled"
# Upper bounds of the histogram buckets, in seconds.
DURATION_BUCKETS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 120.0)

# One value for each label of a series, in the order of the labels' names.
LabelValues = tuple[str, ...]


class ObservableSeries:
    """Numbers by label values; read when the metrics are scraped."""

    def __init__(self, *label_names: str) -> None:
        self.label_names = label_names
        self.values: Counter[LabelValues] = Counter()

    def add(self, amount: float, *label_values: str) -> None:
        """Adds to the number of these label values."""
        self.values[label_values] += amount  # type: ignore[assignment]

    def set(self, amount: float, *label_values: str) -> None:
        """Sets the number of these label values."""
        self.values[label_values] = amount  # type: ignore[assignment]

    def observations(self, _options: CallbackOptions) -> Iterable[Observation]:
        """All numbers, as OpenTelemetry wants them."""
        for label_values, amount in list(self.values.items()):
            labels = dict(zip(self.label_names, label_values, strict=True))
            yield Observation(amount, labels)


class Metrics:
    """All metrics of one daemon."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=self.registry
        )
        self.provider = MeterProvider(
            metric_readers=[reader],
            shutdown_on_exit=False,
            exemplar_filter=AlwaysOffExemplarFilter(),
        )
        meter = self.provider.get_meter("burdockhaven")
        self.account_labels = AccountLabels()
        self._add_request_counters(meter)
        self._add_platform_counters(meter)
        self._add_histograms(meter)

    def record_request(self, request: RecordRequest) -> None:
        """Adds one finished request."""
        tier = str(request.tier)
        account = self.account_labels.label_for(request.account)
        outcome = classify_outcome(request)
        self.requests.add(1, tier, outcome)
        self.account_requests.add(1, account, outcome)
        self.prompt_tokens.add(request.prompt_tokens, tier)
        self.wasted_prompt_tokens.add(request.wasted_prompt_tokens, tier)
        self.service_seconds.add(request.service_s, tier)
        self.queue_seconds.record(request.queued_s, {"tier": tier})
        if request.first_token_s is not None:
            self.first_token_seconds.record(request.first_token_s, {"tier": tier})
        if outcome == "not_run":
            self.refusals.add(1, tier, request.result)
        if request.result != RESULT_WHOLE:
            return
        self.complete_answers.add(1, tier)
        if request.in_time:
            self.goodput.add(1, tier)
        self.request_seconds.record(request.total_s, {"tier": tier})
        self.account_request_seconds.record(request.total_s, {"account": account})

    def record_key_value_call(self, kind: str) -> None:
        """Adds one call to the key-value service, such as a range or a watch."""
        self.key_value_calls.add(1, kind)

    def record_peer_message(self, direction: str, kind: str, size: int) -> None:
        """Adds one message to or from a member; the direction is sent or received."""
        self.peer_messages.add(1, direction, kind)
        self.peer_bytes.add(size, direction, kind)

    def set_gauge(self, name: str, value: float) -> None:
        """Sets one of the state gauges, such as `config_version` or `members`."""
        self.state_gauges.set(value, name)

    def render(self) -> bytes:
        """All metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _add_request_counters(self, meter: Meter) -> None:
        self.requests = _counter(
            meter,
            "requests",
            "Finished requests by tier and outcome",
            "tier",
            "outcome",
        )
        self.account_requests = _counter(
            meter,
            "account_requests",
            "Finished requests by client account and outcome",
            "account",
            "outcome",
        )
        self.complete_answers = _counter(
            meter, "whole_answers", "Requests with a whole answer", "tier"
        )
        self.goodput = _counter(
            meter, "goodput", "Requests with a whole answer in time", "tier"
        )
        self.refusals = _counter(
            meter, "refusals", "Requests not run, by reason", "tier", "reason"
        )
        self.prompt_tokens = _counter(
            meter, "prompt_tokens", "Prompt tokens of finished requests", "tier"
        )
        self.wasted_prompt_tokens = _counter(
            meter,
            "wasted_prompt_tokens",
            "Prompt tokens that were processed for nothing",
            "tier",
        )
        self.service_seconds = _counter(
            meter,
            "service_seconds",
            "Seconds for which runs held a slot; divided by goodput it is the service "
            "per completed request",
            "tier",
        )

    def _add_platform_counters(self, meter: Meter) -> None:
        self.key_value_calls = _counter(
            meter, "key_value_calls", "Calls to the key-value service", "kind"
        )
        self.peer_messages = _counter(
            meter, "peer_messages", "Messages between members", "direction", "kind"
        )
        self.peer_bytes = _counter(
            meter, "peer_bytes", "Bytes between members", "direction", "kind"
        )
        self.state_gauges = ObservableSeries("name")
        meter.create_observable_gauge(
            "burdockhaven.state",
            callbacks=[self.state_gauges.observations],
            description="State of the daemon, by name",
        )

    def _add_histograms(self, meter: Meter) -> None:
        self.request_seconds = _histogram(
            meter, "request_seconds", "Arrival to whole answer, by tier"
        )
        self.account_request_seconds = _histogram(
            meter, "account_request_seconds", "Arrival to whole answer, by account"
        )
        self.first_token_seconds = _histogram(
            meter, "first_token_seconds", "Arrival to first token, by tier"
        )
        self.queue_seconds = _histogram(
            meter, "queue_seconds", "Arrival to dispatch or refusal, by tier"
        )


def classify_outcome(request: RecordRequest) -> str:
    """One of in_time, late, cancelled, unknown and not_run."""
    if request.result == RESULT_WHOLE:
        return "in_time" if request.in_time else "late"
    if request.result == RESULT_CANCELLED:
        return RESULT_CANCELLED
    return "unknown" if request.result in UNKNOWN_RESULTS else "not_run"


UNKNOWN_RESULTS = frozenset(reason.value for reason in UnknownReason)


def _counter(
    meter: Meter, name: str, description: str, *labels: str
) -> ObservableSeries:
    series = ObservableSeries(*labels)
    callback: Callable[[CallbackOptions], Iterable[Observation]] = series.observations
    meter.create_observable_counter(
        f"burdockhaven.{name}", callbacks=[callback], description=description
    )
    return series


def _histogram(meter: Meter, name: str, description: str) -> "Histogram":
    return meter.create_histogram(
        f"burdockhaven.{name}",
        description=description,
        explicit_bucket_boundaries_advisory=DURATION_BUCKETS_S,
    )


# The content type of `Metrics.render`.
CONTENT_TYPE = CONTENT_TYPE_LATEST
