"""Names of the parts of the system and the identity of a request."""

import hashlib
from dataclasses import dataclass
from typing import NewType

EntryName = NewType("EntryName", str)
Incarnation = NewType("Incarnation", str)
AccountName = NewType("AccountName", str)
GroupName = NewType("GroupName", str)
TargetName = NewType("TargetName", str)
ClassName = NewType("ClassName", str)
RunId = NewType("RunId", str)

# Bytes of the digest that names a run at its target.
RUN_ID_BYTES = 16


@dataclass(frozen=True, slots=True)
class MemberId:
    """One process of an entry VM; a restarted process is another member."""

    # The name from the settings; it stays the same over restarts.
    entry: EntryName
    # A random 128-bit number in hexadecimal, drawn at each process start.
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class RequestId:
    """Identity of one request: the assignment it came under and the caller's key."""

    # The random part of the assignment, unique to one look-up.
    nonce: str
    # Chosen by the caller, unique under the assignment.
    key: str

    @property
    def run_id(self) -> RunId:
        """The identity of the run at its target, the same on every entry."""
        text = f"{len(self.nonce)}:{self.nonce}{self.key}"
        digest = hashlib.blake2b(text.encode(), digest_size=RUN_ID_BYTES)
        return RunId(digest.hexdigest())
