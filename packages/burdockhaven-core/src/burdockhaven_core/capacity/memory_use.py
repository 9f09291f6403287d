"""Memory that requests take at an engine, which ends if they exceed what it has.

An engine's own figure is seconds old, so the use is counted from what it was sent.
"""

# Fraction of an engine's memory that its requests may take; the rest is for requests
# that this process does not know of yet, as after a change of broker.
USABLE_FRACTION = 0.9
# Multiple of the length that a client expects which a response is assumed to reach.
# Clients state it right for half of their requests and are often far off.
LENGTH_FACTOR = 4


def needed_tokens(
    prompt_tokens: int, expected_tokens: int, max_output_tokens: int
) -> int:
    """Return the tokens that a request may take until its end.

    `expected_tokens` is 0 if the client states no length.
    """
    output_tokens = max_output_tokens
    if expected_tokens:
        output_tokens = min(output_tokens, LENGTH_FACTOR * expected_tokens)
    return prompt_tokens + output_tokens


def has_room(held_tokens: int, tokens: int, memory_tokens: int) -> bool:
    """Whether requests that hold tokens leave room for one that needs more."""
    return held_tokens + tokens <= USABLE_FRACTION * memory_tokens
