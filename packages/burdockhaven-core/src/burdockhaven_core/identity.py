"""Identifiers of members, targets, accounts, requests and runs."""

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

# Length of the digest that identifies a run at its target.
RUN_ID_BYTES = 16


@dataclass(frozen=True, slots=True)
class MemberId:
    """One process of an entry VM; a restarted process is a new member."""

    # The name from the settings; the same across restarts.
    entry: EntryName
    # A random 128-bit number in hexadecimal, generated at each process start.
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class RequestId:
    """Identity of one request: the nonce of its assignment and the caller's key."""

    # The random part of the assignment, unique to one look-up.
    nonce: str
    # Chosen by the caller; unique within the assignment.
    key: str

    @property
    def run_id(self) -> RunId:
        """Identity of the run at its target; every entry derives the same one."""
        text = f"{len(self.nonce)}:{self.nonce}{self.key}"
        digest = hashlib.blake2b(text.encode(), digest_size=RUN_ID_BYTES)
        return RunId(digest.hexdigest())
