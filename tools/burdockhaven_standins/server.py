"""HTTP serving shared by the stand-ins: `ready` line, JSON bodies, cut connections."""

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

# Seconds that open streams have to end after a stop signal.
STOP_TIMEOUT_S = 1
JSON_TYPE = "application/json"

AnyRequest = Request[object, object, State]
T = TypeVar("T")


class ConnectionCutError(Exception):
    """Raised while a response body is sent, so that the server cuts the connection."""


class _Server(uvicorn.Server):
    """Prints its address as soon as it listens."""

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets)
        host, port = self.servers[0].sockets[0].getsockname()[:2]
        print(f"ready {host}:{port}", flush=True)


def serve(app: Litestar, port: int) -> None:
    """Serve on loopback until SIGTERM or SIGINT; port 0 selects a free port."""
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
    # uvicorn raises the signal again after it has stopped; ignoring the second signal
    # makes the exit code 0.
    signal.signal(signal.SIGTERM, lambda *_: None)
    _Server(config).run()


async def read_body(request: AnyRequest, kind: type[T]) -> T:
    """Decode the JSON body of the request.

    Raises:
        ClientException: The body is not a message of this type.
    """
    try:
        return msgspec.json.decode(await request.body(), type=kind, strict=False)
    except msgspec.DecodeError as error:
        raise ClientException(str(error)) from error


def json_response(content: object, status_code: int = 200) -> Response[bytes]:
    """Create a JSON response."""
    body = msgspec.json.encode(content)
    return Response(body, status_code=status_code, media_type=JSON_TYPE)


def cut_response() -> Stream:
    """Create a response whose connection is cut before the first byte of the body."""
    return Stream(_abort_body(), status_code=200, media_type=JSON_TYPE)


async def hang() -> None:
    """Never return, as when the peer has lost the state of the connection."""
    await asyncio.Event().wait()


async def _abort_body() -> AsyncIterator[bytes]:
    raise ConnectionCutError
    yield b""
