"""Rendezvous hashing: every member picks the same members for a key.

When a member joins or leaves, only the keys that it gains or loses are reassigned.
"""

import hashlib
import heapq
from collections.abc import Iterable

from burdockhaven_core.identity import MemberId

DIGEST_BYTES = 8


def pick_members(
    key: str, members: Iterable[MemberId], count: int
) -> tuple[MemberId, ...]:
    """Pick the `count` members with the highest scores for the key, best first.

    Returns all members if there are fewer than `count`.
    """
    best = heapq.nlargest(count, members, key=lambda member: _score(key, member))
    return tuple(best)


def _score(key: str, member: MemberId) -> bytes:
    text = f"{key}\0{member.entry}\0{member.incarnation}"
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
