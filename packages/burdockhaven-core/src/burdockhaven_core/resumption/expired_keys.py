"""Which keys of the key-value service have outlived a resume window."""

from collections.abc import Collection


class ExpiredKeys:
    """Finds the keys that existed a whole window ago.

    Whoever reads the keys decides from its own reads: the writers may be gone, and
    their clocks can't be compared.
    """

    def __init__(self) -> None:
        # When each key was first read, on the reader's clock.
        self.first_read_s: dict[str, float] = {}

    def observe(
        self, keys: Collection[str], window_s: float, now: float
    ) -> tuple[str, ...]:
        """Apply a read of all keys; returns those that may be removed, oldest first."""
        self.first_read_s = {key: self.first_read_s.get(key, now) for key in keys}
        expired = [
            (read_s, key)
            for key, read_s in self.first_read_s.items()
            if now - read_s >= window_s
        ]
        return tuple(key for _, key in sorted(expired))
