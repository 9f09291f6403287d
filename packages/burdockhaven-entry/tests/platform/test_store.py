import asyncio
import base64

import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from burdockhaven_core.key_value_failure import FailureKind
from burdockhaven_entry.http_client import (
    close_idle_connections,
    create_connector,
)
from burdockhaven_entry.platform import PlatformStore, StoreRevision, store

# Bytes after which an endless response ends, if its connection is still open.
ENDLESS_RESPONSE_BYTES = 128 * 2**20
# Seconds between two pieces of a slow response.
PIECE_INTERVAL_S = 0.1


class Harness:
    """A store client, and a server with scripted responses: status, era, body.

    A body of bytes is repeated up to `max_bytes`, or until the connection is closed.
    """

    def __init__(self, *responses):
        self.responses = list(responses)
        self.eras = []
        self.sent_bytes = 0
        self.max_bytes = ENDLESS_RESPONSE_BYTES
        # Bodies of the requests that had one.
        self.bodies = []

    async def __aenter__(self):
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.respond)
        self.server = TestServer(app)
        await self.server.start_server()
        address = f"{self.server.host}:{self.server.port}"
        self.store = PlatformStore.from_address(address, self.record_era)
        return self

    async def __aexit__(self, *error):
        await self.store.close()
        await self.server.close()

    async def respond(self, request):
        if request.can_read_body:
            self.bodies.append(await request.json())
        status, era, body = self.responses.pop(0)
        headers = {} if era is None else {"Store-Era": era}
        if isinstance(body, SlowBody):
            return await self.respond_slowly(request, status, headers, body)
        if isinstance(body, bytes):
            return await self.respond_endlessly(request, status, headers, body)
        return web.json_response(body, status=status, headers=headers)

    async def respond_slowly(self, request, status, headers, body):
        response = web.StreamResponse(status=status, headers=headers)
        await response.prepare(request)
        for piece in body.pieces[: body.sent_pieces]:
            await response.write(piece)
            await asyncio.sleep(PIECE_INTERVAL_S)
        if body.sent_pieces < len(body.pieces):
            # Until the client gives up.
            await asyncio.sleep(10 * PIECE_INTERVAL_S)
        return response

    async def respond_endlessly(self, request, status, headers, repeated):
        response = web.StreamResponse(status=status, headers=headers)
        await response.prepare(request)
        while self.sent_bytes < self.max_bytes:
            await response.write(repeated)
            self.sent_bytes += len(repeated)
        return response

    def record_era(self, era, text):
        self.eras.append((era, text))
        return 7 if era is None else era


def page(revision, *keys, truncated=False):
    items = [{"key": key, "value": "", "revision": 1} for key in keys]
    return {"items": items, "truncated": truncated, "store_revision": revision}


@pytest.mark.parametrize(
    ("text", "era", "used"),
    [
        ("3", 3, 3),
        (None, None, 7),
        ("x", None, 7),
        ("-1", None, 7),
        ("٣", None, 7),
        ("9" * 5_000, None, 7),
    ],
)
async def test_era_of_a_response_is_part_of_its_revision(text, era, used):
    async with Harness((200, text, page(5))) as harness:
        batch = (await harness.store.read_prefix("a/")).unwrap()
    assert batch.revision == StoreRevision(used, 5)
    assert [found for found, _ in harness.eras] == [era]


@pytest.mark.parametrize("status", [404, 410, 412, 429, 500, 503])
async def test_errors_report_the_era(status):
    async with Harness((status, "4", {})) as harness:
        watched = await harness.store.watch("a/", StoreRevision(3, 5), 0.1)
    assert watched.is_err()
    assert harness.eras == [(4, "4")]


# Guards against a conditional write whose condition the store doesn't get.
@pytest.mark.parametrize(
    ("status", "expected"), [(200, None), (412, FailureKind.CONDITION)]
)
async def test_conditional_write_names_the_revision(status, expected):
    async with Harness((status, "4", {"revision": 6})) as harness:
        written = await harness.store.write_if("a/1", b"x", 5)
    if expected is None:
        assert written.unwrap() == 6
    else:
        assert written.unwrap_err().kind is expected
    assert harness.bodies == [
        {
            "writes": [{"key": "a/1", "value": "eA==", "lease": 0}],
            "expect_rev": [{"key": "a/1", "revision": 5}],
            "remove": [],
        }
    ]


async def test_pages_of_two_eras_are_not_joined():
    pages = [(200, "3", page(5, "a/1", truncated=True)), (200, "4", page(4, "a/2"))]
    async with Harness(*pages) as harness:
        failure = (await harness.store.read_prefix("a/")).unwrap_err()
    assert failure.kind is FailureKind.HISTORY_LOST


# Guards against a response of the store that fills the memory.
@pytest.mark.parametrize(
    ("status", "kind"), [(200, FailureKind.AMBIGUOUS), (410, FailureKind.HISTORY_LOST)]
)
async def test_endless_response_of_the_store_is_cut(status, kind):
    async with Harness((status, "3", b" " * 2**16)) as harness:
        # The watch may take longer than the bytes.
        watched = await harness.store.watch("a/", StoreRevision(3, 5), 60.0)
    assert watched.unwrap_err().kind is kind
    assert harness.sent_bytes < ENDLESS_RESPONSE_BYTES


# Guards against a watch that ends for good, because its response can't be decoded.
@pytest.mark.parametrize("data", [b'{"x":' + b"[" * 100_000, b'{"events":["\xff"]}'])
async def test_undecodable_response_of_the_store_is_a_failure(data):
    async with Harness((200, "3", data)) as harness:
        harness.max_bytes = len(data)
        watched = await harness.store.watch("a/", StoreRevision(3, 5), 60.0)
    assert watched.unwrap_err().kind is FailureKind.AMBIGUOUS


# Guards against a number that is kept, and that no later call or heartbeat can carry.
@pytest.mark.parametrize("revision", [10**20, 2**63, -1])
async def test_number_of_the_store_beyond_63_bits_is_a_failure(revision):
    odd_item = page(5, "a/1")
    odd_item["items"][0]["revision"] = revision
    async with Harness(
        (200, "3", page(revision, "a/1")),
        (200, "3", odd_item),
        (200, "3", {"events": [], "store_revision": revision}),
        (200, "3", {"lease": revision, "ttl_ms": 1}),
        (200, "3", {"revision": revision}),
    ) as harness:
        results = [
            await harness.store.read_prefix("a/"),
            await harness.store.read_prefix("a/"),
            await harness.store.watch("a/", StoreRevision(3, 5), 0.1),
            await harness.store.grant_lease(1.0),
            await harness.store.write_if("a/1", b"", 0),
        ]
    kinds = [result.unwrap_err().kind for result in results]
    assert kinds == [FailureKind.AMBIGUOUS] * 5


# Guards against a bound that cuts pages of large values.
async def test_large_values_are_read_whole():
    value = base64.b64encode(bytes(2**20)).decode()
    items = [{"key": f"a/{n}", "value": value, "revision": 1} for n in range(4)]
    body = {"items": items, "truncated": False, "store_revision": 5}
    async with Harness((200, "3", body)) as harness:
        batch = (await harness.store.read_prefix("a/")).unwrap()
    assert [len(item.value) for item in batch.items] == [2**20] * 4


# Guards against pages without end, which fill the memory one by one.
async def test_endless_pages_are_not_read():
    large = {"key": "a/1", "value": "A" * 2**21, "revision": 1}
    pages = [
        (200, "3", {"items": [large], "truncated": True, "store_revision": 5})
    ] * 100
    async with Harness(*pages) as harness:
        failure = (await harness.store.read_prefix("a/")).unwrap_err()
        assert failure.kind is FailureKind.AMBIGUOUS
        assert len(harness.responses) > 0


# Guards against a read that never ends, because its pages bring nothing new.
async def test_pages_that_do_not_go_on_are_not_read():
    pages = [(200, "3", page(5, "a/1", truncated=True))] * 100
    async with Harness(*pages) as harness:
        failure = (await harness.store.read_prefix("a/")).unwrap_err()
        assert failure.kind is FailureKind.AMBIGUOUS
        assert len(harness.responses) > 90


def test_revisions_of_two_eras_are_not_compared():
    assert StoreRevision(1, 5).latest(StoreRevision(1, 4)) == StoreRevision(1, 5)
    with pytest.raises(ValueError, match="eras 1 and 2"):
        StoreRevision(1, 5).latest(StoreRevision(2, 4))


class SlowBody:
    """A JSON body that is sent in pieces, and may stop before its end."""

    def __init__(self, data, pieces, sent_pieces):
        size = -(-len(data) // pieces)
        self.pieces = [data[at : at + size] for at in range(0, len(data), size)]
        self.sent_pieces = sent_pieces


# Guards against CONFIG: on a narrow link a large configuration takes longer than a call
# to the store may wait, so that a member that has just started never reads it.
async def test_response_that_arrives_slowly_is_read_whole(monkeypatch):
    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.5)
    body = SlowBody(msgspec.json.encode(page(5, "op/config")), 8, 8)
    async with Harness((200, "1", body)) as harness:
        result = await harness.store.read_prefix("op/")
        assert [item.key for item in result.unwrap().items] == ["op/config"]


async def test_response_that_falls_silent_is_a_failure(monkeypatch):
    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.2)
    body = SlowBody(msgspec.json.encode(page(5, "op/config")), 8, 3)
    async with Harness((200, "1", body)) as harness:
        result = await harness.store.read_prefix("op/")
        assert result.unwrap_err().kind is FailureKind.AMBIGUOUS


class SilentProxy:
    """Forwards connections to a store; those that are open can go silent for good."""

    def __init__(self, server):
        self.server = server
        # Set for each open connection once it is silent.
        self.connections = []
        self.tasks = []
        self.writers = []

    async def __aenter__(self):
        self.listener = await asyncio.start_server(self.accept, "127.0.0.1")
        return self

    async def __aexit__(self, *error):
        self.listener.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for writer in self.writers:
            writer.close()

    @property
    def address(self):
        host, port = self.listener.sockets[0].getsockname()
        return f"{host}:{port}"

    def silence(self):
        for silent in self.connections:
            silent.set()

    async def accept(self, reader, writer):
        silent = asyncio.Event()
        self.connections.append(silent)
        far_reader, far_writer = await asyncio.open_connection(
            self.server.host, self.server.port
        )
        self.writers += [writer, far_writer]
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            self.tasks.append(asyncio.create_task(self.pump(source, sink, silent)))

    async def pump(self, source, sink, silent):
        while data := await source.read(65_536):
            if not silent.is_set():
                sink.write(data)
        if not silent.is_set():
            sink.close()


class WatchedStore:
    """A store that answers reads at once, and watches only when the test ends."""

    def __init__(self):
        self.watches = asyncio.Queue()
        self.ended = asyncio.Event()

    async def __aenter__(self):
        app = web.Application()
        app.router.add_get("/-/kv-range", self.read)
        app.router.add_get("/-/kv-watch", self.watch)
        self.server = TestServer(app)
        await self.server.start_server()
        return self

    async def __aexit__(self, *error):
        self.ended.set()
        await self.server.close()

    async def read(self, request):
        return web.json_response(page(5))

    async def watch(self, request):
        await self.watches.put(request)
        await self.ended.wait()
        return web.json_response({})


# Guards against CONFIG: all members act on a replaced configuration because each call
# waits for its own timeout on the next of the connections that have gone silent.
@pytest.mark.parametrize("watches", [1, 3])
async def test_silence_of_one_connection_ends_the_waits_on_all_older_ones(
    monkeypatch, watches
):
    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.2)
    ended = []
    async with WatchedStore() as watched, SilentProxy(watched.server) as proxy:
        client = PlatformStore.from_address(
            proxy.address,
            lambda era, text: 0,
            create_connector,
            close_idle_connections,
        )
        client.on_silence = ended.append
        assert (await client.read_prefix("a/")).is_ok()
        waiting = [
            asyncio.create_task(client.watch("a/", StoreRevision(0, 5), 3_600.0))
            for _ in range(watches)
        ]
        for _ in range(watches):
            await watched.watches.get()
        # Two idle connections besides.
        reads = await asyncio.gather(*(client.read_prefix("a/") for _ in range(2)))
        assert all(read.is_ok() for read in reads)
        proxy.silence()
        assert (await client.read_prefix("a/")).err_value.kind is FailureKind.AMBIGUOUS
        assert not any(watch.done() for watch in waiting)
        assert (await client.read_prefix("a/")).is_ok()
        async with asyncio.timeout(30):
            results = await asyncio.gather(*waiting)
        assert all(r.err_value.kind is FailureKind.AMBIGUOUS for r in results)
        assert ended == [watches]
        await client.close()


# Guards against watches that are ended for nothing while the store itself is silent.
async def test_waits_go_on_while_no_later_call_is_answered(monkeypatch):
    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.1)
    async with WatchedStore() as watched:
        client = PlatformStore.from_address(
            f"{watched.server.host}:{watched.server.port}",
            lambda era, text: 0,
            create_connector,
            close_idle_connections,
        )
        waiting = asyncio.create_task(client.watch("a/", StoreRevision(0, 5), 3_600.0))
        await watched.watches.get()
        for _ in range(3):
            failed = await client.watch("a/", StoreRevision(0, 5), -0.5)
            assert failed.is_err()
        assert not waiting.done()
        waiting.cancel()
        await client.close()


# Guards against records of which only some are written.
async def test_several_keys_are_written_in_one_transaction():
    async with Harness((200, "1", {"revision": 3})) as harness:
        result = await harness.store.put_all({"a": b"1", "b": b"2"})
    assert result.is_ok()
    (body,) = harness.bodies
    values = {w["key"]: base64.b64decode(w["value"]) for w in body["writes"]}
    assert values == {"a": b"1", "b": b"2"}
