"""Signed assignments of callers to entry processes.

An assignment names one entry process and a span of that process's own monotonic clock.
Only the process named may dispatch a request that comes under it; so each request
belongs to one process, without a record anywhere else. Wall clocks play no part.
"""

import base64
import binascii
import hmac

import msgspec
from result import Err, Ok, Result

from burdockhaven_core.identity import AccountName, EntryName, Incarnation, MemberId

# Characters of a token beyond which it is not even decoded.
MAX_TOKEN_CHARS = 1024


class Assignment(msgspec.Struct, frozen=True, array_like=True):
    """What a look-up hands to a caller, before it is signed."""

    # The entry and its process that may dispatch requests under this assignment.
    entry: EntryName
    incarnation: Incarnation
    account: AccountName
    # Random, unique to the look-up.
    nonce: str
    # On the named process's own clock, in seconds since its start.
    issued_s: float
    expires_s: float

    @property
    def member(self) -> MemberId:
        """The process that is named."""
        return MemberId(self.entry, self.incarnation)


class AssignmentFault(msgspec.Struct, frozen=True):
    """Why a token is not an assignment of this system."""

    detail: str


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Assignment)


def sign_assignment(assignment: Assignment, key: bytes) -> str:
    """The assignment as a token that callers keep and present."""
    body = _encoder.encode(assignment)
    signature = hmac.digest(key, body, "sha256")
    return f"{_to_text(body)}.{_to_text(signature)}"


def read_assignment(token: str, key: bytes) -> Result[Assignment, AssignmentFault]:
    """The assignment that the token holds, if its signature is right."""
    if len(token) > MAX_TOKEN_CHARS:
        return Err(AssignmentFault("the token is too long"))
    body_text, dot, signature_text = token.partition(".")
    if not dot:
        return Err(AssignmentFault("the token has no signature"))
    try:
        body = _from_text(body_text)
        signature = _from_text(signature_text)
    except (binascii.Error, ValueError):
        return Err(AssignmentFault("the token is not base64"))
    if not hmac.compare_digest(signature, hmac.digest(key, body, "sha256")):
        return Err(AssignmentFault("the signature does not fit the token"))
    try:
        return Ok(_decoder.decode(body))
    except msgspec.DecodeError as error:
        return Err(AssignmentFault(f"the signed part cannot be read: {error}"))


def _to_text(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _from_text(text: str) -> bytes:
    padding = "=" * (-len(text) % 4)
    return base64.b64decode(text + padding, altchars=b"-_", validate=True)
