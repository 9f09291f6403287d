"""Ways in which received bytes violate the format of a response."""

import enum
from dataclasses import dataclass

# Bytes, or characters, of an excerpt. Each is logged, and a whole line may be long.
MAX_EXCERPT_LENGTH = 120


class ResponseFault(enum.Enum):
    """Why received bytes are not a valid response."""

    # The first line of a head names no known version or no status from 100 to 599.
    STATUS_LINE = "invalid status line"
    # Another line of a head is no field: no name and colon, or bytes not allowed.
    FIELD_LINE = "invalid field line"
    # A line does not end within the limit.
    LONG_LINE = "line too long"
    # The parser of the HTTP library rejects the head for another reason.
    HEAD = "invalid head"
    # The response switches to a protocol that the request did not ask for.
    UPGRADE = "unrequested upgrade"
    # The fields do not say in a single way where the body ends.
    FRAMING = "ambiguous body length"
    # A field that may come once comes with different values.
    REPEATED_FIELD = "contradictory fields"
    # It names another request than the one that awaits it.
    OTHER_REQUEST = "response to another request"
    # The body is not in the chunks that the head announces.
    BODY = "invalid body"
    # Bytes go on without completing a head or bringing any of a body.
    NO_CONTENT = "bytes without content"


@dataclass(frozen=True, slots=True)
class Violation:
    """A fault and what shows it."""

    fault: ResponseFault
    # Some of the bytes, escaped to printable ASCII, or a description of them.
    excerpt: str

    @classmethod
    def from_bytes(cls, fault: ResponseFault, data: bytes) -> "Violation":
        """Create a violation that shows the first of the bytes."""
        return cls(fault, repr(data[:MAX_EXCERPT_LENGTH])[2:-1])

    @classmethod
    def from_text(cls, fault: ResponseFault, text: str) -> "Violation":
        """Create a violation with a description, which may quote received bytes."""
        line = " ".join(text.split()).encode("ascii", "backslashreplace").decode()
        return cls(fault, line[:MAX_EXCERPT_LENGTH])

    def __str__(self) -> str:
        return f"{self.fault.value}: {self.excerpt}"
