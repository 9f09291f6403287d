"""Streams an answer to one caller as server-sent events.

litestar's own stream resumes two more generators per event, which takes a large part of
the process's CPU time at tens of thousands of events per second.
"""

import asyncio
from collections.abc import Sequence
from typing import Any

import msgspec
from litestar.response import Stream
from litestar.response.base import ASGIResponse
from litestar.types import Receive, Send

from burdockhaven_core.identity import RunId
from burdockhaven_entry.answer_buffer import AnswerBuffer, Chunk
from burdockhaven_entry.caller_wire import (
    ChunkEvent,
    EndEvent,
    StartedEvent,
    outcome_reply,
)
from burdockhaven_entry.shell import Exchange, Shell

EVENT_STREAM_TYPE = "text/event-stream"

_encode = msgspec.json.Encoder().encode


class AnswerStream(Stream):
    """Response that streams an answer buffer from the caller's offset on."""

    def __init__(self, shell: Shell, exchange: Exchange, buffer: AnswerBuffer) -> None:
        super().__init__((), media_type=EVENT_STREAM_TYPE)
        self.shell = shell
        self.exchange = exchange
        self.buffer = buffer

    def to_asgi_response(self, *_: Any, **__: Any) -> ASGIResponse:
        """Return the ASGI response that litestar runs after the handler."""
        return _AnswerResponse(self.shell, self.exchange, self.buffer)


class _AnswerResponse(ASGIResponse):
    _should_set_content_length = False

    def __init__(self, shell: Shell, exchange: Exchange, buffer: AnswerBuffer) -> None:
        super().__init__(media_type=EVENT_STREAM_TYPE)
        self.shell = shell
        self.exchange = exchange
        self.buffer = buffer

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        sending = asyncio.create_task(self._send_events(send))
        disconnect = asyncio.create_task(_wait_for_disconnect(receive))
        try:
            await asyncio.wait({sending, disconnect}, return_when="FIRST_COMPLETED")
            if sending.done():
                sending.result()
        finally:
            sending.cancel()
            disconnect.cancel()
            self.shell.close_exchange(self.exchange.handle)

    async def _send_events(self, send: Send) -> None:
        buffer = self.buffer
        await self.start_response(send)
        await send(
            _event_message("started", StartedEvent(buffer.run_id, buffer.target))
        )
        async for batch in buffer.batches(self.exchange.offset):
            await send(_event_message("chunk", _merge_chunks(buffer.run_id, batch)))
        if buffer.failure is None:
            await send(_event_message("end", EndEvent(buffer.run_id, buffer.length)))
        else:
            reply = outcome_reply(buffer.failure)
            await send(_event_message(reply.outcome, reply))
        await send({"type": "http.response.body", "body": b"", "more_body": False})


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


def _merge_chunks(run_id: RunId, batch: Sequence[Chunk]) -> ChunkEvent:
    first = batch[0]
    if len(batch) == 1:
        return ChunkEvent(run_id, first.offset, first.count, first.text)
    count = sum(chunk.count for chunk in batch)
    text = "".join(chunk.text for chunk in batch)
    return ChunkEvent(run_id, first.offset, count, text)


def _event_message(name: str, data: msgspec.Struct) -> Any:
    event = b"event: %b\ndata: %b\n\n" % (name.encode(), _encode(data))
    return {"type": "http.response.body", "body": event, "more_body": True}
