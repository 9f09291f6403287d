import pytest

from burdockhaven_standins.key_value_messages import (
    Compare,
    DeleteRequest,
    GrantRequest,
    KeepAliveRequest,
    Operation,
    PutRequest,
    RangeRequest,
    RevokeRequest,
    TxnRequest,
    WatchCreate,
)
from burdockhaven_standins.key_value_model import (
    CallFailedError,
    KeyValueModel,
    Outage,
    OutageError,
    ResponseLostError,
)


def compare_and_swap(key, expected_version, value):
    return TxnRequest(
        compare=(Compare(key, "VERSION", "EQUAL", version=expected_version),),
        success=(Operation(request_put=PutRequest(key, value)),),
        failure=(Operation(request_range=RangeRequest(key)),),
    )


def read_values(model, key):
    return [kv.value for kv in model.handle(RangeRequest(key), 0.0).kvs]


def test_compare_and_swap_has_one_winner():
    model = KeyValueModel()
    assert model.handle(compare_and_swap(b"k", 0, b"one"), 0.0).succeeded
    lost = model.handle(compare_and_swap(b"k", 0, b"two"), 0.0)
    assert not lost.succeeded
    assert lost.responses[0].response_range.kvs[0].value == b"one"
    assert model.handle(compare_and_swap(b"k", 1, b"three"), 0.0).succeeded
    assert read_values(model, b"k") == [b"three"]


@pytest.mark.parametrize(
    ("compare", "holds"),
    [
        (Compare(b"k", "MOD", "EQUAL", mod_revision=2), True),
        (Compare(b"k", "CREATE", "LESS", create_revision=2), False),
        (Compare(b"k", "VALUE", "NOT_EQUAL", value=b"other"), True),
        (Compare(b"absent", "VERSION", "GREATER", version=0), False),
        (Compare(b"absent", "VALUE", "EQUAL", value=b""), False),
    ],
)
def test_transaction_conditions(compare, holds):
    model = KeyValueModel()
    model.handle(PutRequest(b"k", b"v"), 0.0)
    assert model.handle(TxnRequest(compare=(compare,)), 0.0).succeeded is holds


def test_expired_lease_deletes_its_keys():
    model = KeyValueModel()
    lease = int(model.handle(GrantRequest(5), 0.0).id)
    model.handle(PutRequest(b"k", b"v", lease), 0.0)
    assert model.handle(KeepAliveRequest(lease), 4.0).result.ttl == "5"
    model.expire(8.9)
    assert read_values(model, b"k") == [b"v"]
    model.expire(9.0)
    assert read_values(model, b"k") == []
    assert model.handle(KeepAliveRequest(lease), 9.0).result.ttl == "0"
    with pytest.raises(CallFailedError):
        model.handle(RevokeRequest(lease), 9.0)
    with pytest.raises(CallFailedError):
        model.handle(PutRequest(b"k", b"v", lease), 9.0)


def test_watch_reports_each_write_in_range_once():
    model = KeyValueModel()
    create = WatchCreate(b"a/", b"a0")
    start = model.open_watch(create)
    model.handle(PutRequest(b"a/1", b"v"), 0.0)
    model.handle(PutRequest(b"b", b"v"), 0.0)
    model.handle(DeleteRequest(b"a/1"), 0.0)
    events = model.read_watch(create, start).events
    assert [(e.type, e.kv.key) for e in events] == [
        ("PUT", b"a/1"),
        ("DELETE", b"a/1"),
    ]
    assert model.read_watch(create, model.revision + 1) is None


def test_watch_of_compacted_revision_is_canceled():
    model = KeyValueModel()
    for _ in range(10_001):
        model.handle(PutRequest(b"k"), 0.0)
    assert model.read_watch(WatchCreate(b"k"), 2).canceled
    assert not model.read_watch(WatchCreate(b"k"), 3).canceled


def test_lost_response_takes_effect_but_outage_does_not():
    model = KeyValueModel(lose_answers=1)
    with pytest.raises(ResponseLostError):
        model.handle(PutRequest(b"k", b"v"), 0.0)
    model.outage = Outage.REFUSE
    with pytest.raises(OutageError):
        model.handle(PutRequest(b"k", b"w"), 0.0)
    model.outage = Outage.NONE
    assert read_values(model, b"k") == [b"v"]
    assert model.calls == {"put": 2, "range": 1}


def test_value_over_one_mebibyte_is_rejected():
    model = KeyValueModel()
    model.handle(PutRequest(b"k", bytes(1024 * 1024)), 0.0)
    with pytest.raises(CallFailedError):
        model.handle(compare_and_swap(b"k", 1, bytes(1024 * 1024 + 1)), 0.0)
