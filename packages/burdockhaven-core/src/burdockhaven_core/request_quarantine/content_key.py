"""Identity of what a request asks for, whatever attempt asks."""

import hashlib

# Bytes of a key. Two contents with one key would be refused together, so that a
# checksum is too short.
KEY_BYTES = 8
MAX_KEY = 2 ** (8 * KEY_BYTES) - 1


def content_key(method: str, host: str, path: str, account: str, body: bytes) -> int:
    """Return the key of a request's content, equal for all attempts with it.

    `path` includes the query; `account` is empty without a client account.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for text in (method, host.lower(), path, account):
        data = text.encode(errors="surrogateescape")
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    digest.update(body)
    return int.from_bytes(digest.digest(), "big")


def format_content(content: int) -> str:
    """Return a key as it is logged."""
    return f"{content:0{2 * KEY_BYTES}x}"
