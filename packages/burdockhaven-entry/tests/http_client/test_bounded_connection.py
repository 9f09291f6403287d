import asyncio
import contextlib
import functools
import random

import pytest
from gateway_fixtures import (
    ATTEMPT,
    EndlessResponse,
    Gateway,
    ReceivedRequest,
    Script,
    respond,
    response_head,
    send_raw,
    settings,
    wait_until,
)
from multidict import CIMultiDict

from burdockhaven_core.key_value_failure import FailureKind
from burdockhaven_entry.gateway.gateway_daemon import GatewayDaemon
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.target_client import OutgoingRequest
from burdockhaven_entry.http_client import (
    BoundedConnection,
    create_connector,
)
from burdockhaven_entry.platform import (
    SINGLE_VALUE_HEADERS,
    PlatformStore,
    StoreRevision,
)

SPACES = b" " * 2**16
CHUNKED = response_head("Transfer-Encoding: chunked\r\n")
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
# The start of a response and bytes that neither end its head nor bring a body.
ENDLESS = [
    pytest.param(b"HTTP/1.1 200 ", b"x" * 2**16, id="status line"),
    pytest.param(b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 9_000, id="header lines"),
    pytest.param(b"HTTP/1.1 200 OK\r\nX: ", b"x" * 2**16, id="header value"),
    pytest.param(b"HTTP/1.1 200 OK\r\nX:", SPACES, id="space before a value"),
    pytest.param(b"", b"\x00 no response\r\n" * 4_000, id="no HTTP"),
    pytest.param(b"", b"\r\n" * 2**15, id="blank lines"),
    pytest.param(b"", INTERIM * 2_000, id="interim responses"),
    pytest.param(CHUNKED + b"1;", b"x" * 2**16, id="chunk extension"),
    pytest.param(CHUNKED, b"0" * 2**16, id="chunk size"),
    pytest.param(CHUNKED + b"1\r\nx\r\n1", SPACES, id="space after a chunk size"),
    pytest.param(CHUNKED + b"1\r\nx\r\nz", b"z" * 2**16, id="no chunk size"),
    pytest.param(CHUNKED + b"1\r\nx\r\n0\r\nX:", SPACES, id="space in a trailer"),
    pytest.param(CHUNKED + b"0\r\n", b"X: y\r\n" * 9_000, id="trailers"),
]


@pytest.fixture
async def start():
    started = []

    async def make(**options):
        started.append(await Gateway.start(**options))
        return started[-1]

    yield make
    for gateway in started:
        await gateway.stop()


# Guards against a target that sends without end what the library does not bound.
@pytest.mark.parametrize(("first", "repeated"), ENDLESS)
async def test_bytes_without_content_end_the_send(start, first, repeated):
    endless = EndlessResponse(first, repeated)
    gateway = await start(plain=[Script(endless)])
    response = await gateway.call("/unsafe/x")
    assert (response.status, endless.was_cut) == (502, True)
    await gateway.targets[0].closed.wait()


# Guards against heads that fill the memory on a connection without a request.
async def test_idle_connection_is_closed_if_the_target_sends(start):
    endless = EndlessResponse(
        b"", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" * 400
    )

    async def respond_and_go_on(request, reader, writer):
        await respond(b"whole")(request, reader, writer)
        await released.wait()
        return await endless(request, reader, writer)

    released = asyncio.Event()
    gateway = await start(plain=[Script(respond_and_go_on)])
    assert (await gateway.call("/safe/x")).body == b"whole"
    released.set()
    await wait_until(gateway.targets[0].closed.is_set)
    assert endless.sent_bytes < 2**21


# Guards against a bound that counts a response's whole length instead of a row.
async def test_interim_responses_and_small_chunks_are_no_failure(start):
    async def behave(request, reader, writer):
        writer.write(INTERIM * 20)
        attempt = request.headers["X-Burdockhaven-Attempt-Id"].encode()
        writer.write(CHUNKED.replace(b"ID", attempt))
        for _ in range(100):
            writer.write(b"1;%s\r\nx\r\n" % (b"x" * 2**15))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    gateway = await start(plain=[Script(behave)])
    response = await gateway.call("/unsafe/x")
    assert (response.status, response.body) == (200, b"x" * 100)


@contextlib.asynccontextmanager
async def serve_store(respond, on_era=lambda *_: 1):
    """Serve the calls of a store client with the responses of a target."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            await respond(ReceivedRequest("", {ATTEMPT: ""}, b""), reader, writer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    store = PlatformStore.from_address(
        f"{host}:{port}",
        on_era,
        functools.partial(create_connector, SINGLE_VALUE_HEADERS),
    )
    async with server:
        yield store
        await store.close()


INVALID_HEADS = {
    "status": b"HTTP/1.1 000 OK\r\n",
    "name": b"HTTP/1.1 200 OK\r\nConnection : close\r\n",
    "coding": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n",
    "eras": b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nStore-Era: 2\r\n",
}


# Guards against an era, a lease or a write that is taken from invalid bytes.
@pytest.mark.parametrize("head", INVALID_HEADS.values(), ids=INVALID_HEADS)
async def test_invalid_response_of_the_store_says_nothing(head):
    eras = []
    response = head + b"Content-Length: 24\r\n\r\n" + b'{"lease":1,"ttl_ms":900}'
    async with serve_store(send_raw(response), lambda *era: eras.append(era)) as store:
        granted = await store.grant_lease(1.0)
    assert granted.unwrap_err().kind is FailureKind.AMBIGUOUS
    assert eras == []


# Guards against a store that keeps a watch busy with bytes that are no response.
async def test_store_that_sends_no_content_fails_the_call():
    endless = EndlessResponse(b"", INTERIM * 2_000)

    async with serve_store(endless) as store:
        # The watch may take longer than the bytes.
        watched = await store.watch("a/", StoreRevision(1, 1), 60.0)
    assert watched.unwrap_err().kind is FailureKind.AMBIGUOUS
    assert endless.was_cut


async def test_connections_to_the_store_and_to_members_are_bounded():
    state = GatewayState.from_settings(settings(), 1, 1, lambda: 1.0, random.Random(1))
    daemon = GatewayDaemon(state, {})
    for session in (daemon.store.session, daemon.session):
        assert isinstance(session.connector._factory(), BoundedConnection)
    await daemon.store.close()
    await daemon.session.close()
    await daemon.target_client.close()


# Guards against a complete body that is lost, because the target goes on sending before
# the body is read.
async def test_bytes_after_a_complete_body_do_not_harm_it(start):
    head = response_head("Content-Length: 5\r\n")
    endless = EndlessResponse(head + b"whole", b"\r\n" * 2**15)
    gateway = await start(plain=[Script(endless)])
    entry = gateway.state.registry.entries["plain-0"]
    request = OutgoingRequest(
        "GET", "/x", CIMultiDict({ATTEMPT: "a1"}), b"", "a1", True
    )
    async with gateway.target_client.send(entry, request) as response:
        await gateway.targets[0].closed.wait()
        assert await response.read_body() == b"whole"
    assert endless.was_cut
