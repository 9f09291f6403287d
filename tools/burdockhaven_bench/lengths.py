"""Log-uniform distribution of prompt and answer lengths within one class."""

import math
import random

# Largest deviation from the median length, as a factor.
LENGTH_SPREAD = 3.0
# Mean of a factor distributed log-uniformly between 1/LENGTH_SPREAD and LENGTH_SPREAD.
MEAN_FACTOR = (LENGTH_SPREAD - 1 / LENGTH_SPREAD) / (2 * math.log(LENGTH_SPREAD))


def sample_length(mean: int, rng: random.Random) -> int:
    """Draw a length from a log-uniform distribution with the given mean."""
    log_spread = math.log(LENGTH_SPREAD)
    factor = math.exp(rng.uniform(-log_spread, log_spread))
    return round(mean * factor / MEAN_FACTOR)


def max_length(mean: int) -> int:
    """Return the longest length that `sample_length` can draw."""
    return math.ceil(mean * LENGTH_SPREAD / MEAN_FACTOR)
