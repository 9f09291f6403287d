"""Prediction of answer lengths."""

import random

import pytest

from burdockhaven_core.identity import AccountName, ClassName
from burdockhaven_core.length_prediction import DEFAULT_MEAN_TOKENS, LengthPredictor

ONE = AccountName("one")
TWO = AccountName("two")
REVIEW = ClassName("review")


@pytest.mark.parametrize(
    ("learned", "account", "limit", "mean"),
    [
        ([], ONE, 500, DEFAULT_MEAN_TOKENS),
        ([], ONE, 50, 50),
        ([(ONE, 100)], ONE, 500, 100),
        ([(ONE, 100), (ONE, 200)], ONE, 500, 150),
        ([(ONE, 100)], TWO, 500, 100),
        ([(ONE, 100), (TWO, 300)], TWO, 500, 300),
        ([(ONE, 100)], ONE, 50, 50),
    ],
)
def test_expected_mean(learned, account, limit, mean):
    predictor = LengthPredictor()
    for of_account, tokens in learned:
        predictor.observe(of_account, REVIEW, tokens)
    assert predictor.predict_tokens(account, REVIEW, limit).mean == mean


def test_high_estimate_converges_to_the_90th_percentile():
    predictor = LengthPredictor()
    rng = random.Random(1)
    over = 0
    for number in range(4000):
        tokens = int(rng.lognormvariate(6, 0.8))
        if number >= 1000:
            over += tokens > predictor.predict_tokens(ONE, REVIEW, 100_000).high
        predictor.observe(ONE, REVIEW, tokens)
    assert 0.07 <= over / 3000 <= 0.13


def test_pairs_are_bounded():
    predictor = LengthPredictor(max_pairs=2)
    for name in ("a", "b", "c"):
        predictor.observe(AccountName(name), REVIEW, 10)
    assert len(predictor) == 2
