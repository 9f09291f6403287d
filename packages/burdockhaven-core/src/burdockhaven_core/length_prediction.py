"""Predicts the length of an answer from the answers that an account had before.

A length is counted in tokens; that of a plain service's call in the milliseconds that
the fastest target of its group takes.

Lengths differ a hundredfold between classes but little inside one account and class, so
one moving estimate for each pair is enough. A pair that was not seen yet takes the
estimate of its class.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass

from burdockhaven_core.identity import AccountName, ClassName

# Weight of the newest answer once an estimate has settled.
MIN_EWMA_WEIGHT = 0.05
# The part of answers that is to be at most as long as the high estimate.
HIGH_QUANTILE = 0.9
# Step of the high estimate for each answer, as a natural logarithm.
QUANTILE_LOG_STEP = 0.1
# Estimates for a class that was not seen yet. The caller's limit is often many times
# the length, and a class that is refused for it would never be seen.
DEFAULT_MEAN_TOKENS = 256
DEFAULT_HIGH_TOKENS = 512
# Pairs of account and class that are kept; the one unused for longest is dropped.
MAX_PAIRS = 20_000


@dataclass(frozen=True, slots=True)
class LengthEstimate:
    """What to expect of the next answer, in tokens."""

    mean: float
    # About `HIGH_QUANTILE` of the answers are at most this long.
    high: float
    # Answers that the estimate rests on.
    samples: int

    def updated(self, tokens: int) -> "LengthEstimate":
        """The estimate with one more answer."""
        samples = self.samples + 1
        weight = max(1.0 / samples, MIN_EWMA_WEIGHT)
        if samples == 1:
            return LengthEstimate(tokens, tokens, 1)
        step = QUANTILE_LOG_STEP * (HIGH_QUANTILE - (tokens <= self.high))
        return LengthEstimate(
            mean=self.mean + weight * (tokens - self.mean),
            high=max(1.0, self.high * math.exp(step)),
            samples=samples,
        )


NO_SAMPLES = LengthEstimate(mean=0.0, high=0.0, samples=0)


class LengthPredictor:
    """Estimates of answer lengths by account and class."""

    def __init__(self, max_pairs: int = MAX_PAIRS) -> None:
        self.max_pairs = max_pairs
        self.by_class: dict[ClassName, LengthEstimate] = {}
        self._by_pair: OrderedDict[tuple[AccountName, ClassName], LengthEstimate]
        self._by_pair = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_pair)

    def observe(self, account: AccountName, class_name: ClassName, tokens: int) -> None:
        """Take in the length of a whole answer."""
        pair = (account, class_name)
        previous = self._by_pair.pop(pair, NO_SAMPLES)
        self._by_pair[pair] = previous.updated(tokens)
        if len(self._by_pair) > self.max_pairs:
            self._by_pair.popitem(last=False)
        by_class = self.by_class.get(class_name, NO_SAMPLES)
        self.by_class[class_name] = by_class.updated(tokens)

    def predict_call_ms(
        self, account: AccountName, class_name: ClassName
    ) -> LengthEstimate:
        """What to expect of a call of a plain service, in milliseconds."""
        estimate = self._by_pair.get((account, class_name))
        if estimate is None:
            estimate = self.by_class.get(class_name, NO_SAMPLES)
        if estimate.samples == 0:
            return LengthEstimate(1, 1, 0)
        return estimate

    def predict_tokens(
        self, account: AccountName, class_name: ClassName, limit: int
    ) -> LengthEstimate:
        """What to expect of an answer that has at most `limit` tokens."""
        estimate = self._by_pair.get((account, class_name))
        if estimate is None:
            estimate = self.by_class.get(class_name, NO_SAMPLES)
        if estimate.samples == 0:
            mean, high = DEFAULT_MEAN_TOKENS, DEFAULT_HIGH_TOKENS
            return LengthEstimate(min(mean, limit), min(high, limit), 0)
        return LengthEstimate(
            min(estimate.mean, limit), min(estimate.high, limit), estimate.samples
        )
