import asyncio

import pytest
from gateway_fixtures import ATTEMPT, Gateway, Script, respond, routing_table
from scheduling_samples import heartbeat

from burdockhaven_core.key_value_failure import FailureKind, KeyValueFailure
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_entry.gateway import frontend
from burdockhaven_entry.gateway.plain_forwarding import PlainForwarder
from burdockhaven_entry.gateway.store_event_handlers import StoreEventHandlers
from burdockhaven_entry.platform import ChangeBatch, StoreRevision


@pytest.fixture
async def gateway():
    started = await Gateway.start(plain=[Script(respond())])
    yield started
    await started.stop()


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/nowhere/x", {}, 404),
        ("/safe/x", {"Host": "two.example"}, 404),
        ("/safe/x", {"Authorization": "Bearer unknown"}, 401),
        ("/safe/x", {"Authorization": None}, 401),
        ("/safe/x", {ATTEMPT: None}, 400),
        ("/safe/x", {"X-Burdockhaven-Deadline-Ms": "soon"}, 400),
        ("/safe/x", {"X-Burdockhaven-Token-Counts": "1"}, 400),
    ],
)
async def test_invalid_request_is_refused_without_forwarding(
    gateway, path, headers, status
):
    assert (await gateway.call(path, headers=headers)).status == status
    assert gateway.received == []


# Guards against a response that an error cuts without a log line naming its request.
async def test_internal_error_names_the_request(gateway, monkeypatch):
    async def fail(self, routed):
        raise RuntimeError("a fault")

    steps = []
    monkeypatch.setattr(PlainForwarder, "forward", fail)
    monkeypatch.setattr(
        frontend, "log", lambda number, **fields: steps.append((number, fields["step"]))
    )
    assert (await gateway.call("/safe/x")).status == 500
    assert steps == [(EventNumber.INTERNAL_ERROR, "request a1")]


async def test_oversized_body_is_refused(gateway):
    assert (await gateway.call("/safe/x", b"x" * 1_001)).status == 413
    assert gateway.received == []


async def test_oversized_headers_are_refused(gateway):
    headers = {"X-Long": "x" * 8_000, "X-Longer": "x" * 8_500}
    assert (await gateway.call("/safe/x", headers=headers)).status == 431
    assert gateway.received == []


# Guards against a limit on the number of header fields: clients keep only to that on
# their bytes.
async def test_head_of_many_short_fields_is_forwarded(gateway):
    fields = {f"f{number}": "1" for number in range(1_500)}
    assert (await gateway.call("/safe/x", headers=fields)).status == 200
    (received,) = gateway.received
    assert received.headers.items() >= fields.items()


@pytest.mark.parametrize("method", ["BREW", "TRACE", "CONNECT"])
async def test_unsupported_method_is_not_forwarded(gateway, method):
    path = "/safe/x"
    assert (await gateway.call(path, method=method)).status in (400, 405)
    assert gateway.received == []


async def test_slow_body_is_answered_408_at_the_timeout(gateway):
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
    head = (
        f"POST /quick/x HTTP/1.1\r\nHost: one.example\r\n{ATTEMPT}: a\r\n"
        "Authorization: Bearer key-acme\r\nContent-Length: 10\r\n\r\nabc"
    )
    writer.write(head.encode())
    assert b" 408 " in await asyncio.wait_for(reader.readline(), 30.0)
    assert b"\r\nConnection: close\r\n" in await asyncio.wait_for(reader.read(), 30.0)
    assert gateway.received == []


async def test_unknown_path_is_answered_503_without_configuration(gateway):
    gateway.state.table = None
    response = await gateway.call("/nowhere/x")
    assert response.status == 503
    assert "Retry-After" in response.headers


async def test_older_configuration_never_replaces_newer_one(gateway):
    assert gateway.state.apply_table(routing_table(version=5), b"")
    assert not gateway.state.apply_table(routing_table(version=4), b"")
    assert gateway.state.version == 5


async def test_response_while_draining_closes_the_connection(gateway):
    gateway.state.draining = True
    response = await gateway.call("/safe/x")
    assert response.status == 200
    assert response.headers["Connection"] == "close"


AMBIGUOUS_HEADS = [
    b"POST /safe/x HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 30\r\n",
    b"POST /safe/x HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    b"POST /safe/x HTTP/1.1\r\nContent-Length: +3\r\n",
    b"POST /safe/x HTTP/1.1\r\nContent-Length : 3\r\n",
    b"POST /safe/x HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n",
    b"B@D /safe/x HTTP/1.1\r\n",
]


@pytest.mark.parametrize("head", AMBIGUOUS_HEADS)
async def test_ambiguous_request_framing_is_rejected(gateway, head):
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
    rest = (
        f"Host: one.example\r\n{ATTEMPT}: a\r\nAuthorization: Bearer key-acme\r\n\r\n"
    )
    writer.write(head + rest.encode() + b"abc")
    line = await reader.readline()
    writer.close()
    assert line.startswith(b"HTTP/1.") and b" 400 " in line
    assert gateway.received == []


REFUSED_BY_CONFIGURATION = [
    ("/nowhere/x", {}, 404),
    ("/safe/x", {"Authorization": "Bearer unknown"}, 401),
]


def receive_heartbeat(gateway, **changes):
    """Record a heartbeat of a member that stays alive for the test."""
    state = gateway.state
    state.member_list.record_heartbeat(heartbeat(**changes), state.clock() + 60.0)


# Guards against 401 and 404 for what a newer version allows that this member knows to
# exist and has not read yet.
@pytest.mark.parametrize(("path", "headers", "status"), REFUSED_BY_CONFIGURATION)
async def test_nothing_is_refused_by_a_superseded_version(
    gateway, path, headers, status
):
    receive_heartbeat(gateway, config_version=2)
    response = await gateway.call(path, headers=headers)
    assert (response.status, "Retry-After" in response.headers) == (503, True)
    gateway.state.apply_table(routing_table(version=2), b"")
    assert (await gateway.call(path, headers=headers)).status == status


# Guards against the same at a member that can't know of a newer version, because it has
# lost the store and so have the members that it hears.
@pytest.mark.parametrize(("path", "headers", "status"), REFUSED_BY_CONFIGURATION)
async def test_nothing_is_refused_by_a_version_that_nobody_confirms(
    gateway, path, headers, status
):
    handlers = StoreEventHandlers(gateway.state).for_all_prefixes()[0]
    handlers.on_outage(KeyValueFailure(FailureKind.NOT_DONE, "watch", "store", "503"))
    receive_heartbeat(gateway, in_sync=False)
    assert (await gateway.call(path, headers=headers)).status == 503
    receive_heartbeat(gateway, in_sync=True, sequence=2)
    assert (await gateway.call(path, headers=headers)).status == status
    receive_heartbeat(gateway, in_sync=False, sequence=3)
    assert (await gateway.call(path, headers=headers)).status == 503
    handlers.on_recovered(1.0)
    handlers.on_snapshot(ChangeBatch((), StoreRevision(0, 1)))
    assert (await gateway.call(path, headers=headers)).status == status


# Age of a confirmation, at the time that the heartbeats of `receive_heartbeat` have.
OLD_MS = 70_000


# Guards against CONFIG and DENIED: while connections to the store are silent, nothing
# fails, but a newer configuration may have been in force for long.
@pytest.mark.parametrize(("path", "headers", "status"), REFUSED_BY_CONFIGURATION)
async def test_nothing_is_refused_by_a_version_that_was_confirmed_too_long_ago(
    gateway, path, headers, status
):
    state = gateway.state
    handlers = StoreEventHandlers(state).for_all_prefixes()[0]
    state.configuration_confirmed_s = state.clock() - 2.0
    assert (await gateway.call(path, headers=headers)).status == 503
    receive_heartbeat(gateway, in_sync=True, configuration_age_ms=OLD_MS)
    assert (await gateway.call(path, headers=headers)).status == 503
    receive_heartbeat(gateway, in_sync=False, configuration_age_ms=0, sequence=2)
    assert (await gateway.call(path, headers=headers)).status == 503
    receive_heartbeat(gateway, in_sync=True, configuration_age_ms=0, sequence=3)
    assert (await gateway.call(path, headers=headers)).status == status
    receive_heartbeat(gateway, in_sync=True, configuration_age_ms=OLD_MS, sequence=4)
    assert (await gateway.call(path, headers=headers)).status == 503
    handlers.on_confirmed()
    assert (await gateway.call(path, headers=headers)).status == status


# Guards against proof of an older version that is taken for one of that in force.
async def test_confirmation_of_another_version_proves_nothing(gateway):
    state = gateway.state
    state.apply_table(routing_table(version=3), b"")
    state.configuration_confirmed_s = state.clock() - 2.0
    receive_heartbeat(gateway, in_sync=True, config_version=2, configuration_age_ms=0)
    assert state.may_be_superseded()


async def test_sound_requests_are_served_by_a_version_that_nobody_confirms(gateway):
    gateway.state.configuration_confirmed_s = gateway.state.clock() - 3_600.0
    assert (await gateway.call("/safe/x")).status == 200
