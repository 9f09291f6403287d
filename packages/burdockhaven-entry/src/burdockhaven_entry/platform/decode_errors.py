"""The errors by which msgspec reports JSON that it can't decode."""

import msgspec

# Deeply nested values end in a RecursionError, some invalid texts in a
# UnicodeDecodeError; the library wraps neither.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
