"""Headers that a response may not carry with different values."""

from burdockhaven_entry.platform.client_request import ATTEMPT_ID
from burdockhaven_entry.platform.response_headers import NOT_EXECUTED, SIGNATURE
from burdockhaven_entry.platform.store import ERA_HEADER

# By these a response is matched with its request, trusted and read.
SINGLE_VALUE_HEADERS = (
    ATTEMPT_ID,
    SIGNATURE,
    NOT_EXECUTED,
    ERA_HEADER,
    "Content-Type",
    "Content-Encoding",
)
