"""The key-value service as a process: the etcd v3 JSON gateway's paths over HTTP."""

import asyncio
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import msgspec
from litestar import Litestar, Response, get, post
from litestar.response import Stream

from burdockhaven_standins.key_value_messages import (
    DeleteRequest,
    GrantRequest,
    KeepAliveRequest,
    KeyValueError,
    KeyValueRequest,
    PutRequest,
    RangeRequest,
    RevokeRequest,
    TxnRequest,
    WatchCreate,
    WatchRequest,
    WatchResponse,
    WatchResult,
)
from burdockhaven_standins.key_value_model import (
    AnswerLostError,
    KeyValueFailedError,
    KeyValueModel,
    Outage,
    OutageError,
)
from burdockhaven_standins.server import (
    AnyRequest,
    ConnectionCutError,
    answer,
    cut_answer,
    read_body,
    stay_silent,
)

# Seconds between two looks for lapsed leases.
EXPIRY_INTERVAL_S = 0.1
STATUS_BY_CODE = {3: 400, 5: 404, 14: 503}
KIND_BY_PATH: dict[str, type[KeyValueRequest]] = {
    "/v3/kv/range": RangeRequest,
    "/v3/kv/put": PutRequest,
    "/v3/kv/deleterange": DeleteRequest,
    "/v3/kv/txn": TxnRequest,
    "/v3/lease/grant": GrantRequest,
    "/v3/lease/keepalive": KeepAliveRequest,
    "/v3/lease/revoke": RevokeRequest,
}


class KeyValueControl(msgspec.Struct, frozen=True):
    """Faults to bring about; None leaves one as it is."""

    outage: Outage | None = None
    # The number of writes whose answer is lost.
    lose_answers: int | None = None
    # Seconds that each answer takes.
    slow_s: float | None = None
    # Whether watches that are open go silent for good.
    silence_watches: bool = False


class KeyValueCounts(msgspec.Struct, frozen=True):
    """Calls so far by kind, and the watches that wait now."""

    calls: dict[str, int]
    waiting_watches: int


@dataclass(slots=True)
class Watchers:
    """Wakes the open watches when something was written."""

    # Replaced by a fresh one at each wake-up.
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    # Watches opened under an older number stay silent.
    generation: int = 0

    def wake(self) -> None:
        """Lets each open watch look again."""
        self.changed.set()
        self.changed = asyncio.Event()


def make_app() -> Litestar:
    """The application of one key-value service, empty at first."""
    model = KeyValueModel()
    watchers = Watchers()

    @post(list(KIND_BY_PATH), status_code=200)
    async def call(request: AnyRequest) -> Response[bytes] | Stream:
        message = await read_body(request, KIND_BY_PATH[request.url.path])
        await asyncio.sleep(model.slow_s)
        try:
            response = answer(model.handle(message, time.monotonic()))
        except AnswerLostError:
            response = None
        except OutageError as error:
            if model.outage is Outage.SILENT:
                await stay_silent()
            return _failure(error)
        except KeyValueFailedError as error:
            return _failure(error)
        finally:
            watchers.wake()
        return cut_answer() if response is None else response

    @post("/v3/watch", status_code=200)
    async def watch(request: AnyRequest) -> Response[bytes] | Stream:
        create = (await read_body(request, WatchRequest)).create_request
        try:
            start = model.open_watch(create)
        except OutageError as error:
            if model.outage is Outage.SILENT:
                await stay_silent()
            return _failure(error)
        return Stream(_watch_lines(model, watchers, create, start))

    @post("/control", status_code=200)
    async def control(request: AnyRequest) -> Response[bytes]:
        wanted = await read_body(request, KeyValueControl)
        _apply(wanted, model, watchers)
        return answer(None)

    @get("/counts")
    async def counts() -> Response[bytes]:
        return answer(KeyValueCounts(dict(model.calls), model.waiting_watches))

    async def expire_leases() -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            before = model.revision
            model.expire(time.monotonic())
            if model.revision != before:
                watchers.wake()

    tasks: list[asyncio.Task[None]] = []

    async def start_expiry() -> None:
        tasks.append(asyncio.create_task(expire_leases()))

    return Litestar([call, watch, control, counts], on_startup=[start_expiry])


async def _watch_lines(
    model: KeyValueModel, watchers: Watchers, create: WatchCreate, start: int
) -> AsyncIterator[bytes]:
    model.waiting_watches += 1
    generation = watchers.generation
    try:
        yield _line(WatchResult(model.header, created=True))
        while True:
            changed = watchers.changed
            if model.outage is Outage.REFUSE:
                raise ConnectionCutError
            if model.outage is Outage.NONE and generation == watchers.generation:
                result = model.read_watch(create, start)
                start = model.revision + 1
                if result is not None:
                    yield _line(result)
                if result is not None and result.canceled:
                    return
            await changed.wait()
    finally:
        model.waiting_watches -= 1


def _apply(wanted: KeyValueControl, model: KeyValueModel, watchers: Watchers) -> None:
    if wanted.outage is not None:
        model.outage = wanted.outage
    if wanted.lose_answers is not None:
        model.lose_answers = wanted.lose_answers
    if wanted.slow_s is not None:
        model.slow_s = wanted.slow_s
    if wanted.silence_watches:
        watchers.generation += 1
    watchers.wake()


def _failure(failure: KeyValueFailedError) -> Response[bytes]:
    text = str(failure)
    status = STATUS_BY_CODE[failure.code]
    return answer(KeyValueError(text, failure.code, text), status)


def _line(result: WatchResult) -> bytes:
    return msgspec.json.encode(WatchResponse(result)) + b"\n"
