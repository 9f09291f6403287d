"""Sends an answer to one caller as server-sent events.

litestar's own stream wakes two generators more for each event; at tens of thousands of
events a second that is a large part of the process's time.
"""

import asyncio
from collections.abc import Sequence
from typing import Any

import msgspec
from litestar.response import Stream
from litestar.response.base import ASGIResponse
from litestar.types import Receive, Send

from burdockhaven_core.identity import RunId
from burdockhaven_entry.caller_wire import (
    ChunkEvent,
    EndEvent,
    StartedEvent,
    outcome_reply,
)
from burdockhaven_entry.relay import Chunk, Relay
from burdockhaven_entry.shell import Exchange, Shell

EVENT_STREAM_TYPE = "text/event-stream"

_encode = msgspec.json.Encoder().encode


class AnswerStream(Stream):
    """The response that reads a relay from the caller's token on."""

    def __init__(self, shell: Shell, exchange: Exchange, relay: Relay) -> None:
        super().__init__((), media_type=EVENT_STREAM_TYPE)
        self.shell = shell
        self.exchange = exchange
        self.relay = relay

    def to_asgi_response(self, *_: Any, **__: Any) -> ASGIResponse:
        """What litestar runs once the handler has returned."""
        return _AnswerResponse(self.shell, self.exchange, self.relay)


class _AnswerResponse(ASGIResponse):
    _should_set_content_length = False

    def __init__(self, shell: Shell, exchange: Exchange, relay: Relay) -> None:
        super().__init__(media_type=EVENT_STREAM_TYPE)
        self.shell = shell
        self.exchange = exchange
        self.relay = relay

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        sending = asyncio.create_task(self._send_all(send))
        watching = asyncio.create_task(_until_disconnected(receive))
        try:
            await asyncio.wait({sending, watching}, return_when="FIRST_COMPLETED")
            if sending.done():
                sending.result()
        finally:
            sending.cancel()
            watching.cancel()
            self.shell.leave(self.exchange.handle)

    async def _send_all(self, send: Send) -> None:
        relay = self.relay
        await self.start_response(send)
        await send(_body("started", StartedEvent(relay.run_id, relay.target)))
        async for batch in relay.batches(self.exchange.offset):
            await send(_body("chunk", _merged(relay.run_id, batch)))
        if relay.lost is None:
            await send(_body("end", EndEvent(relay.run_id, relay.length)))
        else:
            reply = outcome_reply(relay.lost)
            await send(_body(reply.outcome, reply))
        await send({"type": "http.response.body", "body": b"", "more_body": False})


async def _until_disconnected(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


def _merged(run_id: RunId, batch: Sequence[Chunk]) -> ChunkEvent:
    first = batch[0]
    if len(batch) == 1:
        return ChunkEvent(run_id, first.offset, first.count, first.text)
    count = sum(chunk.count for chunk in batch)
    text = "".join(chunk.text for chunk in batch)
    return ChunkEvent(run_id, first.offset, count, text)


def _body(name: str, data: msgspec.Struct) -> Any:
    event = b"event: %b\ndata: %b\n\n" % (name.encode(), _encode(data))
    return {"type": "http.response.body", "body": event, "more_body": True}
