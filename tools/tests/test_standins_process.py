import base64
import json

import httpx
import pytest
from httpx_sse import connect_sse

from burdockhaven_standins.processes import NotReadyError, ProcessGroup, RunningProcess

pytestmark = pytest.mark.process


@pytest.fixture
def group():
    with ProcessGroup() as running:
        yield running


def start_run(client, run_id, tokens=3):
    body = {"request_id": run_id, "prompt": "a b c", "max_tokens": tokens}
    return connect_sse(client, "POST", "/v1/completions", json=body)


def read_events(source):
    return [
        event.data if event.data == "[DONE]" else json.loads(event.data)
        for event in source.iter_sse()
    ]


def joined_text(events):
    return "".join(event["choices"][0]["text"] for event in events)


def client_for(process):
    return httpx.Client(base_url=process.url, timeout=10.0)


def test_engine_streams_resumes_and_counts(group):
    engine = group.start_stand_in("engine", "engine", "--token-interval-s", "0.001")
    with client_for(engine) as client:
        with start_run(client, "run-one") as source:
            *chunks, done = read_events(source)
        assert joined_text(chunks) == "run-on-0 run-on-1 run-on-2 "
        assert chunks[-1]["usage"]["completion_tokens"] == 3
        assert done == "[DONE]"
        path = "/v1/completions/run-one"
        with connect_sse(client, "GET", path, params={"offset": 2}) as source:
            *chunks, _ = read_events(source)
        assert chunks[0]["offset"] == 2
        assert joined_text(chunks) == "run-on-2 "
        assert client.get("/v1/completions/other").status_code == 404
        assert client.get("/counts").json()["submissions"] == {"run-one": 1}
        assert engine.stop() == 0


def test_engine_cancels_and_cuts_streams(group):
    engine = group.start_stand_in("engine", "engine", "--token-interval-s", "0.001")
    with client_for(engine) as client:
        client.post("/control", json={"slowness": 0})
        for run_id, end in [("a", "cut"), ("b", "cancel")]:
            with start_run(client, run_id) as source, client_for(engine) as other:
                assert source.response.status_code == 200
                if end == "cut":
                    other.post("/control", json={"cut_streams": True})
                else:
                    other.delete(f"/v1/completions/{run_id}")
                with pytest.raises(httpx.RemoteProtocolError):
                    read_events(source)
        assert client.get("/counts").json()["cancelled"] == ["b"]


@pytest.mark.parametrize(
    ("options", "status"), [(["--checks-fencing"], 409), ([], 200)]
)
def test_engine_checks_fencing_if_enabled(group, options, status):
    with client_for(group.start_stand_in("engine", "engine", *options)) as client:
        assert client.post("/orders", json={"order": "load", "fencing": 2}).is_success
        old = client.post("/orders", json={"order": "unload", "fencing": 1})
        assert old.status_code == status


@pytest.mark.parametrize(
    ("fault", "status", "executions"),
    [
        ({"refuse": True}, 503, {}),
        ({"leaving": True}, 503, {}),
        ({"cut_next": "before"}, None, {}),
        ({"cut_next": "after"}, None, {"x": 1}),
        ({}, 200, {"x": 1}),
    ],
)
def test_service_faults(group, fault, status, executions):
    with client_for(group.start_stand_in("service", "service")) as client:
        client.post("/control", json=fault)
        body = {"request_id": "x", "class": "sign-off", "body": "{}"}
        if status is None:
            with pytest.raises(httpx.RemoteProtocolError):
                client.post("/v1/calls", json=body)
        else:
            response = client.post("/v1/calls", json=body)
            assert response.status_code == status
        assert client.get("/counts").json() == executions


def test_key_value_over_http(group):
    def text(data):
        return base64.b64encode(data).decode()

    with client_for(group.start_stand_in("kv", "kv")) as client:
        key = text(b"k")
        watched = {"create_request": {"key": key, "start_revision": "2"}}
        put = {"key": key, "value": text(b"v")}
        compare = {"key": key, "target": "VERSION", "result": "EQUAL", "version": "0"}
        txn = {"compare": [compare], "success": [{"requestPut": put}]}
        with client.stream("POST", "/v3/watch", json=watched) as watch:
            lines = watch.iter_lines()
            assert json.loads(next(lines))["result"]["created"]
            assert client.post("/v3/kv/txn", json=txn).json()["succeeded"]
            event = json.loads(next(lines))["result"]["events"][0]
            assert event["kv"]["value"] == text(b"v")
            assert client.get("/counts").json()["waiting_watches"] == 1
            client.post("/control", json={"outage": "refuse"})
            with pytest.raises(httpx.RemoteProtocolError):
                next(lines)
        assert client.post("/v3/kv/range", json={"key": key}).status_code == 503
        client.post("/control", json={"outage": "none", "lose_answers": 1})
        with pytest.raises(httpx.RemoteProtocolError):
            client.post("/v3/kv/put", json={"key": key, "value": text(b"w")})
        found = client.post("/v3/kv/range", json={"key": key}).json()
        assert found["kvs"][0]["value"] == text(b"w")
        assert client.get("/counts").json()["calls"] == {
            "watch": 1,
            "txn": 1,
            "range": 2,
            "put": 1,
        }


def test_vm_list_delays_changes(group):
    vms = [{"address": "127.0.0.1:1", "zone": "a", "state": "leaving"}]
    with client_for(group.start_stand_in("vms", "vms")) as client:
        client.post("/control", json={"vms": vms})
        assert client.get("/vms").json() == {"vms": vms}
        client.post("/control", json={"lag_s": 3600, "vms": []})
        assert client.get("/vms").json() == {"vms": vms}


def test_process_that_exits_at_start_is_reported():
    with pytest.raises(NotReadyError, match="invalid choice"):
        RunningProcess.start("wrong", ["burdockhaven_standins", "nothing"])
