"""HTTP server around `KeyValueModel`, with the paths of the etcd v3 JSON gateway."""

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
    CallFailedError,
    KeyValueModel,
    Outage,
    OutageError,
    ResponseLostError,
)
from burdockhaven_standins.server import (
    AnyRequest,
    ConnectionCutError,
    cut_response,
    hang,
    json_response,
    read_body,
)

# Seconds between two checks for expired leases.
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
    """Changes to faults; None leaves a fault unchanged."""

    outage: Outage | None = None
    # Number of upcoming calls, other than range reads, whose response is dropped.
    lose_answers: int | None = None
    # Seconds by which each call is delayed.
    slow_s: float | None = None
    # Send nothing more on any open watch, without closing it.
    silence_watches: bool = False


class KeyValueCounts(msgspec.Struct, frozen=True):
    """Calls so far by kind, and the number of open watches."""

    calls: dict[str, int]
    waiting_watches: int


@dataclass(slots=True)
class WatchNotifier:
    """Wakes open watches after each change; silences watches of older generations."""

    # Set and replaced by a new event at each notification.
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    # Watches that were opened in an earlier generation send nothing more.
    generation: int = 0

    def notify(self) -> None:
        """Make each open watch check for changes."""
        self.changed.set()
        self.changed = asyncio.Event()


def make_app() -> Litestar:
    """Create the application of one key-value service, without any keys."""
    model = KeyValueModel()
    notifier = WatchNotifier()

    @post(list(KIND_BY_PATH), status_code=200)
    async def call(request: AnyRequest) -> Response[bytes] | Stream:
        message = await read_body(request, KIND_BY_PATH[request.url.path])
        await asyncio.sleep(model.slow_s)
        try:
            response = json_response(model.handle(message, time.monotonic()))
        except ResponseLostError:
            response = None
        except OutageError as error:
            if model.outage is Outage.SILENT:
                await hang()
            return _error_response(error)
        except CallFailedError as error:
            return _error_response(error)
        finally:
            notifier.notify()
        return cut_response() if response is None else response

    @post("/v3/watch", status_code=200)
    async def watch(request: AnyRequest) -> Response[bytes] | Stream:
        create = (await read_body(request, WatchRequest)).create_request
        try:
            start = model.open_watch(create)
        except OutageError as error:
            if model.outage is Outage.SILENT:
                await hang()
            return _error_response(error)
        return Stream(_stream_watch(model, notifier, create, start))

    @post("/control", status_code=200)
    async def control(request: AnyRequest) -> Response[bytes]:
        control_body = await read_body(request, KeyValueControl)
        _apply_control(control_body, model, notifier)
        return json_response(None)

    @get("/counts")
    async def counts() -> Response[bytes]:
        return json_response(KeyValueCounts(dict(model.calls), model.waiting_watches))

    async def expire_leases() -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            previous_revision = model.revision
            model.expire(time.monotonic())
            if model.revision != previous_revision:
                notifier.notify()

    tasks: list[asyncio.Task[None]] = []

    async def start_expiry() -> None:
        tasks.append(asyncio.create_task(expire_leases()))

    return Litestar([call, watch, control, counts], on_startup=[start_expiry])


async def _stream_watch(
    model: KeyValueModel, notifier: WatchNotifier, create: WatchCreate, start: int
) -> AsyncIterator[bytes]:
    model.waiting_watches += 1
    generation = notifier.generation
    try:
        yield _encode_line(WatchResult(model.header, created=True))
        while True:
            changed = notifier.changed
            if model.outage is Outage.REFUSE:
                raise ConnectionCutError
            if model.outage is Outage.NONE and generation == notifier.generation:
                result = model.read_watch(create, start)
                start = model.revision + 1
                if result is not None:
                    yield _encode_line(result)
                if result is not None and result.canceled:
                    return
            await changed.wait()
    finally:
        model.waiting_watches -= 1


def _apply_control(
    control_body: KeyValueControl, model: KeyValueModel, notifier: WatchNotifier
) -> None:
    if control_body.outage is not None:
        model.outage = control_body.outage
    if control_body.lose_answers is not None:
        model.lose_answers = control_body.lose_answers
    if control_body.slow_s is not None:
        model.slow_s = control_body.slow_s
    if control_body.silence_watches:
        notifier.generation += 1
    notifier.notify()


def _error_response(error: CallFailedError) -> Response[bytes]:
    text = str(error)
    status = STATUS_BY_CODE[error.code]
    return json_response(KeyValueError(text, error.code, text), status)


def _encode_line(result: WatchResult) -> bytes:
    return msgspec.json.encode(WatchResponse(result)) + b"\n"
