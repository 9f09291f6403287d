"""Seals messages between entry processes, so that nobody else can send one.

The key is derived from the assignment key, which all entries share. Replays are
harmless: heartbeats carry a sequence, and promises name the question they answer.
"""

import hashlib
import hmac

MAC_BYTES = 16
KEY_BYTES = 32
PURPOSE = b"peer messages"


class MacError(ValueError):
    """The message was not sealed with this key."""


def derive_key(assignment_key: bytes) -> bytes:
    """The key for seals, which reveals nothing of the assignment key."""
    return hmac.digest(assignment_key, PURPOSE, "sha256")


def add_mac(data: bytes, key: bytes) -> bytes:
    """The data with its seal in front."""
    return _mac(data, key) + data


def verify_mac(authenticated: bytes, key: bytes) -> bytes:
    """The data of a sealed message; raises `SealError` if the seal is wrong."""
    data = authenticated[MAC_BYTES:]
    if not hmac.compare_digest(authenticated[:MAC_BYTES], _mac(data, key)):
        raise MacError("the seal is wrong; do all entries share one assignment key?")
    return data


def _mac(data: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(data, key=key, digest_size=MAC_BYTES).digest()
