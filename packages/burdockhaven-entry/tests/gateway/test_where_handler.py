"""Where a request would go, as a member answers it."""

import random

import msgspec
import pytest
from aiohttp.test_utils import make_mocked_request
from gateway_fixtures import settings
from scheduling_samples import account, heartbeat, route, table, target

from burdockhaven_core.explanation import PlacementExplanation
from burdockhaven_core.scheduling.routing import RouteKind
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.where_handler import handle_where

QUERY = "host=one.example&path=/a/b"


@pytest.fixture
def state():
    found = GatewayState.from_settings(settings(), 1, 1, lambda: 10.0, random.Random(1))
    routes = (route(), route("/plain/", kind=RouteKind.SAFE))
    found.apply_table(table(routes=routes, accounts=(account(),)), b"")
    found.registry.put(target())
    found.in_sync = True
    found.publish_targets()
    return found


def ask(state, query):
    return handle_where(state, make_mocked_request("GET", f"/where?{query}"))


def test_member_that_decides_explains(state):
    response = ask(state, QUERY + "&account=acme&prompt_tokens=500&parts=ab:100,cd:50")
    explained = msgspec.json.decode(response.body, type=PlacementExplanation)
    assert (explained.verdict, explained.target) == ("granted", "i-1")
    assert explained.broker == state.member_id.node
    assert not state.broker.runs.granted


def test_other_member_names_the_one_that_decides(state):
    older = heartbeat("entry-0", 5, started_ms=0, in_sync=True)
    state.member_list.record_heartbeat(older, 10.0)
    response = ask(state, QUERY)
    assert response.status == 307
    assert response.headers["Location"] == f"http://entry-0:1/where?{QUERY}"


# Guards against an answer that is right for another request than the one meant.
@pytest.mark.parametrize(
    ("query", "text"),
    [
        ("host=other.example&path=/a/", "no route matches"),
        ("host=one.example&path=/plain/", "plain targets"),
        (QUERY + "&account=nobody", "no account is named"),
        (QUERY + "&prompt_tokens=many", "not a whole number"),
        (QUERY + "&prompt_tokens=-5", "not a whole number"),
    ],
)
def test_bad_query_is_refused_with_its_reason(state, query, text):
    response = ask(state, query)
    assert response.status == 400
    assert text in response.text
