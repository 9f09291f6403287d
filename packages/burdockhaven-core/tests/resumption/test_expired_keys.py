"""Keys that have outlived a resume window."""

from burdockhaven_core.resumption import ExpiredKeys

WINDOW_S = 30.0


# Guards against the removal of batches whose streams may still be resumed.
def test_key_expires_a_window_after_its_first_read():
    keys = ExpiredKeys()
    assert keys.observe(["a"], WINDOW_S, 100.0) == ()
    assert keys.observe(["a", "b"], WINDOW_S, 129.0) == ()
    assert keys.observe(["a", "b"], WINDOW_S, 130.0) == ("a",)
    assert keys.observe(["b"], WINDOW_S, 159.0) == ("b",)


def test_key_that_returns_begins_anew():
    keys = ExpiredKeys()
    keys.observe(["a"], WINDOW_S, 100.0)
    keys.observe([], WINDOW_S, 110.0)
    assert keys.observe(["a"], WINDOW_S, 140.0) == ()
