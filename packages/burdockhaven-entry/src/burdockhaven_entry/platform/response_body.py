"""Reads the bodies of responses, up to a bound on their size."""

import aiohttp


async def read_body_up_to(
    response: aiohttp.ClientResponse, max_bytes: int
) -> bytes | None:
    """Return the complete body; None, and the connection closed, if it is longer.

    Raises the errors of the library if the body is truncated.
    """
    declared_bytes = response.content_length or 0
    # The response to a HEAD request declares a length and has no body.
    if declared_bytes > max_bytes and not response.content.at_eof():
        response.close()
        return None
    pieces: list[bytes] = []
    received_bytes = 0
    async for data in response.content.iter_any():
        received_bytes += len(data)
        if received_bytes > max_bytes:
            response.close()
            return None
        pieces.append(data)
    return b"".join(pieces)
