import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockhaven_core.sliding_window import SlidingWindow

events = st.lists(
    st.tuples(st.floats(0, 2), st.floats(0, 100)), min_size=1, max_size=60
)


@given(events)
def test_sum_never_underestimates_the_window(steps):
    window = SlidingWindow(8.0)
    now, added = 0.0, []
    for pause_s, amount in steps:
        now += pause_s
        window.add(amount, now)
        added.append((now, amount))
        in_window = sum(a for at, a in added if at > now - 8.0)
        assert window.sum(now) >= in_window - 1e-6


def test_amounts_older_than_the_window_do_not_count():
    window = SlidingWindow(8.0)
    window.add(5, 0.0)
    assert window.sum(7.9) == 5
    assert window.sum(8.6) == 0


def test_seconds_until_freed_covers_the_amount():
    window = SlidingWindow(8.0)
    window.add(5, 0.0)
    window.add(5, 4.0)
    assert window.seconds_until_freed(5, 4.0) == pytest.approx(4.25)
    assert window.seconds_until_freed(6, 4.0) == pytest.approx(8.25)


def test_history_merges_into_another_window():
    first, second = SlidingWindow(8.0), SlidingWindow(8.0)
    first.add(3, 10.0)
    first.add(4, 12.0)
    second.add(1, 12.0)
    second.merge(first.history(12.0), 12.0)
    assert second.sum(12.0) == 8
    assert second.sum(19.0) == 5
