"""Values of clients and of the configuration that messages to members carry."""

import asyncio
import json
import random

import pytest
from fuzz_settings import FUZZING
from gateway_fixtures import settings
from hypothesis import example, given
from hypothesis import strategies as st
from multidict import CIMultiDict, CIMultiDictProxy
from scheduling_samples import heartbeat

from burdockhaven_core.scheduling.peer_messages import decode_message, encode_message
from burdockhaven_core.scheduling.stream_origins import stream_key
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.placement_client import (
    PlacementClient,
    PlacementRequirements,
)
from burdockhaven_entry.platform import (
    ConfigurationError,
    MalformedRequestError,
    read_client_request,
    read_configuration,
)

HEADERS = {
    "X-Burdockhaven-Attempt-Id": "a1",
    "X-Burdockhaven-Token-Counts": "100,20",
    "X-Burdockhaven-Prompt-Prefix": "a:1,b:2",
    "X-Burdockhaven-Deadline-Ms": "1000",
    "X-Burdockhaven-Length-Hint": "3",
    "Resumes": "a0",
    "Last-Event-Id": "4",
}
ROUTE = {
    "name": "r1",
    "host": "one.example",
    "prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 15000,
    "target_latency_ms": 600,
    "priority": 2,
    "service": "engines",
    "max_attempts": 2,
    "resumable": True,
    "target_gap_ms": 300,
}
ACCOUNT = {"name": "acme", "api_keys": ["k"], "priority": 1, "uncached_tokens": 2}
NUMBERS = st.one_of(
    st.integers(),
    st.floats(allow_nan=False, allow_infinity=False),
    st.sampled_from([-(10**20), 2**63 - 1, 2**63, 10**20, 1e18, 1e300, -1]),
)
# A header as the HTTP library decodes it: bytes that are not UTF-8 become surrogates.
VALUES = st.one_of(
    st.binary(max_size=80).map(lambda data: data.decode("utf-8", "surrogateescape")),
    NUMBERS.map(str),
    NUMBERS.map(lambda number: f"{number},{number}"),
    NUMBERS.map(lambda number: f"\udcff:{number},b:{number}"),
    st.sampled_from(["nan,inf", "\udcff:1", "1e308,1e308", "9" * 400, "\udcff" * 65]),
)


def send_placement(client_request, route, account):
    """Request a placement of another member's broker; return the decoded message."""
    state = GatewayState.from_settings(
        settings(), 1, 1_000, lambda: 1.0, random.Random(1)
    )
    state.member_list.record_heartbeat(heartbeat("other", 2, started_ms=0), 1.0)
    sent = []
    client = PlacementClient(
        state.member_id,
        state.member_list,
        state.broker,
        state.heartbeat,
        send=lambda node, message: sent.append(encode_message(message)),
        clock=state.clock,
    )
    now = state.clock()
    requirements = PlacementRequirements(
        service=route.shares[0].service,
        route=route.name,
        account=account.name,
        priority=account.priority,
        route_priority=route.priority,
        prompt_tokens=client_request.prompt_tokens or 0,
        output_tokens=client_request.max_output_tokens or 0,
        parts=client_request.parts,
        objective_s=now + route.objective_s,
        client_timeout_s=now + route.client_timeout_s,
        deadline_s=now + route.timeout_s,
        pause_objective_s=route.pause_objective_s or 1.0,
        expected_tokens=client_request.expected_output_tokens or 0,
    )

    async def place():
        placing = asyncio.create_task(client.place(requirements))
        await asyncio.sleep(0)
        placing.cancel()
        await asyncio.wait({placing})

    asyncio.run(place())
    return decode_message(sent[-2])


def read_table(route=ROUTE, account=ACCOUNT):
    raw = {"version": 1, "routes": [route], "tenants": [account]}
    return read_configuration(json.dumps(raw).encode())


def read_headers(headers):
    return read_client_request(CIMultiDictProxy(CIMultiDict(headers)))


def send(client_request, table):
    (account,) = table.account_of_key.values()
    return send_placement(client_request, table.routes[0], account)


# Guards against a client whose request can't be placed, and is answered with an error.
@FUZZING
@given(st.sampled_from(list(HEADERS)), VALUES)
@example("X-Burdockhaven-Token-Counts", "1e20,1")
@example("X-Burdockhaven-Prompt-Prefix", "\udcff:1")
@example("X-Burdockhaven-Attempt-Id", "\udcff")
@example("Resumes", "\udcff")
def test_accepted_request_can_be_placed(name, value):
    try:
        client_request = read_headers(HEADERS | {name: value})
    except MalformedRequestError:
        return
    message = send(client_request, read_table())
    assert message.parts == client_request.parts
    assert stream_key(client_request.attempt_id)
    assert stream_key(client_request.resumed_attempt_id or "")


# Guards against a configuration with which no request can be placed.
@FUZZING
@given(st.sampled_from(["timeout_ms", "target_latency_ms", "priority"]), NUMBERS)
@example("timeout_ms", 1e300)
@example("target_gap_ms", 1e300)
@example("priority", 10**20)
def test_requests_of_an_accepted_route_can_be_placed(name, value):
    try:
        table = read_table(route=ROUTE | {name: value})
    except ConfigurationError:
        return
    assert send(read_headers(HEADERS), table).route == "r1"


@pytest.mark.parametrize("priority", [10**20, -(10**20), 2**63])
def test_priority_that_no_message_carries_is_refused(priority):
    with pytest.raises(ConfigurationError):
        read_table(account=ACCOUNT | {"priority": priority})
