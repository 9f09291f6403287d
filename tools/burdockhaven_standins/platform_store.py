"""In-memory stand-in for the platform's store, with its published HTTP interface.

It has keys with revisions, leases, long-polling watches and atomic transactions. Tests
can take it down, compact its history, make it drop responses and restore it from an
earlier copy.
"""

import asyncio
import base64
import dataclasses
from dataclasses import dataclass, field

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler

# Maximum time in seconds for which a watch waits for events.
MAX_WATCH_WAIT_S = 30.0
# Prefixes of keys that clients must not write.
READ_ONLY_PREFIXES = ("op/", "servers/")
MAX_RANGE_ITEMS = 500


@dataclass(slots=True)
class StoredItem:
    """The value of a key, with its revisions."""

    value: bytes
    revision: int
    created: int
    # Id of the lease to which the key is attached; 0 for none.
    lease: int


@dataclass(slots=True)
class StoreFaults:
    """Faults that are active."""

    # Calls are answered with 503 and have no effect.
    down: bool = False
    # Writes take effect, but the connection is aborted without a response.
    drops_responses: bool = False
    # Seconds by which each response is delayed.
    delay_s: float = 0.0


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """The content of a store at one time."""

    items: dict[str, StoredItem]
    leases: dict[int, tuple[float, float]]
    history: tuple[tuple[int, str, bool], ...]
    compacted_revision: int
    revision: int


@dataclass(slots=True)
class PlatformStoreStandin:
    """The keys, leases and history of the store."""

    items: dict[str, StoredItem] = field(default_factory=dict)
    # By lease id: expiry in seconds of the event loop, and lifetime in milliseconds.
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    # Changes in order: the revision, the key, and whether the key was removed.
    history: list[tuple[int, str, bool]] = field(default_factory=list)
    # The history up to this revision has been compacted.
    compacted_revision: int = 0
    revision: int = 1
    # Rises with each restore from a copy.
    era: int = 1
    faults: StoreFaults = field(default_factory=StoreFaults)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key as the operator or a target, without the checks for clients."""
        self.revision += 1
        existing = self.items.get(key)
        created = self.revision if existing is None else existing.created
        self.items[key] = StoredItem(value, self.revision, created, lease)
        self._record_change(key, removed=False)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record_change(key, removed=True)

    def compact(self) -> None:
        """Drop the history; watches from an earlier revision are answered with 410."""
        self.history.clear()
        self.compacted_revision = self.revision

    def take_copy(self) -> StoreCopy:
        """Copy the content, to restore the store from it later."""
        items = {key: dataclasses.replace(item) for key, item in self.items.items()}
        return StoreCopy(
            items,
            dict(self.leases),
            tuple(self.history),
            self.compacted_revision,
            self.revision,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Return to a copy: later changes are lost and their revisions given again."""
        self.items = {key: dataclasses.replace(i) for key, i in copy.items.items()}
        self.leases = dict(copy.leases)
        self.history = list(copy.history)
        self.compacted_revision = copy.compacted_revision
        self.revision = copy.revision
        self.era += 1

    def application(self) -> web.Application:
        """Create the HTTP application of the store."""
        app = web.Application(middlewares=[self._apply_faults])
        app.add_routes(
            [
                web.get("/-/kv-key", self._key),
                web.get("/-/kv-range", self._range),
                web.get("/-/kv-watch", self._watch),
                web.post("/-/kv-txn", self._transaction),
                web.post("/-/kv-lease", self._grant_lease),
                web.post("/-/kv-keep/{lease}", self._keep_alive),
                web.delete("/-/kv-lease-end/{lease}", self._revoke_lease),
            ]
        )
        return app

    def _record_change(self, key: str, removed: bool) -> None:
        self.history.append((self.revision, key, removed))
        self.changed.set()
        self.changed = asyncio.Event()

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        self._expire_leases()
        if self.faults.down:
            response: web.StreamResponse = web.Response(status=503)
        else:
            response = await handler(request)
        if self.faults.down:
            # A watch may have been waiting when the store went down.
            response = web.Response(status=503)
        await asyncio.sleep(self.faults.delay_s)
        response.headers["Store-Era"] = str(self.era)
        if self.faults.drops_responses and request.method == "POST":
            assert request.transport is not None
            request.transport.abort()
        return response

    def _expire_leases(self) -> None:
        now = asyncio.get_running_loop().time()
        for lease, (end_s, _) in list(self.leases.items()):
            if end_s <= now:
                self._remove_lease(lease)

    def _remove_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.remove(key)

    def _item_body(self, key: str) -> dict[str, object]:
        item = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    async def _key(self, request: web.Request) -> web.Response:
        key = request.query["key"]
        if key not in self.items:
            return web.Response(status=404)
        return _json_response(self._item_body(key) | {"store_revision": self.revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return _json_response(
            {
                "items": [self._item_body(key) for key in keys[:MAX_RANGE_ITEMS]],
                "truncated": len(keys) > MAX_RANGE_ITEMS,
                "store_revision": self.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        wait_s = min(MAX_WATCH_WAIT_S, int(request.query["wait_ms"]) / 1e3)
        if after < self.compacted_revision or after > self.revision:
            return web.Response(status=410)
        try:
            async with asyncio.timeout(wait_s):
                while not (events := self._events(prefix, after)):
                    await self.changed.wait()
        except TimeoutError:
            events = []
        return _json_response({"events": events, "store_revision": self.revision})

    def _events(self, prefix: str, after: int) -> list[dict[str, object]]:
        events: list[dict[str, object]] = []
        for revision, key, removed in self.history:
            if revision <= after or not key.startswith(prefix):
                continue
            if removed:
                events.append({"key": key, "revision": revision, "tombstone": True})
            elif key in self.items and self.items[key].revision == revision:
                events.append(self._item_body(key))
        return events

    async def _transaction(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        for row in body.get("expect_rev", []):
            item = self.items.get(row["key"])
            if (0 if item is None else item.revision) != row["revision"]:
                return web.Response(status=412)
        for write in body.get("writes", []):
            if write["key"].startswith(READ_ONLY_PREFIXES):
                return web.Response(status=403)
            if write["lease"] and write["lease"] not in self.leases:
                return web.Response(status=404)
        for write in body.get("writes", []):
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write["lease"])
        for key in body.get("remove", []):
            self.remove(key)
        return _json_response({"revision": self.revision})

    async def _grant_lease(self, request: web.Request) -> web.Response:
        ttl_ms = msgspec.json.decode(await request.read())["ttl_ms"]
        self.revision += 1
        end_s = asyncio.get_running_loop().time() + ttl_ms / 1e3
        self.leases[self.revision] = (end_s, ttl_ms)
        return _json_response({"lease": self.revision, "ttl_ms": ttl_ms})

    async def _keep_alive(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["lease"])
        if lease not in self.leases:
            return web.Response(status=404)
        ttl_ms = self.leases[lease][1]
        end_s = asyncio.get_running_loop().time() + ttl_ms / 1e3
        self.leases[lease] = (end_s, ttl_ms)
        return _json_response({"ttl_ms": ttl_ms})

    async def _revoke_lease(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["lease"])
        if lease not in self.leases:
            return web.Response(status=404)
        self._remove_lease(lease)
        return _json_response({})


def _json_response(body: dict[str, object]) -> web.Response:
    return web.Response(body=msgspec.json.encode(body), content_type="application/json")
