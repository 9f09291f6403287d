import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from burdockhaven_core.key_value_failure import FailureKind
from burdockhaven_entry.platform import PlatformStore, StoreRevision


class Harness:
    """A store client, and a server with scripted responses: status, era, body."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.eras = []

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
        status, era, body = self.responses.pop(0)
        headers = {} if era is None else {"Store-Era": era}
        return web.json_response(body, status=status, headers=headers)

    def record_era(self, era, text):
        self.eras.append((era, text))
        return 7 if era is None else era


def page(revision, *keys, truncated=False):
    items = [{"key": key, "value": "", "revision": 1} for key in keys]
    return {"items": items, "truncated": truncated, "store_revision": revision}


@pytest.mark.parametrize(
    ("text", "era", "used"),
    [("3", 3, 3), (None, None, 7), ("x", None, 7), ("-1", None, 7), ("٣", None, 7)],
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


async def test_pages_of_two_eras_are_not_joined():
    pages = [(200, "3", page(5, "a/1", truncated=True)), (200, "4", page(4, "a/2"))]
    async with Harness(*pages) as harness:
        failure = (await harness.store.read_prefix("a/")).unwrap_err()
    assert failure.kind is FailureKind.HISTORY_LOST


def test_revisions_of_two_eras_are_not_compared():
    assert StoreRevision(1, 5).latest(StoreRevision(1, 4)) == StoreRevision(1, 5)
    with pytest.raises(ValueError, match="eras 1 and 2"):
        StoreRevision(1, 5).latest(StoreRevision(2, 4))
