"""Client connection that parses one request at a time.

The library parses up to 32 requests that a client sends ahead and keeps their heads and
bodies. A parsed field occupies many times its bytes on the wire, so that a few hundred
connections fill the memory. Here, bytes wait unparsed until the response to the request
before them has been written, and an incomplete head waits unparsed for its end.
"""

import asyncio
import enum
from typing import Any

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler

# Ends each request head, and each chunked body.
HEAD_END = b"\r\n\r\n"
# Bytes of an incomplete head after which the request is refused. The limit on heads in
# the configuration is lower, but counts neither the request line nor padding.
MAX_HEAD_BYTES = 65_536
# Bytes that a client may send ahead of a response before its connection is not read
# any more. A disconnect is noticed only while the connection is read.
READ_AHEAD_BYTES = 16_384
# Bytes read from a socket at once: by default, and within a body whose length is known.
# Tiny chunks take some microseconds of processor time each, so that a crowd which sends
# them would delay everything else if more were read.
RECEIVE_BYTES = 4_096
BODY_RECEIVE_BYTES = 65_536
# Bytes in a row within a chunked body that bring nothing of it: extensions of chunks,
# leading zeros and trailers.
MAX_BYTES_WITHOUT_BODY = 32_768


class Phase(enum.Enum):
    """What a connection does for its client."""

    # Receives a request head, or nothing while it is idle.
    HEAD = "head"
    # Receives a request body.
    BODY = "body"
    # Has received a whole request and not written its response yet.
    RESPONSE = "response"


class BodyDiscardedError(Exception):
    """The rest of a request body is not read, because the process has no room."""


class MalformedBodyError(Exception):
    """A request body is not in the format of the protocol."""


class GatedConnection(RequestHandler):
    """A client connection whose parser has no more than one request."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.phase = Phase.HEAD
        # Received bytes that the parser has not been given.
        self.unparsed = bytearray()
        # The request body that is received; None in other phases.
        self.body: StreamReader | None = None
        # Bytes until its end; None if it is sent in chunks.
        self.body_left: int | None = None
        # Bytes of a chunked body so far, and bytes received since the last of them.
        self.body_bytes = 0
        self.bytes_without_body = 0
        # Whether all further bytes are ignored.
        self.is_discarding = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to read requests."""
        super().connection_made(transport)
        self._set_receive_bytes(RECEIVE_BYTES)

    def enter(self, phase: Phase) -> None:
        """Begin a phase."""
        self.phase = phase

    def refuse_head(self) -> None:
        """Handle a request head that is too long; overridden."""
        self.force_close()

    def has_next_request(self) -> bool:
        """Whether a further request was read behind the one in progress."""
        return bool(self._messages) or HEAD_END in self.unparsed

    def data_received(self, data: bytes) -> None:
        """Parse received bytes up to the end of one request; keep the others."""
        if self.is_discarding or self._force_close or self._close:
            return
        if not data:
            self._resume_parser()
            return
        if self.phase is Phase.HEAD and self.unparsed:
            searched = max(0, len(self.unparsed) - len(HEAD_END) + 1)
            self.unparsed += data
            if self.unparsed.find(HEAD_END, searched) < 0:
                self._check_head_length()
                return
            data = self._take_unparsed()
        self._parse(data)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write the rest of a response, then begin with the next request."""
        response, is_reset = await super().finish_response(request, resp, start_time)
        if not is_reset and response.keep_alive and self.phase is Phase.RESPONSE:
            self._begin_next_request()
        return response, is_reset

    def _begin_next_request(self) -> None:
        self.enter(Phase.HEAD)
        if self.unparsed:
            self._parse(self._take_unparsed())
        if self._buffer_paused:
            self._resume_reading_if_drained()

    def _take_unparsed(self) -> bytes:
        data = bytes(self.unparsed)
        self.unparsed = bytearray()
        return data

    def _parse(self, data: bytes) -> None:
        start, size = 0, len(data)
        while start < size:
            if self._force_close or self._close:
                return
            end = self._segment_end(data, start)
            if end is None:
                self._keep(data[start:])
                return
            is_whole = start == 0 and end == size
            self._feed(data if is_whole else data[start:end])
            start = end

    def _segment_end(self, data: bytes, start: int) -> int | None:
        """Return up to where the parser may be given data without passing the request.

        None if it may be given nothing now.
        """
        if self.phase is Phase.RESPONSE or self._reading_paused:
            return None
        if self.phase is Phase.BODY:
            if self.body_left is not None:
                # None if the parser has it all and waits for its handler.
                return (
                    min(len(data), start + self.body_left) if self.body_left else None
                )
            if start < len(HEAD_END) - 1:
                # The end may have begun in the data before.
                return start + 1
        # Within a chunked body, this may also be found before its end.
        found = data.find(HEAD_END, max(0, start - len(HEAD_END) + 1))
        if found >= 0:
            return found + len(HEAD_END)
        return None if self.phase is Phase.HEAD else len(data)

    def _feed(self, data: bytes) -> None:
        super().data_received(data)
        if self.phase is Phase.HEAD:
            if self._messages:
                self._begin_message()
        elif self.phase is Phase.BODY:
            self._continue_body(len(data))

    def _begin_message(self) -> None:
        message, body = self._messages[-1]
        # The message of an error has no body.
        if body.is_eof() or not isinstance(message, RawRequestMessage):
            self.enter(Phase.RESPONSE)
            return
        self.body = body
        self.body_bytes = self.bytes_without_body = 0
        length = message.headers.get("Content-Length")
        self.body_left = None if message.chunked or length is None else int(length)
        if self.body_left is not None and self.body_left > RECEIVE_BYTES:
            self._set_receive_bytes(BODY_RECEIVE_BYTES)
        self.enter(Phase.BODY)

    def _continue_body(self, received: int) -> None:
        body = self.body
        assert body is not None
        if body.is_eof():
            self.body = None
            self._set_receive_bytes(RECEIVE_BYTES)
            self.enter(Phase.RESPONSE)
        elif self._messages and self._messages[-1][1] is not body:
            # The library has queued an error behind the request whose body it is in.
            self._messages.pop()
            self._fail_body(MalformedBodyError())
        elif self.body_left is not None:
            self.body_left -= received
        else:
            self._count_bytes_without_body(body, received)

    def _set_receive_bytes(self, size: int) -> None:
        # The library of the event loop has no public way to set it.
        if self.transport is not None:
            self.transport.max_size = size  # type: ignore[attr-defined]

    def _count_bytes_without_body(self, body: StreamReader, received: int) -> None:
        if body.total_bytes != self.body_bytes:
            self.body_bytes = body.total_bytes
            self.bytes_without_body = 0
            return
        self.bytes_without_body += received
        if self.bytes_without_body > MAX_BYTES_WITHOUT_BODY:
            self._fail_body(MalformedBodyError())

    def _fail_body(self, error: Exception) -> None:
        """End a body; the handler that reads it answers, and the connection closes."""
        self.is_discarding = True
        if self.body is not None:
            self.body.set_exception(error)

    def _keep(self, data: bytes) -> None:
        self.unparsed += data
        if self.phase is Phase.HEAD:
            self._check_head_length()
        elif len(self.unparsed) > READ_AHEAD_BYTES and not self._buffer_paused:
            self._pause_reading_for_buffer()

    def _check_head_length(self) -> None:
        if len(self.unparsed) > MAX_HEAD_BYTES:
            self.is_discarding = True
            self.unparsed = bytearray()
            self.refuse_head()

    def _resume_parser(self) -> None:
        """Continue after the handler has read what the parser waited with."""
        super().data_received(b"")
        if self.phase is Phase.BODY:
            self._continue_body(0)
            if self.unparsed and not self._reading_paused:
                self._parse(self._take_unparsed())

    def _resume_reading_if_drained(self) -> None:
        is_full = len(self.unparsed) > READ_AHEAD_BYTES
        if not (is_full and self.phase is Phase.RESPONSE):
            super()._resume_reading_if_drained()
