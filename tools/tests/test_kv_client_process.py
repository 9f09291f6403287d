"""`KvClient` against the stand-in of the key-value service, over HTTP."""

import random

import pytest

from burdockhaven_core.key_value import (
    GrantLease,
    KeepLeaseAlive,
    Put,
    Range,
    ReadMany,
    RevokeLease,
    Transaction,
    ValueEquals,
)
from burdockhaven_core.key_value_failure import FailureKind
from burdockhaven_entry.kv_client import KvClient
from burdockhaven_standins.processes import ProcessGroup

pytestmark = pytest.mark.process


async def test_client_and_service_interoperate():
    with ProcessGroup() as group:
        service = group.start_stand_in("kv", "kv")
        kv_client = KvClient.from_url(service.url, random.Random(1))
        watch = kv_client.watch(Range.from_prefix("a/"))
        assert (await anext(watch)).unwrap() is None
        lease = (await kv_client.call(GrantLease(60))).unwrap().lease
        create = Transaction((ValueEquals("a/1", None),), (Put("a/1", b"v", lease),))
        assert (await kv_client.call(create)).unwrap().succeeded
        assert not (await kv_client.call(create)).unwrap().succeeded
        assert (await anext(watch)).unwrap().value == b"v"
        read = (await kv_client.call(ReadMany((Range("a/1"), Range("b"))))).unwrap()
        assert [item.lease for item in read.ranges[0]] == [lease]
        assert read.ranges[1] == ()
        assert (await kv_client.call(KeepLeaseAlive(lease))).unwrap().ttl_s == 60
        assert (await kv_client.call(RevokeLease(lease))).is_ok()
        assert (await anext(watch)).unwrap().value is None
        await watch.aclose()

        await kv_client.client.post("/control", json={"lose_answers": 1})
        without_lease = Transaction((ValueEquals("a/1", None),), (Put("a/1", b"w"),))
        failure = (await kv_client.call(without_lease)).unwrap_err()
        assert failure.kind is FailureKind.AMBIGUOUS
        assert (await kv_client.call(Range("a/1"))).unwrap().items[0].value == b"w"
        await kv_client.close()
