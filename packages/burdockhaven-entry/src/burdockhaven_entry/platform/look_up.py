"""Paths and response format of look-ups and of the platform's readiness checks."""

import msgspec

LOOK_UP_PATH = "/-/lookup"
READINESS_PATH = "/-/readyz"


class _LookUpResponse(msgspec.Struct):
    addresses: list[str]
    ttl_s: float


def encode_look_up(addresses: list[str], ttl_s: float) -> bytes:
    """Encode the response that lists addresses for clients to cache for `ttl_s`."""
    return msgspec.json.encode(_LookUpResponse(addresses, ttl_s))
