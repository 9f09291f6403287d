"""The daemon's key-value link against the stand-in, over HTTP."""

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


async def test_link_and_service_understand_each_other():
    with ProcessGroup() as group:
        service = group.stand_in("kv", "kv")
        link = KvClient.from_url(service.url, random.Random(1))
        watch = link.watch(Range.from_prefix("a/"))
        assert (await anext(watch)).unwrap() is None
        lease = (await link.call(GrantLease(60))).unwrap().lease
        create = Transaction((ValueEquals("a/1", None),), (Put("a/1", b"v", lease),))
        assert (await link.call(create)).unwrap().succeeded
        assert not (await link.call(create)).unwrap().succeeded
        assert (await anext(watch)).unwrap().value == b"v"
        read = (await link.call(ReadMany((Range("a/1"), Range("b"))))).unwrap()
        assert [item.lease for item in read.ranges[0]] == [lease]
        assert read.ranges[1] == ()
        assert (await link.call(KeepLeaseAlive(lease))).unwrap().ttl_s == 60
        assert (await link.call(RevokeLease(lease))).is_ok()
        assert (await anext(watch)).unwrap().value is None
        await watch.aclose()

        await link.client.post("/control", json={"lose_answers": 1})
        without_lease = Transaction((ValueEquals("a/1", None),), (Put("a/1", b"w"),))
        failure = (await link.call(without_lease)).unwrap_err()
        assert failure.kind is FailureKind.AMBIGUOUS
        assert (await link.call(Range("a/1"))).unwrap().items[0].value == b"w"
        await link.close()
