"""Client of the soak against a server that closes its connections."""

import asyncio

from burdockhaven_bench.soak.client import ClientConnection, OutgoingRequest
from burdockhaven_bench.soak.history import Ending

# Limit of waits; no measurement depends on it.
WAIT_TIMEOUT_S = 20.0
# Longer than any test.
LONG_PAUSE_S = 600.0


async def close_after_head(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.close()


# Guards against a close that counts as late because the client pauses within a request.
async def test_client_notices_a_close_between_two_halves_of_a_request():
    first = OutgoingRequest("a1", 1, "safe", "/safe/x", "k", 5.0)
    second = OutgoingRequest(
        "a2", 2, "safe", "/safe/x", "k", 5.0, half_pause_s=LONG_PAUSE_S
    )
    server = await asyncio.start_server(close_after_head, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server, asyncio.timeout(WAIT_TIMEOUT_S):
        connection = await ClientConnection.open("p1", f"{host}:{port}")
        attempts = await connection.exchange([first, second])
    assert [a.ending for a in attempts] == [Ending.CLOSED, Ending.UNSENT]
