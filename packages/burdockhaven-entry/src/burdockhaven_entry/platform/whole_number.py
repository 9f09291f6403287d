"""Parses whole numbers that other processes send as text."""

# Digits of the longest number that is accepted; it fits in 64 bits.
MAX_DIGITS = 18


def parse_whole_number(text: str) -> int | None:
    """Return the number; None if the text is not made of a few ASCII digits.

    `str.isdigit` alone accepts characters and lengths that `int` rejects.
    """
    if text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS:
        return int(text)
    return None
