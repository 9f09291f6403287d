"""What the stand-ins share: serving, the `ready` line and cut connections."""

import asyncio
import signal
import socket
from collections.abc import AsyncIterator
from typing import TypeVar

import msgspec
import uvicorn
from litestar import Litestar, Request, Response
from litestar.datastructures import State
from litestar.exceptions import ClientException
from litestar.response import Stream

# Seconds that open streams get when the process is asked to stop.
STOP_TIMEOUT_S = 1
JSON_TYPE = "application/json"

AnyRequest = Request[object, object, State]
T = TypeVar("T")


class ConnectionCutError(Exception):
    """Breaks an answer off, so that the server closes the connection."""


class _Server(uvicorn.Server):
    """Prints where it listens as soon as it does."""

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets)
        host, port = self.servers[0].sockets[0].getsockname()[:2]
        print(f"ready {host}:{port}", flush=True)


def serve(app: Litestar, port: int) -> None:
    """Serves on loopback until SIGTERM or SIGINT; port 0 picks a free one."""
    config = uvicorn.Config(
        app,
        host="127.0.0.1",
        port=port,
        log_level="critical",
        access_log=False,
        timeout_graceful_shutdown=STOP_TIMEOUT_S,
        timeout_keep_alive=60,
        backlog=4096,
    )
    # uvicorn raises the signal again once it has stopped; the exit code is to be 0.
    signal.signal(signal.SIGTERM, lambda *_: None)
    _Server(config).run()


async def read_body(request: AnyRequest, kind: type[T]) -> T:
    """The request's JSON body as a typed message; a client error if it is not one."""
    try:
        return msgspec.json.decode(await request.body(), type=kind, strict=False)
    except msgspec.DecodeError as error:
        raise ClientException(str(error)) from error


def json_response(content: object, status_code: int = 200) -> Response[bytes]:
    """A JSON answer."""
    body = msgspec.json.encode(content)
    return Response(body, status_code=status_code, media_type=JSON_TYPE)


def cut_response() -> Stream:
    """An answer that ends with a closed connection before its first byte of body."""
    return Stream(_abort_body(), status_code=200, media_type=JSON_TYPE)


async def hang() -> None:
    """Waits for ever, as a peer does that has lost track of the connection."""
    await asyncio.Event().wait()


async def _abort_body() -> AsyncIterator[bytes]:
    raise ConnectionCutError
    yield b""
