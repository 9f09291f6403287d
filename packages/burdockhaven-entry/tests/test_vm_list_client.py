"""The client of the list of VMs."""

import httpx
import pytest
from result import Ok

from burdockhaven_core.events import VmListRead
from burdockhaven_entry.vm_list_client import VmListClient


def client_returning(response):
    transport = httpx.MockTransport(lambda request: response)
    client = httpx.AsyncClient(base_url="http://vms", transport=transport)
    return VmListClient("http://vms", client)


async def test_live_and_leaving_vms_are_separated():
    vms = [
        {"address": "10.0.0.1:9101", "zone": "a", "state": "live"},
        {"address": "10.0.0.2:9101", "zone": "b", "state": "leaving"},
    ]
    read = await client_returning(httpx.Response(200, json={"vms": vms})).read()
    assert read == Ok(
        VmListRead(frozenset({"10.0.0.1:9101"}), frozenset({"10.0.0.2:9101"}))
    )


@pytest.mark.parametrize(
    "response",
    [
        httpx.Response(503),
        httpx.Response(200, text="no list"),
        httpx.Response(200, json={"vms": [{"address": "a", "zone": "b"}]}),
    ],
)
async def test_an_unreadable_list_is_reported_with_step_and_peer(response):
    failure = (await client_returning(response).read()).err()
    assert (failure.step, failure.peer) == ("read VM list", "http://vms")
