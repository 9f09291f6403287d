"""Invalid responses to the standalone daemon, by the client that reads them."""

import asyncio
import contextlib
import json
import random

import httpx
import pytest

from burdockhaven_core.configuration import TargetSpec
from burdockhaven_core.events import LoadReported, RunCompleted
from burdockhaven_core.identity import RunId
from burdockhaven_core.key_value import Range
from burdockhaven_entry.answer_buffer import AnswerBuffer
from burdockhaven_entry.event_stream import (
    StreamBrokenError,
    StreamRequest,
    StreamTimeouts,
    read_stream,
)
from burdockhaven_entry.kv_client import KvClient
from burdockhaven_entry.run_client import RunClient, RunRequest
from burdockhaven_entry.vm_list_client import VmListClient

VALID = b"HTTP/1.1 200 OK\r\n"
INVALID = {
    "status 000": b"HTTP/1.1 000 OK\r\n",
    "status 600": b"HTTP/1.1 600 OK\r\n",
    "upgrade": b"HTTP/1.1 101 Switching Protocols\r\n",
    "another protocol": b"RTSP/1.0 200 OK\r\n",
    "blank in a name": VALID + b"X y: z\r\n",
    "blank after a name": VALID + b"Connection : close\r\n",
    "control byte in a name": VALID + b"X\x01: y\r\n",
    "NUL in a value": VALID + b"X: y\x00\r\n",
    "two lengths": VALID + b"Content-Length: 1\r\n",
    "unknown coding": VALID + b"Transfer-Encoding: xchunked\r\n",
}
HEADS = pytest.mark.parametrize("head", INVALID.values(), ids=INVALID)


@contextlib.asynccontextmanager
async def serve(head, body):
    """Respond to each request with the head and the body."""

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        yield f"http://{host}:{port}"


async def read_store(url):
    client = KvClient.from_url(url, random.Random(1))
    result = await client.call(Range("k"))
    await client.close()
    return result.is_ok()


async def read_vm_list(url):
    client = VmListClient.from_url(url)
    result = await client.read()
    await client.close()
    return result.is_ok()


async def call_service(url):
    events = []
    client = RunClient(events.append)
    spec = TargetSpec("t", url, "s")
    request = RunRequest(RunId("r1"), spec, "c", "", "ask", 1, 0.0)
    await client.run_service(request, AnswerBuffer(RunId("r1"), "t"))
    await client.close()
    return any(isinstance(event, RunCompleted) for event in events)


async def poll_load(url):
    events = []
    client = RunClient(events.append)
    await client.poll_load(TargetSpec("t", url, "s"))
    await client.close()
    return any(isinstance(event, LoadReported) for event in events)


async def read_events(url):
    timeouts = StreamTimeouts(connect_s=5.0, read_s=5.0)
    try:
        end = await read_stream(StreamRequest("GET", url), timeouts, lambda data: False)
    except StreamBrokenError:
        return False
    return end.status == httpx.codes.OK


# What reads a response, and a body that it accepts.
READERS = {
    "store": (read_store, {"header": {"revision": "7"}, "kvs": []}),
    "list of VMs": (read_vm_list, {"vms": []}),
    "service": (call_service, {"request_id": "r1", "result": "done"}),
    "load": (poll_load, {"running": 1, "waiting": 0, "leaving": False}),
    "engine": (read_events, "data: a\n\n"),
}
CLIENTS = pytest.mark.parametrize(("read", "body"), READERS.values(), ids=READERS)


def encode(body):
    return body.encode() if isinstance(body, str) else json.dumps(body).encode()


# Guards against results that are taken from bytes which are no response.
@CLIENTS
@HEADS
async def test_invalid_response_has_no_effect(read, body, head):
    async with serve(head, encode(body)) as url:
        assert not await read(url)


@CLIENTS
async def test_valid_response_has_an_effect(read, body):
    async with serve(VALID, encode(body)) as url:
        assert await read(url)
