"""Ranges of the values that other programs write, checked where they are decoded.

Values are kept and sent on in messages between members, which hold integers of 64 bits
and at most 60,000 bytes. A value that no message can carry is refused with the record
that it is part of.
"""

from typing import Annotated

import msgspec

# Largest integer of 64 bits with a sign.
MAX_INTEGER = 2**63 - 1
# Largest number of things, tokens or bytes; sums of many stay below `MAX_INTEGER`.
MAX_COUNT = 2**31 - 1
# Milliseconds of the longest time span, about 31 years.
MAX_SPAN_MS = 1e12
# Characters of the longest name of a target, service, route or account.
MAX_NAME_LENGTH = 1_000

# Requests or tokens in a second that stand for no limit.
MAX_RATE_PER_S = 1e12

NotNegative = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
# Of 64 bits without a sign; messages hold no greater one.
Key = Annotated[int, msgspec.Meta(ge=0)]
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
SpanMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_SPAN_MS)]
Seconds = Annotated[float, msgspec.Meta(ge=0)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE_PER_S)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
