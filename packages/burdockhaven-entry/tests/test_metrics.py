"""Metrics: what a finished request adds and how many series there can be."""

import dataclasses

import pytest
from litestar import Litestar
from litestar.testing import TestClient

from burdockhaven_core.actions import RecordRequest
from burdockhaven_core.outcome import NotRunReason, UnknownReason
from burdockhaven_entry.account_labels import OTHER_ACCOUNTS, AccountLabels
from burdockhaven_entry.metrics import Metrics, outcome_of
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


def sample(metrics, series, **labels):
    value = metrics.registry.get_sample_value(f"burdockhaven_{series}", labels)
    return 0.0 if value is None else value


def changed(**fields):
    return dataclasses.replace(REQUEST, **fields)


def test_goodput_counts_only_whole_answers_in_time():
    metrics = Metrics()
    metrics.record(REQUEST)
    metrics.record(changed(in_time=False))
    metrics.record(changed(result="overload", in_time=False))
    assert sample(metrics, "goodput_total", tier="2") == 1
    assert sample(metrics, "whole_answers_total", tier="2") == 2
    assert sample(metrics, "requests_total", tier="2", outcome="late") == 1
    assert sample(metrics, "refusals_total", tier="2", reason="overload") == 1
    assert sample(metrics, "service_seconds_total", tier="2") == 10.5


def test_wasted_prefill_is_counted_beside_all_prompt_tokens():
    metrics = Metrics()
    metrics.record(changed(result="target_lost", wasted_prompt_tokens=900))
    metrics.record(REQUEST)
    assert sample(metrics, "wasted_prompt_tokens_total", tier="2") == 900
    assert sample(metrics, "prompt_tokens_total", tier="2") == 1800


def test_durations_are_in_histograms_by_tier_and_by_account():
    metrics = Metrics()
    metrics.record(REQUEST)
    for name, labels in [
        ("request_seconds_bucket", {"tier": "2", "le": "5.0"}),
        ("account_request_seconds_bucket", {"account": "tranchee", "le": "5.0"}),
        ("first_token_seconds_bucket", {"tier": "2", "le": "0.5"}),
        ("queue_seconds_bucket", {"tier": "2", "le": "0.05"}),
    ]:
        assert sample(metrics, name, **labels) == 1, name
    assert sample(metrics, "request_seconds_bucket", tier="2", le="2.5") == 0


@pytest.mark.parametrize(
    ("result", "expected"),
    [
        *((reason.value, "unknown") for reason in UnknownReason),
        *((reason.value, "not_run") for reason in NotRunReason),
    ],
)
def test_each_reason_has_an_outcome(result, expected):
    expected = "cancelled" if result == "cancelled" else expected
    assert outcome_of(changed(result=result)) == expected


def test_calls_and_messages_are_counted_by_kind():
    metrics = Metrics()
    metrics.record_key_value_call("range")
    metrics.record_key_value_call("range")
    metrics.record_peer_message("sent", "Heartbeat", 120)
    metrics.set_gauge("members", 9)
    assert sample(metrics, "key_value_calls_total", kind="range") == 2
    labels = {"direction": "sent", "kind": "Heartbeat"}
    assert sample(metrics, "peer_messages_total", **labels) == 1
    assert sample(metrics, "peer_bytes_total", **labels) == 120
    assert sample(metrics, "state", name="members") == 9


def test_series_do_not_grow_with_accounts():
    metrics = Metrics()
    for number in range(5_900):
        metrics.record(changed(account=f"account-{number}"))
    page = metrics.render().decode()
    histograms = [
        line
        for line in page.splitlines()
        if line.startswith("burdockhaven_account_request_seconds_count")
    ]
    assert len(histograms) <= 33
    assert sum(float(line.rsplit(" ", 1)[1]) for line in histograms) == 5_900


def test_a_large_account_gets_a_series_after_many_small_ones():
    labels = AccountLabels(max_series=8)
    for number in range(100):
        labels.label_for(f"small-{number}")
    seen = [labels.label_for("large") for _ in range(50)]
    assert seen[0] == OTHER_ACCOUNTS
    assert seen[-1] == "large"


def test_an_account_named_other_does_not_mix_with_the_rest():
    labels = AccountLabels(max_series=2)
    assert labels.label_for("other") != OTHER_ACCOUNTS


def test_the_page_is_served_as_text():
    metrics = Metrics()
    metrics.record(REQUEST)
    with TestClient(
        Litestar([metrics_handler(metrics)], openapi_config=None)
    ) as client:
        answer = client.get("/metrics")
    assert answer.status_code == 200
    assert answer.headers["content-type"].startswith("text/plain")
    assert 'burdockhaven_goodput_total{tier="2"} 1.0' in answer.text
