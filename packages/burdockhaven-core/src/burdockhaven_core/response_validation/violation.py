"""Ways in which received bytes violate the format of a response."""

import enum
from dataclasses import dataclass


class ResponseFault(enum.Enum):
    """Why received bytes are not a valid response."""

    # The parser of the HTTP library rejects the head.
    HEAD = "invalid head"
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

    def __str__(self) -> str:
        return f"{self.fault.value}: {self.excerpt}"
