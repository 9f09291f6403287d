"""Sliding window sums in buckets."""

from collections import deque

# Number of buckets of a window; a sum may include one expired bucket.
BUCKETS_PER_WINDOW = 32


class SlidingWindow:
    """Sum of the amounts added within the last `length_s` seconds.

    The sum is never too low, but may include amounts older by up to one bucket.
    """

    def __init__(self, length_s: float) -> None:
        self.length_s = length_s
        self.bucket_s = length_s / BUCKETS_PER_WINDOW
        self.total = 0.0
        # Number and sum of each bucket, the oldest first.
        self.buckets: deque[tuple[int, float]] = deque()

    def add(self, amount: float, now: float) -> None:
        """Add an amount at a monotonic time in seconds."""
        number = int(now / self.bucket_s)
        if self.buckets and self.buckets[-1][0] >= number:
            last, amount_in_bucket = self.buckets.pop()
            self.buckets.append((last, amount_in_bucket + amount))
        else:
            self.buckets.append((number, amount))
        self.total += amount

    def sum(self, now: float) -> float:
        """Return the sum within the window, and drop older buckets."""
        oldest = int((now - self.length_s) / self.bucket_s)
        while self.buckets and self.buckets[0][0] < oldest:
            self.total -= self.buckets.popleft()[1]
        if not self.buckets:
            self.total = 0.0
        return self.total

    def seconds_until_freed(self, amount: float, now: float) -> float:
        """Return the seconds until this amount has left the window."""
        freed = 0.0
        for number, amount_in_bucket in self.buckets:
            freed += amount_in_bucket
            if freed >= amount:
                return max(0.0, (number + 1) * self.bucket_s + self.length_s - now)
        return self.length_s

    def history(self, now: float) -> list[tuple[float, float]]:
        """Return the age in seconds and the sum of each bucket, the oldest first."""
        self.sum(now)
        return [
            (max(0.0, now - number * self.bucket_s), amount_in_bucket)
            for number, amount_in_bucket in self.buckets
        ]

    def merge(self, history: list[tuple[float, float]], now: float) -> None:
        """Add the history of another process's window."""
        merged = dict(self.buckets)
        for age_s, amount in history:
            number = int((now - age_s) / self.bucket_s)
            merged[number] = merged.get(number, 0.0) + amount
        self.buckets = deque(sorted(merged.items()))
        self.total = sum(merged.values())
