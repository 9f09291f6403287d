"""Metrics: what a finished request adds and how many series there can be."""

import dataclasses

import pytest
from litestar import Litestar
from litestar.testing import TestClient

from burdockhaven_core.actions import RecordRequest
from burdockhaven_core.outcome import NotRunReason, UnknownReason
from burdockhaven_entry.account_labels import OTHER_ACCOUNTS_LABEL, AccountLabels
from burdockhaven_entry.metrics import Metrics, classify_outcome
from burdockhaven_entry.metrics_page import metrics_handler

REQUEST = RecordRequest(
    account="tranchee",
    class_name="review",
    tier=2,
    result="whole",
    in_time=True,
    queued_s=0.02,
    first_token_s=0.3,
    total_s=4.0,
    wasted_prompt_tokens=0,
    prompt_tokens=900,
    service_s=3.5,
)


def sample_value(metrics, series, **labels):
    value = metrics.registry.get_sample_value(f"burdockhaven_{series}", labels)
    return 0.0 if value is None else value


def changed_request(**fields):
    return dataclasses.replace(REQUEST, **fields)


def test_goodput_counts_only_complete_answers_in_time():
    metrics = Metrics()
    metrics.record_request(REQUEST)
    metrics.record_request(changed_request(in_time=False))
    metrics.record_request(changed_request(result="overload", in_time=False))
    assert sample_value(metrics, "goodput_total", tier="2") == 1
    assert sample_value(metrics, "whole_answers_total", tier="2") == 2
    assert sample_value(metrics, "requests_total", tier="2", outcome="late") == 1
    assert sample_value(metrics, "refusals_total", tier="2", reason="overload") == 1
    assert sample_value(metrics, "service_seconds_total", tier="2") == 10.5


def test_wasted_prompt_tokens_are_counted_separately():
    metrics = Metrics()
    metrics.record_request(
        changed_request(result="target_lost", wasted_prompt_tokens=900)
    )
    metrics.record_request(REQUEST)
    assert sample_value(metrics, "wasted_prompt_tokens_total", tier="2") == 900
    assert sample_value(metrics, "prompt_tokens_total", tier="2") == 1800


def test_durations_are_recorded_by_tier_and_account():
    metrics = Metrics()
    metrics.record_request(REQUEST)
    for name, labels in [
        ("request_seconds_bucket", {"tier": "2", "le": "5.0"}),
        ("account_request_seconds_bucket", {"account": "tranchee", "le": "5.0"}),
        ("first_token_seconds_bucket", {"tier": "2", "le": "0.5"}),
        ("queue_seconds_bucket", {"tier": "2", "le": "0.05"}),
    ]:
        assert sample_value(metrics, name, **labels) == 1, name
    assert sample_value(metrics, "request_seconds_bucket", tier="2", le="2.5") == 0


@pytest.mark.parametrize(
    ("result", "expected"),
    [
        *((reason.value, "unknown") for reason in UnknownReason),
        *((reason.value, "not_run") for reason in NotRunReason),
    ],
)
def test_each_reason_maps_to_an_outcome(result, expected):
    expected = "cancelled" if result == "cancelled" else expected
    assert classify_outcome(changed_request(result=result)) == expected


def test_key_value_calls_and_peer_messages_are_counted_by_kind():
    metrics = Metrics()
    metrics.record_key_value_call("range")
    metrics.record_key_value_call("range")
    metrics.record_peer_message("sent", "Heartbeat", 120)
    metrics.set_gauge("members", 9)
    assert sample_value(metrics, "key_value_calls_total", kind="range") == 2
    labels = {"direction": "sent", "kind": "Heartbeat"}
    assert sample_value(metrics, "peer_messages_total", **labels) == 1
    assert sample_value(metrics, "peer_bytes_total", **labels) == 120
    assert sample_value(metrics, "state", name="members") == 9


def test_number_of_account_series_is_bounded():
    metrics = Metrics()
    for number in range(5_900):
        metrics.record_request(changed_request(account=f"account-{number}"))
    page = metrics.render().decode()
    histograms = [
        line
        for line in page.splitlines()
        if line.startswith("burdockhaven_account_request_seconds_count")
    ]
    assert len(histograms) <= 33
    assert sum(float(line.rsplit(" ", 1)[1]) for line in histograms) == 5_900


def test_large_account_gets_own_series_after_many_small_ones():
    labels = AccountLabels(max_series=8)
    for number in range(100):
        labels.label_for(f"small-{number}")
    assigned_labels = [labels.label_for("large") for _ in range(50)]
    assert assigned_labels[0] == OTHER_ACCOUNTS_LABEL
    assert assigned_labels[-1] == "large"


def test_account_named_other_gets_a_distinct_label():
    labels = AccountLabels(max_series=2)
    assert labels.label_for("other") != OTHER_ACCOUNTS_LABEL


def test_metrics_page_is_served_as_text():
    metrics = Metrics()
    metrics.record_request(REQUEST)
    with TestClient(
        Litestar([metrics_handler(metrics)], openapi_config=None)
    ) as client:
        response = client.get("/metrics")
    assert response.status_code == 200
    assert response.headers["content-type"].startswith("text/plain")
    assert 'burdockhaven_goodput_total{tier="2"} 1.0' in response.text
