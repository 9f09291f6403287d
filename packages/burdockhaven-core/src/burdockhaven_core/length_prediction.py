"""Online prediction of answer lengths: an EWMA and a quantile per account and class.

Lengths are counted in tokens; the length of a call to a plain service is counted in
milliseconds on the fastest target of its group.

Lengths differ a hundredfold between classes but little within one account and class, so
one running estimate per pair is sufficient. A pair without samples uses the estimate of
its class.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass

from burdockhaven_core.identity import AccountName, ClassName

# Weight of the newest answer after the first samples, which are averaged evenly.
MIN_EWMA_WEIGHT = 0.05
# Quantile of the lengths that the high estimate tracks.
HIGH_QUANTILE = 0.9
# Step by which each answer moves the natural logarithm of the high estimate.
QUANTILE_LOG_STEP = 0.1
# Estimates for a class without samples. The caller's limit would be a poor substitute:
# it is often many times the actual length, and a class whose requests are refused
# because of that would never yield a sample.
DEFAULT_MEAN_TOKENS = 256
DEFAULT_HIGH_TOKENS = 512
# Capacity in pairs of account and class; the least recently updated pair is evicted.
MAX_PAIRS = 20_000


@dataclass(frozen=True, slots=True)
class LengthEstimate:
    """Predicted length of the next answer, in tokens or milliseconds."""

    mean: float
    # Running estimate of the `HIGH_QUANTILE` quantile.
    high: float
    # Number of answers observed.
    samples: int

    def updated(self, tokens: int) -> "LengthEstimate":
        """Return the estimate after one more answer."""
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
        """Record the length of a completed answer."""
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
        """Predict the length of a call to a plain service, in milliseconds."""
        estimate = self._by_pair.get((account, class_name))
        if estimate is None:
            estimate = self.by_class.get(class_name, NO_SAMPLES)
        if estimate.samples == 0:
            return LengthEstimate(1, 1, 0)
        return estimate

    def predict_tokens(
        self, account: AccountName, class_name: ClassName, limit: int
    ) -> LengthEstimate:
        """Predict the length of an answer that is limited to `limit` tokens."""
        estimate = self._by_pair.get((account, class_name))
        if estimate is None:
            estimate = self.by_class.get(class_name, NO_SAMPLES)
        if estimate.samples == 0:
            mean, high = DEFAULT_MEAN_TOKENS, DEFAULT_HIGH_TOKENS
            return LengthEstimate(min(mean, limit), min(high, limit), 0)
        return LengthEstimate(
            min(estimate.mean, limit), min(estimate.high, limit), estimate.samples
        )
