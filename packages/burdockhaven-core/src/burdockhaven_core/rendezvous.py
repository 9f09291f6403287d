"""Rendezvous hashing: picks members for a duty, the same ones on every member.

When a member joins or leaves, only the duties that it takes or had move.
"""

import hashlib
import heapq
from collections.abc import Iterable

from burdockhaven_core.identity import MemberId

DIGEST_BYTES = 8


def pick_members(
    key: str, members: Iterable[MemberId], count: int
) -> tuple[MemberId, ...]:
    """The members that have the duty, the first choice first; fewer if there are."""
    best = heapq.nlargest(count, members, key=lambda member: _score(key, member))
    return tuple(best)


def _score(key: str, member: MemberId) -> bytes:
    text = f"{key}\0{member.entry}\0{member.incarnation}"
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
