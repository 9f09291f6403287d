"""Lengths of prompts and answers inside one class."""

import math
import random

# Longest deviation from the middle, as a factor.
LENGTH_SPREAD = 3.0
# Mean of a factor spread evenly, on a logarithmic scale, from 1/spread to the spread.
MEAN_FACTOR = (LENGTH_SPREAD - 1 / LENGTH_SPREAD) / (2 * math.log(LENGTH_SPREAD))


def sample_length(mean: int, rng: random.Random) -> int:
    """A length spread evenly on a logarithmic scale, with the mean given."""
    log_spread = math.log(LENGTH_SPREAD)
    factor = math.exp(rng.uniform(-log_spread, log_spread))
    return round(mean * factor / MEAN_FACTOR)


def max_length(mean: int) -> int:
    """The longest length that occurs."""
    return math.ceil(mean * LENGTH_SPREAD / MEAN_FACTOR)
