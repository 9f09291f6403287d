"""HMAC-signed, expiring assignments of callers to entry processes.

An assignment names one entry process and a period on that process's own monotonic
clock. Only the named process may dispatch requests that present the assignment. Each
request is thus owned by exactly one process without any shared record, and wall clocks
are not involved.
"""

import base64
import binascii
import hmac

import msgspec
from result import Err, Ok, Result

from burdockhaven_core.identity import AccountName, EntryName, Incarnation, MemberId

# Longer tokens are rejected before they are decoded.
MAX_TOKEN_CHARS = 1024


class Assignment(msgspec.Struct, frozen=True, array_like=True):
    """Content of an assignment token."""

    # The entry process that may dispatch requests under this assignment.
    entry: EntryName
    incarnation: Incarnation
    account: AccountName
    # Random value, unique per look-up.
    nonce: str
    # Validity on the named process's own clock, in seconds since its start.
    issued_s: float
    expires_s: float

    @property
    def member(self) -> MemberId:
        """Member id of the named process."""
        return MemberId(self.entry, self.incarnation)


class AssignmentFault(msgspec.Struct, frozen=True):
    """Why a token is not a valid assignment."""

    detail: str


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Assignment)


def sign_assignment(assignment: Assignment, key: bytes) -> str:
    """Encode and sign an assignment as a token for callers."""
    body = _encoder.encode(assignment)
    signature = hmac.digest(key, body, "sha256")
    return f"{_to_text(body)}.{_to_text(signature)}"


def read_assignment(token: str, key: bytes) -> Result[Assignment, AssignmentFault]:
    """Verify the signature of a token and decode its assignment."""
    if len(token) > MAX_TOKEN_CHARS:
        return Err(AssignmentFault("the token is too long"))
    body_text, dot, signature_text = token.partition(".")
    if not dot:
        return Err(AssignmentFault("the token has no signature"))
    try:
        body = _from_text(body_text)
        signature = _from_text(signature_text)
    except (binascii.Error, ValueError):
        return Err(AssignmentFault("the token is not valid base64"))
    if not hmac.compare_digest(signature, hmac.digest(key, body, "sha256")):
        return Err(AssignmentFault("the signature does not match the token"))
    try:
        return Ok(_decoder.decode(body))
    except msgspec.DecodeError as error:
        return Err(AssignmentFault(f"the signed part cannot be decoded: {error}"))


def _to_text(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _from_text(text: str) -> bytes:
    padding = "=" * (-len(text) % 4)
    return base64.b64decode(text + padding, altchars=b"-_", validate=True)
