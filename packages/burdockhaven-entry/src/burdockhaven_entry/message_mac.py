"""Message authentication codes (MACs) on messages between members.

A MAC proves that a message comes from a process that knows the assignment key, which
all entries share and from which the MAC key is derived. Replayed messages are harmless:
heartbeats carry a sequence number, and promises name the request they answer.
"""

import hashlib
import hmac

MAC_BYTES = 16
KEY_BYTES = 32
PURPOSE = b"peer messages"


class MacError(ValueError):
    """The MAC does not match the message and the key."""


def derive_key(assignment_key: bytes) -> bytes:
    """Derive the MAC key, which reveals nothing about the assignment key."""
    return hmac.digest(assignment_key, PURPOSE, "sha256")


def add_mac(data: bytes, key: bytes) -> bytes:
    """Return the data preceded by its MAC."""
    return _mac(data, key) + data


def verify_mac(authenticated: bytes, key: bytes) -> bytes:
    """Return the data without its MAC; raises `MacError` if the MAC is wrong."""
    data = authenticated[MAC_BYTES:]
    if not hmac.compare_digest(authenticated[:MAC_BYTES], _mac(data, key)):
        raise MacError("wrong MAC; check that all entries have the same assignment key")
    return data


def _mac(data: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(data, key=key, digest_size=MAC_BYTES).digest()
