import tomllib
from pathlib import Path

import pytest
from aiohttp import web
from gateway_fixtures import (
    API_KEY,
    Gateway,
    Script,
    reset_connection,
    respond,
    response_head,
    send_pieces,
    stream_events,
)
from multidict import CIMultiDict, CIMultiDictProxy

from burdockhaven_core.client_limits import Listener
from burdockhaven_core.scheduling.peer_messages import EntryChange
from burdockhaven_entry.gateway.client_load import YieldReason
from burdockhaven_entry.gateway.control_handler import (
    METRICS_PATH,
    METRICS_PORT,
    ControlHandler,
)
from burdockhaven_entry.gateway.gateway_metrics import (
    MAX_ROUTE_LABELS,
    OTHER_ROUTES_LABEL,
)
from burdockhaven_entry.gateway.metrics_text import GatewayCollector
from burdockhaven_entry.platform import read_response_head

DEPLOY = Path(__file__).parents[4] / "deploy" / "system.toml"


class Store:
    calls = {("watch", "ok"): 7, ("watch", "ambiguous"): 2}


@pytest.fixture
async def gateway():
    started = await Gateway.start(
        plain=[Script(respond(), reset_connection)],
        engines=[Script(stream_events(1, 3))],
    )
    yield started
    await started.stop()


def scrape(gateway):
    page = GatewayCollector.render(gateway.state, Store()).decode()
    lines = [line for line in page.splitlines() if not line.startswith("#")]
    return {
        name: float(value) for name, value in (line.rsplit(" ", 1) for line in lines)
    }


async def test_requests_and_sends_are_counted_by_outcome(gateway):
    assert (await gateway.call("/unsafe/x")).status == 200
    assert (await gateway.call("/unsafe/x")).status == 502
    assert (await gateway.call("/stream/x")).status == 200
    assert (await gateway.call("/nowhere/x")).status == 404
    samples = scrape(gateway)
    sample = 'burdockhaven_requests_total{account="acme",route="r/unsafe/",status="%d"}'
    assert samples[sample % 200] == samples[sample % 502] == 1
    assert samples['burdockhaven_turned_away_total{status="404"}'] == 1
    assert samples['burdockhaven_sends_total{service="plain"}'] == 2
    assert samples['burdockhaven_failed_sends_total{service="plain"}'] == 1
    assert samples['burdockhaven_store_calls_total{call="watch",outcome="ok"}'] == 7


async def test_refused_responses_are_counted_by_fault(gateway):
    head = response_head("Transfer-Encoding: chunked\r\n")
    gateway.targets[0].script.behaviours = [send_pieces(head, b"no size\r\n")]
    for _ in range(2):
        assert (await gateway.call("/unsafe/x")).status == 502
    name = 'burdockhaven_refused_responses_total{fault="invalid body"}'
    assert scrape(gateway)[name] == 2


async def test_retries_are_counted_by_verdict(gateway):
    while gateway.state.acquire_retry("plain"):
        pass
    samples = scrape(gateway)
    assert samples['burdockhaven_retries_total{service="plain"}'] > 0
    assert samples['burdockhaven_refused_retries_total{service="plain"}'] == 1


async def test_durations_are_exported_as_cumulative_histograms(gateway):
    for _ in range(3):
        await gateway.call("/stream/x")
    samples = scrape(gateway)
    name = "burdockhaven_first_event_seconds"
    assert samples[name + '_count{route="r/stream/"}'] == 3
    assert samples[name + '_bucket{le="+Inf",route="r/stream/"}'] == 3
    assert samples[name + '_sum{route="r/stream/"}'] > 0
    assert samples['burdockhaven_request_seconds_count{account="acme"}'] == 3
    assert samples['burdockhaven_queued_seconds_count{route="r/stream/"}'] == 3


async def test_gauges_show_the_current_state(gateway):
    samples = scrape(gateway)
    assert samples["burdockhaven_configuration_version"] == 1
    assert samples["burdockhaven_members"] == 1
    assert samples['burdockhaven_targets{service="plain"}'] == 1
    assert samples['burdockhaven_runs{target="engines-0"}'] == 0
    assert samples['burdockhaven_first_event_error{service="engines"}'] == 0


async def test_label_count_is_bounded_and_no_api_key_is_exported(gateway):
    for number in range(3 * MAX_ROUTE_LABELS):
        gateway.state.metrics.route_label(f"route-{number}")
    assert gateway.state.metrics.route_label("another") == OTHER_ROUTES_LABEL
    await gateway.call("/safe/x")
    assert API_KEY not in GatewayCollector.render(gateway.state, Store()).decode()


async def test_metrics_address_serves_only_the_metrics_page():
    class Request:
        path = METRICS_PATH

    gateway = await Gateway.start()
    control = ControlHandler(gateway.state, Store())
    response = await control.handle_metrics(Request())
    assert response.status == 200
    assert response.content_type == "text/plain"
    assert isinstance(response, web.Response)
    Request.path = "/"
    assert (await control.handle_metrics(Request())).status == 404
    await gateway.stop()


def test_deploy_file_names_the_metrics_address():
    role = tomllib.loads(DEPLOY.read_text())["roles"]["entry"]
    assert role["metrics"] == f"{METRICS_PORT}{METRICS_PATH}"


async def test_leaving_and_paused_targets_are_shown(gateway):
    entries = gateway.state.registry.entries
    leaves, pauses = (
        read_response_head(status, CIMultiDictProxy(CIMultiDict(values)))
        for status, values in (
            (200, {"Server-Leaving": "1"}),
            (503, {"Retry-After": "30"}),
        )
    )
    now = gateway.state.clock()
    gateway.state.record_response(entries["plain-0"], leaves, now)
    gateway.state.record_response(entries["engines-0"], pauses, now)
    samples = scrape(gateway)
    assert samples['burdockhaven_targets_leaving{service="plain"}'] == 1
    pause_s = samples['burdockhaven_target_pause_seconds{target="engines-0"}']
    assert 29 < pause_s < 32


async def test_targets_whose_removal_another_member_has_read_are_shown(gateway):
    entry = gateway.state.registry.entries["plain-0"]
    change = EntryChange("plain-0", entry.started_ms, 1, 9, is_present=False)
    assert gateway.state.registry.apply_change(change)
    name = 'burdockhaven_targets_removed_elsewhere{service="plain"}'
    assert scrape(gateway)[name] == 1


async def test_load_of_clients_is_shown(gateway):
    load = gateway.state.client_load
    assert (await gateway.call("/unsafe/x")).status == 200
    load.yielded[YieldReason.MEMORY] += 2
    load.refused_connections[Listener.DIRECTORY] += 1
    load.refused_requests += 3
    samples = scrape(gateway)
    prefix = "burdockhaven_client_"
    assert samples[prefix + 'connections{listener="front"}'] == 1
    assert samples[prefix + 'connections_yielded_total{reason="memory"}'] == 2
    assert samples[prefix + 'connections_refused_total{listener="directory"}'] == 1
    assert samples[prefix + "requests_refused_total"] == 3
    assert samples[prefix + "held_bytes"] == load.memory.total > 0
    assert samples[prefix + "held_bytes_limit"] == load.memory.budget.total
