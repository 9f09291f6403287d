"""The administration API with an in-memory key-value service."""

import dataclasses

import msgspec
import pytest
from litestar.testing import TestClient

from burdockhaven_core.admin_messages import InForceReply, MembersReply
from burdockhaven_core.configuration import Configuration
from burdockhaven_core.configuration_codec import encode_json
from burdockhaven_core.configuration_replica import ConfigurationReplica
from burdockhaven_core.identity import MemberId
from burdockhaven_entry.admin_api import AdminView, admin_app
from burdockhaven_entry.configuration_sync import ConfigurationSync
from burdockhaven_standins.key_value_memory import MemoryKeyValue
from burdockhaven_standins.memory_kv_client import MemoryKvClient
from burdockhaven_standins.samples import ACCOUNT, TEMPLATE

TOKEN = "operators-token-of-16"
TEMPLATE_PATH = "/v1/templates/site"


class Entry:
    """The parts of an entry that the API needs, with an HTTP client."""

    def __init__(self):
        self.service = MemoryKeyValue()
        self.replica = ConfigurationReplica(MemberId("e1", "a"))
        self.highest_known_version = 0
        self.sync = ConfigurationSync(
            MemoryKvClient(self.service),
            lambda: self.replica.configuration,
            lambda: self.highest_known_version,
            lambda event: self.replica.apply_if_newer(event.configuration),
        )
        view = AdminView(
            configuration=lambda: self.replica.configuration,
            report_configuration=lambda: None,
            in_force=lambda version: InForceReply(version, 1, 3),
            members=lambda: MembersReply(()),
            targets=lambda: None,
            floors=lambda: None,
            queues=lambda: None,
        )
        app = admin_app(view, self.sync, TOKEN)
        self.client = TestClient(app)
        self.client.headers["authorization"] = f"Bearer {TOKEN}"

    def put(self, path, item, expected, name="operation-1", **extra):
        query = {"expected_version": expected, "operation_id": name} | extra
        return self.client.put(path, params=query, content=encode_json(item))


@pytest.fixture
def entry():
    return Entry()


def test_a_template_is_published_and_an_account_put_and_removed(entry):
    first = entry.put(TEMPLATE_PATH, TEMPLATE, 0)
    assert (first.status_code, first.json()["result"]) == (200, "accepted")
    assert first.json()["in_force"] == {"version": 1, "on": 1, "of": 3}
    second = entry.put("/v1/accounts/crew", ACCOUNT, 1, "operation-2")
    assert second.json()["version"] == 2
    query = {"expected_version": 2, "operation_id": "operation-3"}
    assert entry.client.delete("/v1/accounts/crew", params=query).json()["version"] == 3
    assert entry.replica.configuration.accounts == {}
    changes = entry.client.get("/v1/history").json()["changes"]
    assert [change["summary"] for change in changes] == [
        "put template site",
        "put account crew",
        "delete account crew",
    ]


@pytest.mark.parametrize("header", ["", "Bearer ", "Bearer wrong", f"Basic {TOKEN}"])
@pytest.mark.parametrize("path", ["/v1/members", "/v1/configuration"])
def test_a_call_without_the_token_is_refused(entry, header, path):
    response = entry.client.get(path, headers={"authorization": header})
    assert response.status_code == 401
    assert TOKEN not in response.text


def test_a_conflicting_change_names_the_winner(entry):
    entry.put(TEMPLATE_PATH, TEMPLATE, 0, "operation-1", operator="ann")
    response = entry.put(TEMPLATE_PATH, TEMPLATE, 0, "operation-2")
    assert response.status_code == 409
    assert response.json()["winner"]["operator"] == "ann"
    assert response.json()["version"] == 1


def test_a_repeated_change_is_applied_once(entry):
    responses = [entry.put(TEMPLATE_PATH, TEMPLATE, 0) for _ in range(2)]
    assert [each.json()["version"] for each in responses] == [1, 1]
    query = {"expected_version": 0}
    found = entry.client.get("/v1/operations/operation-1", params=query)
    assert found.json()["result"] == "accepted"
    other = entry.client.get("/v1/operations/operation-9", params=query)
    assert (other.status_code, other.json()["result"]) == (409, "conflict")


def test_a_dry_run_changes_nothing(entry):
    response = entry.put(TEMPLATE_PATH, TEMPLATE, 0, dry_run="true")
    assert (response.status_code, response.json()["result"]) == (200, "valid")
    assert entry.service.items == {}
    wrong = dataclasses.replace(TEMPLATE.classes[0], tier=99)
    template = dataclasses.replace(TEMPLATE, classes=(wrong,))
    response = entry.put(TEMPLATE_PATH, template, 0, dry_run="true")
    assert response.status_code == 422
    assert response.json()["faults"][0]["path"] == "templates.site.classes.review.tier"


@pytest.mark.parametrize(
    ("query", "paths"),
    [
        ({}, ["expected_version", "operation_id"]),
        ({"expected_version": "-1", "operation_id": "operation-1"}, None),
        ({"expected_version": "1e3", "operation_id": "operation-1"}, None),
        (
            {"expected_version": "x", "operation_id": "a b", "dry_run": "no"},
            ["expected_version", "operation_id", "dry_run"],
        ),
    ],
)
def test_all_invalid_parameters_are_reported_together(entry, query, paths):
    body = encode_json(TEMPLATE)
    response = entry.client.put(TEMPLATE_PATH, params=query, content=body)
    assert response.status_code == 422
    found = [fault["path"] for fault in response.json()["faults"]]
    assert found == (paths or ["expected_version"])


@pytest.mark.parametrize(
    "body",
    [b"", b"{", b"[]", b'{"name": 1}', encode_json(ACCOUNT), b"\xff"],
)
def test_an_unparsable_body_is_refused(entry, body):
    query = {"expected_version": 0, "operation_id": "operation-1"}
    response = entry.client.put(TEMPLATE_PATH, params=query, content=body)
    assert (response.status_code, response.json()["result"]) == (422, "invalid")


def test_an_oversized_body_is_refused(entry):
    query = {"expected_version": 0, "operation_id": "operation-1"}
    response = entry.client.put(TEMPLATE_PATH, params=query, content=b"x" * (2 << 20))
    assert response.status_code == 413
    assert response.json()["error"] == "bad_request"


def test_a_body_whose_name_differs_from_the_path_is_refused(entry):
    response = entry.put("/v1/templates/other", TEMPLATE, 0)
    assert response.json()["faults"][0]["path"] == "$.name"


def test_during_an_outage_a_change_is_refused_and_the_entry_still_answers(entry):
    entry.service.down = True
    response = entry.put(TEMPLATE_PATH, TEMPLATE, 0)
    assert (response.status_code, response.json()["result"]) == (503, "not_done")
    assert entry.client.get("/v1/history").status_code == 503
    assert entry.client.get("/v1/members").status_code == 200


def test_a_rolled_back_service_is_restored_before_the_change(entry):
    entry.put(TEMPLATE_PATH, TEMPLATE, 0)
    entry.service.restore(MemoryKeyValue().snapshot())
    response = entry.put("/v1/accounts/crew", ACCOUNT, 1, "operation-2")
    assert (response.json()["result"], response.json()["version"]) == ("accepted", 2)


def test_an_entry_with_silent_members_refuses_changes(entry):
    entry.highest_known_version = None
    response = entry.put(TEMPLATE_PATH, TEMPLATE, 0)
    assert response.json()["result"] == "not_done"
    assert entry.replica.configuration == Configuration()


def test_the_openapi_document_is_served(entry):
    described = entry.client.get("/schema/openapi.json")
    paths = msgspec.json.decode(described.content)["paths"]
    assert "/v1/templates/{name}" in paths
