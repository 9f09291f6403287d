"""The link to the key-value service: what is known after each kind of failure."""

import json
import random
from base64 import b64encode

import httpx
import pytest
from result import Err, Ok

from burdockhaven_core.key_value import (
    KeepLeaseAlive,
    LeaseAnswer,
    Put,
    Range,
    Transaction,
    ValueIs,
    WatchEvent,
)
from burdockhaven_core.key_value_failure import FailureKind
from burdockhaven_entry.call_budget import Backoff, CallBudget
from burdockhaven_entry.kv_link import KvLink

CHANGE = Transaction((ValueIs("a", None),), (Put("a", b"1"),))


def link(handler, clock=lambda: 0.0):
    client = httpx.AsyncClient(
        base_url="http://kv", transport=httpx.MockTransport(handler)
    )
    budget = CallBudget(rate_per_s=0.0, burst=3.0, saved=3.0)
    return KvLink("http://kv", client, budget, Backoff(random.Random(1)), clock)


def raising(error):
    def handler(request):
        raise error("lost", request=request)

    return handler


def answering(status, body):
    return lambda request: httpx.Response(status, json=body)


@pytest.mark.parametrize(
    ("handler", "kind"),
    [
        (raising(httpx.ConnectError), FailureKind.NOT_DONE),
        (raising(httpx.ConnectTimeout), FailureKind.NOT_DONE),
        (raising(httpx.ReadTimeout), FailureKind.AMBIGUOUS),
        (raising(httpx.WriteTimeout), FailureKind.AMBIGUOUS),
        (raising(httpx.ReadError), FailureKind.AMBIGUOUS),
        (raising(httpx.RemoteProtocolError), FailureKind.AMBIGUOUS),
        (answering(503, {}), FailureKind.AMBIGUOUS),
        (answering(400, {}), FailureKind.BAD_ANSWER),
        (answering(200, {"succeeded": "perhaps"}), FailureKind.AMBIGUOUS),
    ],
)
async def test_a_transaction_without_an_answer_is_not_a_plain_failure(handler, kind):
    called = link(handler)
    failure = (await called.call(CHANGE)).err()
    assert (failure.kind, failure.step, failure.peer) == (kind, "txn", "http://kv")
    assert called.failures == {("txn", kind): 1}


async def test_keys_of_a_range_are_decoded():
    item = {"key": b64encode(b"k").decode(), "value": b64encode(b"v").decode()}
    body = {"header": {"revision": "7"}, "kvs": [item | {"mod_revision": "5"}]}
    answer = (await link(answering(200, body)).call(Range("k"))).unwrap()
    assert answer.revision == 7
    assert (answer.items[0].key, answer.items[0].value) == ("k", b"v")


async def test_a_lapsed_lease_has_no_time_left():
    body = {"result": {"header": {"revision": "3"}, "ID": "9"}}
    answer = await link(answering(200, body)).call(KeepLeaseAlive(9))
    assert answer == Ok(LeaseAnswer(9, 0, 3))


async def test_calls_beyond_the_budget_are_refused_and_counted():
    called = link(answering(200, {"succeeded": True}))
    results = [await called.call(CHANGE) for _ in range(4)]
    assert [result.is_ok() for result in results] == [True, True, True, False]
    assert results[3].err().kind is FailureKind.NOT_DONE
    assert called.budget.made == {"txn": 3}
    assert called.budget.refused == {"txn": 1}


async def test_a_watch_tells_that_it_stands_then_changes_then_its_end():
    key = b64encode(b"head").decode()
    results = [
        {"created": True},
        {"events": [{"kv": {"key": key, "value": "MQ=="}}]},
        {"events": [{"type": "DELETE", "kv": {"key": key}}]},
    ]
    lines = "\n".join(json.dumps({"result": each}) for each in results)
    watched = link(lambda request: httpx.Response(200, text=lines))
    seen = [each async for each in watched.watch(Range("head"))]
    assert seen[:3] == [
        Ok(None),
        Ok(WatchEvent("head", b"1")),
        Ok(WatchEvent("head", None)),
    ]
    assert isinstance(seen[3], Err)


def test_retries_after_an_outage_are_spread():
    firsts = [Backoff(random.Random(seed)).next_delay_s() for seed in range(50)]
    assert max(firsts) <= 0.2
    assert len(set(firsts)) == 50
    backoff = Backoff(random.Random(1), first_s=1.0, max_s=8.0)
    delays = [backoff.next_delay_s() for _ in range(30)]
    assert max(delays) <= 8.0
    backoff.succeeded()
    assert backoff.next_delay_s() <= 1.0
