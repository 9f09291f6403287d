"""Test fixture: a gateway on loopback with targets that follow a script."""

import asyncio
import dataclasses
import random
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web
from scheduling_samples import account, route, target
from yarl import URL

from burdockhaven_core.scheduling.routing import (
    ClientLimits,
    EngineLimits,
    RouteKind,
    RoutingTable,
    Service,
    ServiceShare,
)
from burdockhaven_entry.gateway.client_server import ClientServer
from burdockhaven_entry.gateway.frontend import Frontend
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.placement_client import PlacementClient
from burdockhaven_entry.gateway.plain_forwarding import PlainForwarder
from burdockhaven_entry.gateway.stream_forwarding import StreamForwarder
from burdockhaven_entry.gateway.stream_origin_directory import StreamOriginDirectory
from burdockhaven_entry.gateway.target_client import TargetClient
from burdockhaven_entry.platform import PlatformSettings

HOST = "one.example"
API_KEY = "key-acme"
ATTEMPT = "X-Burdockhaven-Attempt-Id"
SIGNATURE = "X-Burdockhaven-Response-Signature: sig\r\n"
ENGINE_SERVICE = "engines"
PLAIN_SERVICE = "plain"
# Timeout in seconds of a wait; no test depends on it.
WAIT_TIMEOUT_S = 30.0
# Seconds between two pieces of a response, so that they are received apart.
PIECE_INTERVAL_S = 0.01
# Bytes after which an endless response stops, if its connection is still open.
ENDLESS_RESPONSE_BYTES = 128 * 2**20


def settings():
    return PlatformSettings(
        node="entry-1",
        ip="127.0.0.1",
        zone="a",
        front_address="127.0.0.1:1",
        readiness_address="127.0.0.1:2",
        control_address="127.0.0.1:3",
        directory_address="127.0.0.1:4",
        peer_port=7600,
        seeds=(),
        store_address="127.0.0.1:5",
        grace_s=8.0,
        retry_ratio=0.2,
        retry_window_s=10.0,
        retry_slack=58.0,
        quota_window_s=8.0,
        quota_slack=0.0,
        quota_excess=0.1,
        configuration_apply_s=2.0,
        first_start=True,
        look_up_ttl_max_s=5.0,
    )


def routing_table(version=1, rate_per_s=0.0):
    plain = (ServiceShare(PLAIN_SERVICE, 1.0),)
    plain_route = {
        "shares": plain,
        "sticky": False,
        "resumable": False,
        "pause_objective_s": None,
        "timeout_s": 5.0,
    }
    routes = (
        route("/safe/", kind=RouteKind.SAFE, **plain_route),
        route("/unsafe/", kind=RouteKind.UNSAFE, **plain_route),
        route("/quick/", kind=RouteKind.UNSAFE, **(plain_route | {"timeout_s": 0.3})),
        route(
            "/patient/",
            kind=RouteKind.UNSAFE,
            objective_s=WAIT_TIMEOUT_S,
            **(plain_route | {"timeout_s": WAIT_TIMEOUT_S}),
        ),
        route("/stream/", max_attempts=2),
        route("/once/", resumable=False, max_attempts=1),
    )
    acme = account(rate_per_s=rate_per_s)
    return RoutingTable.from_parts(
        version,
        routes,
        {
            ENGINE_SERVICE: Service(ENGINE_SERVICE, 100, EngineLimits(4, 800_000, 1)),
            PLAIN_SERVICE: Service(PLAIN_SERVICE, 100, None),
        },
        {API_KEY: acme},
        ClientLimits(16_384, 1_000, 3.0, 15.0),
    )


@dataclass
class ReceivedRequest:
    """A request as received by a target."""

    line: str
    headers: dict
    body: bytes


class Script:
    """Behaviours for successive requests; the last one is repeated.

    Several targets may share a script.
    """

    def __init__(self, *behaviours):
        self.behaviours = list(behaviours)

    def next_behaviour(self):
        if len(self.behaviours) > 1:
            return self.behaviours.pop(0)
        return self.behaviours[0]


@dataclass
class ScriptedTarget:
    """A target that handles each request with the next behaviour of its script."""

    script: Script
    received: list = field(default_factory=list)
    closed: asyncio.Event = field(default_factory=asyncio.Event)
    connections: int = 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                line, *rest = head.strip().split("\r\n")
                headers = dict(part.split(": ", 1) for part in rest)
                length = int(headers.get("Content-Length", 0))
                behaviour = self.script.next_behaviour()
                if isinstance(behaviour, EarlyResponse):
                    length = 0
                body = await reader.readexactly(length)
                request = ReceivedRequest(line, headers, body)
                self.received.append(request)
                if not await behaviour(request, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed.set()
            writer.close()


def respond(body=b"done", status="200 OK", extra="", attempt=None, signature=SIGNATURE):
    async def behave(request, reader, writer):
        name = attempt if attempt is not None else request.headers[ATTEMPT]
        head = f"HTTP/1.1 {status}\r\n{ATTEMPT}: {name}\r\n{signature}{extra}"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        return True

    return behave


def stream_events(first, last, *, end=True, reset=False, rest=b"", extra=""):
    async def behave(request, reader, writer):
        head = (
            f"HTTP/1.1 200 OK\r\n{ATTEMPT}: {request.headers[ATTEMPT]}\r\n{SIGNATURE}"
            f"Content-Type: text/event-stream\r\n{extra}"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(first, last + 1):
            write_chunk(writer, b"id: %d\ndata: %d\n\n" % (number, number))
        if rest:
            write_chunk(writer, rest)
        await writer.drain()
        if end:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        if reset:
            await asyncio.sleep(0.05)
            writer.transport.abort()
        return False

    return behave


def write_chunk(writer, data):
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))


def stream_when_released(released, last=2):
    """Send the first event at once and the others when an event is set."""

    async def behave(request, reader, writer):
        await stream_events(1, 1, end=False)(request, reader, writer)
        await released.wait()
        for number in range(2, last + 1):
            write_chunk(writer, b"id: %d\ndata: %d\n\n" % (number, number))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    return behave


def respond_when_released(released):
    async def behave(request, reader, writer):
        await released.wait()
        return await respond()(request, reader, writer)

    return behave


def encode_request(path, attempt, *, length=0):
    """Encode the head of a request for a raw connection."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT}: {attempt}\r\n"
        f"Authorization: Bearer {API_KEY}\r\nX-Burdockhaven-Token-Counts: 100,20\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


async def reset_connection(request, reader, writer):
    writer.transport.abort()
    return False


def send_reset(writer):
    """Close the connection with a reset, which `abort` alone does not send."""
    linger = struct.pack("ii", 1, 0)
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def hang(request, reader, writer):
    await reader.read()
    return False


REJECTED = respond(
    b"", "503 Service Unavailable", "X-Burdockhaven-Not-Executed: 1\r\n", signature=""
)


def send_raw(data):
    async def behave(request, reader, writer):
        name = request.headers[ATTEMPT]
        writer.write(data.replace(b"ID", name.encode()))
        await writer.drain()
        return False

    return behave


def send_pieces(*pieces):
    """Send the pieces apart and wait until the connection is closed."""

    async def behave(request, reader, writer):
        for piece in pieces:
            writer.write(piece.replace(b"ID", request.headers[ATTEMPT].encode()))
            await writer.drain()
            await asyncio.sleep(PIECE_INTERVAL_S)
        await reader.read()
        return False

    return behave


def response_head(fields="", status="200 OK", signature=SIGNATURE):
    """Encode the head of a response; `ID` stands for the request's id."""
    return f"HTTP/1.1 {status}\r\n{ATTEMPT}: ID\r\n{signature}{fields}\r\n".encode()


@dataclass
class EndlessResponse:
    """A behaviour that sends the same bytes until its connection is closed.

    It is silent until then if there are none.
    """

    start: bytes
    repeated: bytes
    sent_bytes: int = 0

    async def __call__(self, request, reader, writer):
        writer.write(self.start.replace(b"ID", request.headers[ATTEMPT].encode()))
        while self.repeated and self.sent_bytes < ENDLESS_RESPONSE_BYTES:
            writer.write(self.repeated)
            self.sent_bytes += len(self.repeated)
            await writer.drain()
            await asyncio.sleep(0)
        await reader.read()
        return False

    @property
    def was_cut(self):
        """Whether the connection was closed before the end of the bytes."""
        return self.sent_bytes < ENDLESS_RESPONSE_BYTES


@dataclass
class EarlyResponse:
    """A behaviour that begins before the body of the request has been read."""

    behave: Callable[..., Awaitable[bool]]

    async def __call__(self, request, reader, writer):
        return await self.behave(request, reader, writer)


async def wait_until(condition):
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            if condition():
                return
            await asyncio.sleep(0.01)


class Gateway:
    """A frontend with its targets; `call` sends it a request."""

    def __init__(self, frontend, state, server, listener, client, targets):
        self.frontend = frontend
        self.state = state
        self.server = server
        self.listener = listener
        self.client = client
        self.targets = targets

    @classmethod
    async def start(
        cls, plain=(), engines=(), table=None, software_versions=None, node="entry-1"
    ):
        clock = time.monotonic
        loop = asyncio.get_running_loop()
        own = dataclasses.replace(settings(), node=node)
        state = GatewayState.from_settings(own, 1, 1, clock, random.Random(1))
        state.apply_table(table or routing_table(), b"")
        targets = []
        for service, scripts in ((PLAIN_SERVICE, plain), (ENGINE_SERVICE, engines)):
            for number, script in enumerate(scripts):
                scripted = ScriptedTarget(script)
                listening = await asyncio.start_server(scripted.serve, "127.0.0.1", 0)
                port = listening.sockets[0].getsockname()[1]
                name = f"{service}-{number}"
                address = f"127.0.0.1:{port}"
                version = software_versions[number] if software_versions else "v1"
                state.registry.put(
                    target(name, service, 4, address=address, software_version=version)
                )
                targets.append(scripted)
        state.publish_targets()
        state.in_sync = state.is_configuration_in_sync = True
        placement_client = PlacementClient(
            state.member_id,
            state.member_list,
            state.broker,
            state.heartbeat,
            lambda *_: None,
            clock,
            on_pending_updates=lambda: loop.call_soon(placement_client.flush_progress),
            on_queued=lambda: None,
            paused_targets=state.paused_targets,
        )
        target_client = TargetClient.create(refused=state.metrics.refused_responses)
        frontend = Frontend(
            state,
            PlainForwarder(state, target_client, placement_client),
            StreamForwarder(
                state,
                target_client,
                placement_client,
                StreamOriginDirectory(state, lambda *_: None),
            ),
        )
        server = ClientServer(frontend.handle, state.client_load)
        listener = await loop.create_server(server, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        client = aiohttp.ClientSession()
        gateway = cls(frontend, state, server, listener, client, targets)
        gateway.port = port
        gateway.target_client = target_client
        return gateway

    async def stop(self):
        await self.client.close()
        self.listener.close()
        await self.server.shutdown(0.1)
        await self.target_client.close()

    async def call_raw(self, path, body=b""):
        """Return all bytes that a client gets until its connection ends."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        head = encode_request(path, "a1", length=len(body))
        writer.write(head.replace(b"\r\n", b"\r\nConnection: close\r\n", 1) + body)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            received = await reader.read()
        writer.close()
        return received

    async def call_and_disconnect(self, path):
        """Send a request and close its connection before the response."""
        try:
            async with asyncio.timeout(0.2):
                await self.call(path)
        except TimeoutError:
            return
        raise AssertionError("the response arrived before the disconnect")

    async def call(self, path, body=b"", headers=None, method="POST"):
        sent = {
            "Host": HOST,
            ATTEMPT: "a1",
            "Authorization": f"Bearer {API_KEY}",
            "X-Burdockhaven-Token-Counts": "100,20",
        }
        sent |= headers or {}
        sent = {name: value for name, value in sent.items() if value is not None}
        url = URL(f"http://127.0.0.1:{self.port}{path}", encoded=True)
        async with self.client.request(
            method, url, data=body, headers=sent
        ) as response:
            return web.Response(
                status=response.status,
                body=await response.read(),
                headers=response.headers,
            )

    @property
    def received(self):
        return [request for scripted in self.targets for request in scripted.received]
