"""The key-value client: classification of failures, decoding, limits and watches."""

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
    ValueEquals,
    WatchEvent,
)
from burdockhaven_core.key_value_failure import FailureKind
from burdockhaven_entry.call_limits import Backoff, CallRateLimiter
from burdockhaven_entry.kv_client import KvClient

CHANGE = Transaction((ValueEquals("a", None),), (Put("a", b"1"),))


def make_client(handler, clock=lambda: 0.0):
    client = httpx.AsyncClient(
        base_url="http://kv", transport=httpx.MockTransport(handler)
    )
    rate_limiter = CallRateLimiter(rate_per_s=0.0, burst=3.0, tokens=3.0)
    return KvClient("http://kv", client, rate_limiter, Backoff(random.Random(1)), clock)


def raise_error(error):
    def handler(request):
        raise error("lost", request=request)

    return handler


def respond_with(status, body):
    return lambda request: httpx.Response(status, json=body)


@pytest.mark.parametrize(
    ("handler", "kind"),
    [
        (raise_error(httpx.ConnectError), FailureKind.NOT_DONE),
        (raise_error(httpx.ConnectTimeout), FailureKind.NOT_DONE),
        (raise_error(httpx.ReadTimeout), FailureKind.AMBIGUOUS),
        (raise_error(httpx.WriteTimeout), FailureKind.AMBIGUOUS),
        (raise_error(httpx.ReadError), FailureKind.AMBIGUOUS),
        (raise_error(httpx.RemoteProtocolError), FailureKind.AMBIGUOUS),
        (respond_with(503, {}), FailureKind.AMBIGUOUS),
        (respond_with(400, {}), FailureKind.BAD_ANSWER),
        (respond_with(200, {"succeeded": "perhaps"}), FailureKind.AMBIGUOUS),
    ],
)
async def test_a_failed_call_is_classified_by_whether_it_may_have_run(handler, kind):
    client = make_client(handler)
    failure = (await client.call(CHANGE)).err()
    assert (failure.kind, failure.step, failure.peer) == (kind, "txn", "http://kv")
    assert client.failures == {("txn", kind): 1}


async def test_keys_of_a_range_are_decoded():
    item = {"key": b64encode(b"k").decode(), "value": b64encode(b"v").decode()}
    body = {"header": {"revision": "7"}, "kvs": [item | {"mod_revision": "5"}]}
    answer = (await make_client(respond_with(200, body)).call(Range("k"))).unwrap()
    assert answer.revision == 7
    assert (answer.items[0].key, answer.items[0].value) == ("k", b"v")


async def test_an_expired_lease_has_a_ttl_of_zero():
    body = {"result": {"header": {"revision": "3"}, "ID": "9"}}
    answer = await make_client(respond_with(200, body)).call(KeepLeaseAlive(9))
    assert answer == Ok(LeaseAnswer(9, 0, 3))


async def test_calls_over_the_rate_limit_are_refused_and_counted():
    client = make_client(respond_with(200, {"succeeded": True}))
    results = [await client.call(CHANGE) for _ in range(4)]
    assert [result.is_ok() for result in results] == [True, True, True, False]
    assert results[3].err().kind is FailureKind.NOT_DONE
    assert client.rate_limiter.calls_by_kind == {"txn": 3}
    assert client.rate_limiter.refused_by_kind == {"txn": 1}


async def test_a_watch_yields_its_creation_then_changes_then_a_failure():
    key = b64encode(b"head").decode()
    results = [
        {"created": True},
        {"events": [{"kv": {"key": key, "value": "MQ=="}}]},
        {"events": [{"type": "DELETE", "kv": {"key": key}}]},
    ]
    lines = "\n".join(json.dumps({"result": each}) for each in results)
    client = make_client(lambda request: httpx.Response(200, text=lines))
    seen = [each async for each in client.watch(Range("head"))]
    assert seen[:3] == [
        Ok(None),
        Ok(WatchEvent("head", b"1")),
        Ok(WatchEvent("head", None)),
    ]
    assert isinstance(seen[3], Err)


def test_backoff_delays_are_random_and_bounded():
    firsts = [Backoff(random.Random(seed)).next_delay_s() for seed in range(50)]
    assert max(firsts) <= 0.2
    assert len(set(firsts)) == 50
    backoff = Backoff(random.Random(1), initial_s=1.0, max_s=8.0)
    delays = [backoff.next_delay_s() for _ in range(30)]
    assert max(delays) <= 8.0
    backoff.reset()
    assert backoff.next_delay_s() <= 1.0
