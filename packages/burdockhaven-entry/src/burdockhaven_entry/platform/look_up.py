"""Calls that clients and the platform make to find a daemon that serves."""

import msgspec

LOOK_UP_PATH = "/-/lookup"
READINESS_PATH = "/-/readyz"


class _LookUpResponse(msgspec.Struct):
    addresses: list[str]
    ttl_s: float


def encode_look_up(addresses: list[str], ttl_s: float) -> bytes:
    """The body that names the addresses, kept by clients for `ttl_s` seconds."""
    return msgspec.json.encode(_LookUpResponse(addresses, ttl_s))
